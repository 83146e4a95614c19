//! Closing of downstream connections to free descriptors, or in a late stage of a drain or a shutdown.

use super::{ConnectionId, EventLoop, Socket};
use crate::clock::Millis;
use crate::downstream::{Connection, State};
use std::io::ErrorKind;

/// Order in which idle connections are closed: first those that have not carried a request yet, last those of
/// workers; within each group, the longest-idle first.
struct IdleRank {
    carries_job_status: bool,
    has_served: bool,
    used_at: Millis,
}

impl IdleRank {
    fn new(connection: &Connection) -> Self {
        IdleRank {
            carries_job_status: connection.carries_job_status,
            has_served: connection.has_served(),
            used_at: connection.used_at,
        }
    }

    fn compare(&self, other: &IdleRank) -> std::cmp::Ordering {
        let by_job_status = self.carries_job_status.cmp(&other.carries_job_status);
        let by_served = self.has_served.cmp(&other.has_served);
        by_job_status.then(by_served).then(self.used_at.total_cmp(&other.used_at))
    }
}

impl EventLoop {
    /// Closes a connection whose last answer has been sent or, if there is none, an idle connection. Returns
    /// whether a connection was closed.
    pub(super) fn close_unneeded_downstream(&mut self) -> bool {
        let has_last_answer =
            |socket: &&Socket| socket.role.downstream().is_some_and(|connection| connection.is_write_shut);
        let answered = self.sockets.iter().find(has_last_answer).map(|socket| socket.id);
        let Some(id) = answered.or_else(|| self.first_idle_downstream()) else { return false };
        self.close(id);
        true
    }

    /// Returns the idle connection that is to be closed first.
    fn first_idle_downstream(&self) -> Option<ConnectionId> {
        let now = self.clock.now();
        let mut idle = Vec::new();
        for socket in self.sockets.iter() {
            if let Some(connection) = socket.role.downstream().filter(|connection| connection.may_close(now))
            {
                idle.push((IdleRank::new(connection), socket.id));
            }
        }
        idle.sort_by(|(rank, _), (other_rank, _)| rank.compare(other_rank));
        idle.into_iter().map(|(_, id)| id).find(|id| self.is_fully_read(*id))
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
