//! Upgrades: the successor connects to the predecessor, the two processes exchange messages, and the
//! predecessor passes the client listener to the successor.

use super::accept::AcceptSchedule;
use super::descriptor_passing::{receive_with_descriptors, send_with_descriptor, Predecessor};
use super::upgrade_state::Peer;
use super::{membership, upgrade_socket, EventLoop, CLIENT_LISTENER, UPGRADE_PEER, UPGRADE_SOCKET};
use crate::admin::AdminRequest;
use crate::job_status::JobStatusUpdate;
use crate::net::{self, WriteResult, READ_BUFFER_BYTES};
use crate::upgrade_protocol::{JobEnd, LearnedSnapshot, Link, Message, SchedulerState};
use mio::net::{UnixListener, UnixStream};
use mio::Interest;
use postusher_deferred_jobs::JobEndStatus;
use std::collections::VecDeque;
use std::io::{self, ErrorKind};
use std::os::fd::AsFd;
use std::path::Path;

impl EventLoop {
    /// Starts as the successor of a running process, which serves clients until this one has the endpoint
    /// list.
    ///
    /// # Errors
    /// The connection to the predecessor cannot be registered for polling.
    pub(super) fn start_as_successor(&mut self, predecessor: Predecessor) -> io::Result<()> {
        let Predecessor { state, stream, link, messages, descriptors } = predecessor;
        stream.set_nonblocking(true)?;
        log::info!("upgrade started: role=successor");
        self.upgrade.has_shared_listener = true;
        self.upgrade.has_same_settings = state.settings_digest == Some(self.upgrade.settings_digest);
        for name in state.disabled_workers {
            self.handle_peer_message(Message::AdminRequest(AdminRequest::DisableWorker(name)));
        }
        if state.draining {
            self.drain.start_inherited(self.clock.now());
        }
        for trace_id in state.open_jobs {
            self.dispatch.job_started_elsewhere(&trace_id);
            self.upgrade.mark_open_at_peer(trace_id);
        }
        let now = self.clock.now();
        for JobEnd { trace_id, status } in state.ended_jobs {
            self.dispatch.job_started_elsewhere(&trace_id);
            self.dispatch.job_ended_elsewhere(&trace_id, status, now);
        }
        self.attach_peer(Peer::new(UnixStream::from_std(stream), link, descriptors))?;
        // The current list may be old, and this process starts to accept clients once a complete list has
        // arrived, so the complete list is requested.
        self.endpoints.discovery_moved();
        self.dispatch.discovery_moved();
        for message in messages {
            self.handle_peer_message(message);
        }
        Ok(())
    }

