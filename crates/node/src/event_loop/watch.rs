//! The watch on the endpoint list: calls to discovery in sequence, each made as soon as the previous one is
//! answered.

use super::{ConnectionId, EventLoop, Role, Socket};
use crate::clock::Millis;
use crate::discovery::{Connection, DiscoveryError, List, ListResponse, STALL_TIMEOUT};
use crate::endpoint_list::ListChange;
use postusher_decision::ListUpdate;
use postusher_settings::micros_from_millis;
use std::net::SocketAddr;

/// State of the watch on the endpoint list.
pub(super) struct ListWatch {
    /// Address of discovery.
    discovery: SocketAddr,
    /// Maximum size of a list, in bytes.
    max_list_bytes: usize,
    /// Connection of the call in progress.
    connection: Option<ConnectionId>,
    /// Discovery has been called since this process started.
    has_called_discovery: bool,
    /// Time at which discovery began the first answer with a list that has not been applied yet.
    answer_started_at: Option<Millis>,
}

impl ListWatch {
    /// Returns a watch that has not started.
    pub(super) fn new(discovery: SocketAddr, max_list_bytes: usize) -> ListWatch {
        ListWatch {
            discovery,
            max_list_bytes,
            connection: None,
            has_called_discovery: false,
            answer_started_at: None,
        }
    }

    /// Returns whether a call is in progress.
    pub(super) fn is_active(&self) -> bool {
        self.connection.is_some()
    }

    /// Returns whether the given address differs from the current address of discovery.
    pub(super) fn has_moved_to(&self, discovery: SocketAddr) -> bool {
        self.discovery != discovery
    }

    /// Handles the closing of a connection to discovery.
    pub(super) fn connection_closed(&mut self, id: ConnectionId) {
        if self.connection == Some(id) {
            self.connection = None;
        }
    }
}

impl EventLoop {
    /// Starts the watch if discovery pushes the list, so that this process is notified of changes from its
    /// start. If the list is polled, the dispatcher decides when to call.
    pub(super) fn watch_pushed_list(&mut self, now: Millis) {
        if !self.site.settings.list_is_polled {
            self.ensure_watch(now);
        }
    }

    /// Calls discovery unless a call is in progress.
    pub(super) fn ensure_watch(&mut self, now: Millis) {
        if !self.watch.is_active() {
            self.start_watch(now);
        }
    }

    /// Sends the next call of the watch on a new connection.
    fn start_watch(&mut self, now: Millis) {
        let discovery = self.watch.discovery;
        self.watch.has_called_discovery = true;
        let mut connection = Connection::new(self.watch.max_list_bytes);
        connection.call(self.endpoints.next_call(), discovery, now);
        let deadline = connection.deadline;
        match self.connect(discovery, Role::Discovery(connection), deadline) {
            Ok(id) => self.watch.connection = Some(id),
            Err(e) => self.handle_watch_failure(&DiscoveryError::NoConnection(e.to_string())),
        }
    }

    /// Returns whether this process is ready for clients, which requires a current endpoint list. The list
    /// that a process starts with may lack changes that discovery published before the start, so jobs could
    /// be sent to workers that no longer exist.
    pub(super) fn is_ready(&self, now: Millis) -> bool {
        self.dispatch.is_list_current(now)
    }

    /// Calls discovery when the first job arrives, unless it has been called already. A process that starts
    /// with an old list must check by its first job whether the list is still valid; jobs wait for the
    /// answer.
    pub(super) fn ensure_list_requested(&mut self, now: Millis) {
        if !self.watch.has_called_discovery {
            self.ensure_watch(now);
        }
    }

    /// Moves the watch to a new address of discovery. The dispatcher then restarts the watch with a request
    /// for the complete list; the current list stays in use until the answer arrives.
    pub(super) fn restart_watch_at(&mut self, discovery: SocketAddr) {
        if let Some(id) = self.watch.connection.take() {
            self.close(id);
        }
        self.watch.discovery = discovery;
        self.endpoints.discovery_moved();
        self.dispatch.discovery_moved();
    }

