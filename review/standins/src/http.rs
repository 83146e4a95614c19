//! HTTP/1.1 messages with `Content-Length`, as all parties of the cases send them.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response.
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    /// The target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// The status of a response; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }

    pub fn closes(&self) -> bool {
        self.header("Connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// A connection with the bytes that were read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Conn {
        let _ = stream.set_nodelay(true);
        Conn { stream, buffer: Vec::new() }
    }

    pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<Conn> {
        Ok(Conn::new(TcpStream::connect_timeout(&addr, timeout)?))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Waits for the first byte of the next message; false: the peer has closed the connection.
    pub fn wait_for_first_byte(&mut self) -> io::Result<bool> {
        if !self.buffer.is_empty() {
            return Ok(true);
        }
        self.stream.set_read_timeout(None)?;
        Ok(self.stream.peek(&mut [0])? > 0)
    }

    /// Reads the next message. `Ok(None)`: the peer has closed the connection before a whole message.
    /// The error kind is `TimedOut` if the message is not complete by `until`.
    pub fn read(&mut self, until: Option<Instant>) -> io::Result<Option<Message>> {
        loop {
            if let Some((message, length)) = parse(&self.buffer) {
                self.buffer.drain(..length);
                return Ok(Some(message));
            }
            let wait = match until {
                Some(until) => {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return Err(ErrorKind::TimedOut.into());
                    }
                    Some(left)
                }
                None => None,
            };
            self.stream.set_read_timeout(wait)?;
            let mut bytes = [0; 16 * 1024];
            match self.stream.read(&mut bytes) {
                Ok(0) => return Ok(None),
                Ok(length) => self.buffer.extend_from_slice(&bytes[..length]),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    return Err(ErrorKind::TimedOut.into())
                }
                Err(e) => return Err(e),
            }
        }
    }
}

fn parse(bytes: &[u8]) -> Option<(Message, usize)> {
    let head_end = bytes.windows(4).position(|window| window == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&bytes[..head_end]);
    let mut lines = head.split("\r\n");
    let start = lines.next()?.to_string();
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.trim().to_string(), value.trim().to_string()))
        .collect();
    let mut message = Message { start, headers, body: Vec::new() };
    let length: usize = message.header("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
    let end = head_end + length;
    if bytes.len() < end {
        return None;
    }
    message.body = bytes[head_end..end].to_vec();
    Some((message, end))
}

pub fn response(status: u16, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status} Answer\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}

pub fn request(line: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("{line} HTTP/1.1\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.as_bytes(), body].concat()
}
