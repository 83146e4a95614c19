//! Circuit breakers, one for each class at a worker.

use crate::interface::Micros;

/// Maximum number of doublings of the time for which a circuit breaker stays open.
const MAX_DOUBLINGS: u32 = 4;

/// The circuit breaker of one class at one worker. It opens when the worker rejects a job of the class as
/// overloaded; while it is open, no jobs of the class are sent to the worker.
pub struct CircuitBreaker {
    class: u16,
    /// End of the open period; 0 if there was no rejection since the latest success.
    open_until: Micros,
    /// Number of rejections since the latest success.
    consecutive_rejections: u32,
}

impl CircuitBreaker {
    /// Creates a closed breaker for a class.
    pub fn new(class: u16) -> Self {
        CircuitBreaker { class, open_until: 0, consecutive_rejections: 0 }
    }

    /// Returns the class that the breaker applies to.
    pub fn class(&self) -> u16 {
        self.class
    }

    /// Opens the breaker after a rejection: for `base_time`, doubled for each consecutive rejection before
    /// this one, but at most `MAX_DOUBLINGS` times.
    pub fn record_rejection(&mut self, now: Micros, base_time: Micros) {
        self.open_until = now + (base_time << self.consecutive_rejections.min(MAX_DOUBLINGS));
        self.consecutive_rejections += 1;
    }

    /// Closes the breaker after the worker has served a job of the class.
    pub fn record_success(&mut self) {
        self.open_until = 0;
        self.consecutive_rejections = 0;
    }

    /// Returns whether the breaker is open at time `now`.
    pub fn is_open(&self, now: Micros) -> bool {
        self.open_until > now
    }

    /// Returns whether the latest served or rejected attempt of the class at this worker was served. Also
    /// true if there was none.
    pub fn served_last_attempt(&self) -> bool {
        self.consecutive_rejections == 0
    }
}
