//! Why a job is not deferred.

use crate::Millis;
use thiserror::Error;

/// Why a job is not deferred.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum DeferralError {
    /// The job would wait for itself, directly or through others.
    #[error("the job would wait for itself")]
    Cycle,
    /// A dependency has ended in a way that does not meet it.
    #[error("a job that it depends on has ended otherwise")]
    DependencyFailed,
    /// The queue is full.
    #[error("the queue is full ({limit:?}); retry after {retry_after} ms")]
    Full {
        /// The limit that was reached.
        limit: ExceededLimit,
        /// An estimate of when there is room.
        retry_after: Millis,
    },
    /// The queue is closed, as its host ends.
    #[error("the queue is closed")]
    Closed,
}

/// What limits the jobs in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExceededLimit {
    /// The number of jobs.
    Jobs,
    /// The bytes that they hold.
    Bytes,
    /// The number of jobs of one client.
    JobsPerClient,
}
