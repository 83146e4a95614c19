//! Rate limit for log lines that outside input can cause at any rate.

use crate::clock::Millis;

/// Minimum interval between two lines.
const INTERVAL: Millis = 10_000.0;

/// Allows a log line at most once per interval.
#[derive(Clone, Copy, Debug)]
pub struct LogLimit {
    next_at: Millis,
}

impl LogLimit {
    /// Creates a limit that allows a line from the start.
    pub fn new() -> LogLimit {
        LogLimit { next_at: f64::NEG_INFINITY }
    }

    /// Returns whether a line may be written now. If so, the next interval starts.
    pub fn allows(&mut self, now: Millis) -> bool {
        let is_allowed = now >= self.next_at;
        if is_allowed {
            self.next_at = now + INTERVAL;
        }
        is_allowed
    }
}
