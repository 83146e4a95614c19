//! The health of a worker.

use crate::estimators::FAST_WEIGHT;
use crate::interface::Micros;

/// The health score of a worker and its ejections.
#[derive(Default)]
pub struct WorkerHealth {
    /// Smoothed logarithm of the running time relative to the expected one, failures included.
    pub score: f64,
    /// Until when it is ejected; `None`: it is in service.
    pub ejected_until: Option<Micros>,
    /// Ejections since it last served well.
    pub consecutive_ejections: u32,
}

impl WorkerHealth {
    /// Adds the score of an outcome.
    pub fn record(&mut self, sample: f64) {
        self.score += FAST_WEIGHT * (sample - self.score);
    }

    /// Ejects the worker.
    pub fn eject(&mut self, until: Micros) {
        self.ejected_until = Some(until);
        self.consecutive_ejections += 1;
    }

    /// Puts the worker back into service with a health score of at most `score`.
    pub fn readmit(&mut self, score: f64) {
        self.ejected_until = None;
        self.score = self.score.min(score);
    }

    /// Whether the worker is ejected.
    pub fn is_ejected(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Whether the worker was ejected and has not served well since: it is ejected or half-open.
    pub fn is_half_open(&self) -> bool {
        self.consecutive_ejections > 0
    }

    /// Whether its ejection is over.
    pub fn is_readmission_due(&self, now: Micros) -> bool {
        self.ejected_until.is_some_and(|until| now >= until)
    }
}
