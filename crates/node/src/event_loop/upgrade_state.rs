//! The state of a process in an upgrade: the link to the other process, and what is known of its jobs.

use crate::upgrade_protocol::Link;
use mio::net::{UnixListener, UnixStream};
use std::collections::{HashMap, HashSet, VecDeque};
use std::net::Shutdown;
use std::os::fd::OwnedFd;
use std::path::PathBuf;

/// The other process of an upgrade: this one's successor or predecessor.
pub(super) struct Peer {
    pub(super) stream: UnixStream,
    pub(super) link: Link,
    /// Descriptors of migrated client connections, one for each [`Message::ConnectionMigrated`] that has not
    /// been handled yet.
    pub(super) received_descriptors: VecDeque<OwnedFd>,
    /// The link is shut down: nothing more is sent, and the messages that have arrived are still to be read.
    is_shut_down: bool,
}

impl Peer {
    /// Creates the state of a link on which messages can be sent and received. `received_descriptors` are those of
    /// messages that have arrived and have not been handled yet.
    pub(super) fn new(stream: UnixStream, link: Link, received_descriptors: VecDeque<OwnedFd>) -> Peer {
        Peer { stream, link, received_descriptors, is_shut_down: false }
    }

    /// Returns whether all messages to the other process have been sent.
    pub(super) fn is_flushed(&self) -> bool {
        self.link.write_buffer.unsent().is_empty()
    }

    /// Returns whether messages can still be sent to the other process.
    pub(super) fn can_send(&self) -> bool {
        !self.is_shut_down
    }

    /// Shuts the link down in both directions. The other process can send nothing more from now on, so that
    /// what has arrived, migrated connections included, is all that it has ever sent. It can still be read.
    pub(super) fn shut_down(&mut self) {
        self.is_shut_down = true;
        self.link.write_buffer.clear();
        let _ = self.stream.shutdown(Shutdown::Both); // fails only if the other process has disconnected
    }
}

/// State that a process needs for upgrades, whether or not one is in progress.
pub(super) struct Upgrade {
    /// Path of the upgrade socket to which a successor connects; `None` if no successor can connect.
    pub(super) socket_path: Option<PathBuf>,
    /// Listener on the upgrade socket, while this process accepts clients.
    pub(super) socket: Option<UnixListener>,
    /// The other process, while an upgrade is in progress.
    pub(super) peer: Option<Peer>,
    /// Trace ids of jobs that are open at the other process.
    jobs_open_at_peer: HashSet<String>,
    /// Results of jobs that are open at the other process, as the bodies of the job status updates that were
    /// forwarded to it, by trace id.
    forwarded_results: HashMap<String, String>,
    /// Trace ids of jobs that have migrated to the other process.
    pub(super) migrated_jobs: HashSet<String>,
    /// Digest of the settings of this process.
    pub(super) settings_digest: u64,
    /// The predecessor has the same settings, by their digest.
    pub(super) has_same_settings: bool,
    /// This process accepts client connections.
    pub(super) accepts_clients: bool,
    /// The client listener has been received from a predecessor or passed to a successor, so that another
    /// process may still use it, even one to which the link is lost.
    pub(super) has_shared_listener: bool,
}

impl Upgrade {
    /// Creates the state of a process that is not connected to another one.
    pub(super) fn new(socket_path: Option<PathBuf>, settings_digest: u64) -> Upgrade {
        Upgrade {
            socket_path,
            socket: None,
            peer: None,
            jobs_open_at_peer: HashSet::new(),
            forwarded_results: HashMap::new(),
            migrated_jobs: HashSet::new(),
            settings_digest,
            has_same_settings: false,
            accepts_clients: false,
            has_shared_listener: false,
        }
    }

    /// Returns whether all messages to the other process have been sent, or there is no other process.
    pub(super) fn is_flushed(&self) -> bool {
        self.peer.as_ref().is_none_or(Peer::is_flushed)
    }

    /// Returns whether messages of the other process have to be read without a readiness event, as the link to
    /// it was shut down.
    pub(super) fn has_unread_messages(&self) -> bool {
        self.peer.as_ref().is_some_and(|peer| peer.is_shut_down)
    }

    /// Returns whether this process accepts client connections.
    pub(super) fn accepts_clients(&self) -> bool {
        self.accepts_clients
    }

    /// Returns whether a job with this trace id is open at the other process.
    pub(super) fn is_open_at_peer(&self, trace_id: &str) -> bool {
        self.jobs_open_at_peer.contains(trace_id)
    }

    /// Records that the job with this trace id is open at the other process.
    pub(super) fn mark_open_at_peer(&mut self, trace_id: String) {
        self.jobs_open_at_peer.insert(trace_id);
    }

    /// Records that the job with this trace id is no longer open at the other process. Returns its result as
    /// the body of a job status update, if one was forwarded to that process.
    pub(super) fn mark_closed_at_peer(&mut self, trace_id: &str) -> Option<String> {
        self.jobs_open_at_peer.remove(trace_id);
        self.forwarded_results.remove(trace_id)
    }

    /// Keeps the result of a job that is open at the other process, as the body of the job status update that
    /// is forwarded to it. That process may migrate the job and exit before it reads the update.
    pub(super) fn keep_forwarded_result(&mut self, trace_id: &str, body: &str) {
        if self.is_open_at_peer(trace_id) {
            self.forwarded_results.insert(trace_id.into(), body.into());
        }
    }

    /// Forgets the jobs of the other process. Returns the trace ids of those that are open there.
    pub(super) fn take_jobs_open_at_peer(&mut self) -> HashSet<String> {
        self.forwarded_results.clear();
        self.migrated_jobs.clear();
        std::mem::take(&mut self.jobs_open_at_peer)
    }

    /// Records that the job with this trace id has migrated to the other process.
    pub(super) fn mark_migrated(&mut self, trace_id: String) {
        self.migrated_jobs.insert(trace_id);
    }
}
