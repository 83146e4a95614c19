//! The one loop: poll, gather all that is ready, let the module decide on it in one go, act on what it wants.

use crate::answer::Answer;
use crate::clock::{Clock, Millis, Timers};
use crate::config::Config;
use crate::dispatch::{Deed, Dispatch};
use crate::drain::Drain;
use crate::forward::{self, End, Pool, Task};
use crate::http::{self, Outbox, RequestLine};
use crate::intake::{self, Ask};
use crate::invariant::{self, holds, Invariant};
use crate::listener::{self, State};
use crate::news::News;
use crate::target_group::{self, Applied, List, TargetGroup};
use mio::net::{TcpListener, TcpStream, UnixStream};
use mio::{Events, Interest, Poll, Token};
use postusher::{JobId, ListKind, WorkerId};
use postusher_settings::Site;
use slab::Slab;
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

const LISTENER: Token = Token(usize::MAX);
const SIGNAL: Token = Token(usize::MAX - 1);
/// Descriptors beside the connections of clients and targets: standard streams, poll, listener, signals, discovery,
/// and room for what libraries open.
const OWN_DESCRIPTORS: usize = 13;
/// One in so many of the others is for connections to targets.
const FORWARDS_ONE_IN: usize = 4;
/// So many of the rest are left to targets' news, or a quarter where there are few.
const FOR_NEWS: usize = 16;
/// Between two lines of the log on a shortage of descriptors.
const SHORT_EVERY: Millis = 10_000.0;
/// The loop looks around at least this often.
const LONGEST_SLEEP: Millis = 1_000.0;
/// After a failed accept the listener rests so long.
const ACCEPT_REST: Millis = 20.0;
/// Between two lines of counters in the log.
const COUNTERS_EVERY: Millis = 60_000.0;
/// A request that has begun to come must be whole within this time.
const PARTIAL_LIMIT: Millis = 30_000.0;
/// After its last answer a connection is kept this long for the client to read it and close.
const LINGER: Millis = 1_000.0;
/// A probe that takes longer has failed: by far more than an answer beside the queue takes.
const PROBE_LIMIT: Millis = 120.0;
/// A withdrawal that takes longer is let go.
const WITHDRAWAL_LIMIT: Millis = 2_000.0;
/// An idle connection is dropped after this part of the time for which targets keep theirs.
const KEPT_PART: f64 = 0.8;

/// Names a connection for as long as it lives; its slot may be used again by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Key {
    slot: usize,
    serial: u64,
}

#[cfg(test)]
impl Key {
    /// A key where there are no sockets.
    pub fn test(serial: u64) -> Key {
        Key { slot: 0, serial }
    }
}

enum Role {
    /// A client's connection, or one that a target brings news on; the request at hand.
    Listener(listener::Connection, Option<JobId>),
    /// A connection to a target.
    Forward(forward::Connection),
    /// The connection to discovery.
    Discovery(target_group::Connection),
}

impl Role {
    fn outbox(&mut self) -> &mut Outbox {
        match self {
            Role::Listener(c, _) => &mut c.outbox,
            Role::Forward(c) => &mut c.outbox,
            Role::Discovery(c) => &mut c.outbox,
        }
    }
}

struct Socket {
    stream: TcpStream,
    key: Key,
    role: Role,
    /// A connect that has not come up or failed yet.
    connecting: bool,
    /// When to look at it again; infinite: never.
    deadline: Millis,
}

/// A scheduler at work.
pub struct EventLoop {
    poll: Poll,
    clock: Clock,
    site: Rc<Site>,
    discovery: SocketAddr,
    listener: TcpListener,
    accept_at: Millis,
    signal: UnixStream,
    sockets: Slab<Socket>,
    serial: u64,
    /// Connections that others opened, and how many there may be.
    listeners: usize,
    most_listeners: usize,
    /// Connections to targets, likewise.
    forwards: usize,
    most_forwards: usize,
    dispatch: Dispatch,
    group: TargetGroup,
    watch: Option<Key>,
    pool: Pool,
    timers: Timers<Key>,
    drain: Drain,
    counters_at: Millis,
    /// When to say again that descriptors are short.
    short_at: Millis,
    scratch: Vec<u8>,
}

