//! Incremental parser of HTTP/1.1 messages.

use super::error::ParseError;
use super::head::{Framing, Head, StartLine};

/// The maximum length of a message head, in bytes.
pub const MAX_HEAD_BYTES: usize = 32 * 1024;
/// The maximum number of headers of a message.
pub(super) const MAX_HEADERS: usize = 128;
/// The maximum length of a [`MessagePart::Body`], in bytes.
const MAX_BODY_PART_BYTES: usize = 16 * 1024;
/// The maximum length of the size line of a chunk and of a trailer line, in bytes.
const MAX_CHUNK_LINE_BYTES: usize = 4 * 1024;
/// The maximum number of digits of a chunk size; every size with this many hexadecimal digits fits in a
/// `u64`.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;
/// The maximum number of digits of `Content-Length`; every length with this many digits fits in a `u64`.
pub(super) const MAX_LENGTH_DIGITS: usize = 18;

/// A part of a message, as [`MessageReader::next_part`] returns it.
#[derive(Clone, Debug, PartialEq)]
pub enum MessagePart {
    /// The head.
    Head(Head),
    /// Some bytes of the body.
    Body(Vec<u8>),
    /// The end of the message.
    End,
}

/// The state of the parser: the element of a message that it expects next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Head,
    /// A body of known length, with the number of remaining bytes.
    Body(u64),
    /// The size line of a chunk.
    ChunkSize,
    /// The data of a chunk, with the number of remaining bytes.
    Chunk(u64),
    /// The line ending after the data of a chunk.
    ChunkEnd,
    /// A line of the trailer section.
    Trailer,
    /// A body that ends when the connection is closed.
    UntilClose,
    End,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MessageKind {
    Request,
    Response,
}

/// A parsed head whose framing has not been determined.
struct RawHead {
    /// The length of the head in bytes.
    length: usize,
    start_line: StartLine,
    /// The minor version of HTTP/1: 0 or 1.
    minor_version: Option<u8>,
    headers: Vec<(String, Vec<u8>)>,
}

/// Parses the messages of one direction of a connection.
pub struct MessageReader {
    kind: MessageKind,
    buffer: Vec<u8>,
    state: State,
    /// Whether the next response answers a `HEAD` request and therefore has no body.
    pub answers_head_request: bool,
}

impl MessageReader {
    /// Creates a reader of requests from a client.
    pub fn for_requests() -> MessageReader {
        MessageReader::new(MessageKind::Request)
    }

    /// Creates a reader of responses from a worker.
    pub fn for_responses() -> MessageReader {
        MessageReader::new(MessageKind::Response)
    }

    fn new(kind: MessageKind) -> MessageReader {
        MessageReader { kind, buffer: Vec::new(), state: State::Head, answers_head_request: false }
    }

    /// Appends received bytes to the buffer.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns whether the reader is between two messages and its buffer is empty.
    pub fn is_idle(&self) -> bool {
        self.state == State::Head && self.buffer.is_empty()
    }

    /// Returns whether a message has begun whose end [`MessageReader::next_part`] has not returned yet.
    pub fn has_partial_message(&self) -> bool {
        !self.is_idle()
    }

    /// Returns whether the buffer is full: no more bytes should be fed until parts have been read from it.
    pub fn is_full(&self) -> bool {
        self.buffer.len() > 2 * MAX_HEAD_BYTES
    }

    /// Handles the end of input after the sender has closed the connection. Returns whether this completes a
    /// message, that is, the current message has a body that ends when the connection is closed. The body
    /// must have been read up to its last byte before: bytes left in the buffer would be parsed as a new
    /// head.
    pub fn handle_eof(&mut self) -> bool {
        if self.state != State::UntilClose {
            return false;
        }
        self.state = State::Head;
        true
    }

