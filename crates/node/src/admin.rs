//! The requests of the admin interface, read from HTTP into an [`AdminRequest`] that is neutral to it.

use crate::http::RequestLine;
use serde::{Deserialize, Serialize};
use thiserror::Error;

const GET: &str = "GET";
const PUT: &str = "PUT";

/// What operators can request from a running scheduler. Each request can be repeated without a further
/// effect.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AdminRequest {
    /// Whether this process takes clients.
    #[serde(rename = "healthcheck")]
    Healthcheck,
    /// The metrics.
    #[serde(rename = "stats")]
    Stats,
    /// What this scheduler knows about other members.
    #[serde(rename = "members")]
    Members,
    /// Send a worker nothing new until it is enabled.
    #[serde(rename = "take_out")]
    DisableWorker(String),
    /// Send a worker jobs again.
    #[serde(rename = "take_back")]
    EnableWorker(String),
    /// Send clients away.
    #[serde(rename = "drain")]
    Drain,
    /// Take clients again.
    #[serde(rename = "end_drain")]
    EndDrain,
}

/// Why a request is not accepted.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum AdminError {
    /// The path does not exist.
    #[error("there is no such path")]
    NotFound,
    /// The path exists and takes only this method.
    #[error("the path takes only {0}")]
    MethodNotAllowed(&'static str),
}

/// Reads a request.
///
/// # Errors
/// The path does not exist or takes another method.
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
