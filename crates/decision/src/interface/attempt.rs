//! Attempts to run a job on a worker, and how they end.

use super::{JobId, Micros, WorkerId};
use std::fmt;

/// The number of an attempt among those of its job, counted from 0 in the order of sending.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u8);

impl AttemptId {
    /// Returns the index of the attempt among those of its job.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The result of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// The worker served the job.
    Success,
    /// The worker answered with an error; the job may have run.
    Error,
    /// The worker rejected the job for lack of capacity; the job did not run, unless
    /// [`Settings::overloaded_may_have_run`](super::Settings::overloaded_may_have_run) is set.
    Overloaded,
    /// No answer in time; the job may have run.
    TimedOut,
    /// The connection could not be established; the job did not run.
    ConnectFailed,
    /// The connection was lost; the job may have run.
    Reset,
    /// The worker rejected the job as a request that cannot be run. The cause may be the job or the worker.
    /// The job counts as one that may have run.
    Unprocessable,
    /// A reused idle connection was lost during the attempt; the job may have run. Does not indicate the
    /// worker's health.
    StaleConnection,
    /// Cancelled by this dispatcher; the job may have run.
    Cancelled,
    /// Never sent; the job did not run.
    NotSent,
}

/// An attempt that has ended.
#[derive(Clone, Debug)]
pub struct AttemptOutcome {
    /// The job.
    pub job: JobId,
    /// The number of the attempt.
    pub attempt: AttemptId,
    /// The result.
    pub result: AttemptResult,
    /// The time from sending to the end.
    pub latency: Micros,
    /// Whether the job has its final answer, from this attempt or from an earlier one.
    pub job_answered: bool,
    /// The values of the worker's load report, in the order of
    /// [`Settings::report_fields`](super::Settings::report_fields); empty if there was no report.
    pub report: Vec<f64>,
}

/// An attempt made by another process of this scheduler.
#[derive(Clone, Debug)]
pub struct PriorAttempt {
    /// The worker that it was sent to.
    pub worker: WorkerId,
    /// The time since it was sent.
    pub age: Micros,
    /// Whether it is still pending.
    pub pending: bool,
    /// Whether the job may have run.
    pub may_have_run: bool,
}

/// The host's view of an attempt just before its first byte is written.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext {
    /// The job.
    pub job: JobId,
    /// The attempt.
    pub attempt: AttemptId,
    /// The worker that it is sent to.
    pub worker: WorkerId,
    /// Whether the job has no final answer and its client has not disconnected.
    pub job_open: bool,
    /// Whether the attempt has neither ended nor been cancelled.
    pub attempt_pending: bool,
    /// The time until its deadline.
    pub time_left: Micros,
    /// Whether the connection leads to the worker's address on the endpoint list.
    pub address_current: bool,
}

/// Why an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDenial {
    /// The job has its final answer, or its client has disconnected.
    JobEnded,
    /// The attempt ended or was cancelled while its connection was being established.
    AttemptEnded,
    /// The attempt's deadline has passed.
    DeadlinePassed,
    /// An earlier attempt may have run, and the job's class no longer allows a retry.
    RetryNotAllowed,
    /// The endpoint list is out of date or unconfirmed.
    ListNotCurrent,
    /// The worker is draining, was removed or was disabled by an operator.
    WorkerUnavailable,
    /// The worker now has another address.
    WorkerMoved,
}

impl SendDenial {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [SendDenial; 7] = [
        SendDenial::JobEnded,
        SendDenial::AttemptEnded,
        SendDenial::DeadlinePassed,
        SendDenial::RetryNotAllowed,
        SendDenial::ListNotCurrent,
        SendDenial::WorkerUnavailable,
        SendDenial::WorkerMoved,
    ];
}
