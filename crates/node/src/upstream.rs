//! The workers' side of a connection, without its socket: one task at a time, and the idle ones of each worker.

use crate::clock::Millis;
use crate::connection_id::ConnectionId;
use crate::http::{Decoder, Message, Outbox, StatusLine};
use crate::invariant::{holds, Invariant};
use postusher_decision::{AttemptId, JobId, WorkerId};
use std::collections::HashMap;

/// A connection is used again so long after its last answer. Guards against: a second answer that comes some milliseconds after
/// the first, taken for that of the next request: a job that runs would be sent elsewhere, too.
pub const QUIET: Millis = 20.0;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Task {
    /// An attempt of a job, until the worker has taken it.
    Attempt(JobId, AttemptId),
    /// Telling a worker that an attempt is given up.
    Cancellation,
    /// Looking at a worker's load.
    HealthCheck(WorkerId),
}

/// How a task ended.
#[derive(Debug)]
pub enum End {
    /// With an answer.
    Answer(Message<StatusLine>),
    /// Before its last byte was written: the worker cannot have begun it.
    NotSent,
    /// Before its first byte was written, as it is not to be sent any more; nothing is wrong with the connection.
    Withheld,
    /// After that, without an answer.
    Broken,
    /// On a kept connection that broke: before its last byte was written, or after.
    Stale { sent: bool },
}

/// A connection to a worker.
pub struct Connection {
    /// Which worker.
    pub worker: WorkerId,
    decoder: Decoder<StatusLine>,
    /// The request on its way.
    pub outbox: Outbox,
    task: Option<Task>,
    /// The request of the task at hand was put into the outbox. Guards against: one that waits for its connection, taken for
    /// one that was sent.
    written: bool,
    /// It has brought an answer before the task at hand. Guards against: one that stood idle and was cut off by
    /// something on the way, taken for a worker in ill health.
    kept: bool,
    up: bool,
    open: bool,
}

impl Connection {
    /// A connection that is being opened.
    pub fn new(worker: WorkerId) -> Self {
        let (decoder, outbox) = (Decoder::new(), Outbox::default());
        Connection { worker, decoder, outbox, task: None, written: false, kept: false, up: false, open: true }
    }

    /// Takes on a task; its request is written when the connection is up.
    pub fn start(&mut self, task: Task) {
        if holds(Invariant::ConnectionIdle, self.open && self.task.is_none()) {
            (self.task, self.written) = (Some(task), false);
        }
    }

    /// Writes the request of the task at hand.
    pub fn write(&mut self, request: &[u8]) {
        if holds(Invariant::ConnectionIdle, self.task.is_some() && !self.written) {
            self.outbox.put(request);
            self.written = true;
        }
    }

    /// Whether the last byte of the request was written to the socket.
    fn is_sent(&self) -> bool {
        self.written && self.outbox.unsent().is_empty()
    }

    /// It is up.
    pub fn connected(&mut self) {
        self.up = true;
    }

    /// What it is used for.
    pub fn task(&self) -> Option<Task> {
        self.task
    }

    /// Whether it is up.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Whether it can be given a task.
    pub fn is_idle(&self) -> bool {
        self.open && self.up && self.task.is_none()
    }

    /// From when on it can be used again.
    pub fn usable_from(&self, now: Millis) -> Millis {
        now + if self.kept { QUIET } else { 0.0 }
    }

    /// Whether it is of no more use.
    pub fn is_closed(&self) -> bool {
        !self.open
    }

    /// Takes in what was read; says if that ends the task.
    pub fn receive(&mut self, bytes: &[u8]) -> Option<(Task, End)> {
        self.decoder.feed(bytes);
        loop {
            match self.decoder.next() {
                Ok(Some(m)) if (100..200).contains(&m.line.status) => continue,
                Ok(Some(m)) => return self.answered(m),
                // Guards against: bytes that nobody asked for, which the next task would take for its answer.
                Ok(None) if self.task.is_none() && !self.decoder.is_empty() => self.open = false,
                Ok(None) => {}
                Err(_) => return self.broken(),
            }
            return None;
        }
    }

    fn answered(&mut self, message: Message<StatusLine>) -> Option<(Task, End)> {
        // An answer before the request's last byte leaves the rest of it unread.
        self.open &= message.keep_alive && self.decoder.is_empty() && self.is_sent();
        let task = self.task.take();
        self.kept = true;
        self.open &= task.is_some();
        Some((task?, End::Answer(message)))
    }

