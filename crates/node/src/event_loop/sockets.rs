//! All connections: opened, read, written and closed, whoever is at the other end.

use super::upstreams::TAKEN_LIMIT;
use super::{ConnectionId, EventLoop, Role, Socket};
use crate::clock::Millis;
use crate::discovery::Answer;
use crate::downstream::State;
use crate::http;
use crate::invariant::{holds, Invariant};
use crate::upstream::Task;
use mio::net::TcpStream;
use mio::{Interest, Token};
use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};

/// So much is read of one connection in a turn, and what is read last over that. Guards against: one that sends
/// at full speed, for which the loop would never come to the others.
const READ_BUDGET: usize = 64 * 1024;
/// So much of what came is written to the log where that is asked for.
const LOGGED: usize = 512;

/// What one read brought.
enum ReadEnd {
    /// All there is for now.
    Dry,
    /// The other side has ended the connection, or it failed.
    Ended,
    /// The connection wants no more for now.
    Full,
    /// It has had its part of this turn.
    Spent,
}

impl EventLoop {
    /// Keeps a connection and has its state told.
    pub(super) fn add(
        &mut self,
        mut stream: TcpStream,
        role: Role,
        connecting: bool,
        deadline: Millis,
    ) -> io::Result<ConnectionId> {
        let entry = self.sockets.vacant_entry();
        self.serial += 1;
        let key = ConnectionId { slot: entry.key(), serial: self.serial };
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(key.slot), interest)?;
        match role {
            Role::Downstream(..) => self.downstreams += 1,
            Role::Upstream(_) => self.upstreams += 1,
            Role::Admin(_) => self.admin_connections += 1,
            Role::StateExchange(_) => self.members.iter_mut().for_each(|m| m.exchanges += 1),
            Role::Discovery(_) => {}
        }
        entry.insert(Socket { stream, key, role, connecting, peer_closed: false, deadline });
        self.set_deadline(key, deadline);
        Ok(key)
    }

    /// A connection, if it still lives.
    pub(super) fn socket(&mut self, key: ConnectionId) -> Option<&mut Socket> {
        self.sockets.get_mut(key.slot).filter(|s| s.key == key)
    }

    /// Has a connection looked at again at a time.
    pub(super) fn set_deadline(&mut self, key: ConnectionId, deadline: Millis) {
        if let Some(s) = self.socket(key) {
            s.deadline = deadline;
            if deadline.is_finite() {
                self.timers.set(deadline, key);
            }
        }
    }

    /// Forgets a connection; the socket closes with it.
    pub(super) fn close(&mut self, key: ConnectionId) {
        if self.socket(key).is_none() {
            return;
        }
        let mut socket = self.sockets.remove(key.slot);
        let _ = self.poll.registry().deregister(&mut socket.stream);
        match socket.role {
            Role::Downstream(..) => self.downstreams -= 1,
            Role::Admin(_) => self.admin_connections -= 1,
            Role::Upstream(c) => {
                self.upstreams -= 1;
                self.pool.remove(c.worker, key);
            }
            Role::Discovery(_) if self.watch == Some(key) => self.watch = None,
            Role::StateExchange(_) => {
                self.members.iter_mut().for_each(|m| m.exchanges = m.exchanges.saturating_sub(1))
            }
            _ => {}
        }
    }

    /// Opens a connection, if there is a descriptor for it.
    pub(super) fn open(
        &mut self,
        addr: SocketAddr,
        role: Role,
        deadline: Millis,
    ) -> io::Result<ConnectionId> {
        let full = matches!(role, Role::Upstream(_)) && self.upstreams >= self.max_upstreams;
        if full && self.pool.any().map(|idle| self.close(idle)).is_none() {
            return Err(ErrorKind::QuotaExceeded.into());
        }
        let stream = TcpStream::connect(addr)?;
        let _ = stream.set_nodelay(true); // a delay at worst
        self.add(stream, role, true, deadline)
    }

    /// Something has happened on a connection.
    pub(super) fn ready(&mut self, slot: usize, peer_closed: bool) {
        let Some(socket) = self.sockets.get_mut(slot) else { return };
        socket.peer_closed |= peer_closed;
        let key = socket.key;
        if socket.connecting && !self.connected(key) {
            return;
        }
        self.drive(key);
    }

    /// Whether a connect has come up; a failed one is dealt with.
    fn connected(&mut self, key: ConnectionId) -> bool {
        let now = self.clock.now();
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
        if let Role::Upstream(c) = &mut socket.role {
            c.connected();
            if let Some(Task::Attempt(..)) = c.task() {
                self.set_deadline(key, now + TAKEN_LIMIT); // the connect limit is met
            }
            self.begin_attempt(key);
            self.rest(key);
        }
        true
    }

    /// Reads and writes what a connection can, up to its part of a turn.
    pub(super) fn drive(&mut self, key: ConnectionId) {
        self.flush(key);
        // A request may lie in the buffer for which an answer has now made room.
        self.requests(key, self.clock.now());
        let end = self.read(key);
        self.flush(key);
        match end {
            ReadEnd::Dry => {}
            ReadEnd::Ended => return self.broken(key),
            // Readiness is told once: what is left must be looked for in the next turn.
            ReadEnd::Spent => self.again.push(key),
            // Guards against: a client that has sent much more than its request and left, whose end lies behind what is not
            // read: its job would go on, and be sent again, for nobody.
            ReadEnd::Full if self.socket(key).is_some_and(|s| s.peer_closed) => return self.broken(key),
            ReadEnd::Full => {
                let full = |s: &Socket| s.role.outside_ref().is_some_and(|c| !c.wants_more());
                // Else it goes on with the next answer, or once the client has read some.
                if self.socket(key).is_some_and(|s| !full(s)) {
                    self.again.push(key);
                }
            }
        }
        self.mind(key);
    }

    /// Has a listener's connection looked at when its time is up.
    fn mind(&mut self, key: ConnectionId) {
        let Some(Socket { role, deadline, .. }) = self.socket(key) else { return };
        let Some(until) = role.outside().map(|c| c.deadline()).filter(|until| until != deadline) else {
            return;
        };
        self.set_deadline(key, until);
    }

    /// Reads what there is, up to a connection's part of a turn.
    fn read(&mut self, key: ConnectionId) -> ReadEnd {
        let mut scratch = std::mem::take(&mut self.scratch);
        if !holds(Invariant::RoomToRead, !scratch.is_empty()) {
            self.again.push(key);
            return ReadEnd::Dry;
        }
        let mut total = 0;
        let end = loop {
            let Some(socket) = self.sockets.get_mut(key.slot).filter(|s| s.key == key) else {
                break ReadEnd::Dry;
            };
            if socket.role.outside_ref().is_some_and(|c| !c.wants_more()) {
                break ReadEnd::Full;
            }
            if total >= READ_BUDGET {
                break ReadEnd::Spent;
            }
            match socket.stream.read(&mut scratch) {
                Ok(0) => break ReadEnd::Ended,
                Ok(n) => {
                    total += n;
                    self.received(key, &scratch[..n]);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break ReadEnd::Dry,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => break ReadEnd::Ended,
            }
        };
        self.scratch = scratch;
        end
    }

    /// Hands on what was read.
    fn received(&mut self, key: ConnectionId, bytes: &[u8]) {
        let now = self.clock.now();
        log::trace!("{key:?} brought {:?}", String::from_utf8_lossy(&bytes[..bytes.len().min(LOGGED)]));
        let Some(socket) = self.socket(key) else { return };
        match &mut socket.role {
            Role::Downstream(c, _) => {
                c.receive(bytes, now);
                self.requests(key, now);
            }
            Role::Admin(c) => {
                c.receive(bytes, now);
                self.calls(key, now);
            }
            Role::Upstream(c) => {
                let ended = c.receive(bytes);
                let worker = c.worker;
                if let Some((task, end)) = ended {
                    self.task_ended(task, end, worker, now);
                }
                self.rest(key);
            }
            Role::StateExchange(_) => self.exchanged(key, bytes, now),
            Role::Discovery(c) => match c.receive(bytes) {
                Some(answer) => self.discovered(key, answer, now),
                None => self.list_comes_in(key, now),
            },
        }
    }

    /// Writes what waits to be written.
    pub(super) fn flush(&mut self, key: ConnectionId) {
        let now = self.clock.now();
        while let Some(socket) = self.socket(key).filter(|s| !s.connecting) {
            let outbox = socket.role.outbox();
            if outbox.unsent().is_empty() {
                break;
            }
            match socket.stream.write(outbox.unsent()) {
                Ok(n) => {
                    outbox.sent(n);
                    let whole = outbox.unsent().is_empty();
                    match &mut socket.role {
                        Role::Downstream(c, _) | Role::Admin(c) => c.used = now,
                        Role::Upstream(c) if whole && matches!(c.task(), Some(Task::Attempt(..))) => {
                            self.dispatch.metrics.attempts += 1;
                        }
                        _ => {}
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.broken(key),
            }
        }
        let Some(Socket { role, stream, .. }) = self.socket(key) else { return };
        let Some(c) = role.outside() else { return };
        if c.state() == State::Last && !c.shut {
            // The answer may still be on its way: closing now, with input unread, could cut it off.
            c.shut = true;
            let _ = stream.shutdown(Shutdown::Write); // fails only where the connection is gone already
        }
    }

    /// A connection has ended, failed or run out of time.
    fn broken(&mut self, key: ConnectionId) {
        let now = self.clock.now();
        let Some(socket) = self.socket(key) else { return };
        match &mut socket.role {
            Role::Downstream(_, job) => {
                let job = job.take();
                self.close(key);
                if let Some(job) = job {
                    self.dispatch.client_disconnected(job, now);
                }
            }
            Role::Admin(_) | Role::StateExchange(_) => self.close(key),
            Role::Upstream(c) => {
                let (ended, worker) = (c.broken(), c.worker);
                self.close(key);
                if let Some((task, end)) = ended {
                    self.task_ended(task, end, worker, now);
                }
            }
            Role::Discovery(c) => {
                let answer = c.end().map(|answer| Answer { keep_alive: false, ..answer });
                self.discovered(key, answer, now);
            }
        }
    }

    /// The time has come to look at a connection.
    pub(super) fn socket_due(&mut self, key: ConnectionId, now: Millis) {
        let Some(socket) = self.socket(key).filter(|s| s.deadline <= now) else { return };
        socket.deadline = f64::INFINITY;
        match &mut socket.role {
            Role::Downstream(c, _) | Role::Admin(c) if c.deadline() > now => self.mind(key),
            Role::Downstream(c, _) if c.is_partial() => {
                let fault = c.give_up_request();
                self.reply(key, now, false, |keep| http::response(fault.0, &[], b"", keep));
                self.drive(key);
            }
            Role::Downstream(..) | Role::Admin(_) | Role::StateExchange(_) => self.broken(key),
            Role::Upstream(c) => match c.task() {
                Some(Task::HealthCheck(worker)) if c.is_up() => {
                    self.close(key);
                    self.dispatch.health_check_ended(worker, None);
                }
                None | Some(Task::Cancellation) => self.close(key),
                // It did not come up in time, or its worker did not say that it has the job.
                Some(_) => {
                    c.silent();
                    self.broken(key);
                }
            },
            Role::Discovery(c) => {
                let why = c.timed_out();
                self.discovered(key, Err(why), now);
            }
        }
    }
}
