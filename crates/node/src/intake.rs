//! From a message of a client's protocol to a job that is neutral to it. A second protocol gets a reader of
//! its own beside [`read`], makes the same [`Job`], and so comes under the same decisions and rules.

use crate::clock::Millis;
use crate::deferral::StartConditions;
use crate::http::{self, Headers, Message, RequestLine};
use postusher_decision::{Idempotency, Micros};
use postusher_settings::SiteSettings;

/// What a scheduler has to know of a job.
pub struct Job {
    /// The client's id for it.
    pub trace_id: String,
    /// Its class, by number.
    pub class: u16,
    /// Whose it is, by number; [`NOBODY`] where it does not say, or the settings don't name that customer.
    pub customer: u16,
    /// What it concerns; 0 where it has no key.
    pub key: u64,
    /// A guess at its running time.
    pub size_hint: Option<Micros>,
    /// Slots that it takes.
    pub slots: u32,
    /// For how long the client waits, from when it sent the job.
    pub wait: Millis,
    /// What it waits for before it starts, where jobs may wait.
    pub waits: StartConditions,
    /// What a worker is sent.
    pub payload: Payload,
}

/// What a worker is sent of a job: all of the client's message that is meant for it.
pub struct Payload {
    line: RequestLine,
    headers: Headers,
    body: Vec<u8>,
}

/// What a message asks for.
pub enum IncomingRequest {
    /// Whether the scheduler takes jobs.
    Readiness,
    /// Nothing: it brings a worker's news, in this body.
    JobStatus(Vec<u8>),
    /// A job.
    Job(Box<Job>),
    /// Nothing that can be read or is there: the status to answer.
    Invalid(u16),
}

/// Where workers tell what becomes of jobs.
const NEWS: &str = "/_jobs/news";
const UP: &str = "/up";
/// The number of a customer that the settings don't have: its jobs are taken, with a share of none.
pub const NOBODY: u16 = u16::MAX;
/// The header with a client's id for its job.
const TRACE: &str = "X-Trace-Id";
/// No machine has more slots than this.
const MOST_SLOTS: u16 = 1024;
/// Headers by which a worker goes, too.
const OWN: [&str; 6] = [TRACE, "X-Qos", "X-Object", "X-Size-Hint", "X-Props", "Idempotency-Key"];
const EXPIRES: &str = "X-Expires-In";
/// Headers that concern one connection, and those written anew for each attempt.
const NOT_PASSED: [&str; 11] = [
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
    EXPIRES,
];

/// Reads what a client or a worker wants. `waiting`: jobs may say that they wait; else what says so means nothing and
/// is passed on.
pub fn read(message: Message<RequestLine>, site: &SiteSettings, waiting: bool) -> IncomingRequest {
    let path = message.line.target.split('?').next().unwrap_or("");
    let post = message.line.method == "POST";
    match path {
        UP if message.line.method == "GET" => IncomingRequest::Readiness,
        NEWS if post => IncomingRequest::JobStatus(message.body),
        UP | NEWS => IncomingRequest::Invalid(405),
        _ => job(message, site, waiting)
            .map_or_else(IncomingRequest::Invalid, |job| IncomingRequest::Job(Box::new(job))),
    }
}

