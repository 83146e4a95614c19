//! Reads the requests of clients and workers into jobs that are neutral to their protocol. A second protocol would get
//! a reader beside [`read`] that makes the same [`Job`], and so come under the same decisions and rules.

use crate::clock::Millis;
use crate::deferral::StartConditions;
use crate::header_values::MICROSECOND;
use crate::http::{self, Fault, Headers, Message, RequestLine};
use crate::stable_hash::fnv1a;
use crate::worker_protocol::{
    CLASS_HEADER, CUSTOMER_HEADER, EXPIRY_HEADER, IDEMPOTENCY_KEY_HEADER, JOB_STATUS_PATH, KEY_HEADER,
    PROPERTIES_HEADER, READINESS_PATH, SIZE_HINT_HEADER, SLOTS_PROPERTY, TRACE_ID_HEADER,
};
use postusher_decision::{Idempotency, Micros};
use postusher_settings::{micros_from_millis, NamedClass, SiteSettings};
use thiserror::Error;

pub use crate::header_values::{duration as millis, is_trace_id as is_id};

/// The number of a customer that the settings do not have: its jobs are accepted, without a quota.
pub const UNKNOWN_CUSTOMER: u16 = u16::MAX;
/// The most slots that a job can take; no machine has more.
const MAX_SLOTS: u16 = 1024;
/// Headers that a worker gets even where `Connection` names them, as it acts on them.
const ALWAYS_PASSED_HEADERS: [&str; 6] =
    [TRACE_ID_HEADER, CLASS_HEADER, KEY_HEADER, SIZE_HINT_HEADER, PROPERTIES_HEADER, IDEMPOTENCY_KEY_HEADER];
/// Headers that concern one connection, and those that are written anew for each attempt.
const NEVER_PASSED_HEADERS: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    EXPIRY_HEADER,
];

/// What a scheduler has to know about a job.
pub struct Job {
    /// The client's id for it.
    pub trace_id: String,
    /// Number of its class.
    pub class: u16,
    /// Number of its customer; [`UNKNOWN_CUSTOMER`] if it names none, or one that the settings do not have.
    pub customer: u16,
    /// The object that it concerns; 0 where it has none.
    pub key: u64,
    /// The client's estimate of its running time.
    pub size_hint: Option<Micros>,
    /// Slots that it takes.
    pub slots: u32,
    /// The time from its arrival to its deadline.
    pub wait: Millis,
    /// What it waits for before it starts; empty where jobs cannot be deferred.
    pub waits: StartConditions,
    /// What a worker is sent.
    pub payload: Payload,
}

/// The part of a client's request that is meant for the worker.
pub struct Payload {
    line: RequestLine,
    headers: Headers,
    body: Vec<u8>,
}

/// What a client or a worker requests.
pub enum IncomingRequest {
    /// Whether the scheduler takes jobs.
    Readiness,
    /// A worker sends this job status update.
    JobStatus(Vec<u8>),
    /// A job.
    Job(Box<Job>),
    /// The request is not accepted and gets this status.
    Invalid(u16),
}

/// Why a request is not accepted.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum IntakeError {
    /// The path does not begin with a slash.
    #[error("the path does not begin with a slash")]
    MalformedPath,
    /// The path or a header names a class that the settings do not have.
    #[error("there is no such class")]
    UnknownClass,
    /// The path and a header name different classes.
    #[error("the path and the header name different classes")]
    ContradictoryClass,
    /// The path takes other methods.
    #[error("the path does not take this method")]
    MethodNotAllowed,
    /// A header that must stand once stands twice, or is not text.
    #[error("a header stands twice or is not text")]
    MalformedHeader(Fault),
    /// The trace id is missing, or cannot stand in a path.
    #[error("the trace id is missing or malformed")]
    InvalidTraceId,
    /// The time for the answer is not a duration with a unit.
    #[error("the expiry is no duration with a unit")]
    InvalidExpiry,
    /// The estimate of the running time is not a duration.
    #[error("the size hint is no duration")]
    InvalidSizeHint,
    /// A property has no value, or one that is not allowed.
    #[error("a property has no value, or one that is not allowed")]
    InvalidProperties,
    /// The class requires an idempotency key.
    #[error("the class requires an idempotency key")]
    MissingIdempotencyKey,
    /// The client expects something that HTTP does not have.
    #[error("the expectation is not known")]
    UnsupportedExpectation,
    /// A condition for the start cannot be read.
    #[error("a condition for the start cannot be read")]
    InvalidStartCondition,
}

impl From<Fault> for IntakeError {
    fn from(fault: Fault) -> IntakeError {
        IntakeError::MalformedHeader(fault)
    }
}

impl IntakeError {
    /// The HTTP status that says so.
    pub fn status(self) -> u16 {
        match self {
            IntakeError::UnknownClass => 404,
            IntakeError::MethodNotAllowed => 405,
            IntakeError::UnsupportedExpectation => 417,
            IntakeError::MalformedHeader(fault) => fault.0,
            IntakeError::MalformedPath
            | IntakeError::ContradictoryClass
            | IntakeError::InvalidTraceId
            | IntakeError::InvalidExpiry
            | IntakeError::InvalidSizeHint
            | IntakeError::InvalidProperties
            | IntakeError::MissingIdempotencyKey
            | IntakeError::InvalidStartCondition => 400,
        }
    }
}