    /// It never came up, ended or failed; says how that ends the task.
    pub fn broken(&mut self) -> Option<(Task, End)> {
        self.open = false;
        let whole = self.decoder.end();
        let end = match whole {
            Some(message) => End::Answer(message),
            None if self.kept => End::Stale { sent: self.is_sent() },
            None if self.is_sent() => End::Broken,
            None => End::NotSent,
        };
        Some((self.task.take()?, end))
    }

    /// Its worker says nothing, which is not the connection's age.
    pub fn silent(&mut self) {
        self.kept = false;
    }

    /// The task is given up. A request of which nothing was written is taken back; else the connection is done.
    pub fn give_up(&mut self) {
        if self.task.take().is_some() {
            self.open &= !self.is_sent() && !self.outbox.is_begun();
            self.outbox.clear();
        }
    }
}

/// A connection without a task.
struct Idle {
    key: ConnectionId,
    usable_from: Millis,
}

/// The idle connections of each worker, the one used last on top, and where attempts are under way.
#[derive(Default)]
pub struct Pool {
    idle: HashMap<WorkerId, Vec<Idle>>,
    /// Attempts that no worker has taken yet.
    pub attempts: HashMap<(JobId, AttemptId), ConnectionId>,
}

impl Pool {
    /// Keeps an idle connection that may be used again from a time on.
    pub fn put(&mut self, worker: WorkerId, key: ConnectionId, usable_from: Millis) {
        self.idle.entry(worker).or_default().push(Idle { key, usable_from });
    }

    /// Takes the idle connection used last, of those that will have been quiet for long enough by a time.
    pub fn take(&mut self, worker: WorkerId, quiet_by: Millis) -> Option<ConnectionId> {
        let idle = self.idle.get_mut(&worker)?;
        let last = idle.iter().rposition(|i| i.usable_from <= quiet_by)?;
        Some(idle.remove(last).key)
    }

    /// A connection is no longer there.
    pub fn remove(&mut self, worker: WorkerId, key: ConnectionId) {
        if let Some(idle) = self.idle.get_mut(&worker) {
            idle.retain(|i| i.key != key);
            if idle.is_empty() {
                self.idle.remove(&worker);
            }
        }
    }

    /// Takes all idle connections of a worker.
    pub fn take_all(&mut self, worker: WorkerId) -> Vec<ConnectionId> {
        self.idle.remove(&worker).unwrap_or_default().into_iter().map(|i| i.key).collect()
    }

    /// Any idle connection, of those idle for longest at their workers.
    pub fn any(&self) -> Option<ConnectionId> {
        self.idle.values().find_map(|idle| idle.first().map(|i| i.key))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::http;

    #[test]
    fn a_connection_is_used_again_once_it_has_been_quiet_and_the_last_of_those_first() {
        let (worker, mut pool) = (WorkerId(1), Pool::default());
        let mut c = Connection::new(worker);
        c.connected();
        assert_eq!(c.usable_from(100.0), 100.0); // it has brought no answer yet
        c.start(Task::HealthCheck(worker));
        c.write(b"x");
        c.outbox.sent(1);
        assert!(c.receive(&http::response(200, &[], b"", true)).is_some());
        assert_eq!(c.usable_from(100.0), 100.0 + QUIET);
        [(1, 120.0), (2, 121.0), (3, 125.0)]
            .into_iter()
            .for_each(|(key, from)| pool.put(worker, ConnectionId::test(key), from));
        assert!(pool.take(worker, 119.0).is_none());
        assert_eq!(pool.take(worker, 122.0), Some(ConnectionId::test(2)));
        assert_eq!(pool.take(worker, 122.0), Some(ConnectionId::test(1)));
        assert_eq!((pool.take(worker, 122.0), pool.take_all(worker)), (None, vec![ConnectionId::test(3)]));
    }

    #[test]
    fn a_second_answer_closes_the_connection_that_it_comes_on() {
        let answer = http::response(202, &[], b"", true);
        for second in [&answer[..], &answer[..5], b"x"] {
            let mut c = Connection::new(WorkerId(1));
            c.connected();
            c.start(Task::Attempt(JobId(1), AttemptId(0)));
            c.write(b"x");
            c.outbox.sent(1);
            assert!(c.receive(&answer).is_some() && c.is_idle());
            assert!(c.receive(second).is_none() && c.is_closed());
        }
    }
}