    /// Handles a failed call; the dispatcher decides when to call again.
    fn handle_watch_failure(&mut self, error: &DiscoveryError) {
        self.endpoints.set_confirmed(false);
        log::warn!("discovery call failed: error={error}");
        if error.counts_as_notified() {
            self.record_answer_start(self.clock.now());
        }
        self.dispatch.endpoint_list_updated(ListUpdate::Failed, Vec::new());
    }

    /// Handles received bytes that do not complete an answer. Once an answer with a list has begun, further
    /// bytes must arrive within the stall timeout.
    pub(super) fn handle_partial_list(&mut self, id: ConnectionId, now: Millis) {
        let Some(Socket { role: Role::Discovery(connection), .. }) = self.socket(id) else { return };
        if !connection.is_response_started() {
            return;
        }
        let deadline = connection.deadline.min(now + STALL_TIMEOUT);
        self.sockets.set_deadline(id, deadline);
        self.record_answer_start(now);
    }

    /// Records that discovery has begun an answer with a list: from this time, the scheduler counts as
    /// notified of the changes in it.
    fn record_answer_start(&mut self, now: Millis) {
        self.watch.answer_started_at.get_or_insert(now);
        let update = ListUpdate::AnswerStarted { at: micros_from_millis(now) };
        self.dispatch.endpoint_list_updated(update, Vec::new());
    }

    /// Returns whether jobs may still be sent by the current list: no newer list has begun to arrive, or one
    /// has begun less than the drain grace ago. After that time, a worker that is draining in the newer list
    /// may have reached the end of its drain grace. The dispatcher enforces a stricter rule, with a part of
    /// the drain grace; this check is independent of it.
    pub(super) fn is_list_within_drain_grace(&self, now: Millis) -> bool {
        let grace = self.site.settings.drain_grace as f64 / 1e3;
        self.watch.answer_started_at.is_none_or(|since| now < since + grace)
    }

    /// Applies a list from discovery, and closes idle connections to workers that were removed or whose
    /// address has changed.
    fn apply_list(&mut self, list: List) {
        let ListChange { update, endpoints, stale } = self.endpoints.apply(list);
        self.endpoints.set_confirmed(true);
        self.watch.answer_started_at = None;
        let entries = endpoints.len();
        let workers = self.endpoints.listed_workers().count();
        log::debug!("list applied: update={update:?} entries={entries} workers={workers}");
        if update == ListUpdate::Complete {
            self.become_ready();
        }
        for worker in stale {
            self.close_idle_upstreams_of(worker);
        }
        self.dispatch.endpoint_list_updated(update, endpoints);
    }

    /// Handles the end of a call to discovery.
    pub(super) fn handle_discovery_answer(
        &mut self,
        id: ConnectionId,
        answer: Result<ListResponse, DiscoveryError>,
        now: Millis,
    ) {
        let ListResponse { list, keep_alive } = match answer {
            Ok(answer) => answer,
            Err(error) => {
                self.close(id);
                return self.handle_watch_failure(&error);
            }
        };
        if self.endpoints.is_newer_than(&list) {
            // If a list from before a drain were applied, the drained workers would receive jobs again. As
            // discovery may also have restarted with lower version numbers, the complete list is requested.
            log::warn!("endpoint list older than the one held: action=request-complete-list");
            self.endpoints.discovery_moved();
        } else {
            self.apply_list(list);
        }
        // Discovery continues a watch only if the next call follows at once.
        if !keep_alive {
            self.close(id);
            return self.start_watch(now);
        }
        let call = self.endpoints.next_call();
        let discovery = self.watch.discovery;
        let Some(Socket { role: Role::Discovery(connection), .. }) = self.socket(id) else { return };
        connection.call(call, discovery, now);
        let deadline = connection.deadline;
        self.sockets.set_deadline(id, deadline);
        self.flush(id);
    }
}
