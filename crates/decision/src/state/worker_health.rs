//! The health score of a worker and its ejections.

use crate::estimators::FAST_WEIGHT;
use crate::interface::Micros;

/// The health of a worker for outlier detection.
#[derive(Default)]
pub struct WorkerHealth {
    /// Smoothed logarithm of the running time relative to the expected one; higher is worse. Failures count
    /// as a long running time.
    pub score: f64,
    /// End of the ejection; `None` if the worker is not ejected.
    pub ejected_until: Option<Micros>,
    /// Number of ejections since the worker, while not ejected, last had an outcome with a normal score.
    pub consecutive_ejections: u32,
}

impl WorkerHealth {
    /// Adds the score of the outcome of an attempt or a health check.
    pub fn record(&mut self, outcome_score: f64) {
        self.score += FAST_WEIGHT * (outcome_score - self.score);
    }

    /// Ejects the worker until the time `until`.
    pub fn eject(&mut self, until: Micros) {
        self.ejected_until = Some(until);
        self.consecutive_ejections += 1;
    }

    /// Ends the ejection and lowers the health score to `max_score` if it is higher. The worker is half-open
    /// after that.
    pub fn readmit(&mut self, max_score: f64) {
        self.ejected_until = None;
        self.score = self.score.min(max_score);
    }

    /// Returns whether the worker is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Returns whether the worker is ejected or half-open: half-open means that it was readmitted and has not
    /// had an outcome with a normal score since.
    pub fn is_ejected_or_half_open(&self) -> bool {
        self.consecutive_ejections > 0
    }

    /// Returns whether the worker is ejected and the end of its ejection has been reached at time `now`.
    pub fn is_readmission_due(&self, now: Micros) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }
}
