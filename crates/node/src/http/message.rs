//! The parts of a message.

use super::framing::Framing;
use httparse::{Error, Header, Status};

/// Maximum number of header lines in a head.
pub(super) const MAX_HEADERS: usize = 64;

/// Error for a malformed, oversized, incomplete or unsupported message, with the HTTP status of the answer to
/// it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("malformed, oversized, incomplete or unsupported HTTP message (status {0})")]
pub struct HttpError(pub u16);

/// The input is not valid HTTP.
pub(super) const BAD_REQUEST: HttpError = HttpError(400);
/// A body exceeds its limit.
pub(super) const CONTENT_TOO_LARGE: HttpError = HttpError(413);
/// A head or a trailer line exceeds the limit, or a head has too many header lines.
pub(super) const HEADERS_TOO_LARGE: HttpError = HttpError(431);
/// A message has a transfer coding other than `chunked`.
pub(super) const NOT_IMPLEMENTED: HttpError = HttpError(501);

impl From<Error> for HttpError {
    fn from(error: Error) -> HttpError {
        match error {
            Error::TooManyHeaders => HEADERS_TOO_LARGE,
            _ => BAD_REQUEST,
        }
    }
}

/// The names and values of the header lines of a message, in their order.
#[derive(Clone, Debug, Default)]
pub struct Headers(pub Vec<(String, Vec<u8>)>);

impl Headers {
    fn from_parsed(headers: &[Header]) -> Headers {
        Headers(headers.iter().map(|header| (header.name.to_string(), header.value.to_vec())).collect())
    }

    /// Returns the memory that the header lines take, in bytes.
    pub fn held_bytes(&self) -> usize {
        let lines = self.0.capacity() * size_of::<(String, Vec<u8>)>();
        lines + self.0.iter().map(|(name, value)| name.capacity() + value.capacity()).sum::<usize>()
    }

    /// Returns all values of a header. Names of headers are compared without regard to case.
    pub fn all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        let named = self.0.iter().filter(move |(line_name, _)| line_name.eq_ignore_ascii_case(name));
        named.map(|(_, value)| value.as_slice())
    }

    /// Returns the first value of a header, if it is valid UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.all(name).next()?).ok().map(str::trim)
    }

    /// Returns the value of a header that must not occur twice, as one implementation would use the first
    /// value and another the second.
    ///
    /// # Errors
    /// The header occurs twice, or its value is not valid UTF-8.
    pub fn single(&self, name: &str) -> Result<Option<&str>, HttpError> {
        let mut values = self.all(name);
        let Some(first) = values.next() else { return Ok(None) };
        let first = std::str::from_utf8(first).map_err(|_| BAD_REQUEST)?;
        match values.next() {
            Some(_) => Err(BAD_REQUEST),
            None => Ok(Some(first.trim())),
        }
    }

    /// Returns whether the comma-separated values of a header contain the token, without regard to case.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let texts = self.all(name).map(|value| std::str::from_utf8(value).unwrap_or(""));
        texts.flat_map(|text| text.split(',')).any(|part| part.trim().eq_ignore_ascii_case(token))
    }
}

/// The head of a message.
pub struct Head<S> {
    pub(super) line: S,
    /// The minor version `x` of `HTTP/1.x`.
    pub(super) minor_version: u8,
    pub(super) headers: Headers,
    /// Length of the head in bytes, including the empty line at its end.
    pub(super) length: usize,
}

/// The start line of a message.
pub trait StartLine: Sized {
    /// Parses a head. Returns `None` if it is incomplete.
    ///
    /// # Errors
    /// The input is not a valid head.
    fn parse(bytes: &[u8]) -> Result<Option<Head<Self>>, HttpError>;

    /// Returns whether the message can have a body; if not, it has none whatever its headers say.
    fn may_have_body(&self) -> bool;

    /// Returns the framing of a body whose headers do not specify one.
    fn default_framing(&self) -> Framing;
}

/// The start line of a request.
#[derive(Clone, Debug)]
pub struct RequestLine {
    /// The method, such as `POST`.
    pub method: String,
    /// The path and query, as received.
    pub target: String,
}

impl RequestLine {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or("")
    }
}

/// The start line of a response.
#[derive(Clone, Debug)]
pub struct StatusLine {
    /// The status code.
    pub status: u16,
}

impl StartLine for RequestLine {
    fn parse(bytes: &[u8]) -> Result<Option<Head<Self>>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        let Status::Complete(length) = request.parse(bytes)? else { return Ok(None) };
        let method = request.method.unwrap_or("").to_string();
        let target = request.path.unwrap_or("").to_string();
        Ok(Some(Head {
            line: RequestLine { method, target },
            minor_version: request.version.unwrap_or(0),
            headers: Headers::from_parsed(request.headers),
            length,
        }))
    }

    fn may_have_body(&self) -> bool {
        true
    }

    fn default_framing(&self) -> Framing {
        Framing::Length(0)
    }
}

impl StartLine for StatusLine {
    fn parse(bytes: &[u8]) -> Result<Option<Head<Self>>, HttpError> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut response = httparse::Response::new(&mut headers);
        let Status::Complete(length) = response.parse(bytes)? else { return Ok(None) };
        Ok(Some(Head {
            line: StatusLine { status: response.code.unwrap_or(0) },
            minor_version: response.version.unwrap_or(0),
            headers: Headers::from_parsed(response.headers),
            length,
        }))
    }

    fn may_have_body(&self) -> bool {
        !matches!(self.status, 100..=199 | 204 | 304)
    }

    fn default_framing(&self) -> Framing {
        Framing::ToEnd
    }
}

/// A complete message.
#[derive(Clone, Debug)]
pub struct Message<S> {
    /// The start line.
    pub line: S,
    /// The headers.
    pub headers: Headers,
    /// The body, without its framing.
    pub body: Vec<u8>,
    /// Whether the sender keeps the connection open after this message.
    pub keep_alive: bool,
}

impl<S> Message<S> {
    /// Returns the memory that the headers and the body take, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.headers.held_bytes() + self.body.capacity()
    }
}
