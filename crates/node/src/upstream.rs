//! The client side of a connection to a worker, without its socket, and the pool of idle connections. A
//! connection handles one task at a time.

use crate::clock::Millis;
use crate::connection_id::ConnectionId;
use crate::http::{Decoder, Message, StatusLine, WriteBuffer};
use crate::invariant::{holds, Invariant};
use postusher_decision::{AttemptId, JobId, WorkerId};
use std::collections::HashMap;

/// Delay after an answer before the connection is reused for an attempt. A worker may erroneously send a
/// second answer some milliseconds after the first. That answer would be taken for the answer to the next
/// request, and a job that this worker is running could also be sent to another one.
const REUSE_DELAY: Millis = 20.0;

/// Task of a connection: a request to send and its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    /// An attempt of a job, until the worker has accepted it.
    Attempt(JobId, AttemptId),
    /// The cancellation of an attempt. Contains the attempt that ends once the worker has answered, if it waits
    /// for that.
    Cancellation(Option<(JobId, AttemptId)>),
    /// A health check of a worker.
    HealthCheck(WorkerId),
}

/// Outcome of a task.
#[derive(Debug)]
pub enum TaskOutcome {
    /// The worker answered.
    Answer(Message<StatusLine>),
    /// No connection was available, or the connection failed before the last byte of the request was written,
    /// so the worker cannot have processed the request.
    NotSent,
    /// The request was withheld before its first byte was written, because it must no longer be sent. The
    /// connection has not failed.
    Withheld,
    /// The connection failed after the last byte of the request was written, without an answer.
    Broken,
    /// A reused connection failed.
    Stale {
        /// The last byte of the request was written.
        sent: bool,
    },
}

/// A connection to a worker.
pub struct Connection {
    /// The worker.
    pub worker: WorkerId,
    decoder: Decoder<StatusLine>,
    /// The request that is being written.
    pub write_buffer: WriteBuffer,
    task: Option<Task>,
    /// The request of the task has been added to the write buffer. An empty write buffer alone does not mean
    /// that the request is sent: it is also empty while the task waits for the connection to be established.
    is_request_buffered: bool,
    /// The connection has received an answer before this task. If it fails now, a device on the path may have
    /// dropped it while it was idle, which does not indicate the worker's health.
    is_reused: bool,
    state: State,
}

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The connect is in progress.
    Connecting,
    /// The connection is established.
    Up,
    /// The connection can no longer be used.
    Closed,
}

impl Connection {
    /// Creates a connection whose connect is in progress.
    pub fn new(worker: WorkerId) -> Self {
        Connection {
            worker,
            decoder: Decoder::new(),
            write_buffer: WriteBuffer::default(),
            task: None,
            is_request_buffered: false,
            is_reused: false,
            state: State::Connecting,
        }
    }

    /// Starts a task; its request is written once the connection is established.
    pub fn start(&mut self, task: Task) {
        if holds(Invariant::ConnectionIdle, !self.is_closed() && self.task.is_none()) {
            self.task = Some(task);
            self.is_request_buffered = false;
        }
    }

    /// Adds the request of the task to the write buffer.
    pub fn write_request(&mut self, request: &[u8]) {
        if holds(Invariant::ConnectionIdle, self.task.is_some() && !self.is_request_buffered) {
            self.write_buffer.append(request);
            self.is_request_buffered = true;
        }
    }

    /// Returns the memory that received and unsent bytes take, in bytes.
    pub fn held_bytes(&self) -> usize {
        self.decoder.held_bytes() + self.write_buffer.held_bytes()
    }

    /// Returns whether the last byte of the request has been written to the socket.
    fn is_sent(&self) -> bool {
        self.is_request_buffered && self.write_buffer.unsent().is_empty()
    }

    /// Records that the connect has succeeded.
    pub fn mark_connected(&mut self) {
        if self.state == State::Connecting {
            self.state = State::Up;
        }
    }

    /// Returns the current task, if there is one.
    pub fn task(&self) -> Option<Task> {
        self.task
    }

    /// Returns whether the connection is established and usable.
    pub fn is_up(&self) -> bool {
        self.state == State::Up
    }

    /// Returns whether the connection is established, usable and without a task.
    pub fn is_idle(&self) -> bool {
        self.is_up() && self.task.is_none()
    }

    /// Returns the time from which the connection can be used for an attempt if it becomes idle at `now`.
    pub fn usable_from(&self, now: Millis) -> Millis {
        if self.is_reused {
            now + REUSE_DELAY
        } else {
            now
        }
    }

