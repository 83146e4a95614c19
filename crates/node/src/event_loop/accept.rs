//! Accepting connections of clients and workers, within a budget for each turn.

use super::{EventLoop, Role};
use crate::clock::Millis;
use crate::downstream;
use crate::net::{self, Accepted, ACCEPT_BUDGET};
use mio::net::TcpStream;

/// After a failed accept, or with no descriptor left, the listener rests so long.
const ACCEPT_BACKOFF: Millis = 20.0;

/// When to accept without a report that connections are waiting.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AcceptSchedule {
    /// Only once the listener is reported ready.
    WhenReady,
    /// At this time: some may be left.
    At(Millis),
}

impl AcceptSchedule {
    /// When that is, if at a known time.
    pub(super) fn next(self) -> Option<Millis> {
        match self {
            AcceptSchedule::WhenReady => None,
            AcceptSchedule::At(at) => Some(at),
        }
    }

    /// Whether that time has come.
    pub(super) fn is_due(self, now: Millis) -> bool {
        self.next().is_some_and(|at| at <= now)
    }
}

impl EventLoop {
    /// Accepts connections that wait, as far as descriptors and the budget of a turn allow.
    pub(super) fn accept_downstreams(&mut self) {
        if !self.upgrade.accepts_clients() {
            return;
        }
        let now = self.clock.now();
        // What is left after this turn's budget is accepted in the next turn.
        self.accept_schedule = AcceptSchedule::At(now);
        for _ in 0..ACCEPT_BUDGET {
            if self.limits.downstream.is_reached() && !self.close_unneeded_downstream() {
                self.accept_schedule = AcceptSchedule::At(now + ACCEPT_BACKOFF);
                return self.count_shortage(now);
            }
            let Some(listener) = &self.listener else { return };
            match net::accept(listener) {
                Accepted::Connection(stream) => self.add_downstream(stream, now),
                Accepted::NoneWaiting => {
                    self.accept_schedule = AcceptSchedule::WhenReady;
                    return;
                }
                Accepted::Retry => {}
                Accepted::Failed(e) => {
                    // The table of descriptors may be full: without a pause the loop would spin.
                    self.close_unneeded_downstream();
                    self.accept_schedule = AcceptSchedule::At(now + ACCEPT_BACKOFF);
                    return log::warn!("accept failed: error={e}");
                }
            }
        }
    }

    fn add_downstream(&mut self, stream: TcpStream, now: Millis) {
        let _ = stream.set_nodelay(true); // without it there is a delay at worst
        let connection = downstream::Connection::new(now);
        let deadline = connection.deadline();
        match self.add(stream, Role::Downstream(connection, None), false, deadline) {
            Ok(id) => self.drive(id),
            Err(e) => log::warn!("connection not polled: error={e}"),
        }
    }

    /// Accepts connections that have come up since the last look, as the process is about to exit; says whether there
    /// were any. If not, the listener is closed. A connection left in its queue would be reset at the exit, with a
    /// request on it that nobody has read.
    pub(super) fn accept_last_downstreams(&mut self) -> bool {
        let opened = self.sockets.opened();
        self.accept_downstreams();
        let has_new = self.sockets.opened() != opened;
        if !has_new {
            self.listener = None;
        }
        has_new
    }
}