    /// Returns the next part; `None` if more bytes are needed.
    ///
    /// # Errors
    /// The received bytes are not a valid message. The reader must not be used afterwards.
    pub fn next_part(&mut self) -> Result<Option<MessagePart>, ParseError> {
        loop {
            match self.state {
                State::Head => return self.read_head(),
                State::Body(0) => self.state = State::End,
                State::Body(remaining) => return Ok(self.read_body(remaining, State::Body)),
                State::Chunk(0) => self.state = State::ChunkEnd,
                State::Chunk(remaining) => return Ok(self.read_body(remaining, State::Chunk)),
                State::UntilClose => return Ok(self.read_body(u64::MAX, |_| State::UntilClose)),
                State::ChunkSize => {
                    let Some(line) = self.read_line()? else { return Ok(None) };
                    self.state = match chunk_size(&line)? {
                        0 => State::Trailer,
                        size => State::Chunk(size),
                    };
                }
                State::ChunkEnd => {
                    let Some(line) = self.read_line()? else { return Ok(None) };
                    if !line.is_empty() {
                        return Err(ParseError::MalformedChunk);
                    }
                    self.state = State::ChunkSize;
                }
                State::Trailer => {
                    let Some(line) = self.read_line()? else { return Ok(None) };
                    if line.is_empty() {
                        self.state = State::End;
                    }
                }
                State::End => {
                    self.state = State::Head;
                    return Ok(Some(MessagePart::End));
                }
            }
        }
    }

    /// Takes bytes of a body or chunk of which `remaining` bytes are missing; `None` if the buffer is empty.
    /// `next_state` returns the state for the number of bytes that are still missing afterwards.
    fn read_body(&mut self, remaining: u64, next_state: impl Fn(u64) -> State) -> Option<MessagePart> {
        let max_length = usize::try_from(remaining).unwrap_or(usize::MAX);
        let length = self.buffer.len().min(MAX_BODY_PART_BYTES).min(max_length);
        if length == 0 {
            return None;
        }
        let bytes = self.buffer.drain(..length).collect();
        self.state = next_state(remaining - length as u64);
        Some(MessagePart::Body(bytes))
    }

    /// Takes a line of the chunked coding, without its line ending; `None` until the whole line has arrived.
    fn read_line(&mut self) -> Result<Option<String>, ParseError> {
        let Some(end) = self.buffer.iter().take(MAX_CHUNK_LINE_BYTES).position(|byte| *byte == b'\n') else {
            if self.buffer.len() >= MAX_CHUNK_LINE_BYTES {
                return Err(ParseError::MalformedChunk);
            }
            return Ok(None);
        };
        let line: Vec<u8> = self.buffer.drain(..=end).collect();
        let line = line.strip_suffix(b"\r\n").ok_or(ParseError::MalformedChunk)?;
        let text = String::from_utf8(line.to_vec()).map_err(|_| ParseError::MalformedChunk)?;
        Ok(Some(text))
    }

