//! Parsing of workers' load reports: from the body of a job status update, from a header of a response, or
//! from the body of a health check.
//!
//! A report is returned as its values in the order of the settings, with NaN for missing ones; it is empty if
//! the text contains none of them. A report with a value that no worker can have is refused as a whole.

use postusher_settings::SiteSettings;
use serde_json::value::RawValue;
use std::collections::HashMap;
use thiserror::Error;

/// Reason why a load report is refused.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("{field} is {value}, expected at most {maximum}")]
pub struct ReportError {
    field: String,
    value: f64,
    maximum: f64,
}

/// Parses a load report in the form `TEXT inflight=7, queue=2`, without `TEXT`, or as a JSON object.
///
/// # Errors
/// A value is larger than a worker can have.
pub fn from_text(text: &str, site: &SiteSettings) -> Result<Vec<f64>, ReportError> {
    if let Some(fields) = json_fields(text) {
        return from_fields(site, |name| json_number(fields.get(name)?));
    }
    let text = text.trim().strip_prefix("TEXT").unwrap_or(text);
    from_fields(site, |name| value_in_text(text, name))
}

/// Parses a load report as a JSON object; any other JSON text contains no values.
///
/// # Errors
/// A value is larger than a worker can have.
pub fn from_json(text: &str, site: &SiteSettings) -> Result<Vec<f64>, ReportError> {
    let fields = json_fields(text).unwrap_or_default();
    from_fields(site, |name| json_number(fields.get(name)?))
}

/// Returns the fields of a JSON object without parsing their values: one that cannot be represented must not
/// make the others unreadable.
fn json_fields(text: &str) -> Option<HashMap<String, &RawValue>> {
    serde_json::from_str(text).ok()
}

/// Returns the value of a JSON number, which is infinite if the number is too large for the type; `None` for
/// any other JSON value.
fn json_number(raw: &&RawValue) -> Option<f64> {
    raw.get().parse().ok()
}

/// Returns the value of the first `name=value` pair with this name; `None` if it is not a number.
fn value_in_text(text: &str, name: &str) -> Option<f64> {
    for pair in text.split([',', '\n']) {
        if let Some((key, value)) = pair.split_once('=') {
            if key.trim() == name {
                return value.trim().parse().ok();
            }
        }
    }
    None
}

/// Returns a load report in the order of the settings. `value` returns the value with a name in the settings
/// or on the wire.
fn from_fields(site: &SiteSettings, value: impl Fn(&str) -> Option<f64>) -> Result<Vec<f64>, ReportError> {
    let mut values = Vec::new();
    let mut is_empty = true;
    for name in &site.report_fields {
        let value = value(name).or_else(|| value(wire_name(name)));
        is_empty &= value.is_none();
        values.push(value.unwrap_or(f64::NAN));
    }
    if is_empty {
        return Ok(Vec::new());
    }
    match site.settings.check_report(&values) {
        Ok(()) => Ok(values),
        Err(invalid) => {
            let field = site.report_fields.get(invalid.position).cloned().unwrap_or_default();
            Err(ReportError { field, value: invalid.value, maximum: invalid.maximum })
        }
    }
}

/// Returns the name that workers use on the wire for a value of a load report; the settings use the names of
/// the simulator.
fn wire_name(name: &str) -> &str {
    match name {
        "tps" => "qps",
        "concurrent" => "inflight",
        "depth" => "queue",
        "load_share" => "util",
        "mean_ms" => "latency_ms",
        "err_ps" => "eps",
        name => name,
    }
}

#[cfg(test)]
mod tests;
