//! Reading from and writing to connections. Each time a connection is driven, a budget limits how much is
//! read, and messages are passed on in parts.

use super::connection::{Role, WRITE_BUFFER_LIMIT};
use super::connections::REQUEST_HEAD_TIMEOUT;
use super::EventLoop;
use crate::clock::Millis;
use crate::connection_id::ConnectionId;
use crate::net::{self, ConnectProgress, ReadResult, WriteResult};
use std::net::Shutdown;

/// Number of bytes after which reading from a connection stops until it is driven again; the last read may
/// exceed it. Without a budget, a peer that sends at full speed would starve the other connections.
const READ_BUDGET: usize = 128 * 1024;
/// Time for which a connection is kept after its last answer, for the client to read it and close.
const LINGER_TIMEOUT: Millis = 2_000.0;

/// Whether a further part of a message can be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextPart {
    /// Another part may be available.
    Possible,
    /// No further part can be handled for now: more bytes must arrive, a write buffer must have room again,
    /// or the current request must be answered first.
    Blocked,
}

impl EventLoop {
    /// Writes and reads as much as a connection allows, up to the read budget.
    pub(super) fn drive(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get_mut(id) else { return };
        if socket.is_connecting {
            match net::connect_progress(&socket.stream) {
                ConnectProgress::Connected => {
                    socket.is_connecting = false;
                    self.start_request_timeout(id);
                }
                ConnectProgress::Pending => return,
                ConnectProgress::Failed => return self.handle_disconnect(id),
            }
        }
        self.flush(id);
        self.handle_parts(id);
        self.read(id);
        self.flush(id);
    }

    /// Reads the available bytes, up to [`READ_BUDGET`], and passes them on.
    fn read(&mut self, id: ConnectionId) {
        let mut total = 0;
        while let Some(socket) = self.sockets.get_mut(id) {
            if total >= READ_BUDGET {
                return self.pending_drives.push(id);
            }
            let is_full = match &socket.role {
                Role::Downstream(downstream) => {
                    downstream.reader.is_full() || downstream.is_write_shut && total > 0
                }
                // Bytes that arrive without a request are no answer (RFC 9112, 9.2).
                Role::Upstream(upstream) if upstream.current_attempt.is_none() => {
                    return self.close_if_readable(id);
                }
                Role::Upstream(upstream) => upstream.reader.is_full(),
            };
            if is_full {
                // Resumed once the buffered bytes are passed on; after the last answer, by the next event.
                return;
            }
            match net::read(&mut socket.stream, &mut self.read_buffer) {
                ReadResult::Received(length) => {
                    total += length;
                    let bytes = &self.read_buffer[..length];
                    match &mut socket.role {
                        Role::Downstream(downstream) => downstream.reader.feed(bytes),
                        Role::Upstream(upstream) => {
                            upstream.has_received = true;
                            upstream.reader.feed(bytes);
                        }
                    }
                    self.handle_parts(id);
                }
                // Everything that the peer had sent before the write failed is handled.
                ReadResult::WouldBlock if socket.has_failed_write => return self.handle_disconnect(id),
                ReadResult::WouldBlock => return,
                ReadResult::Closed => return self.handle_peer_close(id),
                ReadResult::Failed => return self.handle_disconnect(id),
            }
        }
    }

    /// Closes a worker's connection without a request if the worker has closed it or has sent bytes on it. The
    /// next request would take these bytes for its answer.
    fn close_if_readable(&mut self, id: ConnectionId) {
        if self.sockets.get(id).is_some_and(|socket| net::is_readable(&socket.stream)) {
            self.close(id);
        }
    }

    /// Writes the contents of a connection's write buffer. If a full buffer has room again, the peer
    /// connection is driven too, in this iteration or the next one.
    pub(super) fn flush(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get_mut(id) else { return };
        if !socket.can_write() {
            return;
        }
        if socket.role.is_request_unsent() && net::is_readable(&socket.stream) {
            // What has arrived before the request cannot be its answer.
            return self.handle_disconnect(id);
        }
        let was_full = socket.role.is_write_buffer_full();
        while !socket.role.write_buffer().unsent().is_empty() {
            match net::write(&mut socket.stream, socket.role.write_buffer_mut()) {
                WriteResult::Written(length) => {
                    if let Role::Upstream(upstream) = &mut socket.role {
                        upstream.has_written |= length > 0;
                    }
                }
                WriteResult::WouldBlock => break,
                WriteResult::Failed if socket.role.may_have_been_answered() => {
                    socket.has_failed_write = true;
                    return self.pending_drives.push(id);
                }
                WriteResult::Failed => return self.handle_disconnect(id),
            }
        }
        let has_capacity_again = was_full && !socket.role.is_write_buffer_full();
        self.shut_write_after_last_answer(id);
        if has_capacity_again {
            self.pending_drives.extend(self.peer_connection(id));
        }
    }

