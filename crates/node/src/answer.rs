//! Final answers to clients.

use crate::clock::Millis;
use crate::http;
use crate::metrics::FinalStatus;

/// A request's final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// What a worker made for it.
    Served(Vec<u8>),
    /// Rejected without effect: a retry is harmless after so long (0: no advice).
    Rejected { retry_after: Millis },
    /// It failed.
    Failed(Failure),
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// No worker answered before its deadline.
    DeadlineExceeded,
    /// Workers agree that it cannot be run.
    Unprocessable,
    /// No attempt has brought a result.
    AttemptsFailed,
    /// A job that it depends on did not end as required; it was never sent.
    DependencyFailed,
    /// It depends on itself; it was never sent.
    DependencyCycle,
    /// Its start lies after its deadline; it was never sent.
    StartAfterDeadline,
}

impl Failure {
    /// What a client is told besides the status, where the status alone could mean other things, too.
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
    /// What it counts as.
    pub fn kind(&self) -> FinalStatus {
        match self {
            Answer::Served(_) => FinalStatus::Served,
            Answer::Rejected { .. } => FinalStatus::Rejected,
            Answer::Failed(_) => FinalStatus::Failed,
        }
    }

    /// The answer in HTTP.
    pub fn bytes(&self, keep_alive: bool) -> Vec<u8> {
        match self {
            Answer::Served(result) => http::response(200, &[], result, keep_alive),
            Answer::Rejected { retry_after } => {
                let seconds = format!("{:.3}", retry_after / 1e3);
                let advice = [("Retry-After", seconds)];
                let headers: &[_] = if *retry_after > 0.0 { &advice } else { &[] };
                http::response(503, headers, b"", keep_alive)
            }
            Answer::Failed(why) => {
                let status = match why {
                    Failure::DeadlineExceeded => 504,
                    Failure::Unprocessable => 400,
                    Failure::AttemptsFailed => 502,
                    Failure::DependencyFailed => 424,
                    Failure::DependencyCycle => 409,
                    Failure::StartAfterDeadline => 400,
                };
                http::response(status, &[], why.text().as_bytes(), keep_alive)
            }
        }
    }
}

#[cfg(test)]
mod tests;
