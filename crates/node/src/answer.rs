//! Final answers to clients, and their form as HTTP responses.

use crate::clock::Millis;
use crate::http;
use crate::metrics::FinalStatus;

const RETRY_AFTER_HEADER: &str = "Retry-After";
const MILLIS_PER_SECOND: f64 = 1e3;

/// The final answer of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The result of a worker.
    Served(Vec<u8>),
    /// The job was rejected without any effect, so that a retry is safe.
    Rejected {
        /// Time after which the client should retry; 0 gives no advice.
        retry_after: Millis,
    },
    /// The job failed; it may have had effects, except where the documentation of the [`Failure`] excludes
    /// them.
    Failed(Failure),
}

/// Reason why a job failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// No worker answered before the deadline of the job.
    DeadlineExceeded,
    /// The worker of the last attempt rejected the job as one that cannot be run.
    Unprocessable,
    /// No attempt returned a result.
    AttemptsFailed,
    /// A dependency did not end as required or is unknown; the job was never sent to a worker.
    DependencyFailed,
    /// The job depends on itself; it was never sent to a worker.
    DependencyCycle,
    /// The earliest start of the job is not before its deadline; it was never sent to a worker.
    StartAfterDeadline,
}

impl Failure {
    /// Returns the HTTP status of the response.
    fn status(self) -> u16 {
        match self {
            Failure::DeadlineExceeded => 504,
            Failure::Unprocessable => 400,
            Failure::AttemptsFailed => 502,
            Failure::DependencyFailed => 424,
            Failure::DependencyCycle => 409,
            Failure::StartAfterDeadline => 400,
        }
    }

    /// Returns the body of the response: the reason if the status alone does not show it.
    fn body(self) -> &'static str {
        match self {
            Failure::DeadlineExceeded | Failure::Unprocessable | Failure::AttemptsFailed => "",
            Failure::DependencyFailed => "a job named in X-Start-After was not served, or is not known\n",
            Failure::DependencyCycle => "the jobs named in X-Start-After wait for this one\n",
            Failure::StartAfterDeadline => "the start lies after X-Expires-In\n",
        }
    }
}

impl Answer {
    /// Returns the status under which the job is counted in the metrics.
    pub fn kind(&self) -> FinalStatus {
        match self {
            Answer::Served(_) => FinalStatus::Served,
            Answer::Rejected { .. } => FinalStatus::Rejected,
            Answer::Failed(_) => FinalStatus::Failed,
        }
    }

    /// Returns the answer as an HTTP response; `keep_alive` states whether the connection stays open.
    pub fn bytes(&self, keep_alive: bool) -> Vec<u8> {
        match self {
            Answer::Served(result) => http::response(200, &[], result, keep_alive),
            Answer::Rejected { retry_after } if *retry_after > 0.0 => {
                let seconds = format!("{:.3}", retry_after / MILLIS_PER_SECOND);
                http::response(503, &[(RETRY_AFTER_HEADER, seconds)], b"", keep_alive)
            }
            Answer::Rejected { .. } => http::response(503, &[], b"", keep_alive),
            Answer::Failed(failure) => {
                http::response(failure.status(), &[], failure.body().as_bytes(), keep_alive)
            }
        }
    }
}

#[cfg(test)]
mod tests;
