//! Attempts to run a job on a worker, and how they end.

use super::{JobId, Micros, WorkerId};
use std::fmt;

/// Number of an attempt within its job, from 0 in the order in which they were sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u8);

impl AttemptId {
    /// The position of the attempt among those of its job.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }
}

impl fmt::Display for AttemptId {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// Served.
    Success,
    /// An error; the job may have run.
    Error,
    /// Rejected for want of capacity; the job did not run, unless the settings say that it may have.
    Overloaded,
    /// No answer in time; the job may have run.
    TimedOut,
    /// No connection; the job did not run.
    ConnectFailed,
    /// The connection broke; the job may have run.
    Reset,
    /// Rejected as a request that cannot be run, which may be due to the job or to the worker.
    Unprocessable,
    /// An idle connection broke under the attempt; the job may have run. This says nothing about the worker.
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
    /// Which of its attempts.
    pub attempt: AttemptId,
    /// How it ended.
    pub result: AttemptResult,
    /// The time from sending to the end.
    pub latency: Micros,
    /// The job has its final answer, by this outcome or before it.
    pub job_answered: bool,
    /// The worker's load report; empty if none came along.
    pub report: Vec<f64>,
}

/// An attempt that another process of this scheduler has made.
#[derive(Clone, Debug)]
pub struct PriorAttempt {
    /// The worker that it was sent to.
    pub worker: WorkerId,
    /// The time since it was sent.
    pub age: Micros,
    /// It has not ended.
    pub pending: bool,
    /// The job may have run.
    pub may_have_run: bool,
}

/// What the host knows about an attempt at the moment at which its first byte would be written.
#[derive(Clone, Copy, Debug)]
pub struct AttemptContext {
    /// The worker that it goes to.
    pub worker: WorkerId,
    /// The job has no final answer and its client has not disconnected.
    pub job_open: bool,
    /// The attempt has neither ended nor been cancelled.
    pub attempt_pending: bool,
    /// The time until its deadline.
    pub time_left: Micros,
    /// The connection leads to the worker's address on the endpoint list.
    pub address_current: bool,
}

/// Why an attempt must not be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendDenial {
    /// Its job has its final answer, or its client has disconnected.
    JobEnded,
    /// It ended or was cancelled while its connection came up.
    AttemptEnded,
    /// Its deadline has passed.
    DeadlinePassed,
    /// The endpoint list is out of date or unconfirmed.
    ListNotCurrent,
    /// The worker drains, is removed or was disabled by an operator.
    WorkerUnavailable,
    /// The worker has another address now.
    WorkerMoved,
}

impl SendDenial {
    /// All reasons, in the order of their discriminants.
    pub const ALL: [SendDenial; 6] = [
        SendDenial::JobEnded,
        SendDenial::AttemptEnded,
        SendDenial::DeadlinePassed,
        SendDenial::ListNotCurrent,
        SendDenial::WorkerUnavailable,
        SendDenial::WorkerMoved,
    ];
}
