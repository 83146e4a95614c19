//! The event loop of a scheduler that serves the platform's protocol: jobs from clients, job status updates
//! from workers and the endpoint list from discovery. Each iteration polls for events, reads all ready
//! sockets, lets the dispatcher decide, and executes the dispatcher's commands.

use crate::clock::{Clock, Millis};
use crate::config::Config;
use crate::connection_id::ConnectionId;
use crate::dispatch::{Command, Dispatch};
use crate::drain::Drain;
use crate::endpoint_list::EndpointList;
use crate::http::RequestLine;
use crate::net::{self, Sockets, MAX_EVENTS, READ_BUFFER_BYTES};
use crate::reload::Reload;
use crate::upgrade_protocol::{self, JobEnd, Message};
use crate::upstream::{ConnectionPool, Task};
use crate::worker_protocol::{job_path, HEALTH_PATH, LOAD_PATH};
use accept::AcceptSchedule;
use admin::AdminInterface;
use iteration_times::IterationTimes;
use limits::ConnectionLimits;
use membership::Membership;
use memory::MemoryLimit;
use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use postusher_decision::ListUpdate;
use postusher_settings::SiteSettings;
use role::{Role, Socket};
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use signals::CounterOccasion;
use std::io;
use std::rc::Rc;
use upgrade_state::Upgrade;
use watch::ListWatch;

mod accept;
mod admin;
mod descriptor_passing;
mod downstreams;
mod idle_downstreams;
mod iteration_times;
mod limits;
mod membership;
mod memory;
mod migration;
mod role;
mod signals;
mod sockets;
mod transfer;
mod upgrade;
mod upgrade_socket;
mod upgrade_state;
mod upstreams;
mod watch;

// Reserved poll tokens; connections use tokens counted from 0.
const CLIENT_LISTENER: Token = Token(usize::MAX);
const SIGNALS: Token = Token(usize::MAX - 1);
const ADMIN_LISTENER: Token = Token(usize::MAX - 2);
const UPGRADE_PEER: Token = Token(usize::MAX - 3);
const UPGRADE_SOCKET: Token = Token(usize::MAX - 4);
const DATAGRAM_SOCKET: Token = Token(usize::MAX - 5);
const EXCHANGE_LISTENER: Token = Token(usize::MAX - 6);
/// Maximum interval between two closings of idle downstream connections, once a drain or a shutdown has
/// reached the stage at which they are closed.
const IDLE_CLOSE_INTERVAL: Millis = 20.0;
/// Interval between two log lines with counters.
const COUNTERS_INTERVAL: Millis = 60_000.0;
/// Maximum number of decision rounds per iteration. Executing a command can immediately produce an event,
/// such as a failed connect. A few rounds handle these events; the remaining ones are handled in the next
/// iteration.
const DECISION_ROUNDS: usize = 4;

/// The event loop of a scheduler, with the scheduler's sockets and state.
pub struct EventLoop {
    poll: Poll,
    clock: Clock,
    signals: Signals,
    site: Rc<SiteSettings>,
    reload: Reload,
    /// Listener for client connections; `None` once the process is about to exit.
    listener: Option<TcpListener>,
    accept_schedule: AcceptSchedule,
    /// Time at which the listener is closed; `None` until the process has nothing else left to do.
    listener_closes_at: Option<Millis>,
    sockets: Sockets<Role>,
    limits: ConnectionLimits,
    memory_limit: MemoryLimit,
    read_buffer: Vec<u8>,
    /// Connections to drive in the next iteration without a readiness event, because reading stopped before
    /// all available bytes were read.
    unfinished_reads: Vec<ConnectionId>,
    admin: AdminInterface,
    upgrade: Upgrade,
    /// Membership of this scheduler, if the setup configures it.
    membership: Option<Membership>,
    watch: ListWatch,
    endpoints: EndpointList,
    dispatch: Dispatch,
    pool: ConnectionPool,
    drain: Drain,
    counters_due_at: Millis,
    iteration_times: IterationTimes,
}

