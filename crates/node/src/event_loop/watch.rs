//! The watch on discovery's list: one call after the other, each as soon as the last is answered.

use super::{ConnectionId, EventLoop, Role, Socket};
use crate::clock::Millis;
use crate::discovery::{Answer, Connection, DiscoveryError, List, STALLED};
use crate::endpoint_list::ListChange;
use postusher_decision::ListUpdate;
use postusher_settings::micros_from_millis;
use std::net::SocketAddr;

impl EventLoop {
    /// Where lists are pushed, an agent has what is new from the first moment and it counts as told: the watch begins with the
    /// process. Where they have to be asked for, the module says when.
    pub(super) fn watch_pushed_list(&mut self, now: Millis) {
        if !self.site.settings.list_is_polled && self.watch.is_none() {
            self.watch(now);
        }
    }

    /// Makes the next call of the watch on a new connection.
    pub(super) fn watch(&mut self, now: Millis) {
        self.list_asked = true;
        let mut connection = Connection::new(self.max_list);
        connection.call(self.endpoints.next_call(), self.discovery, now);
        let given_up_at = connection.given_up_at;
        match self.open(self.discovery, Role::Discovery(connection), given_up_at) {
            Ok(key) => self.watch = Some(key),
            Err(e) => self.watch_failed(&DiscoveryError::NoConnection(e.to_string())),
        }
    }

    /// Whether the process is ready for clients. Guards against: jobs for workers that were gone before this process began,
    /// as its own list is of long ago while what discovery had told by then counts as told.
    pub(super) fn is_ready(&self, now: Millis) -> bool {
        self.dispatch.is_list_current(now)
    }

    /// A job has come. Guards against: a process that starts with a list of long ago and only later asks whether it still
    /// holds, while its jobs wait for that.
    pub(super) fn confirm_list(&mut self, now: Millis) {
        if self.watch.is_none() && !self.list_asked {
            self.watch(now);
        }
    }

    /// Discovery is elsewhere: the watch at the old place ends, and the whole list is called for at the new one.
    /// The list held stays in use until that has come.
    pub(super) fn move_watch(&mut self, discovery: SocketAddr) {
        if let Some(key) = self.watch.take() {
            self.close(key);
        }
        self.discovery = discovery;
        self.endpoints.discovery_moved();
        self.dispatch.discovery_moved();
    }

    /// The module says when to ask again.
    fn watch_failed(&mut self, why: &DiscoveryError) {
        self.endpoints.set_confirmed(false);
        log::warn!("discovery: {why}");
        if why.hides_list() {
            self.list_begun(self.clock.now());
        }
        self.dispatch.endpoint_list(ListUpdate::Failed, Vec::new());
    }

    /// More of an answer has come, and not yet all.
    pub(super) fn list_comes_in(&mut self, key: ConnectionId, now: Millis) {
        let Some(Socket { role: Role::Discovery(c), .. }) = self.socket(key) else { return };
        if !c.has_begun() {
            return;
        }
        let until = c.given_up_at.min(now + STALLED);
        self.set_deadline(key, until);
        self.list_begun(now);
    }

    /// What discovery has begun to say counts as told from now on.
    fn list_begun(&mut self, now: Millis) {
        self.answer_begun.get_or_insert(now);
        self.dispatch.endpoint_list(ListUpdate::AnswerStarted { at: micros_from_millis(now) }, Vec::new());
    }

    /// Whether the list held is none that was replaced so long ago that a drain among the changes had its grace. Checks the
    /// module's own rule from the outside.
    pub(super) fn list_is_current(&self, now: Millis) -> bool {
        let grace = self.site.settings.drain_grace as f64 / 1e3;
        self.answer_begun.is_none_or(|since| now < since + grace)
    }

    /// Takes in what discovery tells.
    fn take_list(&mut self, list: List) {
        let ListChange { update, endpoints, stale } = self.endpoints.apply(list);
        self.endpoints.set_confirmed(true);
        self.answer_begun = None;
        let (changed, listed) = (endpoints.len(), self.endpoints.listed_workers().count());
        log::debug!("discovery: {update:?} list with {changed} lines taken in, {listed} workers listed");
        if update == ListUpdate::Complete {
            self.ready_for_clients();
        }
        for worker in stale {
            self.pool.take_all(worker).into_iter().for_each(|key| self.close(key));
        }
        self.dispatch.endpoint_list(update, endpoints);
    }

    /// A call to discovery has ended.
    pub(super) fn discovered(
        &mut self,
        key: ConnectionId,
        answer: Result<Answer, DiscoveryError>,
        now: Millis,
    ) {
        let Answer { list, keep_alive } = match answer {
            Ok(answer) => answer,
            Err(why) => {
                self.close(key);
                return self.watch_failed(&why);
            }
        };
        if self.endpoints.is_newer_than(&list) {
            // Guards against: a list of before a drain, by which its workers would get jobs again. Discovery may as well have begun
            // anew, and then its whole list is as good as any.
            log::warn!("discovery: an answer older than the list held; the whole list is asked for");
            self.endpoints.discovery_moved();
        } else {
            self.take_list(list);
        }
        // A watch goes on only if the next call comes at once.
        if !keep_alive {
            self.close(key);
            return self.watch(now);
        }
        let (call, discovery) = (self.endpoints.next_call(), self.discovery);
        let Some(Socket { role: Role::Discovery(c), .. }) = self.socket(key) else { return };
        c.call(call, discovery, now);
        let given_up_at = c.given_up_at;
        self.set_deadline(key, given_up_at);
        self.flush(key);
    }
}
