//! Parsing of client and worker requests into protocol-independent jobs. A second protocol would need another
//! parser beside [`read`] that returns the same [`Job`], so that the same decisions and rules apply to its
//! jobs.

use crate::clock::Millis;
use crate::header_values::{is_trace_id, parse_duration, MICROSECOND};
use crate::http::{Headers, Message, RequestLine};
use crate::stable_hash::fnv1a;
use crate::start_conditions::StartConditions;
use crate::worker_protocol::{
    CLASS_HEADER, CUSTOMER_HEADER, EXPIRY_HEADER, IDEMPOTENCY_KEY_HEADER, JOB_STATUS_PATH, KEY_HEADER,
    PROPERTIES_HEADER, READINESS_PATH, SIZE_HINT_HEADER, SLOTS_PROPERTY, TRACE_ID_HEADER,
};
use postusher_decision::{Idempotency, Micros, MAX_SLOTS};
use postusher_settings::{micros_from_millis, NamedClass, SiteSettings};

mod error;
mod payload;

pub use error::IntakeError;
pub use payload::Payload;

/// Number that stands for every customer that the settings do not name; their jobs are accepted without a
/// quota.
pub const UNKNOWN_CUSTOMER: u16 = u16::MAX;

/// A job as submitted by a client.
pub struct Job {
    /// The trace id, which the client assigns.
    pub trace_id: String,
    /// Number of the class in the settings.
    pub class: u16,
    /// Number of the customer; [`UNKNOWN_CUSTOMER`] if the request names none or one that is not in the
    /// settings.
    pub customer: u16,
    /// The key: the number of the object that the job concerns; 0 if the request has none.
    pub key: u64,
    /// The client's estimate of the running time.
    pub size_hint: Option<Micros>,
    /// Number of slots that the job takes.
    pub slots: u32,
    /// Time from the arrival to the deadline.
    pub time_to_deadline: Millis,
    /// Conditions for the start; empty if the request has none or jobs cannot be deferred.
    pub start_conditions: StartConditions,
    /// The request to be sent to a worker.
    pub payload: Payload,
}

/// A request of a client or a worker.
pub enum IncomingRequest {
    /// A readiness check: asks whether the scheduler accepts jobs.
    Readiness,
    /// The body of a job status update of a worker.
    JobStatus(Vec<u8>),
    /// A job.
    Job(Box<Job>),
    /// A request that is not accepted and is answered with this HTTP status.
    Invalid(u16),
}

/// Parses a request of a client or a worker. `deferral_enabled` states whether jobs can be deferred; if
/// not, the headers with start conditions are not interpreted and are forwarded to the worker.
pub fn read(message: Message<RequestLine>, site: &SiteSettings, deferral_enabled: bool) -> IncomingRequest {
    let method = message.line.method.as_str();
    let error = match message.line.path() {
        READINESS_PATH if method == "GET" => return IncomingRequest::Readiness,
        JOB_STATUS_PATH if method == "POST" => return IncomingRequest::JobStatus(message.body),
        READINESS_PATH | JOB_STATUS_PATH => IntakeError::MethodNotAllowed,
        _ => match read_job(message, site, deferral_enabled) {
            Ok(job) => return IncomingRequest::Job(Box::new(job)),
            Err(error) => error,
        },
    };
    IncomingRequest::Invalid(error.status())
}

/// Parses a job. `Host` and the headers that are interpreted here must be text and must not be repeated;
/// otherwise a worker could reject the job or confuse it with another one. Of these headers, only `Expect`
/// and `X-Start-After` may be repeated.
fn read_job(
    message: Message<RequestLine>,
    site: &SiteSettings,
    deferral_enabled: bool,
) -> Result<Job, IntakeError> {
    let Message { line, mut headers, body, .. } = message;
    let class = class_number(&line, &headers, site)?;
    if line.method != "POST" {
        return Err(IntakeError::MethodNotAllowed);
    }
    let trace_id = trace_id(&headers)?;
    let time_to_deadline = time_to_deadline(&headers, &site.classes[class])?;
    let size_hint = size_hint(&headers)?;
    let slots = slots(&headers)?;
    check_idempotency_key(&headers, &site.settings.classes[class].idempotency)?;
    headers.single("Host")?;
    check_expectation(&headers)?;
    let key = key(&headers)?;
    let customer = customer_number(&headers, site)?;
    let start_conditions = if deferral_enabled {
        StartConditions::take(&mut headers).ok_or(IntakeError::InvalidStartCondition)?
    } else {
        StartConditions::default()
    };
    Ok(Job {
        trace_id,
        class: class as u16,
        customer,
        key,
        size_hint,
        slots,
        time_to_deadline,
        start_conditions,
        payload: Payload { line, headers, body },
    })
}

