//! Encoding of the scheduler's own answers, and of forwarded bodies.

use crate::http;
use postusher_direct::Framing;

/// Status of a malformed request.
pub(super) const BAD_REQUEST: u16 = 400;
/// Status of a request that no pool serves.
pub(super) const NOT_FOUND: u16 = 404;
/// Status of a request that was not received completely in time.
pub(super) const REQUEST_TIMEOUT: u16 = 408;

/// The interim response to a client that waits for it before sending the body.
pub(super) const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Encodes an answer of the scheduler itself. `headers` consists of complete header lines, each with its line
/// end. Statuses that the scheduler does not use are replaced by 400.
pub(super) fn response(status: u16, headers: &str, body: &str, keep_alive: bool) -> Vec<u8> {
    let status = match status {
        200 | 404 | 408 | 431 | 501 | 502 | 503 | 504 => status,
        _ => BAD_REQUEST,
    };
    let reason = http::reason_phrase(status);
    let connection = if keep_alive { "" } else { "Connection: close\r\n" };
    let length = body.len();
    format!("HTTP/1.1 {status} {reason}\r\n{headers}{connection}Content-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}

/// Encodes a part of a body in the given framing.
pub(super) fn framed(framing: Framing, bytes: &[u8]) -> Vec<u8> {
    match framing {
        Framing::Chunked => [format!("{:x}\r\n", bytes.len()).as_bytes(), bytes, b"\r\n"].concat(),
        Framing::None | Framing::Length(_) | Framing::UntilClose => bytes.to_vec(),
    }
}
