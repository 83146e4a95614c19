//! Encoding of messages, and the buffer of bytes to be written.

use super::{RequestLine, RETAINED_CAPACITY};
use std::fmt::Write;

/// Returns the reason phrase of a status that the scheduler sends, or `Error` for any other status.
pub fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        424 => "Failed Dependency",
        431 => "Request Header Fields Too Large",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Error",
    }
}

/// Encodes a response, with a `Content-Length` header and, unless `keep_alive` is set, `Connection: close`.
pub fn response(status: u16, headers: &[(&str, String)], body: &[u8], keep_alive: bool) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    for (name, value) in headers {
        // Writing to a string cannot fail.
        let _ = write!(text, "{name}: {value}\r\n");
    }
    let _ = write!(text, "Content-Length: {}\r\n", body.len());
    if !keep_alive {
        text.push_str("Connection: close\r\n");
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Encodes a request, with a `Content-Length` header unless it is a `GET` request without a body. Header
/// values are written unchanged.
pub fn request(line: &RequestLine, headers: &[(&str, &[u8])], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{} {} HTTP/1.1\r\n", line.method, line.target).into_bytes();
    for (name, value) in headers {
        bytes.extend([name.as_bytes(), b": ", value, b"\r\n"].concat());
    }
    if !body.is_empty() || line.method != "GET" {
        bytes.extend(format!("Content-Length: {}\r\n", body.len()).into_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// Bytes to be written to a connection.
#[derive(Default)]
pub struct WriteBuffer {
    bytes: Vec<u8>,
    /// Number of bytes already written.
    sent: usize,
}

impl WriteBuffer {
    /// Appends bytes.
    pub fn append(&mut self, bytes: &[u8]) {
        self.bytes.extend_from_slice(bytes);
    }

    /// Returns the bytes that are not written yet.
    pub fn unsent(&self) -> &[u8] {
        &self.bytes[self.sent..]
    }

    /// Records that `length` more bytes have been written.
    pub fn mark_sent(&mut self, length: usize) {
        self.sent += length;
        if self.sent >= self.bytes.len() {
            self.clear();
            self.bytes.shrink_to(RETAINED_CAPACITY);
        }
    }

    /// Returns the memory that the bytes take, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns whether some but not all of the bytes have been written.
    pub fn is_partly_sent(&self) -> bool {
        self.sent > 0
    }

    /// Discards the remaining bytes.
    pub fn clear(&mut self) {
        self.bytes.clear();
        self.sent = 0;
    }
}
