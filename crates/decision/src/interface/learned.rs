//! Estimates that one process of a scheduler hands to the next one.

use super::{Micros, WorkerId};

/// What a dispatcher has learned about the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Means over the fleet, in an order of the module's own; `None` where nothing was observed.
    pub fleet_means: Vec<Option<f64>>,
    /// Smoothed queueing delay of jobs at workers, in microseconds.
    pub queueing_delay: f64,
    /// Health scores of the latest outcomes, newest first.
    pub recent_scores: Vec<f64>,
    /// Estimates for each class.
    pub classes: Vec<ClassEstimates>,
    /// For each machine kind seen: the logarithm of its running time relative to the usual one.
    pub kinds: Vec<(u16, Option<f64>)>,
    /// The quota balance of each customer, in jobs.
    pub quota_balances: Vec<f64>,
    /// The history of each worker.
    pub workers: Vec<(WorkerId, WorkerHistory)>,
}

/// What a dispatcher has learned about a class of jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ClassEstimates {
    /// Mean logarithm of the running time in microseconds, relative to the size hint where there is one.
    pub log_duration: Option<f64>,
    /// Mean running time in microseconds.
    pub mean_duration: Option<f64>,
    /// Share of attempts that were rejected for want of capacity, from 0 to 1.
    pub rejection_rate: f64,
}

/// What a dispatcher has learned about a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerHistory {
    /// The largest number of free slots ever reported.
    pub max_free_slots: i64,
    /// Slots in use by other schedulers, as of the latest load report.
    pub foreign_slots: f64,
    /// The age of that report; `None`: there was none.
    pub report_age: Option<Micros>,
    /// How much slower than expected the worker is, failures included, as a smoothed logarithm.
    pub health_score: f64,
    /// The time for which it is still ejected; 0: it is not.
    pub ejected_for: Micros,
    /// Ejections since it last served well.
    pub consecutive_ejections: u32,
}
