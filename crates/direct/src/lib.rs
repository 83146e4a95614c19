//! State machines, without I/O or clock, for direct pools, whose workers answer HTTP requests themselves:
//!
//! - [`Routes`] finds the pool that serves a request.
//! - [`session_route`] finds the route of the worker that the session of a request belongs to.
//! - [`StickySessions`] proposes a worker for a request.
//! - [`MessageReader`] parses HTTP/1.1 messages incrementally; [`encode_request_head`] and [`ResponseHead`]
//!   encode message heads for the next hop.

mod message;
mod routes;
mod session;
mod sticky_sessions;

pub use message::{
    encode_request_head, Framing, Head, MessagePart, MessageReader, ParseError, ResponseConnection,
    ResponseHead, StartLine, LAST_CHUNK, MAX_HEAD_BYTES,
};
pub use routes::{RouteMatch, Routes};
pub use session::session_route;
pub use sticky_sessions::{Listing, Proposal, StickySessions};
