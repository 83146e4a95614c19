//! The timers of the deferred jobs, at most one per job.

use crate::ordered_time::OrderedTime;
use crate::{JobId, Millis};
use std::collections::BTreeSet;

/// The due time of a job without a timer.
pub const NEVER: Millis = f64::INFINITY;

/// Jobs sorted by the due time of their timers. The due time is also stored in the job and passed in by the
/// caller.
#[derive(Debug, Default)]
pub struct Timers {
    by_due_time: BTreeSet<(OrderedTime, JobId)>,
}

impl Timers {
    /// Moves a job's timer; a due time of [`NEVER`] means no timer.
    pub fn reschedule(&mut self, id: JobId, old_due: Millis, new_due: Millis) {
        self.cancel(id, old_due);
        if new_due.is_finite() {
            self.by_due_time.insert((OrderedTime(new_due), id));
        }
    }

    /// Removes a job's timer, if it has one.
    pub fn cancel(&mut self, id: JobId, due: Millis) {
        self.by_due_time.remove(&(OrderedTime(due), id));
    }

    /// Returns the due time of the next timer.
    pub fn next_due(&self) -> Option<Millis> {
        self.by_due_time.first().map(|(due, _)| due.0)
    }

    /// Removes the next timer if it is due and returns its job.
    pub fn pop_due(&mut self, now: Millis) -> Option<JobId> {
        if self.next_due()? > now {
            return None;
        }
        self.by_due_time.pop_first().map(|(_, id)| id)
    }

    /// Returns the number of timers.
    pub fn len(&self) -> usize {
        self.by_due_time.len()
    }
}
