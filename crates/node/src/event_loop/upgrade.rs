//! The other process of an upgrade: found, heard and told; and the clients' address that passes from one to the other.

use super::descriptor_passing::{receive_along, send_along};
use super::{shares, ConnectionId, EventLoop, Role, Socket, DOOR, LISTENER, PEER};
use crate::admin::AdminRequest;
use crate::clock::Millis;
use crate::downstream;
use crate::http::{self, Decoder};
use crate::intake::{self, IncomingRequest};
use crate::job_status::JobStatusUpdate;
use crate::upgrade_protocol::{
    JobEnd, LearnedSnapshot, Link, Message, MigratedConnection, MigratedJob, SchedulerState,
};
use mio::net::{TcpStream, UnixListener, UnixStream};
use mio::Interest;
use postusher_deferred_jobs::JobEndStatus;
use std::collections::{HashSet, VecDeque};
use std::io::{self, ErrorKind, Write};
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream as StdUnixStream;
use std::path::PathBuf;

/// The process at the other end.
struct Peer {
    stream: UnixStream,
    link: Link,
    /// Clients' connections that have come over, one for each such message to come.
    passed: VecDeque<OwnedFd>,
}

/// How far an upgrade is, if there is one.
pub(super) struct Upgrade {
    /// Where a new process finds this one.
    path: Option<PathBuf>,
    door: Option<UnixListener>,
    peer: Option<Peer>,
    /// Ids under way at the other process.
    pub(super) foreign: HashSet<String>,
    /// Ids of jobs that have moved to the other process.
    moved: HashSet<String>,
    /// A digest of this process's settings, and whether those of the process before are the same.
    digest: u64,
    same_settings: bool,
    /// Whether this process takes new connections.
    pub(super) takes_clients: bool,
}

impl Upgrade {
    /// Whether the other process, if there is one, has been sent all that it is told.
    pub(super) fn is_flushed(&self) -> bool {
        self.peer.as_ref().is_none_or(|peer| peer.link.outbox.unsent().is_empty())
    }

    /// Nobody else is there.
    pub(super) fn new(path: Option<PathBuf>, digest: u64) -> Upgrade {
        let (foreign, moved) = (HashSet::new(), HashSet::new());
        Upgrade {
            path,
            door: None,
            peer: None,
            foreign,
            moved,
            digest,
            same_settings: false,
            takes_clients: false,
        }
    }
}

impl EventLoop {
    /// Goes on where the process before is, if there is one: it serves until this one has discovery's list.
    pub(super) fn follow(&mut self, start: Option<(SchedulerState, StdUnixStream, Link)>) -> io::Result<()> {
        let Some((state, stream, link)) = start else { return self.take_clients() };
        stream.set_nonblocking(true)?;
        log::info!("an older process serves until this one is ready");
        self.upgrade.same_settings = state.settings_digest == Some(self.upgrade.digest);
        for name in state.disabled_workers {
            self.heard(Message::AdminRequest(AdminRequest::DisableWorker(name)));
        }
        if state.draining {
            self.drain.start_inherited(self.clock.now());
        }
        state.open_jobs.iter().for_each(|id| self.dispatch.job_started_elsewhere(id));
        self.upgrade.foreign.extend(state.open_jobs);
        let now = self.clock.now();
        for JobEnd { trace_id, status } in state.ended_jobs {
            self.dispatch.job_started_elsewhere(&trace_id);
            self.dispatch.job_ended_elsewhere(&trace_id, status, now);
        }
        self.meet(UnixStream::from_std(stream), link)?;
        // The list known may be old, and a call for changes may wait for long.
        self.endpoints.discovery_moved();
        self.dispatch.discovery_moved();
        Ok(())
    }

    /// Keeps the way to another process.
    fn meet(&mut self, mut stream: UnixStream, link: Link) -> io::Result<()> {
        self.poll.registry().register(&mut stream, PEER, Interest::READABLE | Interest::WRITABLE)?;
        self.upgrade.peer = Some(Peer { stream, link, passed: VecDeque::new() });
        self.share();
        Ok(())
    }

