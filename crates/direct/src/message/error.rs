//! What can be wrong with a message.

use thiserror::Error;

/// Why bytes are not a message that is served here.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ParseError {
    /// The start line or a header is malformed.
    #[error("malformed head")]
    MalformedHead,
    /// The head has too many headers.
    #[error("too many headers")]
    TooManyHeaders,
    /// The head is too long.
    #[error("head too long")]
    HeadTooLong,
    /// The length of the body is not a number, or two lengths differ.
    #[error("invalid Content-Length")]
    InvalidContentLength,
    /// Two readers of the message could disagree on where it ends.
    #[error("Transfer-Encoding beside Content-Length or in HTTP/1.0")]
    AmbiguousLength,
    /// The transfer coding is not `chunked` alone.
    #[error("unsupported transfer coding")]
    UnsupportedTransferCoding,
    /// A chunk or the trailer section is malformed.
    #[error("malformed chunk")]
    MalformedChunk,
}

impl ParseError {
    /// The status with which a request of this kind is answered.
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
