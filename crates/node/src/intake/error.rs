//! Errors of the request parser.

use crate::http::HttpError;
use thiserror::Error;

/// Reason why a request is not accepted.
#[derive(Clone, Copy, Debug, Error, PartialEq)]
pub enum IntakeError {
    /// The path does not begin with a slash.
    #[error("malformed path: expected a leading slash")]
    MalformedPath,
    /// The path or a header names a class that is not in the settings.
    #[error("the path or the class header names an unknown class")]
    UnknownClass,
    /// The path and a header name different classes.
    #[error("the path and the class header name different classes")]
    ContradictoryClass,
    /// The path does not support the method.
    #[error("method not allowed for this path")]
    MethodNotAllowed,
    /// A header that must not be repeated occurs more than once, or is not text. Contains the status of the
    /// response.
    #[error("a header is repeated or is not text (status {})", .0.0)]
    MalformedHeader(HttpError),
    /// The trace id is missing, is too long or contains characters that are not allowed in a trace id.
    #[error("the trace id is missing or malformed")]
    InvalidTraceId,
    /// The expiry is not a duration with a unit, or is too long.
    #[error("invalid expiry: expected a duration with a unit")]
    InvalidExpiry,
    /// The size hint is not a duration, or is too long.
    #[error("invalid size hint: expected a duration")]
    InvalidSizeHint,
    /// A property has no value or an invalid one, or the number of slots is repeated.
    #[error("a property has no value or an invalid one, or the number of slots is repeated")]
    InvalidProperties,
    /// The class requires an idempotency key, and the request has none.
    #[error("the class requires an idempotency key")]
    MissingIdempotencyKey,
    /// The `Expect` header has a value other than `100-continue`.
    #[error("unsupported expectation: expected 100-continue")]
    UnsupportedExpectation,
    /// A start condition is malformed, or there are too many dependencies.
    #[error("malformed start condition, or too many dependencies")]
    InvalidStartCondition,
}

impl From<HttpError> for IntakeError {
    fn from(error: HttpError) -> IntakeError {
        IntakeError::MalformedHeader(error)
    }
}

impl IntakeError {
    /// Returns the HTTP status of the response to the request.
    pub fn status(self) -> u16 {
        match self {
            IntakeError::UnknownClass => 404,
            IntakeError::MethodNotAllowed => 405,
            IntakeError::UnsupportedExpectation => 417,
            IntakeError::MalformedHeader(error) => error.0,
            IntakeError::MalformedPath
            | IntakeError::ContradictoryClass
            | IntakeError::InvalidTraceId
            | IntakeError::InvalidExpiry
            | IntakeError::InvalidSizeHint
            | IntakeError::InvalidProperties
            | IntakeError::MissingIdempotencyKey
            | IntakeError::InvalidStartCondition => 400,
        }
    }
}
