//! The watch on discovery's list: one call after the other, each as soon as the last is answered.

use super::{EventLoop, Key, Role, Socket};
use crate::clock::Millis;
use crate::target_group::{self, Applied, List};
use postusher::ListKind;
use std::net::SocketAddr;

/// A process that discovery does not answer takes clients this long after its start all the same, by the list that it knows.
/// Half of what an operator waits for a process to be ready.
const READY_WITHOUT_LIST: Millis = 5_000.0;

impl EventLoop {
    /// Where lists are pushed, an agent has what is new from the first moment and it counts as told: the watch begins with the
    /// process. Where they have to be asked for, the module says when.
    pub(super) fn watch_pushed_list(&mut self, now: Millis) {
        if !self.site.settings.must_ask && self.watch.is_none() {
            self.watch(now);
        }
    }

    /// Makes the next call of the watch on a new connection.
    pub(super) fn watch(&mut self, now: Millis) {
        self.list_asked = true;
        let (call, patience) = self.group.call(self.discovery);
        let role = Role::Discovery(target_group::Connection::new(&call));
        match self.open(self.discovery, role, now + patience) {
            Ok(key) => self.watch = Some(key),
            Err(e) => self.watch_failed(&e.to_string()),
        }
    }

    /// Whether the process is ready for clients. Guards against: jobs for workers that were gone before this process began,
    /// as its own list is of long ago while what discovery had told by then counts as told.
    pub(super) fn is_ready(&self, now: Millis) -> bool {
        self.list_told || now >= self.started + READY_WITHOUT_LIST
    }

    /// A job has come. Guards against: a process that starts with a list of long ago, sends jobs by it, and only later asks
    /// whether it still holds: what discovery had before the start counts as told.
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
        self.group.moved();
        self.dispatch.list_moved();
    }

    /// The module says when to ask again.
    fn watch_failed(&mut self, why: &str) {
        self.group.set_confirmed(false);
        log::warn!("discovery: {why}");
        self.dispatch.members(ListKind::Failed, Vec::new());
    }

    /// Takes in what discovery tells.
    fn take_list(&mut self, list: List) {
        let Applied { kind, members, stale } = self.group.apply(list);
        self.group.set_confirmed(true);
        self.list_told = true;
        if kind == ListKind::Full {
            self.ready_for_clients();
        }
        for target in stale {
            self.pool.take_all(target).into_iter().for_each(|key| self.close(key));
        }
        self.dispatch.members(kind, members);
    }

    /// A call to discovery has ended.
    pub(super) fn discovered(&mut self, key: Key, answer: Result<(List, bool), String>, now: Millis) {
        let (list, keep) = match answer {
            Ok(answer) => answer,
            Err(why) => {
                self.close(key);
                return self.watch_failed(&why);
            }
        };
        if self.group.is_newer_than(&list) {
            // Guards against: a list of before a drain, by which its workers would get jobs again. Discovery may as well have begun
            // anew, and then its whole list is as good as any.
            log::warn!("discovery: an answer older than the list held; the whole list is asked for");
            self.group.moved();
        } else {
            self.take_list(list);
        }
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
}