fn job(message: Message<RequestLine>, site: &SiteSettings, waiting: bool) -> Result<Job, u16> {
    let Message { line, mut headers, body, .. } = message;
    let path = line.target.split('?').next().unwrap_or("");
    let first = path.strip_prefix('/').and_then(|p| p.split('/').next()).ok_or(400u16)?;
    // Guards against: what a worker would refuse or take for something else. All that the scheduler or a worker
    // goes by must be there once and be readable, or the job goes nowhere.
    let single = |name: &str| headers.single(name).map_err(|fault| fault.0);
    let class = site.classes.iter().position(|c| c.name == first).ok_or(404u16)?;
    if let Some(other) = single("X-Qos")?.filter(|name| *name != first) {
        let known = site.classes.iter().any(|c| c.name == other);
        return Err(if known { 400 } else { 404 });
    }
    if line.method != "POST" {
        return Err(405);
    }
    let trace_id = single(TRACE)?.filter(|id| is_id(id)).ok_or(400u16)?.to_string();
    let wait = match single(EXPIRES)? {
        Some(text) => millis(text, None).ok_or(400u16)?,
        None => site.classes[class].max_wait_ms,
    };
    let size_hint = single("X-Size-Hint")?.map(|text| millis(text, Some(1e-3)).ok_or(400u16)).transpose()?;
    let slots = single("X-Props")?.map(|text| props(text).ok_or(400u16)).transpose()?.flatten();
    let keyed = matches!(site.settings.classes[class].idempotency, Idempotency::ByKey { .. });
    if single("Idempotency-Key")?.is_none_or(str::is_empty) && keyed || single("Host").is_err() {
        return Err(400);
    }
    if headers.all("Expect").any(|v| !v.eq_ignore_ascii_case(b"100-continue")) {
        return Err(417);
    }
    let (slots, key) = (slots.unwrap_or(1), single("X-Object")?.map_or(0, key));
    let named = if site.customers.is_empty() { None } else { single("X-Customer")? };
    let customer = named.and_then(|name| site.customers.iter().position(|c| c == name));
    let waits =
        if waiting { StartConditions::take(&mut headers).ok_or(400u16)? } else { StartConditions::default() };
    Ok(Job {
        trace_id,
        class: class as u16,
        customer: customer.map_or(NOBODY, |n| n as u16),
        key,
        size_hint: size_hint.map(postusher_settings::micros_from_millis),
        slots,
        wait,
        waits,
        payload: Payload { line, headers, body },
    })
}

/// Whether an id can stand in a path as it is. Guards against: an id that makes another request of a withdrawal.
pub fn is_id(id: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.' | b'~' | b':');
    (1..=128).contains(&id.len()) && id.bytes().all(plain)
}

/// A length of time with its unit, `m` for milliseconds or `u` for microseconds, or in the usual unit where there
/// is one.
pub fn millis(text: &str, usual: Option<Millis>) -> Option<Millis> {
    let (number, unit) = match text.as_bytes().last()? {
        b'm' => (&text[..text.len() - 1], 1.0),
        b'u' => (&text[..text.len() - 1], 1e-3),
        _ => (text, usual?),
    };
    let time = number.parse::<f64>().ok()? * unit;
    // A day is longer than anyone waits.
    (0.0..=86_400_000.0).contains(&time).then_some(time)
}

/// The slots of `name=value,name=value`, if they are there; `None` where any of it cannot be meant.
fn props(text: &str) -> Option<Option<u32>> {
    let mut slots = None;
    for prop in text.split(',').filter(|p| !p.trim().is_empty()) {
        let (name, value) = prop.split_once('=')?;
        let value = value.trim().parse::<f64>().ok().filter(|v| v.is_finite() && *v >= 0.0)?;
        if name.trim() == "slots" {
            let whole = value >= 1.0 && value <= f64::from(MOST_SLOTS) && value.fract() == 0.0;
            let first = slots.replace(value as u32).is_none();
            (whole && first).then_some(())?;
        }
    }
    Some(slots)
}

/// A key as a number, the same at every scheduler: what is no hexadecimal number is hashed (FNV-1a).
fn key(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| fnv(text.as_bytes()))
}

/// A hash that is the same in every process.
pub fn fnv(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3))
}

impl Payload {
    /// The memory that it takes, as far as it grows with the message.
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.0.iter().map(|(name, value)| name.len() + value.len()).sum();
        self.line.target.len() + headers + self.body.len()
    }

    /// The message for a worker that is waited for so long.
    pub fn request(&self, left: Millis) -> Vec<u8> {
        let left = format!("{}u", (left.max(0.0) * 1e3) as u64);
        // What `Connection` names besides is between the client and this scheduler.
        let own = |name: &str| OWN.iter().any(|n| n.eq_ignore_ascii_case(name));
        let hop = |name: &str| !own(name) && self.headers.names("connection", name);
        let passed = |name: &str| !NOT_PASSED.iter().any(|n| n.eq_ignore_ascii_case(name)) && !hop(name);
        let own = self.headers.0.iter().filter(|(n, _)| passed(n)).map(|(n, v)| (n.as_str(), v.as_slice()));
        let headers: Vec<_> = own.chain([(EXPIRES, left.as_bytes())]).collect();
        http::request(&self.line, &headers, &self.body)
    }
}

#[cfg(test)]
pub mod tests;
