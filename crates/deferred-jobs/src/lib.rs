//! Deferred jobs: jobs that start only after other jobs have ended, a start time has been reached, or both.
//!
//! A [`DeferralQueue`] is a state machine without I/O, clock or threads. Its host, the scheduler process,
//! passes in jobs, job ends and the current time, and carries out the [`Decision`]s that the queue returns.
//! The queue decides only *when*, and whether at all, a job is passed to the decision module (the
//! `postusher-decision` crate), which decides on placement, retries and load shedding. All times are in
//! milliseconds on a single clock of the host.
//!
//! ```
//! use postusher_deferred_jobs::*;
//!
//! let mut queue = DeferralQueue::new(Limits::default());
//! queue.record_start("first");
//! let conditions = StartConditions { dependencies: vec![Dependency::served("first")], not_before: None };
//! queue.defer(DeferredJob::new(JobId(2), "second", 60_000.0, conditions), 0.0).unwrap();
//! let capacity = FreeCapacity { free_slots: 8, total_slots: 8, max_free_slots: 8 };
//! queue.release(capacity, 5.0);
//! assert_eq!(queue.take_decisions(), []);
//! queue.record_end("first", JobEndStatus::Served, 10.0);
//! queue.release(capacity, 10.0);
//! assert_eq!(queue.take_decisions(), [Decision::Release(JobId(2))]);
//! ```

mod decision;
mod dependency_index;
mod error;
mod job;
mod limits;
mod ordered_time;
mod pacer;
mod queue;
mod release_order;
mod timers;
mod usage;

pub use decision::{Decision, RequeueOutcome};
pub use dependency_index::RememberedOutcome;
pub use error::{DeferralError, ExceededLimit};
pub use job::{
    DeferredJob, Dependency, JobEndStatus, JobId, MigratedJob, MigratedState, StartConditions,
    MAX_DEPENDENCIES,
};
pub use limits::Limits;
pub use pacer::FreeCapacity;
pub use queue::{DeferralQueue, Footprint, Statistics};

/// A point in time or a duration, in milliseconds.
pub type Millis = f64;
