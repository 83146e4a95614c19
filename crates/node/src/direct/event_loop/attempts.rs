//! Attempts of requests at workers, and their answers.

use super::connection::{PoolWorker, RequestAttempt, Role, Upstream};
use super::EventLoop;
use crate::clock::Millis;
use crate::connection_id::ConnectionId;
use crate::direct::response::framed;
use crate::direct::service::{RequestId, RequestState};
use crate::net;
use mio::net::TcpStream;
use postusher_decision::{AttemptId, AttemptResult, WorkerId};
use postusher_direct::{
    encode_request_head, Framing, Head, MessagePart, ResponseConnection, ResponseHead, LAST_CHUNK,
};
use std::net::SocketAddr;

/// Time after which a worker connection without a request is closed.
const KEEP_ALIVE: Millis = 10_000.0;

impl EventLoop {
    /// Sends the part of a request that has been received so far to a worker.
    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        worker: WorkerId,
        address: SocketAddr,
        now: Millis,
    ) {
        let sendable = self.exchanges.get_mut(request).filter(|exchange| exchange.can_be_sent());
        let Some(exchange) = sendable else {
            let result = AttemptResult::NotSent;
            return self.service.attempt_ended(request, attempt, result, RequestState::Open, now);
        };
        let mut bytes = encode_request_head(&exchange.head, &exchange.target);
        bytes.extend_from_slice(&exchange.body);
        let is_head_request = exchange.head.method() == "HEAD";
        exchange.attempt = attempt;
        let id = match self.upstream_for(PoolWorker { pool: request.pool, worker }, address) {
            Ok(id) => id,
            Err(result) => {
                return self.service.attempt_ended(request, attempt, result, RequestState::Open, now);
            }
        };
        if let Some(upstream) = self.upstream(id) {
            upstream.current_attempt = Some(RequestAttempt { request, attempt });
            upstream.has_written = false;
            upstream.has_received = false;
            upstream.reader.answers_head_request = is_head_request;
            upstream.write_buffer.append(&bytes);
        }
        let setup = self.service.pool(request.pool);
        let is_connecting = self.sockets.get(id).is_some_and(|socket| socket.is_connecting);
        let timeout = if is_connecting { setup.connect_timeout } else { setup.timeout };
        self.sockets.set_deadline(id, now + timeout);
        if let Some(exchange) = self.exchanges.get_mut(request) {
            exchange.upstream = Some(id);
            self.pending_drives.push(exchange.downstream); // more of the body may be forwarded now
        }
        self.flush(id);
    }

    /// Replaces the connect timeout of an attempt by the request timeout, as its connection is established.
    pub(super) fn start_request_timeout(&mut self, id: ConnectionId) {
        let Some(current) = self.upstream(id).and_then(|upstream| upstream.current_attempt) else { return };
        let timeout = self.service.pool(current.request.pool).timeout;
        self.sockets.set_deadline(id, self.clock.now() + timeout);
    }

    /// Returns the most recently used idle connection to a worker, or opens a new one. An idle connection that
    /// its worker has closed, or has sent bytes on without a request, is closed.
    ///
    /// # Errors
    /// There is no connection for the attempt, which ends with the returned result.
    fn upstream_for(
        &mut self,
        pool_worker: PoolWorker,
        address: SocketAddr,
    ) -> Result<ConnectionId, AttemptResult> {
        while let Some(id) = self.idle_upstreams.take(pool_worker) {
            if self.sockets.get(id).is_some_and(|socket| !net::is_readable(&socket.stream)) {
                return Ok(id);
            }
            self.close(id);
        }
        if self.upstream_limit.is_reached() && !self.close_idle_upstream() {
            return Err(AttemptResult::NotSent);
        }
        let role = Role::Upstream(Upstream::new(pool_worker));
        let connection = TcpStream::connect(address).and_then(|stream| self.add(stream, role));
        connection.map_err(|e| {
            log::warn!("connect failed: address={address} error={e}");
            AttemptResult::ConnectFailed
        })
    }

    /// Closes an idle connection to any worker. Returns whether there was an idle connection.
    fn close_idle_upstream(&mut self) -> bool {
        let Some(id) = self.idle_upstreams.take_any() else { return false };
        self.close(id);
        true
    }

    /// Cancels an attempt.
    pub(super) fn cancel_attempt(&mut self, request: RequestId, attempt: AttemptId, now: Millis) {
        self.end_attempt(request, attempt, AttemptResult::Cancelled, now);
    }

    /// Closes the connection of an attempt if the attempt is the current one of its request, and reports its
    /// result.
    fn end_attempt(&mut self, request: RequestId, attempt: AttemptId, result: AttemptResult, now: Millis) {
        if let Some(exchange) = self.exchanges.get_mut(request) {
            if exchange.attempt == attempt {
                if let Some(id) = exchange.upstream.take() {
                    self.close(id);
                }
            }
        }
        self.service.attempt_ended(request, attempt, result, RequestState::Open, now);
    }

    /// Drops a request whose client has disconnected or whose body is malformed, and cancels its pending
    /// attempt.
    pub(super) fn abandon_request(&mut self, request: RequestId) {
        let now = self.clock.now();
        let Some(exchange) = self.exchanges.get(request) else { return };
        let attempt = exchange.attempt;
        let is_pending = exchange.upstream.is_some();
        self.service.client_disconnected(request);
        if is_pending {
            self.end_attempt(request, attempt, AttemptResult::Cancelled, now);
        }
        self.exchanges.remove(request);
    }

    /// Handles the timeout of a request. An answer that has already begun may continue.
    pub(super) fn handle_request_timeout(&mut self, request: RequestId, now: Millis) {
        let Some(exchange) = self.exchanges.get(request) else { return };
        if exchange.answer_framing.is_none() && exchange.upstream.is_some() {
            let attempt = exchange.attempt;
            self.end_attempt(request, attempt, AttemptResult::TimedOut, now);
        }
    }

    /// Handles a part of a worker's answer.
    pub(super) fn handle_answer_part(
        &mut self,
        id: ConnectionId,
        current: RequestAttempt,
        part: MessagePart,
        now: Millis,
    ) {
        match part {
            MessagePart::Head(head) if head.status() == 101 => {
                // Switching protocols would end HTTP on this connection, and no upgrade was requested.
                self.handle_disconnect(id);
            }
            MessagePart::Head(head) if (100..200).contains(&head.status()) => {}
            MessagePart::Head(head) => self.start_answer(id, current, &head),
            MessagePart::Body(bytes) => self.handle_answer_body(id, current, &bytes, now),
            MessagePart::End => self.complete_answer(id, current, now),
        }
    }

    fn start_answer(&mut self, id: ConnectionId, current: RequestAttempt, head: &Head) {
        let is_shutting_down = self.is_shutting_down();
        let Some(exchange) = self.exchanges.get_mut(current.request) else { return };
        let connection = ResponseConnection {
            client_is_http_1_1: exchange.head.is_http_1_1,
            is_head_request: exchange.head.method() == "HEAD",
            keep_alive: exchange.head.is_persistent && exchange.is_body_complete && !is_shutting_down,
        };
        let response = ResponseHead::new(head, connection);
        exchange.answer_framing = Some(response.framing);
        let downstream_id = exchange.downstream;
        if let Some(upstream) = self.upstream(id) {
            upstream.is_reusable = head.is_persistent;
        }
        if let Some(downstream) = self.downstream(downstream_id) {
            downstream.closes_after_answer |= !response.keep_alive;
            downstream.write_buffer.append(&response.bytes);
        }
        self.service.answer_streaming(current.request, current.attempt);
        self.flush(downstream_id);
    }

    fn handle_answer_body(&mut self, id: ConnectionId, current: RequestAttempt, bytes: &[u8], now: Millis) {
        let Some(exchange) = self.exchanges.get(current.request) else { return };
        let Some(framing) = exchange.answer_framing else { return };
        let downstream_id = exchange.downstream;
        let timeout = self.service.pool(current.request.pool).timeout;
        self.sockets.set_deadline(id, now + timeout);
        if let Some(downstream) = self.downstream(downstream_id) {
            downstream.write_buffer.append(&framed(framing, bytes));
        }
        self.flush(downstream_id);
    }

    /// Handles the end of a worker's answer.
    pub(super) fn complete_answer(&mut self, id: ConnectionId, current: RequestAttempt, now: Millis) {
        let RequestAttempt { request, attempt } = current;
        let Some(exchange) = self.exchanges.remove(request) else { return };
        let result = AttemptResult::Success;
        self.service.attempt_ended(request, attempt, result, RequestState::Answered, now);
        self.release_upstream(id, exchange.is_body_complete, now);
        let last_bytes = if exchange.answer_framing == Some(Framing::Chunked) { LAST_CHUNK } else { b"" };
        self.end_answer(exchange.downstream, last_bytes, true);
    }

    /// Keeps a worker connection for the next request if it can be reused; otherwise closes it.
    fn release_upstream(&mut self, id: ConnectionId, is_request_complete: bool, now: Millis) {
        let Some(upstream) = self.upstream(id) else { return };
        upstream.current_attempt = None;
        let is_flushed = upstream.write_buffer.unsent().is_empty();
        let can_be_reused = upstream.is_reusable && is_request_complete && is_flushed;
        if can_be_reused && upstream.reader.is_idle() {
            let pool_worker = upstream.pool_worker;
            self.sockets.set_deadline(id, now + KEEP_ALIVE);
            self.idle_upstreams.put(pool_worker, id);
        } else {
            self.close(id);
        }
    }
}
