//! Requests to the admin interface, parsed from HTTP into a protocol-independent [`AdminRequest`].

use crate::http::RequestLine;
use serde::{Deserialize, Serialize};
use thiserror::Error;

const GET: &str = "GET";
const PUT: &str = "PUT";

/// A request of an operator to a running scheduler. All requests are idempotent. During an upgrade, those
/// that change the state are also sent to the other process, under the names in the `serde` attributes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AdminRequest {
    /// Return whether this process can accept clients.
    #[serde(rename = "healthcheck")]
    Healthcheck,
    /// Return the metrics.
    #[serde(rename = "stats")]
    Stats,
    /// Return the membership view of this scheduler.
    #[serde(rename = "members")]
    Members,
    /// Send no new jobs to a worker until it is enabled.
    #[serde(rename = "take_out")]
    DisableWorker(String),
    /// Send jobs to a worker again.
    #[serde(rename = "take_back")]
    EnableWorker(String),
    /// Turn clients away until the drain is ended.
    #[serde(rename = "drain")]
    Drain,
    /// End the drain and accept clients again.
    #[serde(rename = "end_drain")]
    EndDrain,
}

/// Reason why a request is not accepted.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum AdminError {
    /// The path does not exist.
    #[error("unknown path")]
    NotFound,
    /// The path exists and only supports this method.
    #[error("method not allowed for this path, expected {0}")]
    MethodNotAllowed(&'static str),
}

/// Parses a request.
///
/// # Errors
/// Returns an error if the path does not exist or does not support the method.
pub fn read(line: &RequestLine) -> Result<AdminRequest, AdminError> {
    let path = line.target.split('?').next().unwrap_or("");
    let segments: Vec<&str> = path.split('/').collect();
    let (method, request) = match segments[..] {
        ["", "healthcheck"] => (GET, AdminRequest::Healthcheck),
        ["", "stats"] => (GET, AdminRequest::Stats),
        ["", "members"] => (GET, AdminRequest::Members),
        ["", "workers", name, "maint"] => (PUT, AdminRequest::DisableWorker(name.to_string())),
        ["", "workers", name, "ready"] => (PUT, AdminRequest::EnableWorker(name.to_string())),
        ["", "healthcheck", "fail"] => (PUT, AdminRequest::Drain),
        ["", "healthcheck", "ok"] => (PUT, AdminRequest::EndDrain),
        _ => return Err(AdminError::NotFound),
    };
    if line.method == method {
        Ok(request)
    } else {
        Err(AdminError::MethodNotAllowed(method))
    }
}

#[cfg(test)]
mod tests;
