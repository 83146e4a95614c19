//! HTTP/1.1 messages. Heads are parsed by httparse; bodies are framed by length, by chunks or by the end of
//! the connection.

mod decoder;
mod framing;
mod message;
mod write;

pub use decoder::Decoder;
pub use message::{Headers, HttpError, Message, RequestLine, StatusLine};
pub use write::{reason_phrase, request, response, WriteBuffer};

/// Maximum size in bytes of the body of a request from a client, a worker or an operator, and of a worker's
/// answer. Decoders of other messages are created with their own limits; see [`Decoder::with_limit`].
pub const MAX_BODY: usize = 64 * 1024;
/// Maximum size of a head, in bytes.
pub const MAX_HEAD: usize = 16 * 1024;
/// Maximum capacity in bytes that a buffer retains once it is empty.
const RETAINED_CAPACITY: usize = 4 * 1024;

#[cfg(test)]
mod tests;
