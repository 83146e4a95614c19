//! What the event loops share: sockets under ids, and I/O that never blocks.
//!
//! Polling is edge-triggered (mio): the system reports once that a socket is ready, so whoever stops before
//! [`ReadResult::WouldBlock`] or [`Accepted::NoneWaiting`] has to come back by itself.

mod accept;
mod sockets;
mod transfer;

pub use accept::{accept, Accepted};
pub use sockets::{Socket, Sockets};
pub use transfer::{connect_progress, read, write, ConnectProgress, ReadResult, WriteResult};

use crate::clock::Millis;
use mio::{Events, Poll};
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Waits for events for at most this long. A signal handler that interrupts the wait counts as its end.
///
/// # Errors
/// Those of the system's poll.
pub fn wait(poll: &mut Poll, events: &mut Events, longest: Millis) -> io::Result<()> {
    let micros = (longest * 1e3).ceil().max(0.0);
    match poll.poll(events, Some(Duration::from_micros(micros as u64))) {
        Err(e) if e.kind() != ErrorKind::Interrupted => Err(e),
        _ => Ok(()),
    }
}
