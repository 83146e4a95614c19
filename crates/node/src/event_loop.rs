//! The one loop: poll, gather all that is ready, let the module decide on it in one go, act on what it wants.

use crate::clock::{Clock, Millis, Timers};
use crate::config::Config;
use crate::connection_id::ConnectionId;
use crate::discovery;
use crate::dispatch::{Command, Dispatch};
use crate::downstream;
use crate::drain::Drain;
use crate::endpoint_list::EndpointList;
use crate::http::{Outbox, RequestLine};
use crate::membership::StateExchange;
use crate::reload::Reload;
use crate::upgrade_protocol::{self, JobEnd, Message};
use crate::upstream::{self, Pool, Task};
use membership::Membership;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};
use postusher_decision::{JobId, ListUpdate};
use postusher_settings::SiteSettings;
use signal_hook::consts::{SIGHUP, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use slab::Slab;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use upgrade::Upgrade;

mod admin;
mod descriptor_passing;
mod downstreams;
mod membership;
mod signals;
mod sockets;
mod upgrade;
mod upstreams;
mod watch;

const LISTENER: Token = Token(usize::MAX);
const SIGNAL: Token = Token(usize::MAX - 1);
const MANAGEMENT: Token = Token(usize::MAX - 2);
const PEER: Token = Token(usize::MAX - 3);
const DOOR: Token = Token(usize::MAX - 4);
const DATAGRAMS: Token = Token(usize::MAX - 5);
const EXCHANGES: Token = Token(usize::MAX - 6);
/// Descriptors beside the connections of clients and workers: standard streams, poll, listener, signals, discovery, the
/// other process of an upgrade, and room for what libraries open.
const OWN_DESCRIPTORS: usize = 13;
/// A process that shares few descriptors with another in an upgrade has this many connections all the same.
const FEWEST_CONNECTIONS: usize = 8;
/// One in so many of the others is for connections to workers.
const FORWARDS_ONE_IN: usize = 4;
/// The loop looks around at least this often.
const LONGEST_SLEEP: Millis = 1_000.0;
/// Near the end, idle connections are closed so often.
const CLOSE_EVERY: Millis = 20.0;
/// Between two lines of counters in the log.
const COUNTERS_EVERY: Millis = 60_000.0;

/// How many connections from outside and to workers there may be, of so many descriptors.
fn shares(descriptors: usize, managed: bool, member: bool) -> (usize, usize) {
    let own = OWN_DESCRIPTORS + if managed { admin::DESCRIPTORS } else { 0 };
    let own = own + if member { membership::DESCRIPTORS } else { 0 };
    let connections = descriptors.saturating_sub(own).max(FEWEST_CONNECTIONS);
    (connections - connections / FORWARDS_ONE_IN, connections / FORWARDS_ONE_IN)
}

enum Role {
    /// A client's connection, or one that a worker brings news on; the request at hand.
    Downstream(downstream::Connection, Option<JobId>),
    /// An operator's connection.
    Admin(downstream::Connection),
    /// A connection to a worker.
    Upstream(upstream::Connection),
    /// The connection to discovery.
    Discovery(discovery::Connection),
    /// A connection to or from another member.
    StateExchange(StateExchange),
}

impl Role {
    fn outbox(&mut self) -> &mut Outbox {
        match self {
            Role::Downstream(c, _) | Role::Admin(c) => &mut c.outbox,
            Role::Upstream(c) => &mut c.outbox,
            Role::Discovery(c) => &mut c.outbox,
            Role::StateExchange(c) => &mut c.outbox,
        }
    }

    /// The side of a connection that others opened, if they did.
    fn outside(&mut self) -> Option<&mut downstream::Connection> {
        match self {
            Role::Downstream(c, _) | Role::Admin(c) => Some(c),
            _ => None,
        }
    }

    /// The same, to look at.
    fn outside_ref(&self) -> Option<&downstream::Connection> {
        match self {
            Role::Downstream(c, _) | Role::Admin(c) => Some(c),
            _ => None,
        }
    }
}

struct Socket {
    stream: TcpStream,
    key: ConnectionId,
    role: Role,
    /// A connect that has not come up or failed yet.
    connecting: bool,
    /// The other side has sent its last byte; what came before it may not be read yet.
    peer_closed: bool,
    /// When to look at it again; infinite: never.
    deadline: Millis,
}

/// A scheduler at work.
pub struct EventLoop {
    poll: Poll,
    clock: Clock,
    site: Rc<SiteSettings>,
    discovery: SocketAddr,
    /// Where clients connect; none once the process is about to end.
    listener: Option<TcpListener>,
    /// Where operators call, and how many of their connections there are.
    admin_listener: Option<TcpListener>,
    admin_connections: usize,
    /// Calls of this turn with their answers; none: the metrics.
    called: Vec<(ConnectionId, Option<Vec<u8>>)>,
    /// When to look for new connections unasked; 0: not before one is told of.
    accept_at: Millis,
    /// Connections that have had their part of a turn and may have more.
    again: Vec<ConnectionId>,
    signals: Signals,
    reload: Reload,
    upgrade: Upgrade,
    /// Descriptors of the scheduler, which two processes share in an upgrade.
    descriptors: usize,
    sockets: Slab<Socket>,
    serial: u64,
    /// Connections that others opened, and how many there may be.
    downstreams: usize,
    max_downstreams: usize,
    /// Connections to workers, likewise.
    upstreams: usize,
    max_upstreams: usize,
    /// This scheduler as a member among others, where the setup says so.
    members: Option<Membership>,
    dispatch: Dispatch,
    endpoints: EndpointList,
    watch: Option<ConnectionId>,
    /// A list of discovery's holds this many bytes at most.
    max_list: usize,
    /// Discovery has been called since the start.
    list_asked: bool,
    /// Since when an answer of discovery has begun that was not taken in yet.
    answer_begun: Option<Millis>,
    pool: Pool,
    timers: Timers<ConnectionId>,
    drain: Drain,
    counters_at: Millis,
    /// When to say again that descriptors are short.
    short_at: Millis,
    scratch: Vec<u8>,
}

impl EventLoop {
    /// The signals that a scheduler acts on. Guards against: one that comes before they are waited for, and ends
    /// the process.
    pub fn signals() -> io::Result<Signals> {
        Signals::new([SIGTERM, SIGHUP])
    }

    /// Listens, and hands the module the list that the configuration knows.
    pub fn new(config: Config, reload: Reload, mut signals: Signals, clock: Clock) -> io::Result<EventLoop> {
        let now = clock.now();
        let poll = Poll::new()?;
        let path = upgrade_protocol::socket_path(config.listen);
        let start = descriptor_passing::start(config.listen, path.as_deref(), &clock)
            .map_err(|e| io::Error::new(e.kind(), format!("listening on {}: {e}", config.listen)))?;
        start.listener.set_nonblocking(true)?;
        let listener = TcpListener::from_std(start.listener);
        poll.registry().register(&mut signals, SIGNAL, Interest::READABLE)?;
        let admin_listener = config.mgmt.map(|addr| admin::listen(addr, poll.registry())).transpose()?;
        let (max_downstreams, max_upstreams) =
            shares(config.sockets, admin_listener.is_some(), config.setup.0.members.is_some());
        let mut membership = config.setup.0.members.as_ref().map(|m| Membership::new(m, config.seed, &clock));
        // In an upgrade the process before has the address until this one takes clients.
        if let Some(membership) = membership.as_mut().filter(|_| start.before.is_none()) {
            membership.bind(poll.registry())?;
        }
        let site = Rc::new(config.site);
        let longest = site.classes.iter().map(|class| class.max_wait_ms).fold(0.0, f64::max);
        let limits = config.setup.limits(&site);
        let mut dispatch = Dispatch::new(site.clone(), config.seed, now).with_deferral(limits);
        let mut endpoints = EndpointList::new(&site);
        let known = endpoints.apply(config.known).endpoints;
        log::info!("{}: listening on {}, {} workers known", config.name, listener.local_addr()?, known.len());
        dispatch.endpoint_list(ListUpdate::Cached, known);
        if let Some(admin_listener) = &admin_listener {
            log::info!("{}: operators call at {}", config.name, admin_listener.local_addr()?);
        }
        let mut new = EventLoop {
            poll,
            clock,
            site,
            discovery: config.discovery,
            listener: Some(listener),
            admin_listener,
            admin_connections: 0,
            called: Vec::new(),
            accept_at: 0.0,
            again: Vec::new(),
            signals,
            reload,
            upgrade: Upgrade::new(path, config.digest),
            descriptors: config.sockets,
            sockets: Slab::new(),
            serial: 0,
            downstreams: 0,
            max_downstreams,
            upstreams: 0,
            max_upstreams,
            members: membership,
            dispatch,
            endpoints,
            watch: None,
            max_list: config.max_list,
            list_asked: false,
            answer_begun: None,
            pool: Pool::default(),
            timers: Timers::new(),
            drain: Drain::new(longest),
            counters_at: now + COUNTERS_EVERY,
            short_at: now,
            scratch: vec![0; 64 * 1024],
        };
        new.follow(start.before)?;
        new.watch_pushed_list(now);
        Ok(new)
    }

    /// Runs until SIGTERM and the end of all work.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        while !self.is_over() || self.accepts_more() {
            self.sleep(&mut events)?;
            self.gather(&events);
            self.decide_and_act();
            self.answer_calls(self.clock.now());
            self.move_clients();
        }
        self.log_counters("at the end");
        let taken = self.members.as_mut().and_then(|m| m.taken.take());
        taken.map_or(Ok(()), |why| Err(io::Error::other(why)))
    }

    fn is_over(&self) -> bool {
        // Once its successor takes clients, a process may end with its last connection.
        let left = self.drain.is_shutting_down() && self.drain.has_successor() && self.downstreams == 0;
        (left || self.drain.may_exit(self.clock.now()))
            && self.dispatch.unanswered_jobs() == 0
            && self.upgrade.is_flushed()
            && self.sockets.iter().all(|(_, s)| !s.owes())
            && (self.drain.is_past_deadline(self.clock.now()) || !self.has_unread_requests())
    }

    fn sleep(&mut self, events: &mut Events) -> io::Result<()> {
        let now = self.clock.now();
        let accept = (self.accept_at > 0.0).then_some(self.accept_at);
        // Once they are to be closed, connections fall idle one by one.
        let closes = self.drain.closes_idle_at().map(|at| at.max(now + CLOSE_EVERY));
        let member = self.members.as_ref().and_then(Membership::next_wake);
        let end = self.drain.shutdown_deadline().filter(|end| now < *end);
        let wakes = [self.dispatch.next_due(now), self.timers.next(), closes, accept, member, end];
        let next = wakes.into_iter().flatten().fold(now + LONGEST_SLEEP, f64::min);
        let left = self.members.as_ref().is_some_and(Membership::has_more);
        let more = self.dispatch.has_events() || !self.again.is_empty() || left;
        let micros = if more { 0.0 } else { ((next - now) * 1e3).ceil().max(0.0) };
        match self.poll.poll(events, Some(Duration::from_micros(micros as u64))) {
            Err(e) if e.kind() != ErrorKind::Interrupted => Err(e),
            _ => Ok(()),
        }
    }

    /// Takes in all that is ready; nothing is decided yet.
    fn gather(&mut self, events: &Events) {
        let resting = self.accept_at;
        let again = std::mem::take(&mut self.again);
        // Guards against: operators who wait behind a crowd of clients.
        let (calls, others): (Vec<_>, Vec<_>) = events.iter().partition(|event| self.is_call(event.token()));
        for event in calls.into_iter().chain(others) {
            match event.token() {
                MANAGEMENT => self.accept_managers(),
                LISTENER => self.accept(),
                SIGNAL => self.signalled(),
                PEER => self.peer_ready(),
                DOOR => self.knocked(),
                DATAGRAMS => self.datagrams(),
                EXCHANGES => self.accept_exchanges(),
                Token(slot) => self.ready(slot, event.is_read_closed()),
            }
        }
        again.into_iter().for_each(|key| self.drive(key));
        let now = self.clock.now();
        if resting > 0.0 && resting <= now && resting == self.accept_at {
            self.accept();
        }
        while let Some(key) = self.timers.due(now) {
            self.socket_due(key, now);
        }
        self.dispatch.run_timers(now);
        self.mind_members(now);
        if self.drain.closes_idle(now) {
            self.close_idle_listeners(now);
        }
        if self.drain.is_past_deadline(now) {
            self.refuse_half_read(now);
        }
        if now >= self.counters_at {
            self.log_counters("so far");
            self.counters_at = now + COUNTERS_EVERY;
        }
    }

    fn decide_and_act(&mut self) {
        // Acting may bring news at once, such as a connect that fails; a few rounds settle it, and what is
        // left then waits for the next turn.
        for _ in 0..4 {
            let now = self.clock.now();
            let commands = self.dispatch.decide(&self.endpoints, now);
            for command in commands {
                self.act(command, now);
            }
            if !self.dispatch.has_events() {
                break;
            }
        }
    }

    fn act(&mut self, command: Command, now: Millis) {
        match command {
            Command::Answer(client, answer) => self.answer(client, &answer, now),
            Command::StartAttempt { job, attempt, worker } => self.attempt(job, attempt, worker, now),
            Command::AbandonAttempt(job, attempt) => {
                if let Some(key) = self.pool.attempts.remove(&(job, attempt)) {
                    self.abandon(key);
                }
            }
            Command::CancelAttempt { worker, trace_id } => {
                let line = RequestLine { method: "DELETE".into(), target: format!("/jobs/{trace_id}") };
                self.call(worker, Task::Cancellation, &line, now);
            }
            Command::CheckHealth(worker) => {
                let path = if self.site.report_fields.is_empty() { "/alive" } else { "/metrics/load" };
                let line = RequestLine { method: "GET".into(), target: path.into() };
                self.call(worker, Task::HealthCheck(worker), &line, now);
            }
            Command::ReleaseJobId(id) => self.tell(|| Message::JobIdReleased(id.to_string())),
            Command::PublishJobEnd(id, how) => {
                self.tell(|| Message::JobEnded(JobEnd { trace_id: id.to_string(), status: how }));
            }
            Command::WatchEndpoints => {
                if self.watch.is_none() {
                    self.watch(now);
                }
            }
            Command::CloseIdleConnections(worker) => {
                self.pool.take_all(worker).into_iter().for_each(|key| self.close(key));
            }
        }
    }
}

impl Socket {
    /// Whether somebody waits for something on it.
    fn owes(&self) -> bool {
        match &self.role {
            Role::Downstream(c, _) => c.owes(),
            Role::Upstream(c) => c.task() == Some(Task::Cancellation),
            Role::Admin(c) => !c.outbox.unsent().is_empty(),
            Role::Discovery(_) | Role::StateExchange(_) => false,
        }
    }
}
