//! Accepting connections from clients and workers, up to a maximum number per iteration.

use super::{EventLoop, Role};
use crate::clock::Millis;
use crate::downstream;
use crate::net::{self, AcceptResult, ACCEPT_BUDGET};
use mio::net::TcpStream;
use socket2::{SockFilter, SockRef};

/// Delay before the next accept if an accept has failed or the limit of downstream connections is reached.
const ACCEPT_BACKOFF: Millis = 20.0;

/// Time that a handshake may need.
const HANDSHAKE_TIME: Millis = 5.0;
/// Packet filter that drops segments that open a connection, with the flag SYN in byte 13 of the TCP header, and
/// lets all others pass.
const DROP_SYN: [SockFilter; 4] = [
    SockFilter::new(LOAD_BYTE, 0, 0, 13),
    SockFilter::new(JUMP_IF_SET, 0, 1, 0x02),
    SockFilter::new(RETURN, 0, 0, 0),
    SockFilter::new(RETURN, 0, 0, u32::MAX),
];
// Instructions of packet filters (BPF).
const LOAD_BYTE: u16 = 0x30;
const JUMP_IF_SET: u16 = 0x45;
const RETURN: u16 = 0x06;

/// When to accept connections without a readiness event from the listener.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AcceptSchedule {
    /// Not before the next readiness event.
    WhenReady,
    /// At this time, as connections may still be waiting and no further readiness event reports them.
    At(Millis),
}

impl AcceptSchedule {
    /// Returns the scheduled time, if there is one.
    pub(super) fn scheduled_time(self) -> Option<Millis> {
        match self {
            AcceptSchedule::WhenReady => None,
            AcceptSchedule::At(at) => Some(at),
        }
    }

    /// Returns whether the scheduled time has been reached.
    pub(super) fn is_due(self, now: Millis) -> bool {
        self.scheduled_time().is_some_and(|at| at <= now)
    }
}

impl EventLoop {
    /// Accepts waiting connections, as far as the limit of downstream connections and the maximum number per
    /// iteration allow.
    pub(super) fn accept_downstreams(&mut self) {
        if !self.upgrade.accepts_clients() {
            return;
        }
        let now = self.clock.now();
        // Connections beyond the maximum number are accepted in the next iteration.
        self.accept_schedule = AcceptSchedule::At(now);
        for _ in 0..ACCEPT_BUDGET {
            if self.limits.downstream.is_reached() && !self.close_unneeded_downstream() {
                self.accept_schedule = AcceptSchedule::At(now + ACCEPT_BACKOFF);
                return self.record_descriptor_shortage(now);
            }
            let Some(listener) = &self.listener else { return };
            match net::accept(listener) {
                AcceptResult::Connection(stream) => self.add_downstream(stream, now),
                AcceptResult::NoneWaiting => {
                    self.accept_schedule = AcceptSchedule::WhenReady;
                    return;
                }
                AcceptResult::Retry => {}
                AcceptResult::Failed(e) => {
                    // The descriptor table may be full; without a pause the loop would spin.
                    self.close_unneeded_downstream();
                    self.accept_schedule = AcceptSchedule::At(now + ACCEPT_BACKOFF);
                    return log::warn!("accept failed: error={e}");
                }
            }
        }
    }

    fn add_downstream(&mut self, stream: TcpStream, now: Millis) {
        let _ = stream.set_nodelay(true); // failure only adds latency
        let connection = downstream::Connection::new(now);
        let deadline = connection.deadline();
        match self.add_connection(stream, Role::Downstream(connection, None), false, deadline) {
            Ok(id) => self.drive(id),
            Err(e) => log::warn!("connection not polled: error={e}"),
        }
    }

    /// Accepts connections that arrived since the last accept, just before the process exits. Returns whether
    /// there were any or more may come; if not, the listener is closed. A connection that is still in the
    /// accept queue then is reset, and a request that was sent on it is lost. Therefore the system is told to
    /// begin no more handshakes, and the listener is closed once those under way are complete: a client that
    /// connects later tries again, and reaches the next process or gets an error before it sends anything.
    pub(super) fn has_last_connections(&mut self) -> bool {
        let now = self.clock.now();
        let opened_before = self.sockets.opened_count();
        let closes_at = match self.listener_closes_at {
            Some(closes_at) => closes_at,
            None => now + self.stop_handshakes(),
        };
        self.listener_closes_at = Some(closes_at);
        self.accept_downstreams();
        if self.sockets.opened_count() != opened_before || now < closes_at {
            return true;
        }
        self.listener = None;
        false
    }

    /// Returns when the loop has to wake up for the closing of the listener: to close it or, if a last request
    /// takes longer, to resume handshakes.
    pub(super) fn listener_wake_time(&self, now: Millis) -> Option<Millis> {
        let closes_at = self.listener_closes_at?;
        Some(if now < closes_at { closes_at } else { closes_at + HANDSHAKE_TIME })
    }

    /// Lets the system begin handshakes again if the process has not exited by then, because a last connection
    /// has brought a request that takes longer.
    pub(super) fn resume_handshakes(&mut self, now: Millis) {
        if self.listener_closes_at.is_none_or(|closes_at| now < closes_at + HANDSHAKE_TIME) {
            return;
        }
        self.listener_closes_at = None;
        if let Some(listener) = &self.listener {
            let _ = SockRef::from(listener).detach_filter(); // fails only if there is none
        }
    }

    /// Lets the system ignore new handshakes on the client listener. Returns the time that those under way may
    /// need; 0 if the listener may belong to another process too, which the filter would shut off, or if the
    /// system rejects the filter.
    fn stop_handshakes(&mut self) -> Millis {
        // A successor that connected now would get a listener to which no client can connect.
        self.upgrade.socket = None;
        let has_own_listener = self.upgrade.accepts_clients() && !self.upgrade.has_shared_listener;
        let Some(listener) = self.listener.as_ref().filter(|_| has_own_listener) else { return 0.0 };
        match SockRef::from(listener).attach_filter(&DROP_SYN) {
            Ok(()) => HANDSHAKE_TIME,
            Err(e) => {
                log::debug!("handshakes not stopped: error={e}");
                0.0
            }
        }
    }
}
