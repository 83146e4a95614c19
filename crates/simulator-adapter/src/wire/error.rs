//! What can be wrong with a frame.

use thiserror::Error;

/// Why a frame could not be decoded, and where.
#[derive(Debug, Error, PartialEq)]
#[error("{problem} at byte {offset} of the frame")]
pub struct WireError {
    /// What is wrong.
    pub problem: WireProblem,
    /// The byte of the frame at which it was noticed, from 0.
    pub offset: usize,
}

/// What is wrong with a frame. Fields have the names of `WIRE-postusher.md`.
#[derive(Debug, Error, PartialEq)]
pub enum WireProblem {
    /// The frame ends inside a field.
    #[error("frame too short for {field}")]
    TooShort {
        /// The field.
        field: &'static str,
    },
    /// A count is larger than what is left of the frame allows.
    #[error("{field} claims {count} entries, more than the frame holds")]
    TooManyEntries {
        /// The field.
        field: &'static str,
        /// The count.
        count: usize,
    },
    /// A code has no meaning.
    #[error("unknown {field} {code}")]
    UnknownCode {
        /// The field.
        field: &'static str,
        /// The code.
        code: u16,
    },
    /// The length field differs from the frame's length.
    #[error("length field {length} on a frame of {actual}")]
    WrongLength {
        /// The length field.
        length: usize,
        /// The frame's length in bytes.
        actual: usize,
    },
}
