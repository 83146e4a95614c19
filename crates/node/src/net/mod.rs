//! What the event loops share: sockets under ids, and I/O that never blocks.
//!
//! Polling is edge-triggered (mio): the system reports once that a socket is ready, so whoever stops before
//! [`ReadResult::WouldBlock`] or [`Accepted::NoneWaiting`] has to come back by itself.

mod accept;
mod limit;
mod sockets;
mod transfer;

pub use accept::{accept, Accepted};
pub use limit::ConnectionLimit;
pub use sockets::{Socket, Sockets};
pub use transfer::{connect_progress, read, write, ConnectProgress, ReadResult, WriteResult};

use crate::clock::Millis;
use mio::{Events, Poll};
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Events that one poll brings at most.
pub const MAX_EVENTS: usize = 1_024;
/// Bytes that one read brings at most.
pub const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Connections that a listener accepts in one turn, so that a flood of them does not keep those at work waiting.
pub const ACCEPT_BUDGET: usize = 64;
/// An event loop takes a turn at least this often.
const MAX_SLEEP: Millis = 1_000.0;

/// Waits for events until the first of these times; `None`: nothing is to be done by time alone.
///
/// # Errors
/// Those of the system's poll.
pub fn wait_until(
    poll: &mut Poll,
    events: &mut Events,
    now: Millis,
    wakes: &[Option<Millis>],
) -> io::Result<()> {
    let next = wakes.iter().flatten().copied().fold(now + MAX_SLEEP, f64::min);
    wait(poll, events, next - now)
}

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