/// What one read brought.
enum ReadEnd {
    /// All there is for now.
    Dry,
    /// The other side has ended the connection, or it failed.
    Ended,
    /// The connection wants no more for now.
    Full,
}

impl EventLoop {
    /// Listens, and hands the module the list that the configuration knows.
    pub fn new(config: Config, clock: Clock) -> io::Result<EventLoop> {
        let now = clock.now();
        let poll = Poll::new()?;
        let mut listener = TcpListener::bind(config.listen)
            .map_err(|e| io::Error::new(e.kind(), format!("listening on {}: {e}", config.listen)))?;
        poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
        let (mut signal, to_signal) = UnixStream::pair()?;
        let to_signal: std::os::fd::OwnedFd = to_signal.into();
        signal_hook::low_level::pipe::register(signal_hook::consts::SIGTERM, to_signal)?;
        poll.registry().register(&mut signal, SIGNAL, Interest::READABLE)?;
        let connections = config.sockets - OWN_DESCRIPTORS;
        let site = Rc::new(config.site);
        let mut dispatch = Dispatch::new(site.clone(), config.seed, now);
        let mut group = TargetGroup::new(&site);
        let members = group.apply(config.known).members;
        log::info!(
            "{}: listening on {}, {} targets known",
            config.name,
            listener.local_addr()?,
            members.len()
        );
        dispatch.members(ListKind::Cached, members);
        Ok(EventLoop {
            poll,
            clock,
            site,
            discovery: config.discovery,
            listener,
            accept_at: now,
            signal,
            sockets: Slab::new(),
            serial: 0,
            listeners: 0,
            most_listeners: connections - connections / FORWARDS_ONE_IN,
            forwards: 0,
            most_forwards: connections / FORWARDS_ONE_IN,
            dispatch,
            group,
            watch: None,
            pool: Pool::default(),
            timers: Timers::new(),
            drain: Drain::default(),
            counters_at: now + COUNTERS_EVERY,
            short_at: now,
            scratch: vec![0; 64 * 1024],
        })
    }

    /// Runs until SIGTERM and the end of all work.
    pub fn run(&mut self) -> io::Result<()> {
        let mut events = Events::with_capacity(1024);
        while !self.is_over() {
            self.sleep(&mut events)?;
            self.gather(&events);
            self.decide_and_act();
        }
        self.log_counters("at the end");
        Ok(())
    }

    fn is_over(&self) -> bool {
        let passed = self.drain.closes_at().is_some_and(|at| self.clock.now() >= at);
        passed && self.dispatch.unanswered() == 0 && self.sockets.iter().all(|(_, s)| !s.owes())
    }

    fn sleep(&mut self, events: &mut Events) -> io::Result<()> {
        let now = self.clock.now();
        let accept = (self.accept_at > now).then_some(self.accept_at);
        let wakes = [self.dispatch.next_due(), self.timers.next(), self.drain.closes_at(), accept];
        let next = wakes.into_iter().flatten().fold(now + LONGEST_SLEEP, f64::min);
        // A drain whose time has passed waits for work to end, which is an event of its own.
        let next = if self.drain.is_on() { next.max(now + 1.0) } else { next };
        let micros = if self.dispatch.has_events() { 0.0 } else { ((next - now) * 1e3).ceil().max(0.0) };
        match self.poll.poll(events, Some(Duration::from_micros(micros as u64))) {
            Err(e) if e.kind() != ErrorKind::Interrupted => Err(e),
            _ => Ok(()),
        }
    }

    /// Takes in all that is ready; nothing is decided yet.
    fn gather(&mut self, events: &Events) {
        let resting = self.accept_at;
        for event in events {
            match event.token() {
                LISTENER => self.accept(),
                SIGNAL => self.signalled(),
                Token(slot) => self.ready(slot),
            }
        }
        let now = self.clock.now();
        if resting > 0.0 && resting <= now && resting == self.accept_at {
            self.accept();
        }
        while let Some(key) = self.timers.due(now) {
            self.socket_due(key, now);
        }
        self.dispatch.due(now);
        if self.drain.closes_at().is_some_and(|at| now >= at) {
            self.close_idle_listeners(now);
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
            let deeds = self.dispatch.decide(&self.group, now);
            for deed in deeds {
                self.act(deed, now);
            }
            if !self.dispatch.has_events() {
                break;
            }
        }
    }

