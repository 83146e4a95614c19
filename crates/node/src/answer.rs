//! Final answers to clients.

use crate::clock::Millis;
use crate::http;
use crate::metrics::FinalStatus;

const RETRY_AFTER_HEADER: &str = "Retry-After";
const MILLIS_PER_SECOND: f64 = 1e3;

/// The final answer of a job.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// A worker's result.
    Served(Vec<u8>),
    /// Rejected without effect, so that a retry is harmless.
    Rejected {
        /// The time after which to retry; 0 gives no advice.
        retry_after: Millis,
    },
    /// Failed, with no promise about effects except where the failure says so.
    Failed(Failure),
}

/// Why a job failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// No worker answered before its deadline.
    DeadlineExceeded,
    /// Workers rejected it as one that cannot be run.
    Unprocessable,
    /// No attempt brought a result.
    AttemptsFailed,
    /// A job that it depends on did not end as required; it was never sent.
    DependencyFailed,
    /// It depends on itself; it was never sent.
    DependencyCycle,
    /// Its earliest start lies after its deadline; it was never sent.
    StartAfterDeadline,
}

impl Failure {
    /// The HTTP status that a client gets.
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

    /// What a client gets beside the status, where the status could mean something else, too.
    fn text(self) -> &'static str {
        match self {
            Failure::DeadlineExceeded | Failure::Unprocessable | Failure::AttemptsFailed => "",
            Failure::DependencyFailed => "a job named in X-Start-After was not served, or is not known\n",
            Failure::DependencyCycle => "the jobs named in X-Start-After wait for this one\n",
            Failure::StartAfterDeadline => "the start lies after X-Expires-In\n",
        }
    }
}

impl Answer {
    /// How the job counts in the metrics.
    pub fn kind(&self) -> FinalStatus {
        match self {
            Answer::Served(_) => FinalStatus::Served,
            Answer::Rejected { .. } => FinalStatus::Rejected,
            Answer::Failed(_) => FinalStatus::Failed,
        }
    }

    /// The answer in HTTP, on a connection that stays open or not.
    pub fn bytes(&self, keep_alive: bool) -> Vec<u8> {
        match self {
            Answer::Served(result) => http::response(200, &[], result, keep_alive),
            Answer::Rejected { retry_after } if *retry_after > 0.0 => {
                let seconds = format!("{:.3}", retry_after / MILLIS_PER_SECOND);
                http::response(503, &[(RETRY_AFTER_HEADER, seconds)], b"", keep_alive)
            }
            Answer::Rejected { .. } => http::response(503, &[], b"", keep_alive),
            Answer::Failed(failure) => {
                http::response(failure.status(), &[], failure.text().as_bytes(), keep_alive)
            }
        }
    }
}

#[cfg(test)]
mod tests;