    /// Another process asks to follow this one.
    pub(super) fn knocked(&mut self) {
        while let Some(Ok((stream, _))) = self.upgrade.door.as_ref().map(UnixListener::accept) {
            if self.upgrade.peer.is_some() {
                log::warn!("upgrade: a third process is left alone while there are two");
                continue;
            }
            log::info!("a newer process is there; this one serves until that is ready");
            if let Err(e) = self.hand_over(stream) {
                log::warn!("upgrade: nothing could be handed over: {e}");
                self.peer_gone();
            }
        }
    }

    fn hand_over(&mut self, stream: UnixStream) -> io::Result<()> {
        let mut link = Link::default();
        link.send(&Message::State(SchedulerState {
            disabled_workers: self.endpoints.disabled_names().map(String::from).collect(),
            draining: self.drain.is_operator_drain(),
            open_jobs: self.dispatch.open_trace_ids().map(String::from).collect(),
            ended_jobs: self.dispatch.deferred_jobs().remembered(self.clock.now()),
            settings_digest: Some(self.upgrade.digest),
        }));
        let Some(listener) = &self.listener else { return Err(ErrorKind::NotConnected.into()) };
        link.outbox.sent(send_along(&stream, link.outbox.unsent(), listener.as_fd())?);
        self.meet(stream, link)
    }

    /// Takes new connections from now on, and lets newer processes find this one.
    fn take_clients(&mut self) -> io::Result<()> {
        if let Some(listener) = &mut self.listener {
            self.poll.registry().register(listener, LISTENER, Interest::READABLE)?;
        }
        self.upgrade.takes_clients = true;
        self.accept_at = self.clock.now();
        let Some(path) = &self.upgrade.path else { return Ok(()) };
        let _ = std::fs::remove_file(path); // one that an earlier process has left; mostly there is none
        let door = UnixListener::bind(path).and_then(|mut door| {
            self.poll.registry().register(&mut door, DOOR, Interest::READABLE)?;
            Ok(door)
        });
        match door {
            Ok(door) => self.upgrade.door = Some(door),
            Err(e) => log::warn!("upgrade: no newer process can find this one at {}: {e}", path.display()),
        }
        Ok(())
    }

    /// The list has come from discovery: nothing is missing to take clients any more.
    pub(super) fn ready_for_clients(&mut self) {
        // Guards against: an upgrade that is called off, in which clients go to a process that sends them away.
        if self.upgrade.takes_clients || self.drain.has_successor() || self.drain.is_shutting_down() {
            return;
        }
        match self.take_clients() {
            Ok(()) => {
                log::info!("ready: this process takes clients now");
                self.tell(|| Message::Ready);
            }
            Err(e) => log::error!("the clients' address cannot be polled: {e}"),
        }
    }

    /// The other process takes clients. The listening socket stays open here, should that process die.
    fn give_up_clients(&mut self) {
        if !std::mem::take(&mut self.upgrade.takes_clients) {
            return;
        }
        log::info!("the newer process takes clients now; this one finishes what it has");
        if let Some(listener) = &mut self.listener {
            let _ = self.poll.registry().deregister(listener); // else it only wakes up in vain
        }
        self.accept_at = 0.0;
        self.upgrade.door = None;
        self.drain.set_successor(true);
        let name = |id| self.endpoints.get(id).map(|t| t.name.to_string());
        let learned = LearnedSnapshot::new(self.dispatch.learned_state(), name);
        self.tell(|| Message::Learned(learned));
    }

    /// Tells the other process, if there is one.
    pub(super) fn tell(&mut self, message: impl FnOnce() -> Message) {
        if let Some(peer) = &mut self.upgrade.peer {
            peer.link.send(&message());
            self.flush_peer();
        }
    }

    fn flush_peer(&mut self) {
        let Some(peer) = &mut self.upgrade.peer else { return };
        while !peer.link.outbox.unsent().is_empty() {
            match peer.stream.write(peer.link.outbox.unsent()) {
                Ok(n) => peer.link.outbox.sent(n),
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::WouldBlock && !peer.link.is_stuck() => return,
                Err(_) => return self.peer_gone(),
            }
        }
    }

