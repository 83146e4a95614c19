//! Code shared by the event loops: connections identified by ids, and non-blocking I/O.
//!
//! Polling is edge-triggered (mio): the system reports only once that a socket is ready. Code that stops
//! before [`ReadResult::WouldBlock`] or [`AcceptResult::NoneWaiting`] must resume without a further event.

mod accept;
mod limit;
mod sockets;
mod transfer;

pub use accept::{accept, AcceptResult};
pub use limit::ConnectionLimit;
pub use sockets::{Socket, Sockets};
pub use transfer::{connect_progress, is_readable, read, write, ConnectProgress, ReadResult, WriteResult};

use crate::clock::Millis;
use mio::{Events, Poll};
use std::io::{self, ErrorKind};
use std::time::Duration;

/// Maximum number of events returned by one poll.
pub const MAX_EVENTS: usize = 1_024;
/// Maximum number of bytes returned by one read.
pub const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Maximum number of connections accepted from the client listener per iteration, so that many new
/// connections do not delay existing ones.
pub const ACCEPT_BUDGET: usize = 64;
/// Maximum time for which one poll waits for events.
const MAX_WAIT: Millis = 1_000.0;

/// Waits for events until the earliest of `wake_times`, ignoring `None` entries, but for at most `MAX_WAIT`.
///
/// # Errors
/// Polling failed.
pub fn wait_until(
    poll: &mut Poll,
    events: &mut Events,
    now: Millis,
    wake_times: &[Option<Millis>],
) -> io::Result<()> {
    let wake_time = wake_times.iter().flatten().copied().fold(now + MAX_WAIT, f64::min);
    wait(poll, events, wake_time - now)
}

/// Waits for events for at most `timeout`. The wait also ends when a signal handler interrupts it.
///
/// # Errors
/// Polling failed.
pub fn wait(poll: &mut Poll, events: &mut Events, timeout: Millis) -> io::Result<()> {
    let micros = (timeout * 1e3).ceil().max(0.0);
    match poll.poll(events, Some(Duration::from_micros(micros as u64))) {
        Err(e) if e.kind() != ErrorKind::Interrupted => Err(e),
        _ => Ok(()),
    }
}
