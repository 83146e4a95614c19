//! Circuit breakers: jobs of a class are not sent to a worker that rejected the class for lack of capacity.

use super::capacity::DEFAULT_TOKENS;
use super::outlier_detection::BASE_EJECTION_TIME_US;
use crate::interface::{AttemptResult, WorkerId};
use crate::Dispatcher;

impl Dispatcher {
    /// Opens or closes the circuit breaker of a class at a worker according to an attempt's result. If the
    /// worker rejects a job but reports free slots, the rejection does not indicate a high load.
    pub(super) fn update_breaker(
        &mut self,
        id: WorkerId,
        class: u16,
        result: AttemptResult,
        rejected_despite_free_slots: bool,
    ) {
        let rejected = match result {
            AttemptResult::Overloaded => true,
            AttemptResult::Success => false,
            AttemptResult::Error
            | AttemptResult::TimedOut
            | AttemptResult::ConnectFailed
            | AttemptResult::Reset
            | AttemptResult::Unprocessable
            | AttemptResult::StaleConnection
            | AttemptResult::Cancelled
            | AttemptResult::NotSent => return,
        };
        if usize::from(class) >= self.classes.len() {
            return;
        }
        self.durations.update_rejection_rate(class, rejected);
        if let Some(worker) = self.workers.get_mut(id) {
            let breaker = worker.breaker_mut(class);
            if rejected {
                breaker.record_rejection(self.now, BASE_EJECTION_TIME_US);
            } else {
                breaker.record_success();
            }
        }
        if rejected && !rejected_despite_free_slots {
            self.assume_no_free_slot(id, DEFAULT_TOKENS);
        }
    }

    /// Records that a worker has no free slot and `queued` queued jobs, as if a load report had shown this.
    pub(super) fn assume_no_free_slot(&mut self, id: WorkerId, queued: i64) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        let foreign_slots = (self.slots.slot_count(worker) - worker.held_tokens + queued) as f64;
        worker.load.raise_foreign_slots(foreign_slots, self.now);
    }
}
