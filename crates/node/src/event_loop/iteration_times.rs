//! Times of the event loop's iterations, which tell how long input may have waited to be read.

use crate::clock::Millis;

/// Duration of an iteration from which a warning is logged; the margins of deadlines cover a delay of 150 ms.
const SLOW_ITERATION: Millis = 100.0;
/// Duration of a wait for events above which it has certainly blocked: nothing was ready when it began.
const MIN_BLOCKING_WAIT: Millis = 0.5;

/// Times of the current iteration of the event loop.
pub(super) struct IterationTimes {
    started_at: Millis,
    /// Earliest time at which input that is read in this iteration can have arrived.
    input_since: Millis,
}

impl IterationTimes {
    /// Creates the times of a loop whose first iteration has not started.
    pub(super) fn new(now: Millis) -> IterationTimes {
        IterationTimes { started_at: now, input_since: now }
    }

    /// Starts an iteration after a wait for events that began at `waited_from`. If the wait did not block,
    /// input was ready before it: since the previous iteration started, at the earliest.
    pub(super) fn start_iteration(&mut self, waited_from: Millis, now: Millis) {
        let has_blocked = now - waited_from > MIN_BLOCKING_WAIT;
        self.input_since = if has_blocked { now } else { self.started_at };
        self.started_at = now;
    }

    /// Returns for how long input that is read at `now` may have waited.
    pub(super) fn input_age(&self, now: Millis) -> Millis {
        (now - self.input_since).max(0.0)
    }

    /// Warns if the current iteration has taken long: input that arrived meanwhile is read late.
    pub(super) fn warn_of_slow_iteration(&self, now: Millis) {
        let elapsed = now - self.started_at;
        if elapsed >= SLOW_ITERATION {
            log::warn!("event loop iteration was slow: elapsed_ms={elapsed:.0}");
        }
    }
}

#[cfg(test)]
mod tests;