    fn read_head(&mut self) -> Result<Option<MessagePart>, ParseError> {
        if self.kind == MessageKind::Request {
            self.skip_empty_lines();
        }
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let Some(raw) = self.parse_head()? else {
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ParseError::HeadTooLong);
            }
            return Ok(None);
        };
        if raw.length > MAX_HEAD_BYTES {
            return Err(ParseError::HeadTooLong);
        }
        self.buffer.drain(..raw.length);
        let is_http_1_1 = raw.minor_version == Some(1);
        let mut head = Head {
            start_line: raw.start_line,
            is_http_1_1,
            headers: raw.headers,
            framing: Framing::None,
            is_persistent: is_http_1_1,
        };
        head.framing = self.framing(&head)?;
        head.is_persistent = is_persistent(&head);
        self.state = match head.framing {
            // The final response follows an informational one.
            _ if head.is_informational() => State::Head,
            Framing::None => State::End,
            Framing::Length(length) => State::Body(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Ok(Some(MessagePart::Head(head)))
    }

    /// Skips empty lines before a request line: some clients send one after a body (RFC 9112, 2.2).
    fn skip_empty_lines(&mut self) {
        while self.buffer.starts_with(b"\r\n") {
            self.buffer.drain(..2);
        }
    }

    /// Parses the head at the start of the buffer; `None` until the whole head has arrived.
    fn parse_head(&self) -> Result<Option<RawHead>, ParseError> {
        match self.kind {
            MessageKind::Request => parse_request_head(&self.buffer),
            MessageKind::Response => parse_response_head(&self.buffer),
        }
    }

    /// Determines the framing of the body (RFC 9112, 6.3).
    fn framing(&self, head: &Head) -> Result<Framing, ParseError> {
        let is_response = self.kind == MessageKind::Response;
        let has_no_body = head.is_informational() || matches!(head.status(), 204 | 304);
        if is_response && (self.answers_head_request || has_no_body) {
            return Ok(Framing::None);
        }
        let codings = head.tokens("Transfer-Encoding");
        let mut lengths: Vec<&str> =
            head.values("Content-Length").flat_map(|value| value.split(',')).map(str::trim).collect();
        lengths.dedup();
        if !codings.is_empty() {
            // Another recipient could find the end of this message elsewhere, which allows request smuggling.
            if !lengths.is_empty() || !head.is_http_1_1 {
                return Err(ParseError::AmbiguousLength);
            }
            if codings != ["chunked"] {
                return Err(ParseError::UnsupportedTransferCoding);
            }
            return Ok(Framing::Chunked);
        }
        match lengths[..] {
            [] if is_response => Ok(Framing::UntilClose),
            [] => Ok(Framing::None),
            [length] => content_length(length),
            _ => Err(ParseError::InvalidContentLength),
        }
    }
}

fn parse_request_head(buffer: &[u8]) -> Result<Option<RawHead>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let httparse::Status::Complete(length) = request.parse(buffer).map_err(head_error)? else {
        return Ok(None);
    };
    let start_line = StartLine::Request {
        method: request.method.unwrap_or_default().to_string(),
        target: request.path.unwrap_or_default().to_string(),
    };
    let headers = owned_headers(request.headers);
    Ok(Some(RawHead { length, start_line, minor_version: request.version, headers }))
}

fn parse_response_head(buffer: &[u8]) -> Result<Option<RawHead>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let httparse::Status::Complete(length) = response.parse(buffer).map_err(head_error)? else {
        return Ok(None);
    };
    let start_line = StartLine::Status {
        status: response.code.unwrap_or_default(),
        reason: response.reason.unwrap_or_default().to_string(),
    };
    let headers = owned_headers(response.headers);
    Ok(Some(RawHead { length, start_line, minor_version: response.version, headers }))
}

fn head_error(error: httparse::Error) -> ParseError {
    match error {
        httparse::Error::TooManyHeaders => ParseError::TooManyHeaders,
        _ => ParseError::MalformedHead,
    }
}

fn owned_headers(headers: &[httparse::Header]) -> Vec<(String, Vec<u8>)> {
    headers.iter().map(|header| (header.name.to_string(), header.value.to_vec())).collect()
}

/// Returns whether the connection may be used for another message after this one (RFC 9112, 9.3).
fn is_persistent(head: &Head) -> bool {
    let options = head.tokens("Connection");
    let has_option = |name: &str| options.iter().any(|option| option == name);
    (head.is_http_1_1 || has_option("keep-alive"))
        && !has_option("close")
        && head.framing != Framing::UntilClose
}

/// Parses the size line of a chunk, ignoring chunk extensions.
fn chunk_size(line: &str) -> Result<u64, ParseError> {
    let digits = line.split(';').next().unwrap_or_default().trim();
    let is_hex = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_hexdigit());
    if !is_hex || digits.len() > MAX_CHUNK_SIZE_DIGITS {
        return Err(ParseError::MalformedChunk);
    }
    u64::from_str_radix(digits, 16).map_err(|_| ParseError::MalformedChunk)
}

/// Parses a value of `Content-Length`.
fn content_length(text: &str) -> Result<Framing, ParseError> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    if !is_number || text.len() > MAX_LENGTH_DIGITS {
        return Err(ParseError::InvalidContentLength);
    }
    text.parse().map(Framing::Length).map_err(|_| ParseError::InvalidContentLength)
}
