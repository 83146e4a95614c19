//! The state of a dispatcher: jobs, workers and estimates about the fleet. The decisions based on it are in
//! `src/policy/`.

mod affinity;
mod attempt;
mod circuit_breaker;
mod durations;
mod features;
mod foreign_load;
mod key_queues;
mod pending_job;
mod queueing;
mod reported_load;
mod slots;
mod slow_start_budget;
mod timer;
mod worker;
mod worker_health;
mod worker_table;

pub use affinity::Affinity;
pub use attempt::{Attempt, AttemptState, Route};
pub use circuit_breaker::CircuitBreaker;
pub use durations::DurationEstimates;
pub use features::Features;
pub use foreign_load::ForeignLoadEstimates;
pub use key_queues::KeyQueues;
pub use pending_job::{CancelScope, LoadProbes, PendingJob};
pub use queueing::QueueingEstimates;
pub use reported_load::ReportedLoad;
pub use slots::SlotEstimates;
pub use slow_start_budget::{Allowance, SlowStartBudget};
pub use timer::TimerPurpose;
pub use worker::{HealthCheck, Worker};
pub use worker_health::WorkerHealth;
pub use worker_table::WorkerTable;

#[cfg(test)]
mod tests;
