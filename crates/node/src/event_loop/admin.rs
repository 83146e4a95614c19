//! The admin interface. Its connections are accepted separately from and before those of clients, and each
//! carries one request.

use super::{ConnectionId, EventLoop, Role, Socket, ADMIN_LISTENER};
use crate::admin::{self, AdminError, AdminRequest};
use crate::clock::Millis;
use crate::downstream;
use crate::http;
use crate::metrics::{DeferralGauges, Gauges};
use crate::net::{self, AcceptResult};
use crate::upgrade_protocol::Message;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::io;
use std::net::SocketAddr;

/// Maximum number of concurrent operator connections. For a further one, the oldest is closed; otherwise
/// clients that connect and never complete a request would block others.
const MAX_CONNECTIONS: usize = 16;
/// Descriptors reserved for the admin interface: its connections, the listener, and one for accepting a
/// connection.
const RESERVED_DESCRIPTORS: usize = MAX_CONNECTIONS + 2;

/// An answer to an operator. It is sent at the end of the iteration, once the dispatcher has handled the
/// changes made by the request.
enum PendingAnswer {
    /// An encoded answer.
    Bytes(Vec<u8>),
    /// The metrics at the time of sending.
    Stats,
}

/// Outcome of applying an admin request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AdminOutcome {
    /// The request was applied.
    Applied,
    /// The request names an unknown worker.
    UnknownWorker,
}

/// State of the admin interface and its pending answers.
pub(super) struct AdminInterface {
    listener: Option<TcpListener>,
    /// Number of open operator connections.
    pub(super) open_connections: usize,
    pending_answers: Vec<(ConnectionId, PendingAnswer)>,
}

impl AdminInterface {
    /// Opens the listener if an address is configured.
    ///
    /// # Errors
    /// The address cannot be bound, or the listener cannot be registered for polling.
    pub(super) fn new(address: Option<SocketAddr>, registry: &Registry) -> io::Result<AdminInterface> {
        let listener = match address {
            Some(address) => Some(listen(address, registry)?),
            None => None,
        };
        Ok(AdminInterface { listener, open_connections: 0, pending_answers: Vec::new() })
    }

    /// Returns the address of the listener, if there is one.
    ///
    /// # Errors
    /// The system cannot return the address.
    pub(super) fn local_addr(&self) -> io::Result<Option<SocketAddr>> {
        self.listener.as_ref().map(TcpListener::local_addr).transpose()
    }

    /// Returns the number of descriptors reserved for the admin interface.
    pub(super) fn reserved_descriptors(&self) -> usize {
        if self.listener.is_some() {
            RESERVED_DESCRIPTORS
        } else {
            0
        }
    }
}

fn listen(address: SocketAddr, registry: &Registry) -> io::Result<TcpListener> {
    let mut listener = TcpListener::bind(address).map_err(|e| {
        let message = format!("cannot listen for operators on {address} (key \"mgmt\" or NODE_MGMT): {e}");
        io::Error::new(e.kind(), message)
    })?;
    registry.register(&mut listener, ADMIN_LISTENER, Interest::READABLE)?;
    Ok(listener)
}

impl EventLoop {
    /// Returns whether a poll event belongs to the admin interface.
    pub(super) fn is_admin_event(&self, token: Token) -> bool {
        token == ADMIN_LISTENER || self.sockets.at_token(token).is_some_and(is_admin)
    }

    /// Accepts waiting operator connections.
    pub(super) fn accept_admin_connections(&mut self) {
        let now = self.clock.now();
        loop {
            let Some(listener) = &self.admin.listener else { return };
            match net::accept(listener) {
                AcceptResult::Connection(stream) => self.add_admin_connection(stream, now),
                AcceptResult::NoneWaiting => return,
                AcceptResult::Retry => {}
                AcceptResult::Failed(e) => {
                    log::warn!("accept failed: interface=admin error={e}");
                    if !self.close_oldest_admin_connection() {
                        return;
                    }
                }
            }
        }
    }

    fn add_admin_connection(&mut self, stream: TcpStream, now: Millis) {
        let _ = stream.set_nodelay(true); // failure only adds latency
        if self.admin.open_connections >= MAX_CONNECTIONS {
            self.close_oldest_admin_connection();
        }
        let connection = downstream::Connection::new(now);
        let deadline = connection.deadline();
        match self.add_connection(stream, Role::Admin(connection), false, deadline) {
            Ok(id) => self.drive(id),
            Err(e) => log::warn!("connection not polled: error={e}"),
        }
    }

    /// Closes the oldest operator connection. Returns whether there was one.
    fn close_oldest_admin_connection(&mut self) -> bool {
        let admin_connections = self.sockets.iter().filter(|socket| is_admin(socket));
        let oldest = admin_connections.map(|socket| socket.id).min_by_key(|id| id.serial);
        let Some(oldest) = oldest else { return false };
        self.close(oldest);
        true
    }

