//! Errors of the message parser.

use super::reader::{MAX_HEADERS, MAX_HEAD_BYTES, MAX_LENGTH_DIGITS};
use thiserror::Error;

/// The reason why a message is rejected.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ParseError {
    /// The start line or a header is malformed.
    #[error("malformed start line or header")]
    MalformedHead,
    /// The head has more headers than the parser accepts.
    #[error("message head with more than {MAX_HEADERS} headers")]
    TooManyHeaders,
    /// The head is longer than [`MAX_HEAD_BYTES`].
    #[error("message head longer than {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    /// `Content-Length` is not a number, has too many digits, or has several different values.
    #[error("Content-Length is not a single number of at most {MAX_LENGTH_DIGITS} digits")]
    InvalidContentLength,
    /// The message has `Transfer-Encoding` and also `Content-Length`, or `Transfer-Encoding` in HTTP/1.0. Two
    /// recipients of such a message could disagree on where it ends.
    #[error("Transfer-Encoding combined with Content-Length or HTTP/1.0")]
    AmbiguousLength,
    /// `Transfer-Encoding` has a value other than `chunked`.
    #[error("unsupported Transfer-Encoding: only chunked is supported")]
    UnsupportedTransferCoding,
    /// A chunk or the trailer section is malformed.
    #[error("malformed chunk or trailer section")]
    MalformedChunk,
}

impl ParseError {
    /// Returns the status code of the response to a request with this error.
    pub fn status(self) -> u16 {
        match self {
            ParseError::MalformedHead
            | ParseError::InvalidContentLength
            | ParseError::AmbiguousLength
            | ParseError::MalformedChunk => 400,
            ParseError::TooManyHeaders | ParseError::HeadTooLong => 431,
            ParseError::UnsupportedTransferCoding => 501,
        }
    }
}
