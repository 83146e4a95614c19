//! HTTP/1.1 messages (RFC 9112): parsed incrementally as bytes arrive, and framed again for the next hop
//! without hop-by-hop headers.

mod encode;
mod error;
mod head;
mod reader;
#[cfg(test)]
mod tests;

pub use encode::{encode_request_head, ResponseConnection, ResponseHead, LAST_CHUNK};
pub use error::ParseError;
pub use head::{Framing, Head, StartLine};
pub use reader::{MessagePart, MessageReader, MAX_HEAD_BYTES};
