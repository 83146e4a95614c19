//! Encodes message heads for the next hop: request heads for workers and response heads for clients.

use super::head::{Framing, Head, StartLine};

/// The last chunk and the empty trailer section, which end a chunked body (RFC 9112, 7.1).
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// Encodes the head of a request to a worker, with `target` as its request target.
pub fn encode_request_head(head: &Head, target: &str) -> Vec<u8> {
    let mut bytes = format!("{} {target} HTTP/1.1\r\n", head.method()).into_bytes();
    put_end_to_end_headers(&mut bytes, head);
    put_framing(&mut bytes, head.framing);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Properties of the downstream connection and its request that determine the head of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseConnection {
    /// Whether the client uses HTTP/1.1 rather than HTTP/1.0.
    pub client_is_http_1_1: bool,
    /// Whether the request method was `HEAD`.
    pub is_head_request: bool,
    /// Whether to keep the connection open, provided that the framing of the body allows it.
    pub keep_alive: bool,
}

/// The encoded head of a response to a client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The encoded head.
    pub bytes: Vec<u8>,
    /// The framing to use for the body.
    pub framing: Framing,
    /// Whether the connection stays open after the response.
    pub keep_alive: bool,
}

impl ResponseHead {
    /// Rewrites the head of a worker's response for a client. The result is empty if `head` is the head of a
    /// request.
    pub fn new(head: &Head, connection: ResponseConnection) -> ResponseHead {
        let StartLine::Status { status, reason } = &head.start_line else {
            return ResponseHead { bytes: Vec::new(), framing: Framing::None, keep_alive: false };
        };
        let framing = client_framing(head.framing, connection.client_is_http_1_1);
        let keep_alive = connection.keep_alive && framing != Framing::UntilClose;
        let mut bytes = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
        put_end_to_end_headers(&mut bytes, head);
        // In a response to HEAD and in a 304, Content-Length describes a body that is not sent, so it is
        // forwarded as it is.
        if framing == Framing::None && (connection.is_head_request || *status == 304) {
            for length in head.values("Content-Length") {
                bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
            }
        } else {
            put_framing(&mut bytes, framing);
        }
        if !keep_alive {
            bytes.extend_from_slice(b"Connection: close\r\n");
        } else if !connection.client_is_http_1_1 {
            bytes.extend_from_slice(b"Connection: keep-alive\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        ResponseHead { bytes, framing, keep_alive }
    }
}

/// Returns the framing of a body for a client. A body of unknown length is chunked; for a client with
/// HTTP/1.0, which has no chunked coding, it ends when the connection is closed.
fn client_framing(framing: Framing, client_is_http_1_1: bool) -> Framing {
    match framing {
        Framing::Chunked | Framing::UntilClose if client_is_http_1_1 => Framing::Chunked,
        Framing::Chunked | Framing::UntilClose => Framing::UntilClose,
        Framing::None | Framing::Length(_) => framing,
    }
}

fn put_end_to_end_headers(bytes: &mut Vec<u8>, head: &Head) {
    for (name, value) in head.end_to_end_headers() {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\n");
    }
}

fn put_framing(bytes: &mut Vec<u8>, framing: Framing) {
    match framing {
        Framing::Length(length) => {
            bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        Framing::Chunked => bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        Framing::None | Framing::UntilClose => {}
    }
}