    /// Something has come from the other process, or it reads again.
    pub(super) fn peer_ready(&mut self) {
        self.flush_peer();
        // Not the loop's own: a client that comes over is read at once.
        let mut bytes = vec![0; 64 * 1024];
        while let Some(peer) = &mut self.upgrade.peer {
            match receive_along(&peer.stream, &mut bytes, &mut peer.passed) {
                Ok(n) if n > 0 => {
                    let messages = peer.link.receive(&bytes[..n]);
                    let stuck = peer.link.is_stuck();
                    messages.into_iter().for_each(|message| self.heard(message));
                    if stuck {
                        self.peer_gone();
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                _ => self.peer_gone(),
            }
        }
    }

    fn heard(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Ready => self.give_up_clients(),
            Message::AdminRequest(AdminRequest::DisableWorker(name)) => {
                // The other process may know of it by a list that has not come here yet.
                let worker = self.endpoints.disable_unlisted(&name);
                self.dispatch.worker_disabled(worker);
            }
            // Guards against: a call to the old process by which the new one never gets its yes.
            Message::AdminRequest(AdminRequest::Drain) => self.drain.start_inherited(now),
            Message::AdminRequest(call) => drop(self.obey(&call, now)),
            Message::JobStatus(body) => match JobStatusUpdate::read(body.as_bytes(), &self.site) {
                // It has crossed with the job's move.
                Some(news) if self.upgrade.moved.contains(&news.trace_id) => {
                    self.tell(|| Message::JobStatus(body))
                }
                Some(news) => self.dispatch.job_status(news, now),
                None => {}
            },
            Message::ConnectionMigrated(moved) => self.adopt(moved, now),
            // Guards against: running times, limits and shares by numbers that mean other classes, kinds and customers here.
            Message::Learned(_) if !self.upgrade.same_settings => {
                log::info!("the older process has other settings: nothing that it learned is taken over");
            }
            Message::Learned(learned) => {
                let memory = learned.into_state(|name| self.endpoints.id(name));
                self.dispatch.learned(memory);
            }
            Message::JobStarted(id) => {
                self.dispatch.job_started_elsewhere(&id);
                self.upgrade.foreign.insert(id);
            }
            Message::JobEnded(JobEnd { trace_id, status }) => {
                self.dispatch.job_ended_elsewhere(&trace_id, status, now)
            }
            Message::JobIdReleased(id) => drop(self.upgrade.foreign.remove(&id)),
            Message::State(_) => log::warn!("upgrade: a state that nobody asked for"),
        }
    }

    /// On the way out, clients go to the process that follows with their connections and the jobs that they wait for.
    /// Guards against: long jobs that end with this process, and requests that cross with the end of a connection.
    pub(super) fn move_clients(&mut self) {
        if !self.drain.is_shutting_down() || !self.drain.has_successor() {
            return;
        }
        let now = self.clock.now();
        let may =
            |s: &Socket| matches!(&s.role, Role::Downstream(c, _) if c.may_move() && !c.brings_job_status);
        let keys: Vec<ConnectionId> =
            self.sockets.iter().filter(|(_, s)| may(s)).map(|(_, s)| s.key).collect();
        for key in keys {
            // With nothing waiting, a message and its descriptor go out whole or not at all, but for its last part.
            let free = self.upgrade.peer.as_ref().is_some_and(|p| p.link.outbox.unsent().is_empty());
            if !free || !self.move_client(key, now) {
                return;
            }
        }
    }

    /// Says whether another may follow.
    fn move_client(&mut self, key: ConnectionId, now: Millis) -> bool {
        let Some(Socket { role: Role::Downstream(c, id), .. }) = self.socket(key) else { return true };
        let (age, has_served, last, id) = (c.age(now), c.has_served(), c.is_last(), *id);
        let trace = id.and_then(|id| self.dispatch.trace_id(id));
        let job = match id.map(|id| self.dispatch.migrated_job(id, now)) {
            Some(None) => return true, // not yet
            Some(Some(job)) => Some(MigratedJob { closes_connection: last, ..job }),
            None => None,
        };
        let (Some(socket), Some(peer)) = (self.sockets.get(key.slot), &mut self.upgrade.peer) else {
            return false;
        };
        peer.link.send(&Message::ConnectionMigrated(MigratedConnection { age, has_served, job }));
        match send_along(&peer.stream, peer.link.outbox.unsent(), socket.stream.as_fd()) {
            Ok(sent) => peer.link.outbox.sent(sent),
            Err(_) => {
                peer.link.outbox.clear(); // the client stays here for now
                return false;
            }
        }
        id.into_iter().for_each(|id| self.dispatch.release_migrated(id));
        self.upgrade.moved.extend(trace.map(|trace| trace.to_string()));
        self.close(key); // here; the connection lives on
        true
    }

    /// A client comes over from the process before.
    fn adopt(&mut self, moved: MigratedConnection, now: Millis) {
        let passed = self.upgrade.peer.as_mut().and_then(|peer| peer.passed.pop_front());
        let stream = passed.map(std::net::TcpStream::from).filter(|s| s.set_nonblocking(true).is_ok());
        let Some(stream) = stream else { return log::warn!("upgrade: a client came without its connection") };
        let (job, last) = (moved.job, |job: &MigratedJob| job.closes_connection);
        let c = downstream::Connection::moved(now, moved.age, moved.has_served, job.as_ref().map(last));
        let until = c.deadline();
        let key = match self.add(TcpStream::from_std(stream), Role::Downstream(c, None), false, until) {
            Ok(key) => key,
            Err(e) => return log::warn!("a client that came over cannot be polled: {e}"),
        };
        let Some(moved) = job else { return self.drive(key) };
        let mut decoder = Decoder::new();
        decoder.feed(&moved.request);
        let ask = decoder.next().ok().flatten().map(|message| intake::read(message, &self.site, false));
        let Some(IncomingRequest::Job(job)) = ask else {
            log::warn!("upgrade: a job that came over cannot be read");
            self.reply(key, now, false, |keep| http::response(502, &[], b"", keep));
            return self.drive(key);
        };
        self.upgrade.foreign.remove(&job.trace_id);
        let attempts =
            moved.attempts.into_iter().map(|attempt| (self.endpoints.id(&attempt.worker), attempt)).collect();
        match self.dispatch.adopt_job(key, *job, attempts, moved.deferral, now) {
            Ok(id) => {
                if let Some(Socket { role: Role::Downstream(_, job), .. }) = self.socket(key) {
                    *job = Some(id);
                }
            }
            Err(not) => self.not_taken(key, &not, now),
        }
        self.drive(key);
    }

    /// The other process has ended or cannot be spoken to: this one goes on alone, with all there is.
    fn peer_gone(&mut self) {
        let Some(mut peer) = self.upgrade.peer.take() else { return };
        let _ = self.poll.registry().deregister(&mut peer.stream); // it closes with the end of this
        let now = self.clock.now();
        for id in std::mem::take(&mut self.upgrade.foreign) {
            // It has died with that process: whoever waits for it here would wait in vain.
            self.dispatch.job_ended_elsewhere(&id, JobEndStatus::Disconnected, now);
        }
        if self.drain.is_shutting_down() {
            self.dispatch.close_deferral();
        }
        self.upgrade.moved.clear();
        self.drain.set_successor(false);
        self.drain.shutdown_deadline().into_iter().for_each(|at| self.dispatch.set_shutdown_deadline(at));
        self.share();
        log::info!("the other process has gone; this one is alone");
        if !self.upgrade.takes_clients {
            if let Err(e) = self.take_clients() {
                log::error!("the clients' address cannot be polled: {e}");
            }
        }
    }

    /// Two processes have one scheduler's descriptors: half of them each.
    pub(super) fn share(&mut self) {
        let parts = 1 + usize::from(self.upgrade.peer.is_some());
        (self.max_downstreams, self.max_upstreams) =
            shares(self.descriptors / parts, self.admin_listener.is_some(), self.members.is_some());
        while self.downstreams > self.max_downstreams && self.free_listener() {}
        while self.upstreams > self.max_upstreams && self.pool.any().map(|idle| self.close(idle)).is_some() {}
    }
}
