//! Handling of requests from clients and operators: routing, forwarding of bodies, and the scheduler's own
//! answers.

use super::exchange::{Exchange, MAX_REPLAY_BODY};
use super::EventLoop;
use crate::clock::Millis;
use crate::connection_id::ConnectionId;
use crate::direct::response::{framed, response, BAD_REQUEST, CONTINUE, NOT_FOUND};
use crate::direct::service::{IncomingRequest, RequestId};
use postusher_direct::{session_route, Framing, Head, MessagePart, RouteMatch, LAST_CHUNK};
use serde_json::{json, Value};

/// Time for which a client connection without a further request is kept after an answer.
const IDLE_TIMEOUT: Millis = 75_000.0;

/// Host and request target that a request names.
struct Destination {
    host: String,
    /// The path and query.
    target: String,
}

impl Destination {
    fn of(head: &Head) -> Destination {
        // The host in an absolute-form target takes precedence over the Host header (RFC 9112, 3.2.2).
        if !head.target().starts_with('/') {
            if let Some((_, rest)) = head.target().split_once("://") {
                let path_start = rest.find('/').unwrap_or(rest.len());
                let path = if path_start < rest.len() { &rest[path_start..] } else { "/" };
                return Destination { host: rest[..path_start].to_string(), target: path.to_string() };
            }
        }
        let host = head.values("Host").next().unwrap_or("");
        Destination { host: host.to_string(), target: head.target().to_string() }
    }
}

/// Returns whether the complete body of a request is kept, so that the request can be retried.
fn is_replayable(framing: Framing) -> bool {
    match framing {
        Framing::None => true,
        Framing::Length(length) => length < MAX_REPLAY_BODY as u64,
        Framing::Chunked | Framing::UntilClose => false,
    }
}

impl EventLoop {
    /// Handles a part of a client's request.
    pub(super) fn handle_request_part(&mut self, id: ConnectionId, part: MessagePart, now: Millis) {
        match part {
            MessagePart::Head(head) => self.start_request(id, head, now),
            MessagePart::Body(bytes) => self.handle_request_body(id, &bytes),
            MessagePart::End => self.complete_request(id),
        }
    }

    fn start_request(&mut self, id: ConnectionId, head: Head, now: Millis) {
        let Some(downstream) = self.downstream(id) else { return };
        downstream.is_request_read = false;
        downstream.closes_after_answer = !head.is_persistent;
        if downstream.is_admin {
            return self.answer_admin_request(id, &head);
        }
        if head.expects_continue() {
            downstream.write_buffer.append(CONTINUE);
        }
        let Destination { host, target } = Destination::of(&head);
        let has_bad_host = head.is_http_1_1 && head.values("Host").count() != 1;
        if has_bad_host || !target.starts_with('/') || head.method() == "CONNECT" {
            return self.reject_request(id, BAD_REQUEST);
        }
        let Some(RouteMatch { pool, target }) = self.service.route(&host, &target) else {
            return self.reject_request(id, NOT_FOUND);
        };
        let sticky = self.service.pool(pool).sticky.clone();
        let session_route =
            sticky.as_ref().and_then(|sticky| session_route(sticky, head.target(), head.values("Cookie")));
        let is_replayable = is_replayable(head.framing);
        let incoming = IncomingRequest { pool, method: head.method(), is_replayable, session_route };
        let request = self.service.request_arrived(&incoming, now);
        let expires_at = now + self.service.pool(pool).timeout;
        self.exchanges.insert(request, Exchange::new(id, head, target, expires_at));
        if let Some(downstream) = self.downstream(id) {
            downstream.request = Some(request);
        }
        self.flush(id);
    }

    fn handle_request_body(&mut self, id: ConnectionId, bytes: &[u8]) {
        let Some(downstream) = self.downstream(id) else { return };
        let Some(request) = downstream.request else { return }; // answered before its end
        let Some(exchange) = self.exchanges.get(request) else { return };
        let framing = exchange.head.framing;
        self.forward_body(request, &framed(framing, bytes));
    }

