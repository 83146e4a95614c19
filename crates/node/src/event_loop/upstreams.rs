//! Connections to workers: attempts, probes and withdrawals on them, and what becomes of each.

use super::{ConnectionId, EventLoop, Role, Socket};
use crate::clock::Millis;
use crate::http::{self, RequestLine};
use crate::invariant::{holds, Invariant};
use crate::upstream::{self, End, Task};
use postusher_decision::{AttemptId, JobId, WorkerId};
use std::io::ErrorKind;

/// A probe that takes longer has failed: by far more than an answer beside the queue takes.
const HEALTH_CHECK_LIMIT: Millis = 120.0;
/// A worker says within this time that it has a job, on a connection that is up; it took 26 ms at most where that was
/// measured. Guards against: a connection that has fallen silent, or a machine that has vanished, on which a job
/// would wait until its client gives up.
pub(super) const TAKEN_LIMIT: Millis = 200.0;
/// A withdrawal that takes longer is let go.
const CANCELLATION_LIMIT: Millis = 2_000.0;
/// An idle connection is dropped after this part of the time for which workers keep theirs.
const KEPT_PART: f64 = 0.8;

impl EventLoop {
    /// Makes a call of the scheduler's own to a worker.
    pub(super) fn call(&mut self, worker: WorkerId, task: Task, line: &RequestLine, now: Millis) {
        let host = self.endpoints.get(worker).map(|t| t.addr.to_string()).unwrap_or_default();
        let request = http::request(line, &[("Host", host.as_bytes())], b"");
        let Some(key) = self.start_task(worker, task, now) else { return };
        if let Some(Socket { role: Role::Upstream(c), .. }) = self.socket(key) {
            c.write(&request);
        }
        self.flush(key);
    }

    /// Makes an attempt of a job.
    pub(super) fn attempt(&mut self, job: JobId, attempt: AttemptId, worker: WorkerId, now: Millis) {
        let Some(key) = self.start_task(worker, Task::Attempt(job, attempt), now) else { return };
        if self.socket(key).is_some_and(|s| !s.connecting) {
            self.begin_attempt(key);
        }
    }

    /// Writes an attempt's request, as its connection is up. The one place where a job leaves for a worker: a connection may have
    /// come up long after the decision, and meanwhile the client may have left, the job's time may be over, and the worker may
    /// drain, be gone or have moved.
    pub(super) fn begin_attempt(&mut self, key: ConnectionId) {
        let now = self.clock.now();
        let Some(Socket { role: Role::Upstream(c), stream, .. }) = self.socket(key) else { return };
        let (Some(task @ Task::Attempt(job, attempt)), worker) = (c.task(), c.worker) else { return };
        let at = stream.peer_addr().ok();
        let is_there = self.endpoints.get(worker).is_some_and(|t| Some(t.addr) == at);
        let request = self.dispatch.begin_attempt(job, attempt, is_there, now);
        let request = request.filter(|_| holds(Invariant::ListCurrent, self.list_is_current(now)));
        let Some(Socket { role: Role::Upstream(c), .. }) = self.socket(key) else { return };
        if let Some(request) = request {
            c.write(&request);
            return self.flush(key);
        }
        c.give_up();
        if is_there {
            self.rest(key);
        } else {
            self.close(key);
        }
        self.task_ended(task, End::Withheld, worker, now);
    }

    /// Has a worker's idle connection used last, or a new one, take on a task. `None`: there is none, and the task has ended.
    fn start_task(&mut self, worker: WorkerId, task: Task, now: Millis) -> Option<ConnectionId> {
        let limit = match task {
            Task::Attempt(..) => now + TAKEN_LIMIT,
            Task::Cancellation => now + CANCELLATION_LIMIT,
            Task::HealthCheck(_) => now + HEALTH_CHECK_LIMIT,
        };
        let Some(addr) = self.endpoints.get(worker).map(|t| t.addr) else {
            // A withdrawal from a worker that is gone says nothing that matters.
            holds(Invariant::TargetListed, !matches!(task, Task::Attempt(..)));
            self.task_ended(task, End::NotSent, worker, now);
            return None;
        };
        // Only an attempt is mistaken by a second answer to what came before: probes and withdrawals leave it the quiet ones.
        let quiet_by = if matches!(task, Task::Attempt(..)) { now } else { f64::INFINITY };
        let key = match self.pool.take(worker, quiet_by) {
            Some(key) => Ok(key),
            None => {
                let attempt = matches!(task, Task::Attempt(..));
                let by = if attempt { now + self.site.connect_timeout_ms } else { limit };
                self.open(addr, Role::Upstream(upstream::Connection::new(worker)), by)
            }
        };
        let key = match key {
            Ok(key) => key,
            Err(e) if e.kind() == ErrorKind::QuotaExceeded => {
                self.short(now);
                self.task_ended(task, End::NotSent, worker, now);
                return None;
            }
            Err(e) => {
                log::warn!("no connection to {addr}: {e}");
                self.task_ended(task, End::NotSent, worker, now);
                return None;
            }
        };
        let socket = self.socket(key)?;
        let Role::Upstream(c) = &mut socket.role else { return None };
        c.start(task);
        if !socket.connecting {
            self.set_deadline(key, limit);
        }
        if let Task::Attempt(job, attempt) = task {
            self.pool.attempts.insert((job, attempt), key);
        }
        Some(key)
    }

    /// Says how a task ended to whom it concerns.
    pub(super) fn task_ended(&mut self, task: Task, end: End, worker: WorkerId, now: Millis) {
        match task {
            Task::Attempt(job, attempt) => {
                self.pool.attempts.remove(&(job, attempt));
                self.dispatch.attempt_sent(job, attempt, end, now);
            }
            Task::HealthCheck(worker) => self.dispatch.health_check_ended(worker, Some(end)),
            Task::Cancellation => log::debug!("withdrawal at {worker:?}: {end:?}"),
        }
    }

    /// Gives up what a connection is used for.
    pub(super) fn abandon(&mut self, key: ConnectionId) {
        if let Some(Socket { role: Role::Upstream(c), .. }) = self.socket(key) {
            c.give_up();
            self.rest(key);
        }
    }

    /// Puts a connection to a worker away, if it has nothing to do.
    pub(super) fn rest(&mut self, key: ConnectionId) {
        let now = self.clock.now();
        let kept = now + self.site.settings.keepalive as f64 / 1e3 * KEPT_PART;
        let Some(Socket { role: Role::Upstream(c), .. }) = self.socket(key) else { return };
        if c.is_closed() {
            self.close(key);
        } else if c.is_idle() {
            let (worker, usable_from) = (c.worker, c.usable_from(now));
            self.pool.remove(worker, key);
            self.pool.put(worker, key, usable_from);
            self.set_deadline(key, kept);
        }
    }
}
