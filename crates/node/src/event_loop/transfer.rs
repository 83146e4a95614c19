//! Reading and writing of connections, within a read budget per iteration.

use super::{ConnectionId, EventLoop, Role, Socket};
use crate::downstream::State;
use crate::invariant::{holds, Invariant};
use crate::net::{self, ReadResult, WriteResult};
use crate::upstream::Task;
use std::net::Shutdown;

/// Number of bytes after which reading from a connection stops for this iteration; the last read may exceed
/// it. Without a budget, a connection that receives bytes continuously would starve the others.
const READ_BUDGET_BYTES: usize = 64 * 1024;
/// Maximum number of bytes of each read that are logged at trace level.
const MAX_LOGGED_BYTES: usize = 512;

/// Why reading from a connection stopped.
enum ReadStop {
    /// No more bytes are available for now.
    WouldBlock,
    /// The peer has closed the connection, or it failed.
    Disconnected,
    /// The connection accepts no more bytes until a received request has been handled or some bytes have been
    /// written.
    Paused,
    /// The read budget of this iteration is used up.
    OverBudget,
}

impl EventLoop {
    /// Writes and reads as much as a connection allows, up to the read budget.
    pub(super) fn drive(&mut self, id: ConnectionId) {
        self.flush(id);
        // The write buffer may now have room for the answer to a request that is already in the read buffer.
        self.handle_requests(id, self.clock.now());
        let read_stop = self.read(id);
        self.flush(id);
        self.make_room(0, self.clock.now());
        match read_stop {
            // Everything that the peer had sent before the write failed is handled.
            ReadStop::WouldBlock | ReadStop::Paused if self.sockets.has_failed_write(id) => {
                return self.handle_disconnect(id);
            }
            ReadStop::WouldBlock => {}
            ReadStop::Disconnected => return self.handle_disconnect(id),
            // Readiness is not reported again for the remaining bytes, so the next iteration reads them
            // without a further event.
            ReadStop::OverBudget => self.unfinished_reads.push(id),
            // The client has closed the connection after sending more bytes than are read before its request
            // is answered, so reading does not reach the end of the stream. Without this check, its job would
            // continue, and be retried, although no client waits for it.
            ReadStop::Paused if self.socket(id).is_some_and(|socket| socket.peer_closed) => {
                return self.handle_disconnect(id);
            }
            ReadStop::Paused => {
                // A connection that is still paused is read again after the next answer, or once the client
                // has read some bytes.
                if self.sockets.get(id).is_some_and(|socket| !self.is_paused(socket)) {
                    self.unfinished_reads.push(id);
                }
            }
        }
        self.update_deadline(id);
    }

    /// Reads and handles the available bytes, up to the read budget. Returns why reading stopped.
    fn read(&mut self, id: ConnectionId) -> ReadStop {
        let mut buffer = std::mem::take(&mut self.read_buffer);
        if !holds(Invariant::RoomToRead, !buffer.is_empty()) {
            self.unfinished_reads.push(id);
            return ReadStop::WouldBlock;
        }
        let mut bytes_read = 0;
        let read_stop = loop {
            let Some(socket) = self.sockets.get(id) else { break ReadStop::WouldBlock };
            if self.is_paused(socket) {
                break ReadStop::Paused;
            }
            if bytes_read >= READ_BUDGET_BYTES {
                break ReadStop::OverBudget;
            }
            let Some(socket) = self.socket(id) else { break ReadStop::WouldBlock };
            match net::read(&mut socket.stream, &mut buffer) {
                ReadResult::Received(length) => {
                    bytes_read += length;
                    self.handle_bytes(id, &buffer[..length]);
                }
                ReadResult::WouldBlock => break ReadStop::WouldBlock,
                ReadResult::Closed | ReadResult::Failed => break ReadStop::Disconnected,
            }
        };
        self.read_buffer = buffer;
        read_stop
    }

    /// Handles received bytes according to the role of the connection.
    fn handle_bytes(&mut self, id: ConnectionId, bytes: &[u8]) {
        let now = self.clock.now();
        let logged = &bytes[..bytes.len().min(MAX_LOGGED_BYTES)];
        log::trace!("received: connection={id:?} bytes={:?}", String::from_utf8_lossy(logged));
        let Some(socket) = self.socket(id) else { return };
        match &mut socket.role {
            Role::Downstream(connection, _) => {
                connection.receive(bytes, now);
                self.handle_requests(id, now);
            }
            Role::Admin(connection) => {
                connection.receive(bytes, now);
                self.handle_admin_request(id, now);
            }
            Role::Upstream(connection) => {
                let worker = connection.worker;
                let task_end = connection.receive(bytes);
                if let Some((task, outcome)) = task_end {
                    self.handle_task_end(task, outcome, worker, now);
                }
                self.release_upstream(id);
            }
            Role::StateExchange(_) => self.handle_exchange_bytes(id, bytes, now),
            Role::Discovery(connection) => match connection.receive(bytes) {
                Some(answer) => self.handle_discovery_answer(id, answer, now),
                None => self.handle_partial_list(id, now),
            },
        }
    }

    /// Writes the contents of a connection's write buffer, as far as the socket accepts them, and records the
    /// memory that the connection holds then.
    pub(super) fn flush(&mut self, id: ConnectionId) {
        self.write(id);
        self.update_held_bytes(id);
    }

    /// Writes the contents of a connection's write buffer, as far as the socket accepts them. If the write
    /// fails, the connection is closed once everything that its peer has already sent is read, such as a
    /// worker's answer to a request that it has not read completely.
    fn write(&mut self, id: ConnectionId) {
        let now = self.clock.now();
        while let Some(socket) = self.socket(id).filter(|socket| socket.can_write()) {
            let is_upstream = matches!(socket.role, Role::Upstream(_));
            let write_buffer = socket.role.write_buffer();
            if write_buffer.unsent().is_empty() {
                break;
            }
            let is_unsent_request = is_upstream && !write_buffer.is_partly_sent();
            if is_unsent_request && net::is_readable(&socket.stream) {
                // What has arrived before the request cannot be its answer (RFC 9112, 9.2).
                return self.handle_disconnect(id);
            }
            match net::write(&mut socket.stream, write_buffer) {
                WriteResult::Written(_) => {}
                WriteResult::WouldBlock => return,
                // No byte of the request has been sent, so nothing that has arrived can be its answer.
                WriteResult::Failed if is_unsent_request => return self.handle_disconnect(id),
                WriteResult::Failed => {
                    socket.has_failed_write = true;
                    return self.unfinished_reads.push(id);
                }
            }
            let is_flushed = write_buffer.unsent().is_empty();
            match &mut socket.role {
                Role::Downstream(connection, _) | Role::Admin(connection) => connection.used_at = now,
                Role::Upstream(connection) => {
                    if is_flushed && matches!(connection.task(), Some(Task::Attempt(..))) {
                        self.dispatch.metrics.attempts += 1;
                    }
                }
                Role::Discovery(_) | Role::StateExchange(_) => {}
            }
        }
        self.shut_write_after_last_answer(id);
    }

    /// Shuts down the sending direction once the last answer has been written. Closing the connection now,
    /// with unread input, could truncate that answer.
    fn shut_write_after_last_answer(&mut self, id: ConnectionId) {
        let Some(Socket { role, stream, .. }) = self.socket(id) else { return };
        let Some(connection) = role.server_side_mut() else { return };
        if connection.state() == State::Closing && !connection.is_write_shut {
            connection.is_write_shut = true;
            let _ = stream.shutdown(Shutdown::Write); // fails only if the connection is already closed
        }
    }
}