/// Returns the number of the class that the first path segment names.
fn class_number(line: &RequestLine, headers: &Headers, site: &SiteSettings) -> Result<usize, IntakeError> {
    let number_of = |name: &str| site.classes.iter().position(|class| class.name == name);
    let segments = line.path().strip_prefix('/').ok_or(IntakeError::MalformedPath)?;
    let name = segments.split('/').next().unwrap_or("");
    let class = number_of(name).ok_or(IntakeError::UnknownClass)?;
    match headers.single(CLASS_HEADER)? {
        Some(header_name) if header_name != name => match number_of(header_name) {
            Some(_) => Err(IntakeError::ContradictoryClass),
            None => Err(IntakeError::UnknownClass),
        },
        _ => Ok(class),
    }
}

fn trace_id(headers: &Headers) -> Result<String, IntakeError> {
    match headers.single(TRACE_ID_HEADER)? {
        Some(id) if is_trace_id(id) => Ok(id.to_string()),
        _ => Err(IntakeError::InvalidTraceId),
    }
}

/// Returns the time within which the client has to be answered; defaults to the longest wait of the class.
fn time_to_deadline(headers: &Headers, class: &NamedClass) -> Result<Millis, IntakeError> {
    match headers.single(EXPIRY_HEADER)? {
        Some(text) => parse_duration(text, None).ok_or(IntakeError::InvalidExpiry),
        None => Ok(class.max_wait_ms),
    }
}

fn size_hint(headers: &Headers) -> Result<Option<Micros>, IntakeError> {
    let Some(text) = headers.single(SIZE_HINT_HEADER)? else { return Ok(None) };
    let estimate = parse_duration(text, Some(MICROSECOND)).ok_or(IntakeError::InvalidSizeHint)?;
    Ok(Some(micros_from_millis(estimate)))
}

/// Returns the number of slots that a job takes; defaults to 1.
fn slots(headers: &Headers) -> Result<u32, IntakeError> {
    let properties = headers.single(PROPERTIES_HEADER)?.unwrap_or("");
    let mut slots = None;
    for property in properties.split(',').filter(|property| !property.trim().is_empty()) {
        let (name, value) = property.split_once('=').ok_or(IntakeError::InvalidProperties)?;
        let value: f64 = value.trim().parse().map_err(|_| IntakeError::InvalidProperties)?;
        if !value.is_finite() || value < 0.0 {
            return Err(IntakeError::InvalidProperties);
        }
        if name.trim() == SLOTS_PROPERTY {
            let is_valid = value.fract() == 0.0 && (1.0..=f64::from(MAX_SLOTS)).contains(&value);
            if !is_valid || slots.is_some() {
                return Err(IntakeError::InvalidProperties);
            }
            slots = Some(value as u32);
        }
    }
    Ok(slots.unwrap_or(1))
}

fn check_idempotency_key(headers: &Headers, idempotency: &Idempotency) -> Result<(), IntakeError> {
    let key = headers.single(IDEMPOTENCY_KEY_HEADER)?.unwrap_or("");
    if key.is_empty() && matches!(idempotency, Idempotency::ByKey { .. }) {
        return Err(IntakeError::MissingIdempotencyKey);
    }
    Ok(())
}

fn check_expectation(headers: &Headers) -> Result<(), IntakeError> {
    for expectation in headers.all("Expect") {
        if !expectation.eq_ignore_ascii_case(b"100-continue") {
            return Err(IntakeError::UnsupportedExpectation);
        }
    }
    Ok(())
}

/// Returns the number of the object that a job concerns: the value of the header if it is a hexadecimal
/// number of at most 64 bits, or else the hash of its text.
fn key(headers: &Headers) -> Result<u64, IntakeError> {
    let Some(text) = headers.single(KEY_HEADER)? else { return Ok(0) };
    Ok(u64::from_str_radix(text, 16).unwrap_or_else(|_| fnv1a(text.as_bytes())))
}

fn customer_number(headers: &Headers, site: &SiteSettings) -> Result<u16, IntakeError> {
    // Without customers in the settings the header is not interpreted.
    if site.customers.is_empty() {
        return Ok(UNKNOWN_CUSTOMER);
    }
    let Some(name) = headers.single(CUSTOMER_HEADER)? else { return Ok(UNKNOWN_CUSTOMER) };
    let number = site.customers.iter().position(|customer| customer == name);
    Ok(number.map_or(UNKNOWN_CUSTOMER, |number| number as u16))
}

#[cfg(test)]
pub mod tests;