impl EventLoop {
    /// Registers handlers for the signals that a scheduler acts on. Must be called first: a signal that
    /// arrives earlier terminates the process.
    ///
    /// # Errors
    /// The system rejected the registration.
    pub fn register_signals() -> io::Result<Signals> {
        Signals::new([SIGTERM, SIGHUP])
    }

    /// Creates the event loop. Opens the listeners, or obtains the client listener from the running process
    /// in an upgrade, and passes the cached endpoint list of the configuration to the dispatcher.
    ///
    /// # Errors
    /// A listener cannot be bound, or a socket cannot be registered for polling.
    pub fn new(config: Config, reload: Reload, mut signals: Signals, clock: Clock) -> io::Result<EventLoop> {
        let now = clock.now();
        let poll = Poll::new()?;
        let socket_path = upgrade_protocol::socket_path(config.listen);
        let startup = descriptor_passing::obtain_listener(config.listen, socket_path.as_deref(), &clock)
            .map_err(|e| {
                let message = format!("cannot listen for clients on {} (key \"listen\"): {e}", config.listen);
                io::Error::new(e.kind(), message)
            })?;
        startup.listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(startup.listener);
        poll.registry().register(&mut signals, SIGNALS, Interest::READABLE)?;
        let admin = AdminInterface::new(config.admin_address, poll.registry())?;
        let membership = new_membership(&config, &clock, &poll, startup.predecessor.is_some())?;
        let membership_descriptors = if membership.is_some() { membership::RESERVED_DESCRIPTORS } else { 0 };
        let reserved_descriptors = admin.reserved_descriptors() + membership_descriptors;
        let site = Rc::new(config.site);
        let longest_deadline = site.classes.iter().map(|class| class.max_wait_ms).fold(0.0, f64::max);
        let deferral_limits = config.setup.limits(&site);
        let mut dispatch = Dispatch::new(site.clone(), config.seed, now).with_deferral(deferral_limits);
        let mut endpoints = EndpointList::new(&site);
        let cached_endpoints = endpoints.apply(config.cached_list).endpoints;
        let address = listener.local_addr()?;
        log::info!("listening: name={} address={address} workers={}", config.name, cached_endpoints.len());
        dispatch.endpoint_list_updated(ListUpdate::Cached, cached_endpoints);
        if let Some(address) = admin.local_addr()? {
            log::info!("admin interface listening: name={} address={address}", config.name);
        }
        let mut event_loop = EventLoop {
            poll,
            clock,
            signals,
            site,
            reload,
            listener: Some(listener),
            accept_schedule: AcceptSchedule::WhenReady,
            listener_closes_at: None,
            sockets: Sockets::new(),
            limits: ConnectionLimits::new(config.max_descriptors, reserved_descriptors),
            memory_limit: MemoryLimit::new(config.max_buffered_bytes),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            unfinished_reads: Vec::new(),
            admin,
            upgrade: Upgrade::new(socket_path, config.settings_digest),
            membership,
            watch: ListWatch::new(config.discovery, config.max_list_bytes),
            endpoints,
            dispatch,
            pool: ConnectionPool::default(),
            drain: Drain::new(longest_deadline),
            counters_due_at: now + COUNTERS_INTERVAL,
            iteration_times: IterationTimes::new(now),
        };
        match startup.predecessor {
            Some(predecessor) => event_loop.start_as_successor(predecessor)?,
            None => event_loop.start_accepting_clients()?,
        }
        event_loop.watch_pushed_list(now);
        Ok(event_loop)
    }

