//! HTTP/1.1 for the stand-ins, small and strict: messages with a length, one at a time on a connection.

use std::io::{Error, ErrorKind, Result};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// A message that was read.
#[derive(Debug, Default)]
pub struct Message {
    /// Its first line.
    pub line: Line,
    /// Its headers.
    pub headers: Vec<(String, String)>,
    /// Its body.
    pub body: Vec<u8>,
}

/// The first line of a message.
#[derive(Debug, Default, PartialEq)]
pub enum Line {
    /// None yet.
    #[default]
    None,
    /// Method and target of a request.
    Request(String, String),
    /// The status of a response.
    Status(u16),
}

impl Message {
    /// The first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    /// The status of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        if let Line::Status(status) = self.line {
            status
        } else {
            0
        }
    }

    /// Whether the sender closes the connection after it.
    pub fn closes(&self) -> bool {
        self.header("Connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// One end of a connection.
pub struct Wire {
    stream: TcpStream,
    buffer: Vec<u8>,
}

fn bad(what: &str) -> Error {
    Error::new(ErrorKind::InvalidData, what)
}

impl Wire {
    /// Takes over an open connection.
    pub fn new(stream: TcpStream) -> Wire {
        let _ = stream.set_nodelay(true); // a delay at worst
        Wire { stream, buffer: Vec::new() }
    }

    /// Sends bytes.
    ///
    /// # Errors
    /// The connection has failed.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Reads the next message; `None` where the connection ends between messages.
    ///
    /// # Errors
    /// The connection breaks, or what comes is no message.
    pub async fn message(&mut self) -> Result<Option<Message>> {
        loop {
            if let Some(message) = self.parse()? {
                // What says that it goes on is not the answer.
                if message.line != Line::Status(100) {
                    return Ok(Some(message));
                }
                continue;
            }
            if self.buffer.len() > MAX_MESSAGE_BYTES {
                return Err(bad("a message is too long"));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                let whole = self.buffer.is_empty();
                return if whole { Ok(None) } else { Err(ErrorKind::UnexpectedEof.into()) };
            }
        }
    }

    /// Bytes that have come beyond the last message, now and here.
    pub fn surplus(&mut self) -> usize {
        let mut more = [0; 4096];
        while let Ok(n) = self.stream.try_read(&mut more) {
            if n == 0 {
                break;
            }
            self.buffer.extend_from_slice(&more[..n]);
        }
        self.buffer.len()
    }

    /// Waits until the other end closes or sends more.
    pub async fn closed(&mut self) -> bool {
        let mut one = [0];
        matches!(self.stream.peek(&mut one).await, Ok(0) | Err(_))
    }

    fn parse(&mut self) -> Result<Option<Message>> {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let (line, taken, headers) = if self.buffer.starts_with(b"HTTP/") {
            let mut head = httparse::Response::new(&mut headers);
            match head.parse(&self.buffer).map_err(|e| bad(&e.to_string()))? {
                httparse::Status::Partial => return Ok(None),
                httparse::Status::Complete(n) => {
                    (Line::Status(head.code.unwrap_or(0)), n, owned(head.headers))
                }
            }
        } else {
            let mut head = httparse::Request::new(&mut headers);
            match head.parse(&self.buffer).map_err(|e| bad(&e.to_string()))? {
                httparse::Status::Partial => return Ok(None),
                httparse::Status::Complete(n) => {
                    let word = |w: Option<&str>| w.unwrap_or("").to_string();
                    (Line::Request(word(head.method), word(head.path)), n, owned(head.headers))
                }
            }
        };
        let length = headers.iter().find(|(n, _)| n.eq_ignore_ascii_case("Content-Length"));
        let length =
            length.map_or(Ok(0), |(_, v)| v.trim().parse::<usize>()).map_err(|e| bad(&e.to_string()))?;
        if length > MAX_MESSAGE_BYTES {
            return Err(bad("a body is too long"));
        }
        if self.buffer.len() < taken + length {
            return Ok(None);
        }
        let body = self.buffer[taken..taken + length].to_vec();
        self.buffer.drain(..taken + length);
        Ok(Some(Message { line, headers, body }))
    }
}

fn owned(headers: &[httparse::Header]) -> Vec<(String, String)> {
    let text = |v: &[u8]| String::from_utf8_lossy(v).into_owned();
    headers.iter().map(|h| (h.name.to_string(), text(h.value))).collect()
}

/// An answer with a body.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    message(&format!("HTTP/1.1 {status} Status\r\n"), headers, body)
}

/// A message with this first line.
pub fn message(line: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = line.to_string();
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    head += &format!("Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
