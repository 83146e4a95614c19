//! Accepting, closing and timeouts of connections with clients, operators and workers.

use super::connection::{Downstream, RequestAttempt, Role, Socket, Upstream};
use super::EventLoop;
use crate::clock::Millis;
use crate::connection_id::ConnectionId;
use crate::direct::response::REQUEST_TIMEOUT;
use crate::direct::service::RequestState;
use crate::net::{self, AcceptResult, ACCEPT_BUDGET};
use mio::net::TcpStream;
use postusher_decision::AttemptResult;
use std::io;

/// Time within which the head of a request must be complete: the first one from the opening of the
/// connection, any other one from its first byte.
pub(super) const REQUEST_HEAD_TIMEOUT: Millis = 10_000.0;

impl EventLoop {
    /// Accepts waiting client connections, at most [`ACCEPT_BUDGET`] per iteration of the event loop.
    pub(super) fn accept_downstreams(&mut self) {
        for _ in 0..ACCEPT_BUDGET {
            // Connections beyond the limit wait in the accept queue of the system until another connection
            // closes.
            if self.downstream_limit.is_reached() || self.is_shutting_down() {
                self.may_accept = false;
                return;
            }
            match net::accept(&self.listener) {
                AcceptResult::Connection(stream) => self.add_downstream(stream, Downstream::new(false)),
                AcceptResult::NoneWaiting => {
                    self.may_accept = false;
                    return;
                }
                AcceptResult::Retry => {}
                AcceptResult::Failed(e) => {
                    self.may_accept = false;
                    return log::warn!("accept failed: error={e}");
                }
            }
        }
    }

    /// Accepts waiting operator connections.
    pub(super) fn accept_admin_connections(&mut self) {
        loop {
            let Some(listener) = &self.admin_listener else { return };
            let AcceptResult::Connection(stream) = net::accept(listener) else { return };
            self.add_downstream(stream, Downstream::new(true));
        }
    }

    fn add_downstream(&mut self, stream: TcpStream, downstream: Downstream) {
        let deadline = self.clock.now() + REQUEST_HEAD_TIMEOUT;
        match self.add(stream, Role::Downstream(downstream)) {
            Ok(id) => {
                self.sockets.set_deadline(id, deadline);
                self.drive(id);
            }
            Err(e) => log::warn!("connection not polled: error={e}"),
        }
    }

    /// Adds a connection, which is handled when it becomes ready. A connection to a worker is still
    /// connecting.
    ///
    /// # Errors
    /// The connection cannot be registered for polling; it is then closed.
    pub(super) fn add(&mut self, stream: TcpStream, role: Role) -> io::Result<ConnectionId> {
        let _ = stream.set_nodelay(true); // failure only adds latency
        let is_upstream = matches!(role, Role::Upstream(_));
        let id = self.sockets.insert(self.poll.registry(), stream, role, is_upstream)?;
        if is_upstream {
            self.upstream_limit.open += 1;
        } else {
            self.downstream_limit.open += 1;
        }
        Ok(id)
    }

    /// Returns the connection of a client or an operator, if it is still open.
    pub(super) fn downstream(&mut self, id: ConnectionId) -> Option<&mut Downstream> {
        match self.sockets.get_mut(id) {
            Some(Socket { role: Role::Downstream(downstream), .. }) => Some(downstream),
            _ => None,
        }
    }

    /// Returns the connection to a worker, if it is still open.
    pub(super) fn upstream(&mut self, id: ConnectionId) -> Option<&mut Upstream> {
        match self.sockets.get_mut(id) {
            Some(Socket { role: Role::Upstream(upstream), .. }) => Some(upstream),
            _ => None,
        }
    }

    /// Closes a connection if it is still open.
    pub(super) fn close(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.remove(self.poll.registry(), id) else { return };
        match socket.role {
            Role::Downstream(_) => {
                self.downstream_limit.open -= 1;
                self.may_accept |= !self.is_shutting_down();
            }
            Role::Upstream(upstream) => {
                self.upstream_limit.open -= 1;
                self.idle_upstreams.remove(upstream.pool_worker, id);
            }
        }
    }

    /// Handles the closing of a connection by its peer. The last parts of a worker's answer may still wait for
    /// room in the write buffer of the client's connection; this method is then called again later.
    pub(super) fn handle_peer_close(&mut self, id: ConnectionId) {
        if self.is_answer_held_back(id) {
            return;
        }
        let now = self.clock.now();
        if let Some(upstream) = self.upstream(id) {
            if let Some(current) = upstream.current_attempt {
                // An answer that is framed by the end of the connection is now complete.
                if upstream.reader.handle_eof() {
                    upstream.is_reusable = false;
                    return self.complete_answer(id, current, now);
                }
            }
        }
        self.handle_disconnect(id);
    }

    /// Handles a connection that was closed by the peer, failed or timed out.
    pub(super) fn handle_disconnect(&mut self, id: ConnectionId) {
        let now = self.clock.now();
        let Some(socket) = self.sockets.get_mut(id) else { return };
        let has_timed_out = socket.deadline() <= now;
        match &mut socket.role {
            Role::Downstream(downstream) => {
                let request = downstream.request.take();
                self.close(id);
                if let Some(request) = request {
                    self.abandon_request(request);
                }
            }
            Role::Upstream(upstream) => {
                let current = upstream.current_attempt;
                let result = if socket.is_connecting || !upstream.has_written {
                    AttemptResult::ConnectFailed // a request that was not written cannot have run
                } else if has_timed_out {
                    AttemptResult::TimedOut
                } else if upstream.is_reusable && !upstream.has_received {
                    AttemptResult::StaleConnection
                } else {
                    AttemptResult::Reset
                };
                self.close(id);
                if let Some(current) = current {
                    self.handle_broken_attempt(current, result, now);
                }
            }
        }
    }

    /// Handles the loss of an attempt's connection before the answer is complete.
    fn handle_broken_attempt(&mut self, current: RequestAttempt, result: AttemptResult, now: Millis) {
        let RequestAttempt { request, attempt } = current;
        let answer_has_begun = match self.exchanges.get_mut(request) {
            Some(exchange) => {
                exchange.upstream = None;
                exchange.answer_framing.is_some()
            }
            None => false,
        };
        if !answer_has_begun {
            return self.service.attempt_ended(request, attempt, result, RequestState::Open, now);
        }
        // The client may have received a part of the answer, so its connection is closed and nothing is
        // retried.
        if let Some(exchange) = self.exchanges.remove(request) {
            self.abort_answer(exchange.downstream);
        }
        self.service.attempt_ended(request, attempt, result, RequestState::Answered, now);
    }

    /// Aborts an incomplete answer; the client detects that by the closing of the connection.
    pub(super) fn abort_answer(&mut self, id: ConnectionId) {
        if let Some(downstream) = self.downstream(id) {
            downstream.request = None;
        }
        self.close(id);
    }

    /// Handles the expired deadline of a connection.
    pub(super) fn handle_deadline(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.get(id) else { return };
        match &socket.role {
            Role::Downstream(downstream) if downstream.request.is_some() => {}
            Role::Downstream(downstream)
                if downstream.reader.has_partial_message() && !downstream.closes_after_answer =>
            {
                self.reject_request(id, REQUEST_TIMEOUT);
            }
            // A downstream connection was idle for too long, or its client has not closed it after the last
            // answer. An upstream connection was idle for too long, was not established within the connect
            // timeout of its pool, or no part of an answer's body has arrived for the request timeout.
            Role::Downstream(_) | Role::Upstream(_) => self.handle_disconnect(id),
        }
    }
}