    /// Handles the request of an operator connection once it is complete.
    pub(super) fn handle_admin_request(&mut self, id: ConnectionId, now: Millis) {
        let Some(Socket { role: Role::Admin(connection), .. }) = self.socket(id) else { return };
        let Some(next) = connection.next() else { return };
        let answer = match next {
            Err(error) => status_answer(error.0),
            Ok(message) => match admin::read(&message.line) {
                Err(AdminError::NotFound) => status_answer(404),
                Err(AdminError::MethodNotAllowed(allowed)) => {
                    let allow = [("Allow", allowed.to_string())];
                    PendingAnswer::Bytes(http::response(405, &allow, b"", false))
                }
                Ok(request) => self.answer_admin_request(request, now),
            },
        };
        self.admin.pending_answers.push((id, answer));
    }

    /// Applies an admin request in this process and, if it changes the state, in the other process of an
    /// upgrade. Returns the answer.
    fn answer_admin_request(&mut self, request: AdminRequest, now: Millis) -> PendingAnswer {
        match request {
            AdminRequest::Stats => PendingAnswer::Stats,
            AdminRequest::Members => match self.members_json() {
                Some(json) => PendingAnswer::Bytes(json_response(&json)),
                None => status_answer(404),
            },
            AdminRequest::Healthcheck => {
                let is_healthy = self.upgrade.accepts_clients() && self.drain.is_healthy();
                status_answer(if is_healthy { 200 } else { 503 })
            }
            AdminRequest::DisableWorker(_)
            | AdminRequest::EnableWorker(_)
            | AdminRequest::Drain
            | AdminRequest::EndDrain => match self.apply_admin_request(&request, now) {
                AdminOutcome::Applied => {
                    self.send_to_peer(|| Message::AdminRequest(request));
                    status_answer(200)
                }
                AdminOutcome::UnknownWorker => status_answer(404),
            },
        }
    }

    /// Sends the answers to the admin requests of this iteration. If they were sent before the dispatcher has
    /// handled the changes, a success status would be premature and metrics would be outdated.
    pub(super) fn send_admin_answers(&mut self, now: Millis) {
        for (id, answer) in std::mem::take(&mut self.admin.pending_answers) {
            let bytes = match answer {
                PendingAnswer::Bytes(bytes) => bytes,
                PendingAnswer::Stats => json_response(&self.stats_json()),
            };
            if let Some(Socket { role: Role::Admin(connection), .. }) = self.socket(id) {
                connection.answer(&bytes, false, now);
            }
            self.drive(id);
        }
    }

    /// Applies an admin request that changes the state of this process; other requests have no effect.
    pub(super) fn apply_admin_request(&mut self, request: &AdminRequest, now: Millis) -> AdminOutcome {
        match request {
            AdminRequest::Drain => {
                self.drain.start_by_operator(now);
                log::info!("operator drain started: unanswered_jobs={}", self.dispatch.unanswered_jobs());
            }
            AdminRequest::EndDrain => {
                self.drain.cancel_by_operator();
                log::info!("operator drain ended");
            }
            AdminRequest::DisableWorker(name) => {
                let Some(worker) = self.endpoints.disable(name) else { return AdminOutcome::UnknownWorker };
                self.dispatch.worker_disabled(worker);
                log::info!("worker disabled: worker={name}");
            }
            AdminRequest::EnableWorker(name) => {
                let Some(worker) = self.endpoints.enable(name) else { return AdminOutcome::UnknownWorker };
                self.dispatch.worker_enabled(worker);
                log::info!("worker enabled: worker={name}");
            }
            AdminRequest::Healthcheck | AdminRequest::Stats | AdminRequest::Members => {}
        }
        AdminOutcome::Applied
    }

    fn stats_json(&self) -> String {
        let deferral_statistics = self.dispatch.deferred_jobs().statistics(self.clock.now());
        let deferral = deferral_statistics.map(|statistics| DeferralGauges {
            held: statistics.deferred,
            released: statistics.released,
            longest_wait_ms: statistics.longest_wait as u64,
        });
        let listed_workers = self.endpoints.listed_workers();
        let excluded = listed_workers.filter(|worker| self.dispatch.is_excluded(*worker)).count();
        self.dispatch.metrics.json(Gauges {
            in_flight: self.dispatch.unanswered_jobs(),
            workers_known: self.endpoints.listed_workers().count(),
            workers_excluded: excluded,
            timers: self.timer_count(),
            members: self.members_gauges(),
            over_quota: self.dispatch.over_quota(),
            deferral,
        })
    }
}

fn is_admin(socket: &Socket) -> bool {
    matches!(socket.role, Role::Admin(_))
}

fn status_answer(status: u16) -> PendingAnswer {
    PendingAnswer::Bytes(http::response(status, &[], b"", false))
}

fn json_response(json: &str) -> Vec<u8> {
    let headers = [("Content-Type", "application/json".to_string())];
    http::response(200, &headers, json.as_bytes(), false)
}
