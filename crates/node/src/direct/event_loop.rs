//! The event loop of a standalone scheduler. It relays messages between client connections and worker
//! connections, with bodies of any size passed on in parts.

use super::load;
use super::service::{Command, Service};
use crate::clock::{Clock, Millis};
use crate::connection_id::ConnectionId;
use crate::net::{self, ConnectionLimit, Sockets, MAX_EVENTS, READ_BUFFER_BYTES};
use connection::Role;
use exchange::Exchanges;
use idle_upstreams::IdleUpstreams;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use postusher_setup::Setup;
use signal_hook::consts::SIGHUP;
use signal_hook_mio::v1_0::Signals;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

mod attempts;
mod connection;
mod connections;
mod exchange;
mod idle_upstreams;
mod requests;
mod transfer;

// Reserved poll tokens; connections use tokens counted from 0.
const CLIENT_LISTENER: Token = Token(usize::MAX);
const SIGNALS: Token = Token(usize::MAX - 1);
const ADMIN_LISTENER: Token = Token(usize::MAX - 2);
/// Maximum time to wait for open requests after SIGTERM.
const SHUTDOWN_TIMEOUT: Millis = 30_000.0;
/// Number of descriptors that are not available for connections: standard streams, poll, listeners, signals,
/// the setup file during a reload, and some spare ones.
const RESERVED_DESCRIPTORS: usize = 16;
/// Maximum number of decision rounds per iteration of the event loop. Running a command can immediately
/// produce an event, such as a failed connect, which the next round handles. Events that remain after the
/// last round are handled in the next iteration.
const MAX_DECISION_ROUNDS: usize = 8;

/// The event loop of a standalone scheduler, with all its sockets and state.
pub struct EventLoop {
    poll: Poll,
    clock: Clock,
    signals: Signals,
    setup_path: PathBuf,
    /// Address of the client listener, which a reload of the setup does not change.
    listen: SocketAddr,
    listener: TcpListener,
    /// Connections may be waiting at the listener, and no limit or error has stopped accepting them.
    may_accept: bool,
    admin_listener: Option<TcpListener>,
    service: Service,
    exchanges: Exchanges,
    sockets: Sockets<Role>,
    /// Limit on connections of clients and operators.
    downstream_limit: ConnectionLimit,
    /// Limit on connections to workers.
    upstream_limit: ConnectionLimit,
    idle_upstreams: IdleUpstreams,
    /// Connections to drive without a readiness event, in this iteration or the next one.
    pending_drives: Vec<ConnectionId>,
    /// Time at which SIGTERM was received.
    shutdown_started_at: Option<Millis>,
    read_buffer: Vec<u8>,
}

fn listen_at(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address)
        .map_err(|e| io::Error::new(e.kind(), format!("cannot listen on {address}: {e}")))
}

impl EventLoop {
    /// Opens the listeners and creates the pools; no request is served yet. `descriptors` is the descriptor
    /// limit of the process. `setup_path` is read again on a reload.
    ///
    /// # Errors
    /// A listener cannot be bound, a worker's address cannot be resolved, or polling cannot be set up.
    pub fn new(
        setup: Setup,
        setup_path: PathBuf,
        listen: SocketAddr,
        descriptors: usize,
        mut signals: Signals,
        clock: Clock,
    ) -> io::Result<EventLoop> {
        let poll = Poll::new()?;
        let mut listener = listen_at(listen)?;
        poll.registry().register(&mut listener, CLIENT_LISTENER, Interest::READABLE)?;
        poll.registry().register(&mut signals, SIGNALS, Interest::READABLE)?;
        let mut admin_listener = setup.admin_address.map(listen_at).transpose()?;
        if let Some(admin_listener) = &mut admin_listener {
            poll.registry().register(admin_listener, ADMIN_LISTENER, Interest::READABLE)?;
        }
        let service = Service::new(setup.pools, clock.now()).map_err(io::Error::other)?;
        let name = setup.name.unwrap_or_else(|| "postusher".into());
        log::info!("listening: name={name} address={}", listener.local_addr()?);
        if let Some(admin_listener) = &admin_listener {
            log::info!("admin interface listening: name={name} address={}", admin_listener.local_addr()?);
        }
        let max_connections = descriptors - RESERVED_DESCRIPTORS;
        Ok(EventLoop {
            poll,
            clock,
            signals,
            setup_path,
            listen,
            listener,
            may_accept: true,
            admin_listener,
            service,
            exchanges: Exchanges::new(),
            sockets: Sockets::new(),
            downstream_limit: ConnectionLimit::new(max_connections / 2),
            upstream_limit: ConnectionLimit::new(max_connections - max_connections / 2),
            idle_upstreams: IdleUpstreams::default(),
            pending_drives: Vec::new(),
            shutdown_started_at: None,
            read_buffer: vec![0; READ_BUFFER_BYTES],
        })
    }

