//! Connecting, closing and timing out of the event loop's connections, whatever their role.

use super::upstreams::ACCEPTANCE_TIMEOUT;
use super::{ConnectionId, EventLoop, Role, Socket};
use crate::clock::Millis;
use crate::discovery::ListResponse;
use crate::net::{self, ConnectProgress};
use crate::upstream::Task;
use mio::net::TcpStream;
use mio::Token;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

impl EventLoop {
    /// Adds a connection, registers it for polling and sets its deadline.
    ///
    /// # Errors
    /// The connection cannot be registered for polling; it is then closed.
    pub(super) fn add_connection(
        &mut self,
        stream: TcpStream,
        role: Role,
        is_connecting: bool,
        deadline: Millis,
    ) -> io::Result<ConnectionId> {
        let id = self.sockets.insert(self.poll.registry(), stream, role, is_connecting)?;
        match self.sockets.get(id).map(|socket| &socket.role) {
            Some(Role::Downstream(..)) => self.limits.downstream.open += 1,
            Some(Role::Upstream(_)) => self.limits.upstream.open += 1,
            Some(Role::Admin(_)) => self.admin.open_connections += 1,
            Some(Role::StateExchange(_)) => {
                if let Some(membership) = &mut self.membership {
                    membership.exchanges += 1;
                }
            }
            Some(Role::Discovery(_)) | None => {}
        }
        self.sockets.set_deadline(id, deadline);
        Ok(id)
    }

    /// Returns a connection if it is still open.
    pub(super) fn socket(&mut self, id: ConnectionId) -> Option<&mut Socket> {
        self.sockets.get_mut(id)
    }

    /// Closes a connection if it is still open.
    pub(super) fn close(&mut self, id: ConnectionId) {
        let Some(socket) = self.sockets.remove(self.poll.registry(), id) else { return };
        match socket.role {
            Role::Downstream(..) => self.limits.downstream.open -= 1,
            Role::Admin(_) => self.admin.open_connections -= 1,
            Role::Upstream(connection) => {
                self.limits.upstream.open -= 1;
                self.pool.remove(connection.worker, id);
            }
            Role::Discovery(_) => self.watch.connection_closed(id),
            Role::StateExchange(_) => {
                if let Some(membership) = &mut self.membership {
                    membership.exchanges = membership.exchanges.saturating_sub(1);
                }
            }
        }
    }

    /// Starts connecting to an address.
    ///
    /// # Errors
    /// [`ErrorKind::QuotaExceeded`] if the limit of upstream connections is reached and none is idle;
    /// otherwise the error of the system.
    pub(super) fn connect(
        &mut self,
        address: SocketAddr,
        role: Role,
        deadline: Millis,
    ) -> io::Result<ConnectionId> {
        let is_upstream = matches!(role, Role::Upstream(_));
        if is_upstream && self.limits.upstream.is_reached() && !self.close_idle_upstream() {
            return Err(ErrorKind::QuotaExceeded.into());
        }
        let stream = TcpStream::connect(address)?;
        let _ = stream.set_nodelay(true); // failure only adds latency
        self.add_connection(stream, role, true, deadline)
    }

    /// Handles a poll event of a connection.
    pub(super) fn handle_readiness(&mut self, token: Token, peer_closed: bool) {
        let Some(socket) = self.sockets.at_token_mut(token) else { return };
        socket.peer_closed |= peer_closed;
        let id = socket.id;
        if socket.is_connecting && !self.finish_connect(id) {
            return;
        }
        self.drive(id);
    }

    /// Checks a connect in progress, and handles its success or failure. Returns whether it has succeeded.
    fn finish_connect(&mut self, id: ConnectionId) -> bool {
        let now = self.clock.now();
        let Some(socket) = self.socket(id) else { return false };
        match net::connect_progress(&socket.stream) {
            ConnectProgress::Connected => socket.is_connecting = false,
            ConnectProgress::Pending => return false,
            ConnectProgress::Failed => {
                self.handle_disconnect(id);
                return false;
            }
        }
        if let Role::Upstream(connection) = &mut socket.role {
            connection.mark_connected();
            if let Some(Task::Attempt(..)) = connection.task() {
                self.sockets.set_deadline(id, now + ACCEPTANCE_TIMEOUT); // replaces the connect timeout
            }
            self.take_over_waiting_attempt(id, now);
            self.begin_attempt(id);
            self.release_upstream(id);
        }
        true
    }

    /// Updates the deadline of a connection from a client, a worker or an operator to match its state.
    pub(super) fn update_deadline(&mut self, id: ConnectionId) {
        let Some(socket) = self.socket(id) else { return };
        let deadline = socket.deadline();
        let Some(connection) = socket.role.server_side() else { return };
        let new_deadline = connection.deadline();
        if new_deadline != deadline {
            self.sockets.set_deadline(id, new_deadline);
        }
    }

    /// Handles a connection that was closed by the peer, failed or timed out.
    pub(super) fn handle_disconnect(&mut self, id: ConnectionId) {
        let now = self.clock.now();
        let Some(socket) = self.socket(id) else { return };
        match &mut socket.role {
            Role::Downstream(_, job) => {
                let job = job.take();
                self.close(id);
                if let Some(job) = job {
                    self.dispatch.client_disconnected(job, now);
                }
            }
            Role::Admin(_) | Role::StateExchange(_) => self.close(id),
            Role::Upstream(connection) => {
                let worker = connection.worker;
                let task_end = connection.handle_disconnect();
                self.close(id);
                if let Some((task, outcome)) = task_end {
                    self.handle_task_end(task, outcome, worker, now);
                }
            }
            Role::Discovery(connection) => {
                let answer = connection.end().map(|answer| ListResponse { keep_alive: false, ..answer });
                self.handle_discovery_answer(id, answer, now);
            }
        }
    }

    /// Handles the expired deadline of a connection.
    pub(super) fn handle_deadline(&mut self, id: ConnectionId, now: Millis) {
        self.sockets.set_deadline(id, f64::INFINITY);
        let Some(socket) = self.socket(id) else { return };
        match &mut socket.role {
            Role::Downstream(connection, _) | Role::Admin(connection) if connection.deadline() > now => {
                self.update_deadline(id);
            }
            Role::Downstream(connection, _) if connection.has_partial_request() => {
                let error = connection.abort_request();
                self.reply_with_status(id, error.0, now);
                self.drive(id);
            }
            Role::Downstream(..) | Role::Admin(_) | Role::StateExchange(_) => self.handle_disconnect(id),
            Role::Upstream(connection) => match connection.task() {
                Some(Task::HealthCheck(worker)) if connection.is_up() => {
                    self.close(id);
                    self.health_check_ended(worker, None, now);
                }
                None => self.close(id),
                // The connect timed out, or the worker did not accept the job or a cancellation in time.
                Some(_) => {
                    connection.mark_timed_out();
                    self.handle_disconnect(id);
                }
            },
            Role::Discovery(connection) => {
                let error = connection.timed_out();
                self.handle_discovery_answer(id, Err(error), now);
            }
        }
    }
}