    /// Returns whether the connection can no longer be used.
    pub fn is_closed(&self) -> bool {
        self.state == State::Closed
    }

    /// Handles received bytes. Returns the task and its outcome if the bytes end the task. Bytes that arrive
    /// without a task are no answer (RFC 9112, 9.2), and the connection can no longer be used.
    pub fn receive(&mut self, bytes: &[u8]) -> Option<(Task, TaskOutcome)> {
        if self.task.is_none() {
            self.state = State::Closed;
            return None;
        }
        self.decoder.feed(bytes);
        loop {
            match self.decoder.next() {
                Ok(Some(message)) if (100..200).contains(&message.line.status) => {}
                Ok(Some(message)) => return self.handle_answer(message),
                Ok(None) => return None,
                Err(_) => return self.handle_disconnect(),
            }
        }
    }

    fn handle_answer(&mut self, message: Message<StatusLine>) -> Option<(Task, TaskOutcome)> {
        // A worker that answers before the last byte of the request may leave the rest unread.
        let can_be_reused = message.keep_alive && self.decoder.is_empty() && self.is_sent();
        if !can_be_reused {
            self.state = State::Closed;
        }
        self.is_reused = true;
        Some((self.task.take()?, TaskOutcome::Answer(message)))
    }

    /// Handles a connection that could not be established, was closed or failed. Returns the task and its
    /// outcome, if there is a task.
    pub fn handle_disconnect(&mut self) -> Option<(Task, TaskOutcome)> {
        self.state = State::Closed;
        let outcome = match self.decoder.finish() {
            Some(message) => TaskOutcome::Answer(message),
            None if self.is_reused => TaskOutcome::Stale { sent: self.is_sent() },
            None if self.is_sent() => TaskOutcome::Broken,
            None => TaskOutcome::NotSent,
        };
        Some((self.task.take()?, outcome))
    }

    /// Records that the worker has not answered in time, so that the following disconnect is not attributed
    /// to a stale connection.
    pub fn mark_timed_out(&mut self) {
        self.is_reused = false;
    }

    /// Abandons the task. If nothing of the request has been written, it is removed from the write buffer;
    /// otherwise the connection is closed.
    pub fn abandon_task(&mut self) {
        if self.task.take().is_some() {
            if self.is_sent() || self.write_buffer.is_partly_sent() {
                self.state = State::Closed;
            }
            self.write_buffer.clear();
        }
    }
}

/// An idle connection in the pool.
struct IdleConnection {
    id: ConnectionId,
    usable_from: Millis,
}

/// The idle connections of each worker, and the connections of pending attempts.
#[derive(Default)]
pub struct ConnectionPool {
    /// Ordered by last use, the most recent at the end.
    idle: HashMap<WorkerId, Vec<IdleConnection>>,
    /// Connections of attempts that their worker has not accepted yet.
    pub attempts: HashMap<(JobId, AttemptId), ConnectionId>,
}

impl ConnectionPool {
    /// Adds an idle connection that can be used for an attempt from the given time on.
    pub fn put(&mut self, worker: WorkerId, id: ConnectionId, usable_from: Millis) {
        self.idle.entry(worker).or_default().push(IdleConnection { id, usable_from });
    }

    /// Takes the most recently used idle connection to a worker among those usable by the given time.
    pub fn take(&mut self, worker: WorkerId, usable_by: Millis) -> Option<ConnectionId> {
        let idle = self.idle.get_mut(&worker)?;
        let last = idle.iter().rposition(|connection| connection.usable_from <= usable_by)?;
        Some(idle.remove(last).id)
    }

    /// Removes a connection if it is idle.
    pub fn remove(&mut self, worker: WorkerId, id: ConnectionId) {
        if let Some(idle) = self.idle.get_mut(&worker) {
            idle.retain(|connection| connection.id != id);
            if idle.is_empty() {
                self.idle.remove(&worker);
            }
        }
    }

    /// Takes all idle connections of a worker.
    pub fn take_all(&mut self, worker: WorkerId) -> Vec<ConnectionId> {
        let idle = self.idle.remove(&worker).unwrap_or_default();
        idle.into_iter().map(|connection| connection.id).collect()
    }

    /// Returns the connection that has been idle longest among those to an arbitrary worker; `None` if no
    /// connection is idle.
    pub fn longest_idle(&self) -> Option<ConnectionId> {
        self.idle.values().find_map(|idle| idle.first().map(|connection| connection.id))
    }
}

#[cfg(test)]
mod tests;
