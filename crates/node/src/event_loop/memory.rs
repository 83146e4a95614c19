//! Limit on the memory that requests and answers take: the bytes that connections hold, and the requests of
//! open jobs. Beyond it, requests that are received only in part make room, and new jobs are rejected.

use super::{ConnectionId, EventLoop, Role, Socket};
use crate::clock::Millis;
use crate::downstream::State;
use crate::intake::Job;
use crate::log_limit::LogLimit;

/// Limit on the memory of requests and answers.
pub(super) struct MemoryLimit {
    /// Limit of the scheduler in bytes, which the two processes of an upgrade share.
    scheduler_bytes: usize,
    /// Limit of this process in bytes.
    process_bytes: usize,
    shortage_log_limit: LogLimit,
}

impl MemoryLimit {
    /// Creates the limit of a scheduler with a single process.
    pub(super) fn new(scheduler_bytes: usize) -> MemoryLimit {
        MemoryLimit { scheduler_bytes, process_bytes: scheduler_bytes, shortage_log_limit: LogLimit::new() }
    }

    /// Gives this process an equal share of the scheduler's memory, as one of `processes`.
    pub(super) fn divide(&mut self, processes: usize) {
        self.process_bytes = self.scheduler_bytes / processes;
    }
}

/// Order in which partially received requests make room: those of clients before those of workers; within
/// each group, first the one that has waited longest for its next byte.
struct PartialRequest {
    is_job_status: bool,
    used_at: Millis,
    id: ConnectionId,
}

impl PartialRequest {
    fn compare(&self, other: &PartialRequest) -> std::cmp::Ordering {
        self.is_job_status.cmp(&other.is_job_status).then(self.used_at.total_cmp(&other.used_at))
    }
}

impl EventLoop {
    /// Returns the memory that requests and answers take, in bytes.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.sockets.held_bytes() + self.dispatch.request_bytes()
    }

    /// Records the memory that a connection holds now.
    pub(super) fn update_held_bytes(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get(id) else { return };
        self.sockets.set_held_bytes(id, socket.role.held_bytes());
    }

    /// Returns whether a connection accepts no more bytes for now. While memory is short, nothing is read ahead
    /// of the answer to the current request.
    pub(super) fn is_paused(&self, socket: &Socket) -> bool {
        let is_short = self.buffered_bytes() > self.memory_limit.process_bytes;
        socket.role.server_side().is_some_and(|connection| {
            !connection.accepts_more() || is_short && connection.state() == State::Busy
        })
    }

    /// Returns whether there is memory for the request of a job, once requests that are received only in part
    /// have made room.
    pub(super) fn has_memory_for(&mut self, job: &Job, now: Millis) -> bool {
        self.make_room(job.payload.held_bytes(), now);
        self.buffered_bytes() + job.payload.held_bytes() <= self.memory_limit.process_bytes
    }

    /// Rejects requests that are received only in part until there is memory for `bytes` more, or none of them
    /// is left that takes more than an even share.
    pub(super) fn make_room(&mut self, bytes: usize, now: Millis) {
        while self.buffered_bytes() + bytes > self.memory_limit.process_bytes {
            let Some(request) = self.partial_request_to_reject() else { return };
            self.record_memory_shortage(now);
            if request.is_job_status {
                // A worker that gets no answer sends its update again.
                self.close(request.id);
            } else {
                self.reject_partial_request(request.id, self.shortage_retry_after(), now);
                // Bytes that the client still sends are discarded.
                self.unfinished_reads.push(request.id);
            }
        }
    }

    /// Returns the partially received request that makes room first. One that takes no more than an even share
    /// of the memory stays, as the requests of all connections would have room if each took that much.
    fn partial_request_to_reject(&self) -> Option<PartialRequest> {
        let even_share = self.memory_limit.process_bytes / self.limits.downstream.max.max(1);
        let large = self.sockets.iter().filter(|socket| socket.held_bytes() > even_share);
        let partial = large.filter_map(|socket| match &socket.role {
            Role::Downstream(connection, _) if connection.has_partial_request() => Some(PartialRequest {
                is_job_status: connection.is_for_job_status(),
                used_at: connection.used_at,
                id: socket.id,
            }),
            _ => None,
        });
        partial.min_by(PartialRequest::compare)
    }

    /// Records that a request was rejected because memory is short.
    pub(super) fn record_memory_shortage(&mut self, now: Millis) {
        self.dispatch.metrics.memory_shortages += 1;
        if self.memory_limit.shortage_log_limit.allows(now) {
            let buffered_bytes = self.buffered_bytes();
            let limit = self.memory_limit.process_bytes;
            log::warn!("memory is short: buffered_bytes={buffered_bytes} limit={limit}");
        }
    }

    /// Rejects a request that is received only in part, and closes its connection once that is sent.
    pub(super) fn reject_partial_request(&mut self, id: ConnectionId, retry_after: Millis, now: Millis) {
        if let Some(Socket { role: Role::Downstream(connection, _), .. }) = self.socket(id) {
            connection.abort_request();
        }
        self.reply_rejected(id, retry_after, now);
        self.flush(id);
    }
}