    /// Shuts down the sending direction once the last answer has been written. Closing the connection now,
    /// with unread input, could truncate that answer.
    fn shut_write_after_last_answer(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get_mut(id) else { return };
        let Role::Downstream(downstream) = &mut socket.role else { return };
        let is_answered = downstream.closes_after_answer && downstream.request.is_none();
        if !is_answered || downstream.is_write_shut || !downstream.write_buffer.unsent().is_empty() {
            return;
        }
        downstream.is_write_shut = true;
        let _ = socket.stream.shutdown(Shutdown::Write); // fails only if the connection is already closed
        self.sockets.set_deadline(id, self.clock.now() + LINGER_TIMEOUT);
    }

    /// Returns the peer connection, which is the other one of the current request: the connection to the
    /// worker for that of the client, and vice versa.
    fn peer_connection(&self, id: ConnectionId) -> Option<ConnectionId> {
        match &self.sockets.get(id)?.role {
            Role::Downstream(downstream) => self.exchanges.get(downstream.request?)?.upstream,
            Role::Upstream(upstream) => {
                Some(self.exchanges.get(upstream.current_attempt?.request)?.downstream)
            }
        }
    }

    /// Passes on received parts, as far as the peer connection accepts them.
    fn handle_parts(&mut self, id: ConnectionId) {
        let now = self.clock.now();
        while let Some(socket) = self.sockets.get(id) {
            let next = match &socket.role {
                Role::Downstream(_) => self.handle_next_request_part(id, now),
                Role::Upstream(_) => self.handle_next_answer_part(id, now),
            };
            if next == NextPart::Blocked {
                return;
            }
        }
    }

    fn handle_next_request_part(&mut self, id: ConnectionId, now: Millis) -> NextPart {
        if !self.can_handle_request_part(id) {
            return NextPart::Blocked;
        }
        let Some(downstream) = self.downstream(id) else { return NextPart::Blocked };
        match downstream.reader.next_part() {
            Ok(Some(part)) => {
                self.handle_request_part(id, part, now);
                NextPart::Possible
            }
            Ok(None) => {
                self.set_head_deadline(id, now);
                NextPart::Blocked
            }
            Err(error) => {
                self.reject_request(id, error.status());
                NextPart::Blocked
            }
        }
    }

    /// Returns whether a part of a client's request can be passed on.
    fn can_handle_request_part(&self, id: ConnectionId) -> bool {
        let Some(socket) = self.sockets.get(id) else { return false };
        let Role::Downstream(downstream) = &socket.role else { return false };
        let Some(request) = downstream.request else {
            // Between requests: the next one begins once the write buffer has room again after the previous
            // answer.
            return downstream.is_request_read
                && !downstream.closes_after_answer
                && !socket.role.is_write_buffer_full();
        };
        let Some(exchange) = self.exchanges.get(request) else { return false };
        let upstream = exchange.upstream.and_then(|upstream| self.sockets.get(upstream));
        let buffered_bytes = match upstream {
            Some(upstream) => upstream.role.write_buffer().unsent().len(),
            None => exchange.body.len(),
        };
        !downstream.is_request_read && buffered_bytes < WRITE_BUFFER_LIMIT
    }

    /// Sets the deadline for a partially received head, unless the connection has an earlier deadline.
    fn set_head_deadline(&mut self, id: ConnectionId, now: Millis) {
        let Some(socket) = self.sockets.get(id) else { return };
        let Role::Downstream(downstream) = &socket.role else { return };
        let is_partial_head = downstream.request.is_none()
            && downstream.is_request_read
            && downstream.reader.has_partial_message();
        let deadline = now + REQUEST_HEAD_TIMEOUT;
        if is_partial_head && deadline < socket.deadline() {
            self.sockets.set_deadline(id, deadline);
        }
    }

    /// Returns whether parts of a worker's answer may be left that the client's connection has no room for. The
    /// connection to the worker is driven again once it has.
    pub(super) fn is_answer_held_back(&self, id: ConnectionId) -> bool {
        let is_upstream = self.sockets.get(id).is_some_and(|socket| matches!(socket.role, Role::Upstream(_)));
        let peer = self.peer_connection(id).and_then(|peer| self.sockets.get(peer));
        is_upstream && peer.is_some_and(|peer| peer.role.is_write_buffer_full())
    }

    fn handle_next_answer_part(&mut self, id: ConnectionId, now: Millis) -> NextPart {
        let Some(current) = self.upstream(id).and_then(|upstream| upstream.current_attempt) else {
            return NextPart::Blocked;
        };
        if self.exchanges.get(current.request).is_none() {
            return NextPart::Blocked;
        }
        if self.is_answer_held_back(id) {
            return NextPart::Blocked;
        }
        let Some(upstream) = self.upstream(id) else { return NextPart::Blocked };
        match upstream.reader.next_part() {
            Ok(Some(part)) => {
                self.handle_answer_part(id, current, part, now);
                NextPart::Possible
            }
            Ok(None) => NextPart::Blocked,
            Err(_) => {
                self.handle_disconnect(id);
                NextPart::Blocked
            }
        }
    }
}
