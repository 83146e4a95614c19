//! The part of a client's request that is forwarded to a worker.

use crate::clock::Millis;
use crate::http::{self, Headers, RequestLine};
use crate::worker_protocol::{
    CLASS_HEADER, EXPIRY_HEADER, IDEMPOTENCY_KEY_HEADER, KEY_HEADER, PROPERTIES_HEADER, SIZE_HINT_HEADER,
    TRACE_ID_HEADER,
};

/// Conversion factor for the expiry header, which is sent to workers in microseconds.
const MICROS_PER_MILLI: f64 = 1e3;
/// Headers that are forwarded even if `Connection` lists them, because workers interpret them.
const ALWAYS_FORWARDED_HEADERS: [&str; 6] =
    [TRACE_ID_HEADER, CLASS_HEADER, KEY_HEADER, SIZE_HINT_HEADER, PROPERTIES_HEADER, IDEMPOTENCY_KEY_HEADER];
/// Hop-by-hop headers, `Expect`, which this scheduler handles itself, and headers that are generated for each
/// attempt.
const NEVER_FORWARDED_HEADERS: [&str; 11] = [
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

/// A client's request, from which the requests to workers are built. [`Payload::request`] omits the headers
/// that are not forwarded.
pub struct Payload {
    pub(super) line: RequestLine,
    pub(super) headers: Headers,
    pub(super) body: Vec<u8>,
}

impl Payload {
    /// Returns the size of the target, the headers and the body, in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self.headers.0.iter().map(|(name, value)| name.len() + value.len()).sum();
        self.line.target.len() + headers + self.body.len()
    }

    /// Returns the memory that the request takes, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.line.target.capacity() + self.headers.held_bytes() + self.body.capacity()
    }

    /// Returns the request to a worker, which has to answer within `time_left`.
    pub fn request(&self, time_left: Millis) -> Vec<u8> {
        let micros = (time_left.max(0.0) * MICROS_PER_MILLI) as u64;
        let expiry = format!("{micros}u");
        let mut headers: Vec<(&str, &[u8])> = Vec::new();
        for (name, value) in &self.headers.0 {
            if self.is_forwarded(name) {
                headers.push((name, value));
            }
        }
        headers.push((EXPIRY_HEADER, expiry.as_bytes()));
        http::request(&self.line, &headers, &self.body)
    }

    /// Returns whether a header of the client's request is forwarded to a worker. Headers that `Connection`
    /// lists are hop-by-hop and are meant for this scheduler.
    fn is_forwarded(&self, name: &str) -> bool {
        let is_in = |names: &[&str]| names.iter().any(|listed| listed.eq_ignore_ascii_case(name));
        if is_in(&NEVER_FORWARDED_HEADERS) {
            return false;
        }
        is_in(&ALWAYS_FORWARDED_HEADERS) || !self.headers.contains_token("connection", name)
    }
}
