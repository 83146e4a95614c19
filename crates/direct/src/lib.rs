//! For workers that answer requests themselves: who keeps the shares and the sessions ([`Keeper`]), which pool serves a
//! request ([`Routes`]), and HTTP/1.1 read and written in pieces ([`Reader`]). State machines without I/O or clock.
#![forbid(unsafe_code)]

mod keeper;
mod message;
mod routes;

pub use keeper::{Keeper, Listing, Proposal};
pub use message::{
    request_head, response_head, Framing, Head, Line, Piece, Reader, Wrong, CHUNKS_END, MOST_HEAD,
};
pub use routes::{session, Routes};
