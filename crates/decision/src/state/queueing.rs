//! How long jobs wait at workers before they start.

use super::Route;
use crate::estimators::{QuantileEstimate, FAST_WEIGHT};

/// Steps of the usual time to a start. A quarter of the observed times are shorter, so that queueing does not
/// count.
const RISE: f64 = 1.05;
const FALL: f64 = 0.86;
/// Part of the queueing delay that remains after a tick: it is forgotten within seconds if no job is sent
/// that could tell.
const DECAY_PER_TICK: f64 = 0.96;

/// Estimates of the time between sending and start.
#[derive(Default)]
pub struct QueueingEstimates {
    /// Usual time to a start without a queue in microseconds, by [`Route::index`].
    time_to_start: [QuantileEstimate; Route::COUNT],
    /// Mean queueing delay in microseconds.
    delay_us: f64,
}

impl QueueingEstimates {
    /// The usual time to a start without a queue, in microseconds; 0 while unknown.
    pub fn time_to_start_us(&self, route: Route) -> f64 {
        self.time_to_start[route.index()].value_or(0.0)
    }

    /// Mean queueing delay in microseconds.
    pub fn delay_us(&self) -> f64 {
        self.delay_us
    }

    /// The usual times to a start without a queue in microseconds, by [`Route::index`], for another process.
    pub fn times_to_start(&self) -> impl Iterator<Item = Option<f64>> + '_ {
        self.time_to_start.iter().map(QuantileEstimate::value)
    }

    /// Continues from the estimates of another process; times to a start that it lacks stay as they are.
    pub fn restore(&mut self, delay_us: f64, times_to_start: impl Iterator<Item = Option<f64>>) {
        self.delay_us = delay_us;
        for (estimate, learned) in self.time_to_start.iter_mut().zip(times_to_start) {
            if learned.is_some() {
                *estimate = QuantileEstimate::new(learned);
            }
        }
    }

    /// Adds the time after which an attempt started, in microseconds.
    pub fn record_start(&mut self, route: Route, elapsed_us: f64) {
        self.record_wait(route, elapsed_us);
        self.time_to_start[route.index()].add(elapsed_us, RISE, FALL);
    }

    /// Adds a time that an attempt waited in microseconds, whether or not it started then.
    pub fn record_wait(&mut self, route: Route, elapsed_us: f64) {
        let usual = self.time_to_start[route.index()].value_or(elapsed_us);
        let delay = (elapsed_us - usual).max(0.0);
        self.delay_us += FAST_WEIGHT * (delay - self.delay_us);
    }

    /// Lets the queueing delay decay; called once per tick.
    pub fn decay(&mut self) {
        self.delay_us *= DECAY_PER_TICK;
    }
}
