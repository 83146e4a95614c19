//! Errors in a frame.

use thiserror::Error;

/// The reason why a frame could not be decoded, with the position of the error.
#[derive(Debug, Error, PartialEq)]
#[error("{kind} at byte {offset} of the frame")]
pub struct WireError {
    /// The kind of the error.
    pub kind: WireErrorKind,
    /// The byte offset in the frame at which the error was detected, from 0.
    pub offset: usize,
}

/// The kind of an error in a frame. Fields have the names of `WIRE-postusher.md`.
#[derive(Debug, Error, PartialEq)]
pub enum WireErrorKind {
    /// The frame ends inside a field.
    #[error("frame too short for {field}")]
    TooShort {
        /// The field.
        field: &'static str,
    },
    /// A count is larger than the remaining bytes of the frame allow.
    #[error("{field} has a count of {count}, more than the frame contains")]
    TooManyEntries {
        /// The field.
        field: &'static str,
        /// The count.
        count: usize,
    },
    /// A code is not defined.
    #[error("unknown {field} {code}")]
    UnknownCode {
        /// The field.
        field: &'static str,
        /// The code.
        code: u16,
    },
    /// The length field differs from the frame's length.
    #[error("length field is {length}, but the frame has {actual} bytes")]
    WrongLength {
        /// The length field.
        length: usize,
        /// The actual length of the frame in bytes.
        actual: usize,
    },
}
