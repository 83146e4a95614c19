//! A minimal, strict HTTP/1.1 implementation for the mock components. The length of a body is given by
//! `Content-Length` only, and there is no pipelining.

use std::io::{Error, ErrorKind, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum length of the body of a message, and of an incomplete message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;
/// Maximum number of headers of a message.
const MAX_HEADERS: usize = 64;

/// A received message.
#[derive(Debug, Default)]
pub struct Message {
    /// The start line.
    pub line: StartLine,
    /// The headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

/// The start line of a message.
#[derive(Debug, Default, PartialEq)]
pub enum StartLine {
    /// Not read yet.
    #[default]
    None,
    /// The method and the target of a request.
    Request(String, String),
    /// The status of a response.
    Status(u16),
}

impl Message {
    /// Returns the value of the first header with a name, without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(other, _)| other.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        if let StartLine::Status(status) = self.line {
            status
        } else {
            0
        }
    }

    /// Returns whether the sender closes the connection after the message.
    pub fn closes(&self) -> bool {
        self.header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A connection with its read buffer.
pub struct Connection {
    stream: TcpStream,
    buffer: Vec<u8>,
}

fn invalid_data(reason: &str) -> Error {
    Error::new(ErrorKind::InvalidData, reason)
}

impl Connection {
    /// Wraps an open connection.
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true); // on failure, messages may be delayed
        Connection { stream, buffer: Vec::new() }
    }

    /// Sends bytes.
    ///
    /// # Errors
    /// Returns an error if the connection has failed.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the next message. Returns `None` if the connection ends between messages.
    ///
    /// # Errors
    /// Returns an error if the connection fails or the received bytes are not a valid message.
    pub async fn message(&mut self) -> Result<Option<Message>> {
        loop {
            if let Some(message) = self.parse()? {
                // `100 Continue` is not the final response.
                if message.line != StartLine::Status(100) {
                    return Ok(Some(message));
                }
                continue;
            }
            if self.buffer.len() > MAX_MESSAGE_BYTES {
                let length = self.buffer.len();
                return Err(invalid_data(&format!("message incomplete after {length} bytes")));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Returns the number of bytes that have arrived after the last message.
    pub fn unexpected_bytes(&mut self) -> usize {
        let mut received = [0; 4096];
        while let Ok(n) = self.stream.try_read(&mut received) {
            if n == 0 {
                break;
            }
            self.buffer.extend_from_slice(&received[..n]);
        }
        self.buffer.len()
    }

    /// Waits until the remote end closes the connection or sends more bytes. Returns whether the connection
    /// is closed or has failed.
    pub async fn wait_until_closed(&mut self) -> bool {
        let mut byte = [0];
        matches!(self.stream.peek(&mut byte).await, Ok(0) | Err(_))
    }

    /// Removes the message at the start of the buffer and returns it. Returns `None` until it has arrived
    /// completely.
    fn parse(&mut self) -> Result<Option<Message>> {
        let Some(RawHead { line, headers, head_length }) = parse_head(&self.buffer)? else { return Ok(None) };
        let length = content_length(&headers)?;
        if length > MAX_MESSAGE_BYTES {
            return Err(invalid_data(&format!("body of {length} bytes exceeds {MAX_MESSAGE_BYTES} bytes")));
        }
        let end = head_length + length;
        if self.buffer.len() < end {
            return Ok(None);
        }
        let body = self.buffer[head_length..end].to_vec();
        self.buffer.drain(..end);
        Ok(Some(Message { line, headers, body }))
    }
}

/// The parsed start line and headers of a message, and their length in bytes.
struct RawHead {
    line: StartLine,
    headers: Vec<(String, String)>,
    head_length: usize,
}

/// Parses the start line and the headers. Returns `None` until they have arrived completely.
fn parse_head(buffer: &[u8]) -> Result<Option<RawHead>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    if buffer.starts_with(b"HTTP/") {
        let mut head = httparse::Response::new(&mut headers);
        let httparse::Status::Complete(head_length) =
            head.parse(buffer).map_err(|e| invalid_data(&e.to_string()))?
        else {
            return Ok(None);
        };
        let line = StartLine::Status(head.code.unwrap_or_default());
        return Ok(Some(RawHead { line, headers: owned_headers(head.headers), head_length }));
    }
    let mut head = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(head_length) =
        head.parse(buffer).map_err(|e| invalid_data(&e.to_string()))?
    else {
        return Ok(None);
    };
    let method = head.method.unwrap_or_default().to_string();
    let target = head.path.unwrap_or_default().to_string();
    Ok(Some(RawHead {
        line: StartLine::Request(method, target),
        headers: owned_headers(head.headers),
        head_length,
    }))
}

/// Returns the length of the body; 0 without a `Content-Length` header.
fn content_length(headers: &[(String, String)]) -> Result<usize> {
    match headers.iter().find(|(name, _)| name.eq_ignore_ascii_case("Content-Length")) {
        Some((_, value)) => value
            .trim()
            .parse()
            .map_err(|_| invalid_data(&format!("Content-Length is not a number: {value:?}"))),
        None => Ok(0),
    }
}

fn owned_headers(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |value: &[u8]| String::from_utf8_lossy(value).into_owned();
    headers.iter().map(|header| (header.name.to_string(), text(header.value))).collect()
}

/// Encodes a response.
pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    message(&format!("HTTP/1.1 {status} Status\r\n"), headers, body)
}

/// Encodes a message with the given start line.
pub fn message(line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = line.to_string();
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