    fn complete_request(&mut self, id: ConnectionId) {
        let Some(downstream) = self.downstream(id) else { return };
        downstream.is_request_read = true;
        let Some(request) = downstream.request else { return };
        let Some(exchange) = self.exchanges.get_mut(request) else { return };
        exchange.is_body_complete = true;
        if exchange.head.framing == Framing::Chunked {
            self.forward_body(request, LAST_CHUNK);
        }
    }

    /// Forwards a part of a request body to its worker, and keeps it while it may be needed for a retry.
    fn forward_body(&mut self, request: RequestId, bytes: &[u8]) {
        let Some(exchange) = self.exchanges.get_mut(request) else { return };
        exchange.keep_body(bytes);
        let Some(id) = exchange.upstream else { return };
        if let Some(upstream) = self.upstream(id) {
            upstream.write_buffer.append(bytes);
            self.flush(id);
        }
    }

    fn answer_admin_request(&mut self, id: ConnectionId, head: &Head) {
        let path = head.target().split('?').next().unwrap_or("");
        let (status, body) = match (head.method(), path) {
            ("GET", "/healthcheck") if self.is_shutting_down() => (503, String::new()),
            ("GET", "/healthcheck") => (200, String::new()),
            ("GET", "/stats") => (200, self.stats().to_string()),
            _ => (NOT_FOUND, String::new()),
        };
        let headers = "Content-Type: application/json\r\n";
        self.end_answer(id, &response(status, headers, &body, false), false);
    }

    /// Returns the metrics of the pools and the number of pending timers of connections, requests and pools.
    fn stats(&self) -> Value {
        let mut stats = self.service.stats();
        let timers = self.sockets.timer_count() + self.exchanges.timer_count() + self.service.timer_count();
        stats["timers"] = json!(timers);
        stats
    }

    /// Answers a malformed, incomplete or unroutable request with an error status, and closes the connection
    /// afterwards.
    pub(super) fn reject_request(&mut self, id: ConnectionId, status: u16) {
        let Some(downstream) = self.downstream(id) else { return };
        if let Some(request) = downstream.request {
            // The body of the current request is malformed.
            self.abandon_request(request);
        }
        self.end_answer(id, &response(status, "", "", false), false);
    }

    /// Writes the last bytes of an answer, after which the next request may begin. `keep_alive` says whether
    /// the connection may stay open.
    pub(super) fn end_answer(&mut self, id: ConnectionId, bytes: &[u8], keep_alive: bool) {
        let is_shutting_down = self.is_shutting_down();
        let deadline = self.clock.now() + IDLE_TIMEOUT;
        let Some(downstream) = self.downstream(id) else { return };
        downstream.write_buffer.append(bytes);
        downstream.request = None;
        // The rest of a request that is answered before its end is not read.
        downstream.closes_after_answer |= !keep_alive || !downstream.is_request_read || is_shutting_down;
        self.sockets.set_deadline(id, deadline);
        self.flush(id);
        self.pending_drives.push(id);
    }

    /// Sends the final answer of a request that no worker answers.
    pub(super) fn answer_without_worker(&mut self, request: RequestId, status: u16, headers: &str) {
        let Some(exchange) = self.exchanges.remove(request) else { return };
        // The dispatcher cancels a pending attempt afterwards, when the exchange that refers to the attempt's
        // connection no longer exists.
        if let Some(upstream) = exchange.upstream {
            self.close(upstream);
        }
        if exchange.answer_framing.is_some() {
            return self.abort_answer(exchange.downstream); // a part of a worker's answer has been sent
        }
        let keep_alive = exchange.is_body_complete && exchange.head.is_persistent;
        let bytes = response(status, headers, "", keep_alive);
        self.end_answer(exchange.downstream, &bytes, keep_alive);
    }
}