/// Reads a request of a client or a worker. `deferral_enabled`: jobs can be deferred; where they cannot, the headers for
/// that have no meaning here and are passed on.
pub fn read(message: Message<RequestLine>, site: &SiteSettings, deferral_enabled: bool) -> IncomingRequest {
    let method = message.line.method.as_str();
    let error = match path(&message.line) {
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

/// The path of a request, without its query.
fn path(line: &RequestLine) -> &str {
    line.target.split('?').next().unwrap_or("")
}

/// Reads a job. All headers that this scheduler or a worker acts on must stand there once and be readable, as a worker
/// would otherwise reject the job or take it for another.
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
    let wait = time_to_deadline(&headers, &site.classes[class])?;
    let size_hint = size_hint(&headers)?;
    let slots = slots(&headers)?;
    check_idempotency_key(&headers, &site.settings.classes[class].idempotency)?;
    headers.single("Host")?;
    check_expectation(&headers)?;
    let key = key(&headers)?;
    let customer = customer_number(&headers, site)?;
    let waits = if deferral_enabled {
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
        wait,
        waits,
        payload: Payload { line, headers, body },
    })
}

/// The number of the class that the first segment of the path names.
fn class_number(line: &RequestLine, headers: &Headers, site: &SiteSettings) -> Result<usize, IntakeError> {
    let find = |name: &str| site.classes.iter().position(|class| class.name == name);
    let segments = path(line).strip_prefix('/').ok_or(IntakeError::MalformedPath)?;
    let name = segments.split('/').next().unwrap_or("");
    let class = find(name).ok_or(IntakeError::UnknownClass)?;
    match headers.single(CLASS_HEADER)? {
        Some(other) if other != name => match find(other) {
            Some(_) => Err(IntakeError::ContradictoryClass),
            None => Err(IntakeError::UnknownClass),
        },
        _ => Ok(class),
    }
}

fn trace_id(headers: &Headers) -> Result<String, IntakeError> {
    match headers.single(TRACE_ID_HEADER)? {
        Some(id) if is_id(id) => Ok(id.to_string()),
        _ => Err(IntakeError::InvalidTraceId),
    }
}

/// The time within which the client wants its answer; the class's longest, if it does not say.
fn time_to_deadline(headers: &Headers, class: &NamedClass) -> Result<Millis, IntakeError> {
    match headers.single(EXPIRY_HEADER)? {
        Some(text) => millis(text, None).ok_or(IntakeError::InvalidExpiry),
        None => Ok(class.max_wait_ms),
    }
}

fn size_hint(headers: &Headers) -> Result<Option<Micros>, IntakeError> {
    let Some(text) = headers.single(SIZE_HINT_HEADER)? else { return Ok(None) };
    let estimate = millis(text, Some(MICROSECOND)).ok_or(IntakeError::InvalidSizeHint)?;
    Ok(Some(micros_from_millis(estimate)))
}

/// The slots that a job takes; 1 if it does not say.
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
            let is_slots = value.fract() == 0.0 && (1.0..=f64::from(MAX_SLOTS)).contains(&value);
            if !is_slots || slots.is_some() {
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

/// The object that a job concerns as a number: a hexadecimal one as it is, any other text by its hash.
fn key(headers: &Headers) -> Result<u64, IntakeError> {
    let Some(text) = headers.single(KEY_HEADER)? else { return Ok(0) };
    Ok(u64::from_str_radix(text, 16).unwrap_or_else(|_| fnv1a(text.as_bytes())))
}

fn customer_number(headers: &Headers, site: &SiteSettings) -> Result<u16, IntakeError> {
    // Without customers in the settings the header has no meaning here.
    if site.customers.is_empty() {
        return Ok(UNKNOWN_CUSTOMER);
    }
    let Some(name) = headers.single(CUSTOMER_HEADER)? else { return Ok(UNKNOWN_CUSTOMER) };
    let number = site.customers.iter().position(|customer| customer == name);
    Ok(number.map_or(UNKNOWN_CUSTOMER, |number| number as u16))
}

impl Payload {
    /// The memory that it takes, in bytes, as far as it grows with the request.
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.0.iter().map(|(name, value)| name.len() + value.len()).sum();
        self.line.target.len() + headers + self.body.len()
    }

    /// The request for a worker whose answer is wanted within this time.
    pub fn request(&self, time_left: Millis) -> Vec<u8> {
        let micros = (time_left.max(0.0) * 1e3) as u64;
        let expiry = format!("{micros}u");
        let mut headers: Vec<(&str, &[u8])> = Vec::new();
        for (name, value) in &self.headers.0 {
            if self.is_passed(name) {
                headers.push((name, value));
            }
        }
        headers.push((EXPIRY_HEADER, expiry.as_bytes()));
        http::request(&self.line, &headers, &self.body)
    }

    /// Whether a worker gets a header of the client's request. Those that `Connection` names are for this scheduler.
    fn is_passed(&self, name: &str) -> bool {
        let is_in = |names: &[&str]| names.iter().any(|other| other.eq_ignore_ascii_case(name));
        if is_in(&NEVER_PASSED_HEADERS) {
            return false;
        }
        is_in(&ALWAYS_PASSED_HEADERS) || !self.headers.names("connection", name)
    }
}

#[cfg(test)]
pub mod tests;