    /// Runs until SIGTERM has been received and all requests have finished or the shutdown has timed out.
    ///
    /// # Errors
    /// Polling failed.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        while !self.is_finished() {
            self.wait_for_events(&mut events)?;
            for event in &events {
                self.handle_event(event.token());
            }
            if self.may_accept {
                self.accept_downstreams();
            }
            for id in std::mem::take(&mut self.pending_drives) {
                self.drive(id);
            }
            self.run_timers();
            self.decide_and_act();
        }
        Ok(())
    }

    fn is_shutting_down(&self) -> bool {
        self.shutdown_started_at.is_some()
    }

    /// Returns whether the shutdown is finished: all requests are answered and all answers are written, or
    /// [`SHUTDOWN_TIMEOUT`] has passed.
    fn is_finished(&self) -> bool {
        let Some(started_at) = self.shutdown_started_at else { return false };
        let is_flushed = self.sockets.iter().all(|socket| socket.role.write_buffer().unsent().is_empty());
        if self.exchanges.len() == 0 && is_flushed {
            log::info!("shutdown finished: open_requests=0");
            return true;
        }
        let has_timed_out = self.clock.now() > started_at + SHUTDOWN_TIMEOUT;
        if has_timed_out {
            log::warn!("shutdown timed out: open_requests={}", self.exchanges.len());
        }
        has_timed_out
    }

    fn wait_for_events(&mut self, events: &mut Events) -> io::Result<()> {
        if self.service.has_events() || !self.pending_drives.is_empty() || self.may_accept {
            return net::wait(&mut self.poll, events, 0.0);
        }
        let now = self.clock.now();
        let wake_times =
            [self.service.next_due(), self.exchanges.next_timeout(), self.sockets.next_deadline()];
        net::wait_until(&mut self.poll, events, now, &wake_times)
    }

    fn handle_event(&mut self, token: Token) {
        match token {
            CLIENT_LISTENER => self.may_accept = true,
            ADMIN_LISTENER => self.accept_admin_connections(),
            SIGNALS => self.handle_signals(),
            connection => {
                if let Some(id) = self.sockets.at_token(connection).map(|socket| socket.id) {
                    self.drive(id);
                }
            }
        }
    }

    fn run_timers(&mut self) {
        let now = self.clock.now();
        while let Some(request) = self.exchanges.pop_timed_out(now) {
            self.handle_request_timeout(request, now);
        }
        while let Some(id) = self.sockets.pop_expired(now) {
            self.handle_deadline(id);
        }
    }

    fn decide_and_act(&mut self) {
        for _ in 0..MAX_DECISION_ROUNDS {
            let now = self.clock.now();
            for command in self.service.decide(now) {
                self.run_command(command, now);
            }
            if !self.service.has_events() {
                return;
            }
        }
    }

    fn run_command(&mut self, command: Command, now: Millis) {
        match command {
            Command::StartAttempt { request, attempt, worker, address } => {
                self.start_attempt(request, attempt, worker, address, now);
            }
            Command::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt, now),
            Command::Reject { request, retry_after } => {
                let mut headers = String::new();
                if retry_after > 0.0 {
                    let seconds = (retry_after / 1e3).ceil().max(1.0);
                    headers = format!("Retry-After: {seconds}\r\n");
                }
                self.answer_without_worker(request, 503, &headers);
            }
            Command::Fail { request } => {
                let exchange = self.exchanges.get(request);
                let has_timed_out = exchange.is_some_and(|exchange| exchange.expires_at <= now);
                self.answer_without_worker(request, if has_timed_out { 504 } else { 502 }, "");
            }
        }
    }

    fn handle_signals(&mut self) {
        let pending: Vec<_> = self.signals.pending().collect();
        for signal in pending {
            match signal {
                SIGHUP => self.reload_setup(),
                _ => self.start_shutdown(),
            }
        }
    }

    fn start_shutdown(&mut self) {
        log::info!("shutdown started: open_requests={}", self.exchanges.len());
        self.shutdown_started_at.get_or_insert(self.clock.now());
        let _ = self.poll.registry().deregister(&mut self.listener); // avoids needless wake-ups
        self.may_accept = false;
        let idle = self.sockets.ids(|socket| match &socket.role {
            Role::Downstream(downstream) => downstream.is_idle(),
            Role::Upstream(_) => false,
        });
        for id in idle {
            self.close(id);
        }
    }

    /// Reloads the pools from the setup file; if the file contains any error, nothing changes.
    fn reload_setup(&mut self) {
        let now = self.clock.now();
        let setup = match load(&self.setup_path, Some(self.listen)) {
            Ok(standalone) => standalone.setup,
            Err(e) => {
                return log::error!("setup reload failed, the setup stays as it was: signal=SIGHUP error={e}")
            }
        };
        match self.service.reload(setup.pools, now) {
            Ok(()) => log::info!("setup reloaded: signal=SIGHUP"),
            Err(e) => {
                log::error!("setup reload failed, the setup stays as it was: signal=SIGHUP error={e}");
            }
        }
    }
}
