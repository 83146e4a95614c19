//! Errors of the deferral queue.

use crate::Millis;
use thiserror::Error;

/// The reason why a job is not deferred.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum DeferralError {
    /// The job would depend on itself, directly or transitively.
    #[error("the job depends on itself")]
    Cycle,
    /// A job named in the dependencies has ended with a status that does not meet the dependency.
    #[error("a job that this job depends on ended without meeting the dependency")]
    DependencyFailed,
    /// The queue is full.
    #[error("the queue of deferred jobs is full (limit reached: {limit:?}); retry after {retry_after} ms")]
    Full {
        /// The limit that was reached.
        limit: ExceededLimit,
        /// An estimate of the time until the queue has capacity.
        retry_after: Millis,
    },
    /// The queue is closed because the host is shutting down.
    #[error("the queue of deferred jobs is closed because the scheduler is shutting down")]
    Closed,
}

/// A limit on the deferred jobs that a new job would exceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExceededLimit {
    /// The number of jobs: [`Limits::max_jobs`](crate::Limits::max_jobs).
    Jobs,
    /// The bytes held by the jobs: [`Limits::max_bytes`](crate::Limits::max_bytes).
    Bytes,
    /// The number of jobs of a single client:
    /// [`Limits::max_jobs_per_client`](crate::Limits::max_jobs_per_client).
    JobsPerClient,
}