    /// Runs until the shutdown that SIGTERM starts is complete.
    ///
    /// # Errors
    /// Polling failed, or the scheduler has shut down because another process uses its membership name.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        while !self.is_finished() || self.has_last_connections() {
            let waited_from = self.clock.now();
            self.wait_for_events(&mut events)?;
            self.iteration_times.start_iteration(waited_from, self.clock.now());
            self.handle_events(&events);
            self.decide_and_act();
            self.send_admin_answers(self.clock.now());
            self.migrate_clients();
            self.iteration_times.warn_of_slow_iteration(self.clock.now());
        }
        self.log_counters(CounterOccasion::Exit);
        match self.membership.as_mut().and_then(|membership| membership.termination_reason.take()) {
            Some(reason) => Err(io::Error::other(reason.to_string())),
            None => Ok(()),
        }
    }

    /// Returns whether the process may exit.
    fn is_finished(&self) -> bool {
        let now = self.clock.now();
        // A process that shuts down while its successor accepts clients may exit as soon as its last
        // downstream connection has closed.
        let is_replaced = self.drain.is_shutting_down() && self.drain.has_successor();
        let may_exit = is_replaced && self.limits.downstream.open == 0 || self.drain.may_exit(now);
        may_exit
            && self.dispatch.unanswered_jobs() == 0
            && self.upgrade.is_flushed()
            && !self.sockets.iter().any(|socket| socket.role.has_pending_work())
            && (self.drain.is_past_deadline(now) || !self.has_unread_requests())
    }

    /// Waits for poll events until the next timer is due. Does not wait if work is left over from the
    /// previous iteration.
    fn wait_for_events(&mut self, events: &mut Events) -> io::Result<()> {
        let now = self.clock.now();
        let has_datagrams = self.membership.as_ref().is_some_and(Membership::has_unread_datagrams);
        let has_unread_input =
            !self.unfinished_reads.is_empty() || has_datagrams || self.upgrade.has_unread_messages();
        if self.dispatch.has_events() || has_unread_input {
            return net::wait(&mut self.poll, events, 0.0);
        }
        let wake_times = [
            self.dispatch.next_timer(now),
            self.sockets.next_deadline(),
            self.drain.closes_idle_at().map(|at| at.max(now + IDLE_CLOSE_INTERVAL)),
            self.accept_schedule.scheduled_time(),
            self.listener_wake_time(now),
            self.membership.as_ref().and_then(Membership::next_wake_time),
            self.drain.shutdown_deadline().filter(|deadline| now < *deadline),
        ];
        net::wait_until(&mut self.poll, events, now, &wake_times)
    }

    /// Reads all ready sockets and runs due timers. The dispatcher handles the resulting events in
    /// [`EventLoop::decide_and_act`].
    fn handle_events(&mut self, events: &Events) {
        let accept_schedule = self.accept_schedule;
        let unfinished_reads = std::mem::take(&mut self.unfinished_reads);
        // Admin requests go first so that they do not wait behind many client connections.
        let (admin_events, other_events): (Vec<_>, Vec<_>) =
            events.iter().partition(|event| self.is_admin_event(event.token()));
        for event in admin_events.into_iter().chain(other_events) {
            self.handle_event(event.token(), event.is_read_closed());
        }
        for id in unfinished_reads {
            self.drive(id);
        }
        if self.upgrade.has_unread_messages() {
            self.handle_peer_readiness();
        }
        let now = self.clock.now();
        // If the events above have already accepted connections, they have also changed the schedule.
        if accept_schedule.is_due(now) && accept_schedule == self.accept_schedule {
            self.accept_downstreams();
        }
        self.run_timers(now);
    }

    fn handle_event(&mut self, token: Token, peer_closed: bool) {
        match token {
            ADMIN_LISTENER => self.accept_admin_connections(),
            CLIENT_LISTENER => self.accept_downstreams(),
            SIGNALS => self.handle_signals(),
            UPGRADE_PEER => self.handle_peer_readiness(),
            UPGRADE_SOCKET => self.accept_successor(),
            DATAGRAM_SOCKET => self.receive_datagrams(),
            EXCHANGE_LISTENER => self.accept_exchanges(),
            connection_token => self.handle_readiness(connection_token, peer_closed),
        }
    }

    /// Runs all timers and periodic tasks that are due at `now`.
    fn run_timers(&mut self, now: Millis) {
        // Before the timeouts of requests, as a client whose request is cut off by the shutdown is to retry it
        // at another scheduler.
        if self.drain.is_past_deadline(now) {
            self.reject_partial_requests(now);
        }
        while let Some(id) = self.sockets.pop_expired(now) {
            self.handle_deadline(id, now);
        }
        self.dispatch.run_timers(now);
        self.run_membership_timers(now);
        if self.drain.closes_idle(now) {
            self.close_idle_downstreams(now);
        }
        self.resume_handshakes(now);
        if now >= self.counters_due_at {
            self.log_counters(CounterOccasion::Periodic);
            self.counters_due_at = now + COUNTERS_INTERVAL;
        }
    }

    /// Passes events to the dispatcher and executes its commands, for a limited number of rounds.
    fn decide_and_act(&mut self) {
        for _ in 0..DECISION_ROUNDS {
            let now = self.clock.now();
            for command in self.dispatch.decide(&self.endpoints, now) {
                self.run_command(command, now);
            }
            if !self.dispatch.has_events() {
                break;
            }
        }
    }

    fn run_command(&mut self, command: Command, now: Millis) {
        match command {
            Command::Answer(client, answer) => self.answer(client, &answer, now),
            Command::StartAttempt { job, attempt, worker } => self.start_attempt(job, attempt, worker, now),
            Command::AbandonAttempt(job, attempt) => self.abandon_attempt(job, attempt),
            Command::CancelAttempt { worker, trace_id, awaited_by } => {
                let line = RequestLine { method: "DELETE".into(), target: job_path(&trace_id) };
                self.send_task(worker, Task::Cancellation(awaited_by), &line, now);
            }
            Command::CheckHealth(worker) => {
                let path = if self.site.report_fields.is_empty() { HEALTH_PATH } else { LOAD_PATH };
                let line = RequestLine { method: "GET".into(), target: path.into() };
                self.send_task(worker, Task::HealthCheck(worker), &line, now);
            }
            Command::ReleaseJobId(trace_id) => {
                self.send_to_peer(|| Message::JobIdReleased(trace_id.to_string()));
            }
            Command::PublishJobEnd(trace_id, status) => {
                self.send_to_peer(|| Message::JobEnded(JobEnd { trace_id: trace_id.to_string(), status }));
            }
            Command::WatchEndpoints => self.ensure_watch(now),
            Command::CloseIdleConnections(worker) => self.close_idle_upstreams_of(worker),
        }
    }

    /// Returns the number of pending timers of connections, jobs and the decision module.
    fn timer_count(&self) -> usize {
        self.sockets.timer_count() + self.dispatch.timer_count()
    }

    /// Records that an operation was delayed or failed because a connection limit, which is derived from the
    /// descriptor limit, was reached.
    fn record_descriptor_shortage(&mut self, now: Millis) {
        self.dispatch.metrics.descriptor_shortages += 1;
        self.limits.warn_of_descriptor_shortage(now);
    }
}

/// Creates this scheduler's membership, if the setup configures it. In an upgrade, the predecessor uses the
/// membership address until this process accepts clients.
///
/// # Errors
/// The membership address cannot be bound.
fn new_membership(
    config: &Config,
    clock: &Clock,
    poll: &Poll,
    has_predecessor: bool,
) -> io::Result<Option<Membership>> {
    let setup = config.setup.0.membership.as_ref();
    let mut membership = setup.map(|setup| Membership::new(setup, config.seed, clock));
    if let Some(membership) = membership.as_mut().filter(|_| !has_predecessor) {
        membership.bind(poll.registry())?;
    }
    Ok(membership)
}
