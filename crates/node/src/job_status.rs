//! Parsing of workers' job status updates.

use crate::load_report::{self, ReportError};
use postusher_settings::SiteSettings;
use serde::Deserialize;
use serde_json::value::RawValue;
use serde_json::Value;

/// A job status update of a worker.
#[derive(Debug)]
pub struct JobStatusUpdate {
    /// The trace id of the job.
    pub trace_id: String,
    /// The name of the worker.
    pub worker: String,
    /// The status of the job.
    pub status: JobStatus,
    /// The load report of the worker, empty if there was none, or the reason why it is refused. The status is
    /// valid even then.
    pub report: Result<Vec<f64>, ReportError>,
}

/// Status of a job at a worker.
#[derive(Debug, PartialEq)]
pub enum JobStatus {
    /// The job has started.
    Started,
    /// The job is running; this share of it, from 0 to 1, is completed.
    Running(f64),
    /// The job is done, with this result.
    Done(Vec<u8>),
    /// The job failed; it may have run.
    Failed,
    /// The worker returned the job without running it.
    Returned,
    /// The job was killed at the worker, or its process died.
    Lost,
}

impl JobStatus {
    /// Returns the name of the status, as it is logged.
    pub fn name(&self) -> &'static str {
        match self {
            JobStatus::Started => "started",
            JobStatus::Running(_) => "running",
            JobStatus::Done(_) => "done",
            JobStatus::Failed => "failed",
            JobStatus::Returned => "returned",
            JobStatus::Lost => "lost",
        }
    }
}

/// The JSON form of a job status update.
#[derive(Deserialize)]
struct UpdateForm<'a> {
    #[serde(rename = "id")]
    trace_id: String,
    #[serde(rename = "from")]
    worker: String,
    state: String,
    #[serde(rename = "share", default)]
    completed_share: f64,
    #[serde(default)]
    result: Value,
    /// Not parsed with the rest: a number that cannot be represented must not lose a result.
    #[serde(borrow, default)]
    load: Option<&'a RawValue>,
}

impl JobStatusUpdate {
    /// Parses the body of a job status update; returns `None` if it is malformed.
    pub fn read(body: &[u8], site: &SiteSettings) -> Option<JobStatusUpdate> {
        let form: UpdateForm = serde_json::from_slice(body).ok()?;
        let status = match form.state.as_str() {
            "started" => JobStatus::Started,
            "running" => JobStatus::Running(form.completed_share),
            "done" => JobStatus::Done(result_bytes(form.result)),
            "failed" => JobStatus::Failed,
            "returned" => JobStatus::Returned,
            "lost" => JobStatus::Lost,
            _ => return None,
        };
        let report = form.load.map_or(Ok(Vec::new()), |load| load_report::from_json(load.get(), site));
        Some(JobStatusUpdate { trace_id: form.trace_id, worker: form.worker, status, report })
    }
}

/// Returns the result of a job as sent to its client: a string without quotes, nothing for null, any other
/// value as JSON.
fn result_bytes(result: Value) -> Vec<u8> {
    match result {
        Value::String(text) => text.into_bytes(),
        Value::Null => Vec::new(),
        value => value.to_string().into_bytes(),
    }
}

#[cfg(test)]
mod tests;
