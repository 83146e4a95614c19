//! The operators' address: what a call there asks for, read from HTTP to a [`AdminRequest`] that is neutral to it.

use crate::http::RequestLine;
use serde::{Deserialize, Serialize};

/// What operators' staff may ask of a running scheduler. Each may come twice and means the same then.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AdminRequest {
    /// Whether this process takes clients.
    Healthcheck,
    /// The metrics.
    Stats,
    /// What is believed of other schedulers.
    Members,
    /// Send a target nothing new, until it is taken back.
    #[serde(rename = "take_out")]
    DisableWorker(String),
    /// Use a target again.
    #[serde(rename = "take_back")]
    EnableWorker(String),
    /// Send clients away.
    Drain,
    /// Take clients again.
    EndDrain,
}

/// Why a call is answered with no.
#[derive(Debug, PartialEq)]
pub enum AdminError {
    /// There is nothing of that name.
    NotFound,
    /// It is there, and takes this method.
    MethodNotAllowed(&'static str),
}

/// Reads a call.
pub fn read(line: &RequestLine) -> Result<AdminRequest, AdminError> {
    let path = line.target.split('?').next().unwrap_or("");
    let parts: Vec<&str> = path.split('/').collect();
    let (method, call) = match parts[..] {
        ["", "healthcheck"] => ("GET", AdminRequest::Healthcheck),
        ["", "stats"] => ("GET", AdminRequest::Stats),
        ["", "members"] => ("GET", AdminRequest::Members),
        ["", "workers", id, "maint"] => ("PUT", AdminRequest::DisableWorker(id.to_string())),
        ["", "workers", id, "ready"] => ("PUT", AdminRequest::EnableWorker(id.to_string())),
        ["", "healthcheck", "fail"] => ("PUT", AdminRequest::Drain),
        ["", "healthcheck", "ok"] => ("PUT", AdminRequest::EndDrain),
        _ => return Err(AdminError::NotFound),
    };
    if line.method == method {
        Ok(call)
    } else {
        Err(AdminError::MethodNotAllowed(method))
    }
}

#[cfg(test)]
mod tests;
