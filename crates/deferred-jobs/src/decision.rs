//! Decisions that the queue returns to its host.

use crate::{JobId, Millis};

/// An instruction to the host about one job.
///
/// Each deferred job gets exactly one decision, unless the job ends or migrates to the successor first. A job
/// that was released and then requeued gets another one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// Pass the job on to the decision module.
    Release(JobId),
    /// Answer with status 424: a job that this job depends on ended without meeting the dependency, or did
    /// not arrive in time. The job was never sent to a worker.
    Fail(JobId),
    /// Answer with status 503: the job cannot start in time, or the queue was closed. The job was never sent
    /// to a worker.
    Reject {
        /// The job.
        id: JobId,
        /// Delay after which the client may retry; 0 if there is no estimate.
        retry_after: Millis,
    },
}

/// How the queue handles a released job that the decision module rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequeueOutcome {
    /// The job is deferred again and becomes ready again after a backoff.
    Requeued,
    /// The job is not requeued, for example because there is no time left for another release. The host
    /// passes the rejection to the client.
    Final,
}