    fn act(&mut self, deed: Deed, now: Millis) {
        match deed {
            Deed::Answer(client, answer) => self.answer(client, &answer, now),
            Deed::Forward { job, leg, target, request } => {
                self.forward(target, Task::Attempt(job, leg), &request, now);
            }
            Deed::Abandon(job, leg) => {
                if let Some(key) = self.pool.attempts.remove(&(job, leg)) {
                    self.abandon(key);
                }
            }
            Deed::Withdraw { target, trace } => {
                let line = RequestLine { method: "DELETE".into(), target: format!("/jobs/{trace}") };
                self.call(target, Task::Withdrawal, &line, now);
            }
            Deed::Probe(target) => {
                let path = if self.site.report.is_empty() { "/alive" } else { "/metrics/load" };
                let line = RequestLine { method: "GET".into(), target: path.into() };
                self.call(target, Task::Probe(target), &line, now);
            }
            Deed::Watch => {
                if self.watch.is_none() {
                    self.watch(now);
                }
            }
            Deed::Disconnect(target) => {
                self.pool.take_all(target).into_iter().for_each(|key| self.close(key));
            }
        }
    }

    // --- connections -------------------------------------------------------------------------------------

    fn add(
        &mut self,
        mut stream: TcpStream,
        role: Role,
        connecting: bool,
        deadline: Millis,
    ) -> io::Result<Key> {
        let entry = self.sockets.vacant_entry();
        self.serial += 1;
        let key = Key { slot: entry.key(), serial: self.serial };
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(key.slot), interest)?;
        match role {
            Role::Listener(..) => self.listeners += 1,
            Role::Forward(_) => self.forwards += 1,
            Role::Discovery(_) => {}
        }
        entry.insert(Socket { stream, key, role, connecting, deadline });
        self.set_deadline(key, deadline);
        Ok(key)
    }

    fn socket(&mut self, key: Key) -> Option<&mut Socket> {
        self.sockets.get_mut(key.slot).filter(|s| s.key == key)
    }

    fn set_deadline(&mut self, key: Key, deadline: Millis) {
        if let Some(s) = self.socket(key) {
            s.deadline = deadline;
            if deadline.is_finite() {
                self.timers.set(deadline, key);
            }
        }
    }

    /// Forgets a connection; the socket closes with it.
    fn close(&mut self, key: Key) {
        if self.socket(key).is_none() {
            return;
        }
        let mut socket = self.sockets.remove(key.slot);
        let _ = self.poll.registry().deregister(&mut socket.stream);
        match socket.role {
            Role::Listener(..) => self.listeners -= 1,
            Role::Forward(c) => {
                self.forwards -= 1;
                self.pool.remove(c.target, key);
            }
            Role::Discovery(_) if self.watch == Some(key) => self.watch = None,
            _ => {}
        }
    }

    /// Opens a connection, if there is a descriptor for it.
    fn open(&mut self, addr: SocketAddr, role: Role, deadline: Millis) -> io::Result<Key> {
        let full = matches!(role, Role::Forward(_)) && self.forwards >= self.most_forwards;
        if full && self.pool.any().map(|idle| self.close(idle)).is_none() {
            return Err(ErrorKind::QuotaExceeded.into());
        }
        let stream = TcpStream::connect(addr)?;
        let _ = stream.set_nodelay(true); // a delay at worst
        self.add(stream, role, true, deadline)
    }

    /// Closes a client's connection that is of little use: one that has had its last answer, else one that
    /// stands idle.
    fn free_listener(&mut self) -> bool {
        let over = |s: &Socket| matches!(&s.role, Role::Listener(c, _) if c.shut);
        let over = self.sockets.iter().find(|(_, s)| over(s)).map(|(_, s)| s.key);
        over.or_else(|| self.idle_listener()).map(|key| self.close(key)).is_some()
    }

    /// Whether a further job would take a descriptor that news need. Guards against: clients that wait on all
    /// descriptors for results that no target can bring any more.
    fn is_full(&mut self) -> bool {
        self.listeners > self.most_listeners - FOR_NEWS.min(self.most_listeners / 4) && !self.free_listener()
    }

    fn short(&mut self, now: Millis) {
        self.dispatch.counts.short += 1;
        if now >= self.short_at {
            self.short_at = now + SHORT_EVERY;
            let (listeners, forwards) = (self.listeners, self.forwards);
            log::warn!("descriptors are short: {listeners} connections from outside, {forwards} to targets");
        }
    }

    /// The client's connection that has been idle for longest; targets' news connections only where no other is.
    fn idle_listener(&self) -> Option<Key> {
        let now = self.clock.now();
        let idle = self.sockets.iter().filter_map(|(_, s)| match &s.role {
            Role::Listener(c, _) if c.may_close(now) => Some((c.brings_news, c.used, s.key)),
            _ => None,
        });
        let mut idle: Vec<_> = idle.collect();
        idle.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
        idle.into_iter().map(|i| i.2).find(|key| self.is_silent(*key))
    }

    fn close_idle_listeners(&mut self, now: Millis) {
        let idle = |s: &Socket| matches!(&s.role, Role::Listener(c, _) if c.may_close(now) && !c.brings_news);
        let idle: Vec<Key> = self.sockets.iter().filter(|(_, s)| idle(s)).map(|(_, s)| s.key).collect();
        for key in idle.into_iter().filter(|key| self.is_silent(*key)).collect::<Vec<_>>() {
            self.close(key);
        }
    }

    /// Whether nothing has come on a connection that was not read yet. Guards against: closing on a request
    /// that lies in the socket, which is lost then.
    fn is_silent(&self, key: Key) -> bool {
        let socket = self.sockets.get(key.slot).filter(|s| s.key == key);
        socket.is_some_and(|s| s.stream.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock))
    }

    /// Something has happened on a connection.
    fn ready(&mut self, slot: usize) {
        let Some(socket) = self.sockets.get_mut(slot) else { return };
        let key = socket.key;
        if socket.connecting && !self.connected(key) {
            return;
        }
        self.drive(key);
    }

    /// Whether a connect has come up; a failed one is dealt with.
    fn connected(&mut self, key: Key) -> bool {
        let Some(socket) = self.socket(key) else { return false };
        if let Ok(Some(_)) | Err(_) = socket.stream.take_error() {
            self.broken(key);
            return false;
        }
        match socket.stream.peer_addr() {
            Ok(_) => socket.connecting = false,
            Err(e) if e.kind() == ErrorKind::NotConnected => return false,
            Err(_) => {
                self.broken(key);
                return false;
            }
        }
        if let Role::Forward(c) = &mut socket.role {
            c.connected();
            if let Some(Task::Attempt(..)) = c.task() {
                socket.deadline = f64::INFINITY; // the connect limit is met; the module minds the rest
            }
            self.rest(key);
        }
        true
    }

    /// Reads and writes all that a connection can.
    fn drive(&mut self, key: Key) {
        loop {
            self.flush(key);
            // A request may lie in the buffer for which an answer has now made room.
            self.requests(key, self.clock.now());
            let end = self.read(key);
            self.flush(key);
            match end {
                ReadEnd::Dry => return,
                ReadEnd::Ended => return self.broken(key),
                ReadEnd::Full => {
                    let full = |s: &Socket| matches!(&s.role, Role::Listener(c, _) if !c.wants_more());
                    if self.socket(key).is_none_or(|s| full(s)) {
                        return; // goes on with the next answer, or once the client has read some
                    }
                }
            }
        }
    }

    fn read(&mut self, key: Key) -> ReadEnd {
        let mut scratch = std::mem::take(&mut self.scratch);
        let end = loop {
            let Some(socket) = self.sockets.get_mut(key.slot).filter(|s| s.key == key) else {
                break ReadEnd::Dry;
            };
            if matches!(&socket.role, Role::Listener(c, _) if !c.wants_more()) {
                break ReadEnd::Full;
            }
            match socket.stream.read(&mut scratch) {
                Ok(0) => break ReadEnd::Ended,
                Ok(n) => self.received(key, &scratch[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break ReadEnd::Dry,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break ReadEnd::Ended,
            }
        };
        self.scratch = scratch;
        end
    }

    fn received(&mut self, key: Key, bytes: &[u8]) {
        let now = self.clock.now();
        log::trace!("{key:?} brought {:?}", String::from_utf8_lossy(bytes));
        let Some(socket) = self.socket(key) else { return };
        match &mut socket.role {
            Role::Listener(c, _) => {
                c.receive(bytes, now);
                self.requests(key, now);
            }
            Role::Forward(c) => {
                let ended = c.receive(bytes);
                let target = c.target;
                if let Some((task, end)) = ended {
                    self.task_ended(task, end, target, now);
                }
                self.rest(key);
            }
            Role::Discovery(c) => {
                let answer = c.receive(bytes);
                if let Some(answer) = answer {
                    self.discovered(key, answer, now);
                }
            }
        }
    }

    /// Writes what waits to be written.
    fn flush(&mut self, key: Key) {
        while let Some(socket) = self.socket(key).filter(|s| !s.connecting) {
            let bytes = socket.role.outbox().unsent();
            if bytes.is_empty() {
                break;
            }
            // `role` and `stream` are apart, but the outbox is borrowed through the role.
            let written = match &socket.role {
                Role::Listener(c, _) => socket.stream.write(c.outbox.unsent()),
                Role::Forward(c) => socket.stream.write(c.outbox.unsent()),
                Role::Discovery(c) => socket.stream.write(c.outbox.unsent()),
            };
            match written {
                Ok(n) => socket.role.outbox().sent(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.broken(key),
            }
        }
        let now = self.clock.now();
        let Some(Socket { role: Role::Listener(c, _), stream, .. }) = self.socket(key) else { return };
        if c.state() == State::Last && !c.shut {
            // The answer may still be on its way: closing now, with input unread, could cut it off.
            c.shut = true;
            let _ = stream.shutdown(Shutdown::Write); // fails only where the connection is gone already
            self.set_deadline(key, now + LINGER);
        }
    }

    /// A connection has ended, failed or run out of time.
    fn broken(&mut self, key: Key) {
        let now = self.clock.now();
        let Some(socket) = self.socket(key) else { return };
        match &mut socket.role {
            Role::Listener(_, job) => {
                let job = job.take();
                self.close(key);
                if let Some(job) = job {
                    self.dispatch.client_gone(job);
                }
            }
            Role::Forward(c) => {
                let (ended, target) = (c.broken(), c.target);
                self.close(key);
                if let Some((task, end)) = ended {
                    self.task_ended(task, end, target, now);
                }
            }
            Role::Discovery(c) => {
                let answer = c.end();
                self.discovered(key, answer.map(|(list, _)| (list, false)), now);
            }
        }
    }

    fn socket_due(&mut self, key: Key, now: Millis) {
        let Some(socket) = self.socket(key).filter(|s| s.deadline <= now) else { return };
        socket.deadline = f64::INFINITY;
        match &mut socket.role {
            Role::Listener(c, _) if c.state() == State::Last => self.close(key),
            Role::Listener(c, _) if c.is_partial() && now < c.used + PARTIAL_LIMIT => {
                let until = c.used + PARTIAL_LIMIT;
                self.set_deadline(key, until);
            }
            Role::Listener(c, _) if c.is_partial() => self.close(key),
            Role::Listener(..) => {} // the request that was awaited has come
            Role::Forward(c) => match c.task() {
                Some(Task::Probe(worker)) if c.is_up() => {
                    self.close(key);
                    self.dispatch.probed(worker, None);
                }
                None | Some(Task::Withdrawal) => self.close(key),
                Some(_) => self.broken(key), // it did not come up in time
            },
            Role::Discovery(_) => self.discovered(key, Err("no answer in time".into()), now),
        }
    }

    // --- clients and news --------------------------------------------------------------------------------

    fn accept(&mut self) {
        let now = self.clock.now();
        self.accept_at = 0.0;
        loop {
            if self.listeners >= self.most_listeners && !self.free_listener() {
                self.accept_at = now + ACCEPT_REST;
                return log::warn!(
                    "no descriptor left for a new connection; {} are open",
                    self.sockets.len()
                );
            }
            match self.listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true); // a delay at worst
                    let role = Role::Listener(listener::Connection::new(now), None);
                    match self.add(stream, role, false, f64::INFINITY) {
                        Ok(key) => self.drive(key),
                        Err(e) => log::warn!("a new connection cannot be polled: {e}"),
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    // Guards against: a full table of descriptors, which would have the loop spin.
                    self.free_listener();
                    self.accept_at = now + ACCEPT_REST;
                    return log::warn!("accept: {e}");
                }
            }
        }
    }

    /// Takes all requests that have come whole on a connection, as far as answers allow.
    fn requests(&mut self, key: Key, now: Millis) {
        loop {
            let Some(socket) = self.socket(key) else { return };
            let Role::Listener(c, _) = &mut socket.role else { return };
            let Some(next) = c.next() else {
                if c.is_partial() && socket.deadline.is_infinite() {
                    self.set_deadline(key, now + PARTIAL_LIMIT);
                }
                return;
            };
            let message = match next {
                Ok(message) => message,
                Err(fault) => {
                    self.reply(key, now, false, |keep| http::response(fault.0, &[], b"", keep));
                    continue;
                }
            };
            match intake::read(message, &self.site) {
                Ask::Up => {
                    let status = if self.drain.is_on() { 503 } else { 200 };
                    self.reply(key, now, !self.drain.is_on(), |keep| http::response(status, &[], b"", keep));
                }
                Ask::Job(_) if self.is_full() => {
                    self.short(now);
                    let failed = Answer::Failed { expired: false };
                    self.reply(key, now, false, |keep| failed.bytes(keep));
                }
                Ask::Job(job) => match self.dispatch.arrived(key, *job, now) {
                    Ok(id) => {
                        if let Some(Socket { role: Role::Listener(_, job), .. }) = self.socket(key) {
                            *job = Some(id);
                        }
                    }
                    Err(_) => self.reply(key, now, false, |keep| http::response(409, &[], b"", keep)),
                },
                Ask::Wrong(status) => {
                    let allow = [("Allow", "POST".to_string())];
                    let headers: &[_] = if status == 405 { &allow } else { &[] };
                    self.reply(key, now, false, |keep| http::response(status, headers, b"", keep));
                }
                Ask::News(body) => {
                    let news = News::read(&body, &self.site);
                    let status = if news.is_some() { 200 } else { 400 };
                    if let Some(news) = news {
                        self.dispatch.news(news, now);
                    }
                    if let Some(Socket { role: Role::Listener(c, _), .. }) = self.socket(key) {
                        c.brings_news = true;
                    }
                    self.reply(key, now, true, |keep| http::response(status, &[], b"", keep));
                }
            }
        }
    }

    /// Answers the request at hand on a connection.
    fn reply(&mut self, key: Key, now: Millis, keep: bool, bytes: impl Fn(bool) -> Vec<u8>) {
        let Some(Socket { role: Role::Listener(c, job), .. }) = self.socket(key) else { return };
        let keep = c.keeps(keep);
        c.answer(&bytes(keep), keep, now);
        *job = None;
    }

    fn answer(&mut self, client: Key, answer: &Answer, now: Millis) {
        let keep = !self.drain.is_on();
        self.reply(client, now, keep, |keep| answer.bytes(keep));
        self.drive(client);
    }

    // --- targets -----------------------------------------------------------------------------------------

    fn call(&mut self, target: WorkerId, task: Task, line: &RequestLine, now: Millis) {
        let host = self.group.get(target).map(|t| t.addr.to_string()).unwrap_or_default();
        let request = http::request(line, &[("Host", host.as_bytes())], b"");
        self.forward(target, task, &request, now);
    }

    /// Gives a target a task, on the idle connection used last or on a new one.
    fn forward(&mut self, target: WorkerId, task: Task, request: &[u8], now: Millis) {
        let limit = match task {
            Task::Attempt(..) => f64::INFINITY,
            Task::Withdrawal => now + WITHDRAWAL_LIMIT,
            Task::Probe(_) => now + PROBE_LIMIT,
        };
        let Some(addr) = self.group.get(target).map(|t| t.addr) else {
            // A withdrawal from a target that is gone says nothing that matters.
            holds(Invariant::TargetListed, !matches!(task, Task::Attempt(..)));
            return self.task_ended(task, End::NotSent, target, now);
        };
        let key = match self.pool.take(target) {
            Some(key) => Ok(key),
            None => {
                let by = if limit.is_finite() { limit } else { now + self.site.connect_timeout_ms };
                self.open(addr, Role::Forward(forward::Connection::new(target)), by)
            }
        };
        let key = match key {
            Ok(key) => key,
            Err(e) if e.kind() == ErrorKind::QuotaExceeded => {
                self.short(now);
                return self.task_ended(task, End::NotSent, target, now);
            }
            Err(e) => {
                log::warn!("no connection to {addr}: {e}");
                return self.task_ended(task, End::NotSent, target, now);
            }
        };
        let Some(socket) = self.socket(key) else { return };
        let Role::Forward(c) = &mut socket.role else { return };
        c.start(task, request);
        if !socket.connecting {
            self.set_deadline(key, limit);
        }
        if let Task::Attempt(job, leg) = task {
            self.pool.attempts.insert((job, leg), key);
        }
        self.flush(key);
    }

    fn task_ended(&mut self, task: Task, end: End, target: WorkerId, now: Millis) {
        match task {
            Task::Attempt(job, leg) => {
                self.pool.attempts.remove(&(job, leg));
                self.dispatch.forwarded(job, leg, end, now);
            }
            Task::Probe(worker) => self.dispatch.probed(worker, Some(end)),
            Task::Withdrawal => log::debug!("withdrawal at {target:?}: {end:?}"),
        }
    }

    fn abandon(&mut self, key: Key) {
        if let Some(Socket { role: Role::Forward(c), .. }) = self.socket(key) {
            c.give_up();
            self.rest(key);
        }
    }

    /// Puts a connection to a target away, if it has nothing to do.
    fn rest(&mut self, key: Key) {
        let kept = self.clock.now() + self.site.settings.keepalive as f64 / 1e3 * KEPT_PART;
        let Some(Socket { role: Role::Forward(c), .. }) = self.socket(key) else { return };
        if c.is_closed() {
            self.close(key);
        } else if c.is_idle() {
            let target = c.target;
            self.pool.remove(target, key);
            self.pool.put(target, key);
            self.set_deadline(key, kept);
        }
    }

    // --- discovery ---------------------------------------------------------------------------------------

    /// Makes the next call of the watch on a new connection.
    fn watch(&mut self, now: Millis) {
        let (call, patience) = self.group.call(self.discovery);
        let role = Role::Discovery(target_group::Connection::new(&call));
        match self.open(self.discovery, role, now + patience) {
            Ok(key) => self.watch = Some(key),
            Err(e) => self.watch_failed(&e.to_string()),
        }
    }

    fn watch_failed(&mut self, why: &str) {
        log::warn!("discovery: {why}");
        self.dispatch.members(ListKind::Failed, Vec::new());
    }

    /// A call to discovery has ended.
    fn discovered(&mut self, key: Key, answer: Result<(List, bool), String>, now: Millis) {
        let (list, keep) = match answer {
            Ok(answer) => answer,
            Err(why) => {
                self.close(key);
                return self.watch_failed(&why);
            }
        };
        let Applied { kind, members, stale } = self.group.apply(list);
        for target in stale {
            self.pool.take_all(target).into_iter().for_each(|key| self.close(key));
        }
        self.dispatch.members(kind, members);
        // A watch goes on only if the next call comes at once.
        if !keep {
            self.close(key);
            return self.watch(now);
        }
        let (call, patience) = self.group.call(self.discovery);
        if let Some(Socket { role: Role::Discovery(c), .. }) = self.socket(key) {
            c.call(&call);
        }
        self.set_deadline(key, now + patience);
        self.flush(key);
    }

    // --- the process -------------------------------------------------------------------------------------

    fn signalled(&mut self) {
        let mut bytes = [0; 16];
        while self.signal.read(&mut bytes).is_ok_and(|n| n > 0) {}
        if !self.drain.is_on() {
            log::info!("SIGTERM: {} requests to finish", self.dispatch.unanswered());
        }
        self.drain.begin(self.clock.now());
    }

    fn log_counters(&self, when: &str) {
        let (c, open, broken) = (&self.dispatch.counts, self.sockets.len(), invariant::broken());
        log::info!(
            "{when}: taken={} served={} refused={} failed={} left={} forwards={} short={} open={open}{broken}",
            c.taken,
            c.served,
            c.refused,
            c.failed,
            c.left,
            c.forwards,
            c.short
        );
    }
}

impl Socket {
    /// Whether somebody waits for something on it.
    fn owes(&self) -> bool {
        match &self.role {
            Role::Listener(c, _) => c.state() == State::Busy || !c.outbox.unsent().is_empty(),
            Role::Forward(c) => c.task() == Some(Task::Withdrawal),
            Role::Discovery(_) => false,
        }
    }
}
