//! What workers tell of jobs, and their load reports.

use postusher_settings::SiteSettings;
use serde::Deserialize;
use serde_json::Value;

/// One call of a worker.
#[derive(Debug)]
pub struct JobStatusUpdate {
    /// The client's id for the job.
    pub trace_id: String,
    /// The worker's name.
    pub from: String,
    /// What became of the job.
    pub state: State,
    /// The worker's load report; empty where none came.
    pub report: Vec<f64>,
}

/// What became of a job at a worker.
#[derive(Debug, PartialEq)]
pub enum State {
    /// It has begun.
    Started,
    /// This part of it is done.
    Running(f64),
    /// It is done, with this result.
    Done(Vec<u8>),
    /// It failed; it may have run.
    Failed,
    /// It was handed back and has not run.
    Returned,
    /// It was killed or its process died.
    Lost,
}

#[derive(Deserialize)]
struct Call {
    id: String,
    from: String,
    state: String,
    #[serde(default)]
    share: f64,
    #[serde(default)]
    result: Value,
    #[serde(default)]
    load: Value,
}

impl JobStatusUpdate {
    /// Reads a call's body; `None` where it is malformed.
    pub fn read(body: &[u8], site: &SiteSettings) -> Option<JobStatusUpdate> {
        let call: Call = serde_json::from_slice(body).ok()?;
        let state = match call.state.as_str() {
            "started" => State::Started,
            "running" => State::Running(call.share),
            "done" => State::Done(match call.result {
                Value::String(text) => text.into_bytes(),
                Value::Null => Vec::new(),
                other => other.to_string().into_bytes(),
            }),
            "failed" => State::Failed,
            "returned" => State::Returned,
            "lost" => State::Lost,
            _ => return None,
        };
        let report = report(site, |name| call.load.get(name)?.as_f64());
        Some(JobStatusUpdate { trace_id: call.id, from: call.from, state, report })
    }
}

/// A report in the order of the settings; what is missing is no number. Empty where nothing is there.
fn report(site: &SiteSettings, value: impl Fn(&str) -> Option<f64>) -> Vec<f64> {
    let named = |name: &String| value(name).or_else(|| value(on_sockets(name)));
    let values: Vec<Option<f64>> = site.report_fields.iter().map(named).collect();
    if values.iter().all(Option::is_none) {
        return Vec::new();
    }
    values.into_iter().map(|v| v.unwrap_or(f64::NAN)).collect()
}

/// The settings name report values as the simulator's wire does; on sockets they have these names.
fn on_sockets(name: &str) -> &str {
    match name {
        "tps" => "qps",
        "concurrent" => "inflight",
        "depth" => "queue",
        "load_share" => "util",
        "mean_ms" => "latency_ms",
        "err_ps" => "eps",
        other => other,
    }
}

/// A report from a header such as `TEXT inflight=7, queue=2` or a probe's body in the same form or as JSON.
pub fn report_from_text(text: &str, site: &SiteSettings) -> Vec<f64> {
    if let Ok(json) = serde_json::from_str::<Value>(text) {
        return report(site, |name| json.get(name)?.as_f64());
    }
    let text = text.trim().strip_prefix("TEXT").unwrap_or(text);
    let pairs = || text.split([',', '\n']).filter_map(|p| p.split_once('='));
    let number = |v: &str| v.trim().parse::<f64>().ok();
    report(site, |name| pairs().find(|(n, _)| n.trim() == name).and_then(|(_, v)| number(v)))
}

#[cfg(test)]
mod tests;
