//! Learned state that one process of a scheduler sends to the next one.

use super::{Micros, WorkerId};

/// What a dispatcher has learned about the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Estimates for the fleet: the mean running time in microseconds, the mean number of slots of a worker,
    /// and for each kind of route the usual time to a start in microseconds. `None` where nothing was
    /// observed.
    pub fleet_means: Vec<Option<f64>>,
    /// Smoothed queueing delay of jobs at workers, in microseconds.
    pub queueing_delay: f64,
    /// Health scores of the latest outcomes, newest first.
    pub recent_scores: Vec<f64>,
    /// Estimates for each class.
    pub classes: Vec<ClassEstimates>,
    /// For each machine kind seen: its number, and the mean logarithm of its running times relative to the
    /// mean of the class.
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
    /// Smoothed share, from 0 to 1, of the served and rejected attempts that were rejected for lack of
    /// capacity.
    pub rejection_rate: f64,
}

/// What a dispatcher has learned about a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkerHistory {
    /// The largest number of free slots ever reported.
    pub max_free_slots: i64,
    /// Number of slots that other schedulers use, smoothed over the load reports up to the latest one.
    pub foreign_slots: f64,
    /// The time since the latest load report or later sign that no slot was free; `None` if there was
    /// neither.
    pub report_age: Option<Micros>,
    /// Smoothed logarithm of the worker's running times relative to the expected ones, failures included.
    pub health_score: f64,
    /// The remaining time of the worker's ejection; 0: the worker is not ejected.
    pub ejected_for: Micros,
    /// Number of ejections since the last outcome with a normal score.
    pub consecutive_ejections: u32,
}