    /// Registers the connection to the other process and leaves half of the descriptors to that process.
    fn attach_peer(&mut self, mut peer: Peer) -> io::Result<()> {
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut peer.stream, UPGRADE_PEER, interest)?;
        self.upgrade.peer = Some(peer);
        self.divide_limits();
        Ok(())
    }

    /// Accepts connections of successors.
    pub(super) fn accept_successor(&mut self) {
        while let Some(Ok((stream, _))) = self.upgrade.socket.as_ref().map(UnixListener::accept) {
            if self.upgrade.peer.is_some() {
                log::warn!("upgrade refused: reason=\"already two processes\"");
                continue;
            }
            log::info!("upgrade started: role=predecessor");
            if let Err(e) = self.send_state_to(stream) {
                log::warn!("upgrade failed: step=send-state error={e}");
                self.handle_peer_exit();
            }
        }
    }

    /// Sends a successor the state of this process together with the client listener.
    fn send_state_to(&mut self, stream: UnixStream) -> io::Result<()> {
        let mut link = Link::default();
        link.send(&Message::State(SchedulerState {
            disabled_workers: self.endpoints.disabled_names().map(String::from).collect(),
            draining: self.drain.is_operator_drain(),
            open_jobs: self.dispatch.open_trace_ids().map(String::from).collect(),
            ended_jobs: self.dispatch.deferred_jobs().recorded_job_ends(self.clock.now()),
            settings_digest: Some(self.upgrade.settings_digest),
        }));
        let Some(listener) = &self.listener else { return Err(ErrorKind::NotConnected.into()) };
        self.upgrade.has_shared_listener = true;
        let sent = send_with_descriptor(&stream, link.write_buffer.unsent(), listener.as_fd())?;
        link.write_buffer.mark_sent(sent);
        self.attach_peer(Peer::new(stream, link, VecDeque::new()))
    }

    /// Starts accepting client connections and listening for successors. If the upgrade socket cannot be
    /// opened, this process serves clients without it.
    ///
    /// # Errors
    /// The client listener cannot be registered for polling.
    pub(super) fn start_accepting_clients(&mut self) -> io::Result<()> {
        if let Some(listener) = &mut self.listener {
            self.poll.registry().register(listener, CLIENT_LISTENER, Interest::READABLE)?;
        }
        self.upgrade.accepts_clients = true;
        self.accept_schedule = AcceptSchedule::At(self.clock.now());
        let Some(path) = &self.upgrade.socket_path else { return Ok(()) };
        let _ = std::fs::remove_file(path); // an earlier process may have left it
        match self.listen_for_successors(path) {
            Ok(socket) => self.upgrade.socket = Some(socket),
            Err(e) => {
                log::warn!("upgrade socket unavailable: path={} error={e}", path.display());
            }
        }
        Ok(())
    }

    fn listen_for_successors(&self, path: &Path) -> io::Result<UnixListener> {
        let mut socket = upgrade_socket::bind(path)?;
        self.poll.registry().register(&mut socket, UPGRADE_SOCKET, Interest::READABLE)?;
        Ok(socket)
    }

    /// Starts accepting clients in a successor, as the complete list has arrived from discovery.
    pub(super) fn become_ready(&mut self) {
        // A predecessor must not accept clients again. A successor that is shutting down, which cancels the
        // upgrade, must not accept clients that it would then reject.
        let is_exiting = self.drain.has_successor() || self.drain.is_shutting_down();
        if self.upgrade.accepts_clients || is_exiting {
            return;
        }
        match self.start_accepting_clients() {
            Ok(()) => {
                log::info!("accepting clients: role=successor");
                self.send_to_peer(|| Message::Ready);
            }
            Err(e) => log::error!("client listener not polled: error={e}"),
        }
    }

    /// Stops accepting clients, as the successor now accepts them, and sends the successor the learned state.
    /// The listener stays open in case the successor exits.
    fn stop_accepting_clients(&mut self) {
        if !std::mem::take(&mut self.upgrade.accepts_clients) {
            return;
        }
        log::info!("no longer accepting clients: role=predecessor");
        if let Some(listener) = &mut self.listener {
            let _ = self.poll.registry().deregister(listener); // avoids needless wake-ups
        }
        self.accept_schedule = AcceptSchedule::WhenReady;
        self.upgrade.socket = None;
        self.drain.set_successor(true);
        let worker_name = |id| self.endpoints.get(id).map(|listed| listed.name.to_string());
        let learned = LearnedSnapshot::new(self.dispatch.learned_state(), worker_name);
        self.send_to_peer(|| Message::Learned(learned));
    }

    /// Sends a message to the other process; `message` is only called if there is one.
    pub(super) fn send_to_peer(&mut self, message: impl FnOnce() -> Message) {
        if let Some(peer) = self.upgrade.peer.as_mut().filter(|peer| peer.can_send()) {
            peer.link.send(&message());
            self.flush_peer();
        }
    }

    /// Writes pending messages to the other process, as far as its socket accepts them. Shuts the link down if
    /// it has failed or too many bytes are queued. The messages that have arrived are then read in this
    /// iteration or the next one, because this method is also called while such a message is being handled.
    fn flush_peer(&mut self) {
        let Some(peer) = &mut self.upgrade.peer else { return };
        while !peer.is_flushed() {
            match net::write(&mut peer.stream, &mut peer.link.write_buffer) {
                WriteResult::Written(_) => {}
                WriteResult::WouldBlock if !peer.link.is_write_stuck() => return,
                WriteResult::WouldBlock | WriteResult::Failed => {
                    let unsent_bytes = peer.link.write_buffer.unsent().len();
                    log::info!("upgrade link shut down: unsent_bytes={unsent_bytes}");
                    return peer.shut_down();
                }
            }
        }
    }

    /// Writes pending messages to the other process, and reads and handles its messages. All messages that
    /// have arrived are handled before the other process is treated as exited.
    pub(super) fn handle_peer_readiness(&mut self) {
        self.flush_peer();
        // `self.read_buffer` cannot be used: handling a message with a migrated client connection reads that
        // connection into it.
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        while let Some(peer) = &mut self.upgrade.peer {
            match receive_with_descriptors(&peer.stream, &mut buffer, &mut peer.received_descriptors) {
                Ok(length) if length > 0 => {
                    let messages = peer.link.receive(&buffer[..length]);
                    let is_unreadable = peer.link.is_message_too_long();
                    for message in messages {
                        self.handle_peer_message(message);
                    }
                    if is_unreadable {
                        self.handle_peer_exit();
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Ok(_) | Err(_) => self.handle_peer_exit(),
            }
        }
    }

    fn handle_peer_message(&mut self, message: Message) {
        let now = self.clock.now();
        match message {
            Message::Ready => self.stop_accepting_clients(),
            Message::AdminRequest(AdminRequest::DisableWorker(name)) => {
                // The other process may know this worker from a list that has not arrived here yet.
                let worker = self.endpoints.disable_unlisted(&name);
                self.dispatch.worker_disabled(worker);
            }
            // A drain requested at the predecessor must not keep this process from becoming healthy.
            Message::AdminRequest(AdminRequest::Drain) => self.drain.start_inherited(now),
            Message::AdminRequest(request) => {
                self.apply_admin_request(&request, now);
            }
            Message::JobStatus(body) => self.handle_peer_job_status(body),
            Message::ConnectionMigrated(migrated) => self.adopt_client(migrated, now),
            // Classes, kinds and customers are identified by numbers that depend on the settings.
            Message::Learned(_) if !self.upgrade.has_same_settings => {
                log::info!("learned state dropped: reason=\"other settings\"");
            }
            Message::Learned(learned) => {
                let state = learned.into_state(|name| self.endpoints.id(name));
                self.dispatch.learned_state_received(state);
            }
            Message::JobStarted(trace_id) => {
                self.dispatch.job_started_elsewhere(&trace_id);
                self.upgrade.mark_open_at_peer(trace_id);
            }
            Message::JobEnded(JobEnd { trace_id, status }) => {
                self.dispatch.job_ended_elsewhere(&trace_id, status, now);
            }
            Message::JobIdReleased(trace_id) => {
                self.upgrade.mark_closed_at_peer(&trace_id);
            }
            Message::State(_) => log::warn!("upgrade message ignored: message=state"),
        }
    }

    fn handle_peer_job_status(&mut self, body: String) {
        let now = self.clock.now();
        let Some(update) = JobStatusUpdate::read(body.as_bytes(), &self.site) else { return };
        if self.upgrade.migrated_jobs.contains(&update.trace_id) {
            // The other process sent this update before it adopted the job.
            self.send_to_peer(|| Message::JobStatus(body));
        } else {
            self.dispatch.job_status(update, now);
        }
    }

    /// Handles the exit of the other process or the loss of the connection to it: this process continues
    /// alone, with all descriptors.
    fn handle_peer_exit(&mut self) {
        let Some(mut peer) = self.upgrade.peer.take() else { return };
        let _ = self.poll.registry().deregister(&mut peer.stream); // `peer` closes the socket when dropped
        let now = self.clock.now();
        for trace_id in self.upgrade.take_jobs_open_at_peer() {
            // The job ended with that process. Deferred jobs that depend on it would otherwise wait for it in
            // vain.
            self.dispatch.job_ended_elsewhere(&trace_id, JobEndStatus::Disconnected, now);
        }
        if self.drain.is_shutting_down() {
            self.dispatch.close_deferral();
        }
        self.drain.set_successor(false);
        if let Some(deadline) = self.drain.shutdown_deadline() {
            self.dispatch.set_shutdown_deadline(deadline);
        }
        self.divide_limits();
        log::info!("upgrade peer exited");
        if !self.upgrade.accepts_clients {
            if let Err(e) = self.start_accepting_clients() {
                log::error!("client listener not polled: error={e}");
            }
        }
    }

    /// Divides the scheduler's descriptors and memory among its processes, and closes connections that are not in use as
    /// long as a new limit is exceeded.
    pub(super) fn divide_limits(&mut self) {
        let processes = if self.upgrade.peer.is_some() { 2 } else { 1 };
        let membership_descriptors =
            if self.membership.is_some() { membership::RESERVED_DESCRIPTORS } else { 0 };
        self.limits.divide(processes, self.admin.reserved_descriptors() + membership_descriptors);
        self.memory_limit.divide(processes);
        while self.limits.downstream.is_exceeded() && self.close_unneeded_downstream() {}
        while self.limits.upstream.is_exceeded() && self.close_idle_upstream() {}
    }
}
