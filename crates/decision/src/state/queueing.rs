//! Estimates of the time that jobs wait at workers before they start.

use super::Route;
use crate::estimators::{QuantileEstimate, FAST_WEIGHT};

/// Factor by which a longer time raises the estimate of the usual time to start. With both factors, the
/// estimate converges to the lower quartile of the observed times, so that queueing hardly affects it.
const RISE_FACTOR: f64 = 1.05;
/// Factor by which a time that is not longer lowers the estimate of the usual time to start.
const FALL_FACTOR: f64 = 0.86;
/// Factor by which the estimated queueing delay decays per tick. Without new observations it decays within
/// seconds.
const DECAY_PER_TICK: f64 = 0.96;

/// Estimates of the time to start, from the sending of an attempt to the start of its job, and of the part of
/// it that is due to queueing.
#[derive(Default)]
pub struct QueueingEstimates {
    /// Usual time to start without a queue, in microseconds, by [`Route::index`].
    time_to_start: [QuantileEstimate; Route::COUNT],
    /// Mean queueing delay in microseconds.
    delay_us: f64,
}

impl QueueingEstimates {
    /// Returns the usual time to start without a queue, in microseconds; 0 while unknown.
    pub fn time_to_start_us(&self, route: Route) -> f64 {
        self.time_to_start[route.index()].value_or(0.0)
    }

    /// Returns the mean queueing delay in microseconds.
    pub fn delay_us(&self) -> f64 {
        self.delay_us
    }

    /// Exports the usual times to start without a queue, in microseconds and by [`Route::index`], for another
    /// process.
    pub fn times_to_start(&self) -> impl Iterator<Item = Option<f64>> + '_ {
        self.time_to_start.iter().map(QuantileEstimate::value)
    }

    /// Restores estimates exported by another process; times to start that are missing there keep their
    /// value.
    pub fn restore(&mut self, delay_us: f64, times_to_start: impl Iterator<Item = Option<f64>>) {
        self.delay_us = delay_us;
        for (estimate, learned) in self.time_to_start.iter_mut().zip(times_to_start) {
            if learned.is_some() {
                *estimate = QuantileEstimate::new(learned);
            }
        }
    }

    /// Adds the time in microseconds from the sending of an attempt to the start of its job.
    pub fn record_start(&mut self, route: Route, elapsed_us: f64) {
        self.record_wait(route, elapsed_us);
        self.time_to_start[route.index()].add(elapsed_us, RISE_FACTOR, FALL_FACTOR);
    }

    /// Adds the time in microseconds that an attempt has waited, whether or not its job started after that.
    pub fn record_wait(&mut self, route: Route, elapsed_us: f64) {
        let usual = self.time_to_start[route.index()].value_or(elapsed_us);
        let delay = (elapsed_us - usual).max(0.0);
        self.delay_us += FAST_WEIGHT * (delay - self.delay_us);
    }

    /// Decays the queueing delay; called once per tick.
    pub fn decay(&mut self) {
        self.delay_us *= DECAY_PER_TICK;
    }
}
