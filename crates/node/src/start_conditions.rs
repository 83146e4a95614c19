//! Start conditions of a job, parsed from the headers of its request.

use crate::clock::Millis;
use crate::header_values::{is_trace_id, parse_duration};
use crate::http::Headers;
use postusher_deferred_jobs::{Dependency, StartConditions as QueueConditions, MAX_DEPENDENCIES};
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

#[cfg(test)]
mod tests;

/// Header with the trace ids of the jobs that have to end first, in the form `ID[;any][, ...]`.
const START_AFTER_HEADER: &str = "X-Start-After";
/// Header with the earliest start as an RFC 3339 date-time.
const START_AT_HEADER: &str = "X-Start-At";
/// Header with the shortest time from the arrival to the start; it has the units of `X-Expires-In`.
const START_IN_HEADER: &str = "X-Start-In";
/// Headers with start conditions, which are not forwarded to workers.
const START_HEADERS: [&str; 3] = [START_AFTER_HEADER, START_AT_HEADER, START_IN_HEADER];
/// Parameter of a dependency that is satisfied by any answer to its job, not only by a result. It is not
/// satisfied if the client of that job disconnects before the answer.
const ANY_OUTCOME: &str = "any";
const NANOS_PER_MILLI: f64 = 1e6;

/// Start conditions of a job, all of which have to be met.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StartConditions {
    dependencies: Vec<Dependency>,
    /// Earliest start, in milliseconds since 1970.
    start_at: Option<Millis>,
    /// Shortest time from the arrival to the start.
    start_in: Option<Millis>,
}

impl StartConditions {
    /// Parses the start conditions and removes their headers from a request. Returns `None` and leaves the
    /// headers unchanged if one of them is malformed or there are too many dependencies.
    pub fn take(headers: &mut Headers) -> Option<StartConditions> {
        let mut dependencies = Vec::new();
        for value in headers.all(START_AFTER_HEADER) {
            for dependency in std::str::from_utf8(value).ok()?.split(',') {
                dependencies.push(parse_dependency(dependency.trim())?);
            }
        }
        if dependencies.len() > MAX_DEPENDENCIES {
            return None;
        }
        let start_at = match headers.single(START_AT_HEADER).ok()? {
            Some(text) => Some(parse_date_time(text)?),
            None => None,
        };
        let start_in = match headers.single(START_IN_HEADER).ok()? {
            Some(text) => Some(parse_duration(text, None)?),
            None => None,
        };
        headers.0.retain(|(name, _)| !START_HEADERS.iter().any(|header| header.eq_ignore_ascii_case(name)));
        Some(StartConditions { dependencies, start_at, start_in })
    }

    /// Returns whether there are no conditions.
    pub fn is_empty(&self) -> bool {
        self.dependencies.is_empty() && self.start_at.is_none() && self.start_in.is_none()
    }

    /// Returns the conditions of a job that arrives at `now`, with the earliest start as an absolute time.
    pub fn resolve(self, now: Millis) -> QueueConditions {
        let after_delay = self.start_in.map(|delay| now + delay);
        let not_before = match (self.start_at, after_delay) {
            (Some(at), Some(after_delay)) => Some(at.max(after_delay)),
            (at, after_delay) => at.or(after_delay),
        };
        QueueConditions { dependencies: self.dependencies, not_before }
    }
}

/// Parses a dependency of the form `ID[;any]`; `None` if it is malformed.
fn parse_dependency(text: &str) -> Option<Dependency> {
    let (trace_id, any_outcome) = match text.split_once(';') {
        Some((trace_id, parameter)) if parameter.trim().eq_ignore_ascii_case(ANY_OUTCOME) => {
            (trace_id.trim_end(), true)
        }
        Some(_) => return None,
        None => (text, false),
    };
    if !is_trace_id(trace_id) {
        return None;
    }
    Some(Dependency { trace_id: trace_id.into(), any_outcome })
}

/// Converts an RFC 3339 date-time to milliseconds since 1970; `None` if it is malformed.
fn parse_date_time(text: &str) -> Option<Millis> {
    let nanos = OffsetDateTime::parse(text, &Rfc3339).ok()?.unix_timestamp_nanos();
    Some(nanos as f64 / NANOS_PER_MILLI)
}
