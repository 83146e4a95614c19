//! Framing of message bodies: how the end of a body is found.

use super::message::{Headers, HttpError, StartLine, BAD_REQUEST, NOT_IMPLEMENTED};

/// Framing of the next element of a body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    /// A body of this many bytes.
    Length(usize),
    /// The size line of a chunk.
    ChunkSize,
    /// A chunk of this many bytes, including its line end.
    Chunk(usize),
    /// Trailer lines after the last chunk, up to an empty line.
    Trailer,
    /// All bytes until the connection ends.
    ToEnd,
}

impl Framing {
    /// Returns the framing of a message's body.
    ///
    /// # Errors
    /// The headers are invalid or so ambiguous that two implementations could interpret them differently, or
    /// specify a transfer coding other than `chunked`.
    pub(super) fn of<S: StartLine>(line: &S, headers: &Headers) -> Result<Framing, HttpError> {
        if !line.may_have_body() {
            return Ok(Framing::Length(0));
        }
        let mut lengths = headers.all("content-length");
        let length = lengths.next();
        if lengths.any(|value| Some(value) != length) {
            return Err(BAD_REQUEST);
        }
        let mut codings = headers.all("transfer-encoding");
        match (codings.next(), length) {
            (Some(_), Some(_)) => Err(BAD_REQUEST),
            (Some(coding), None) if codings.next().is_none() && coding.eq_ignore_ascii_case(b"chunked") => {
                Ok(Framing::ChunkSize)
            }
            (Some(_), None) => Err(NOT_IMPLEMENTED),
            (None, Some(length)) => parse_length(length),
            (None, None) => Ok(line.default_framing()),
        }
    }
}

fn parse_length(digits: &[u8]) -> Result<Framing, HttpError> {
    let text = std::str::from_utf8(digits).map_err(|_| BAD_REQUEST)?;
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(BAD_REQUEST);
    }
    // A number too large for the type exceeds any limit on the body size, as the largest `usize` does.
    Ok(Framing::Length(text.parse().unwrap_or(usize::MAX)))
}
