//! Closing of downstream connections without a complete request: to free descriptors, or in a late stage of a
//! drain or a shutdown.

use super::{ConnectionId, EventLoop, Socket};
use crate::clock::Millis;
use crate::downstream::{Connection, State};
use std::io::ErrorKind;

/// Order in which connections are closed to free descriptors: first those that have not had an answer yet, last
/// those of workers; within each group, idle ones before those that hold a part of a request, and then the one
/// that has been without a byte for the longest time.
struct CloseRank {
    is_for_job_status: bool,
    has_served: bool,
    is_partial: bool,
    used_at: Millis,
}

impl CloseRank {
    fn new(connection: &Connection) -> Self {
        CloseRank {
            is_for_job_status: connection.is_for_job_status(),
            has_served: connection.has_served(),
            is_partial: connection.has_partial_request(),
            used_at: connection.used_at,
        }
    }

    fn compare(&self, other: &CloseRank) -> std::cmp::Ordering {
        let key = |rank: &CloseRank| (rank.is_for_job_status, rank.has_served, rank.is_partial);
        key(self).cmp(&key(other)).then(self.used_at.total_cmp(&other.used_at))
    }
}

impl EventLoop {
    /// Closes a connection to free its descriptor: one whose last answer has been sent or, if there is none, one
    /// that is idle or holds only a part of a request. Returns whether a connection was closed.
    pub(super) fn close_unneeded_downstream(&mut self) -> bool {
        let has_last_answer =
            |socket: &&Socket| socket.role.downstream().is_some_and(|connection| connection.is_write_shut);
        let answered = self.sockets.iter().find(has_last_answer).map(|socket| socket.id);
        let Some(id) = answered.or_else(|| self.first_unneeded_downstream()) else { return false };
        let connection = self.sockets.get(id).and_then(|socket| socket.role.downstream());
        let is_partial = connection.is_some_and(Connection::has_partial_request);
        // A worker that gets no answer sends its update again.
        if is_partial && !connection.is_some_and(Connection::is_for_job_status) {
            let now = self.clock.now();
            self.record_descriptor_shortage(now);
            self.reject_partial_request(id, self.shortage_retry_after(), now);
        }
        self.close(id);
        true
    }

    /// Returns the connection without a complete request that is to be closed first. No connection of a client
    /// that had an answer is closed while the rest of the first request of another one may be in transit: if it
    /// does not arrive, that client makes room soon.
    fn first_unneeded_downstream(&self) -> Option<ConnectionId> {
        let now = self.clock.now();
        let mut unneeded = Vec::new();
        let mut has_recent_first_request = false;
        for socket in self.sockets.iter() {
            let Some(connection) = socket.role.downstream() else { continue };
            if connection.may_close(now) || connection.may_reject_partial_request(now) {
                unneeded.push((CloseRank::new(connection), socket.id));
            } else {
                has_recent_first_request |= connection.has_partial_request() && !connection.has_served();
            }
        }
        unneeded.sort_by(|(rank, _), (other_rank, _)| rank.compare(other_rank));
        let (rank, id) = unneeded.into_iter().find(|(_, id)| self.is_fully_read(*id))?;
        (!rank.has_served || !has_recent_first_request).then_some(id)
    }

    /// Closes client connections without a request in progress, in a late stage of a drain or a shutdown.
    /// Connections of workers stay open for job status updates.
    pub(super) fn close_idle_downstreams(&mut self, now: Millis) {
        let is_idle = |connection: &Connection| connection.may_close(now) && !connection.carries_job_status;
        let mut idle = self.sockets.ids(|socket| socket.role.downstream().is_some_and(is_idle));
        idle.retain(|id| self.is_fully_read(*id));
        for id in idle {
            self.close(id);
        }
    }

    /// Rejects requests that have been received only in part, because the shutdown deadline has passed.
    pub(super) fn reject_partial_requests(&mut self, now: Millis) {
        let partial =
            self.sockets.ids(|socket| socket.role.downstream().is_some_and(Connection::has_partial_request));
        for id in partial {
            self.reject_partial_request(id, 0.0, now);
            self.drive(id);
        }
    }

    /// Returns whether any connection that accepts requests has unread bytes.
    pub(super) fn has_unread_requests(&self) -> bool {
        let accepts_requests = |connection: &Connection| connection.state() == State::Open;
        self.sockets.iter().any(|socket| {
            socket.role.downstream().is_some_and(accepts_requests)
                && socket.stream.peek(&mut [0]).is_ok_and(|length| length > 0)
        })
    }

    /// Returns whether a connection is open and has no unread bytes. Closing it with an unread request would
    /// lose the request.
    fn is_fully_read(&self, id: ConnectionId) -> bool {
        let Some(socket) = self.sockets.get(id) else { return false };
        socket.stream.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
    }
}
