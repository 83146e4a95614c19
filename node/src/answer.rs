//! Final answers to clients.

use crate::clock::Millis;
use crate::figures::Final;
use crate::http;

/// A request's final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// What a target made for it.
    Served(Vec<u8>),
    /// The fixed response of a refusal: trying again is harmless, after so long (0: no advice).
    Refused { retry_after: Millis },
    /// It failed.
    Failed(Failure),
}

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Failure {
    /// No target has answered within its time.
    Expired,
    /// Targets agree that it is nothing they could run.
    Rejected,
    /// No attempt has brought a result.
    Forward,
    /// A job that it waits for did not end as it wishes; it was never sent.
    Dependency,
    /// It would wait for itself; it was never sent.
    Circle,
    /// It may not start before its client has given up; it was never sent.
    TooLate,
}

impl Failure {
    /// What a client is told besides the status, where the status alone could mean other things, too.
    fn text(self) -> &'static str {
        match self {
            Failure::Expired | Failure::Rejected | Failure::Forward => "",
            Failure::Dependency => "a job named in X-Start-After was not served, or is not known\n",
            Failure::Circle => "the jobs named in X-Start-After wait for this one\n",
            Failure::TooLate => "the start lies after X-Expires-In\n",
        }
    }
}

impl Answer {
    /// What it counts as.
    pub fn kind(&self) -> Final {
        match self {
            Answer::Served(_) => Final::Served,
            Answer::Refused { .. } => Final::Refused,
            Answer::Failed(_) => Final::Failed,
        }
    }

    /// The answer in HTTP.
    pub fn bytes(&self, keep_alive: bool) -> Vec<u8> {
        match self {
            Answer::Served(result) => http::response(200, &[], result, keep_alive),
            Answer::Refused { retry_after } => {
                let seconds = format!("{:.3}", retry_after / 1e3);
                let advice = [("Retry-After", seconds)];
                let headers: &[_] = if *retry_after > 0.0 { &advice } else { &[] };
                http::response(503, headers, b"", keep_alive)
            }
            Answer::Failed(why) => {
                let status = match why {
                    Failure::Expired => 504,
                    Failure::Rejected => 400,
                    Failure::Forward => 502,
                    Failure::Dependency => 424,
                    Failure::Circle => 409,
                    Failure::TooLate => 400,
                };
                http::response(status, &[], why.text().as_bytes(), keep_alive)
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_a_refusal_says_that_trying_again_is_harmless() {
        let text = |answer: Answer| String::from_utf8(answer.bytes(false)).unwrap();
        let refused = text(Answer::Refused { retry_after: 120.0 });
        assert!(refused.starts_with("HTTP/1.1 503 ") && refused.contains("Retry-After: 0.120\r\n"));
        assert!(!text(Answer::Refused { retry_after: 0.0 }).contains("Retry-After"));
        assert!(text(Answer::Failed(Failure::Expired)).starts_with("HTTP/1.1 504 "));
        assert!(text(Answer::Failed(Failure::Forward)).starts_with("HTTP/1.1 502 "));
        assert!(text(Answer::Failed(Failure::Dependency)).starts_with("HTTP/1.1 424 Failed Dependency\r\n"));
        assert!(text(Answer::Failed(Failure::Circle)).ends_with("wait for this one\n"));
        assert!(text(Answer::Served(b"ab".to_vec()))
            .ends_with("Content-Length: 2\r\nConnection: close\r\n\r\nab"));
    }
}
