//! Connections to workers: attempts, health checks and cancellations, and how each of these ends.

use super::{ConnectionId, EventLoop, Role, Socket};
use crate::clock::Millis;
use crate::http::{self, RequestLine};
use crate::invariant::{holds, Invariant};
use crate::net;
use crate::upstream::{self, Task, TaskOutcome};
use postusher_decision::{AttemptId, JobId, WorkerId};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Timeout of a health check. It is far longer than a worker takes for an answer that does not wait in the
/// worker's queue.
const HEALTH_CHECK_TIMEOUT: Millis = 120.0;
/// Time within which a worker must accept a job once the connection is established. Without this timeout, a
/// job sent on a connection that no longer delivers data, or to a machine that has failed, would wait until
/// its client gives up.
pub(super) const ACCEPTANCE_TIMEOUT: Millis = 200.0;
/// Time after which an unanswered cancellation is given up.
const CANCELLATION_TIMEOUT: Millis = 2_000.0;
/// Fraction of the workers' keep-alive time, as configured, after which the scheduler closes an idle
/// connection.
const KEEP_ALIVE_FRACTION: f64 = 0.8;

impl EventLoop {
    /// Sends a worker a health check or a cancellation, which has no body.
    pub(super) fn send_task(&mut self, worker: WorkerId, task: Task, line: &RequestLine, now: Millis) {
        let host = self.endpoints.get(worker).map(|listed| listed.addr.to_string()).unwrap_or_default();
        let request = http::request(line, &[("Host", host.as_bytes())], b"");
        let Some(id) = self.start_task(worker, task, now) else { return };
        if let Some(Socket { role: Role::Upstream(connection), .. }) = self.socket(id) {
            connection.write_request(&request);
        }
        self.flush(id);
    }

    /// Starts an attempt of a job on a connection to the worker.
    pub(super) fn start_attempt(&mut self, job: JobId, attempt: AttemptId, worker: WorkerId, now: Millis) {
        let Some(id) = self.start_task(worker, Task::Attempt(job, attempt), now) else { return };
        if self.socket(id).is_some_and(|socket| !socket.is_connecting) {
            self.begin_attempt(id);
        }
    }

    /// Writes the request of an attempt once its connection is established, if the attempt may still be sent.
    /// This is the only place where a job is sent to a worker. The connection may be established long after
    /// the decision; in the meantime the client may have disconnected, the deadline may have passed, or the
    /// worker may have started draining, been removed or changed its address.
    pub(super) fn begin_attempt(&mut self, id: ConnectionId) {
        let now = self.clock.now();
        let Some(Socket { role: Role::Upstream(connection), stream, .. }) = self.socket(id) else { return };
        let worker = connection.worker;
        let Some(task @ Task::Attempt(job, attempt)) = connection.task() else { return };
        let address = stream.peer_addr().ok();
        let is_address_current =
            self.endpoints.get(worker).is_some_and(|listed| Some(listed.addr) == address);
        let request = self.dispatch.begin_attempt(job, attempt, is_address_current, now);
        let request = request.filter(|_| holds(Invariant::ListCurrent, self.is_list_within_drain_grace(now)));
        let Some(Socket { role: Role::Upstream(connection), .. }) = self.socket(id) else { return };
        if let Some(request) = request {
            connection.write_request(&request);
            return self.flush(id);
        }
        connection.abandon_task();
        if is_address_current {
            self.release_upstream(id);
        } else {
            self.close(id);
        }
        self.handle_task_end(task, TaskOutcome::Withheld, worker, now);
    }

    /// Moves an attempt to a connection that has just been established and has no task, because its own attempt
    /// was abandoned in the meantime. The attempt is the one that has waited longest for another connection to
    /// the same worker, which may be established much later.
    pub(super) fn take_over_waiting_attempt(&mut self, id: ConnectionId, now: Millis) {
        let Some(Socket { role: Role::Upstream(connection), stream, .. }) = self.sockets.get(id) else {
            return;
        };
        let worker = connection.worker;
        let address = stream.peer_addr().ok();
        let leads_to_worker = self.endpoints.get(worker).is_some_and(|listed| Some(listed.addr) == address);
        if !connection.is_idle() || !leads_to_worker {
            return;
        }
        let Some((job, attempt, waiting_id)) = self.longest_waiting_attempt(worker) else { return };
        if let Some(Socket { role: Role::Upstream(waiting), .. }) = self.socket(waiting_id) {
            waiting.abandon_task();
        }
        if let Some(Socket { role: Role::Upstream(connection), .. }) = self.socket(id) {
            connection.start(Task::Attempt(job, attempt));
        }
        self.pool.attempts.insert((job, attempt), id);
        self.sockets.set_deadline(id, now + ACCEPTANCE_TIMEOUT);
    }

    /// Returns the attempt that has waited longest for its connection to a worker to be established, and that
    /// connection.
    fn longest_waiting_attempt(&self, worker: WorkerId) -> Option<(JobId, AttemptId, ConnectionId)> {
        let waiting = self.pool.attempts.iter().filter(|(_, id)| {
            self.sockets.get(**id).is_some_and(|socket| match &socket.role {
                Role::Upstream(connection) => socket.is_connecting && connection.worker == worker,
                _ => false,
            })
        });
        let ((job, attempt), id) = waiting.min_by_key(|(_, id)| id.serial)?;
        Some((*job, *attempt, *id))
    }

    /// Assigns a task to a connection to a worker. Returns `None` if no connection is available; the task has
    /// then ended as [`TaskOutcome::NotSent`].
    fn start_task(&mut self, worker: WorkerId, task: Task, now: Millis) -> Option<ConnectionId> {
        let Some(address) = self.endpoints.get(worker).map(|listed| listed.addr) else {
            // A cancellation or a health check may be meant for a worker that has been removed, which does
            // no harm. The dispatcher starts attempts only at listed workers.
            holds(Invariant::WorkerListed, !matches!(task, Task::Attempt(..)));
            self.handle_task_end(task, TaskOutcome::NotSent, worker, now);
            return None;
        };
        let id = match self.upstream_for(worker, address, task, now) {
            Ok(id) => id,
            Err(e) => {
                if e.kind() == ErrorKind::QuotaExceeded {
                    self.record_descriptor_shortage(now);
                } else {
                    log::warn!("connect failed: address={address} error={e}");
                }
                self.handle_task_end(task, TaskOutcome::NotSent, worker, now);
                return None;
            }
        };
        let socket = self.socket(id)?;
        let Role::Upstream(connection) = &mut socket.role else { return None };
        connection.start(task);
        if !socket.is_connecting {
            self.sockets.set_deadline(id, now + task_timeout(task));
        }
        if let Task::Attempt(job, attempt) = task {
            self.pool.attempts.insert((job, attempt), id);
        }
        Some(id)
    }

    /// Returns the most recently used idle connection to a worker, or opens a new one. An idle connection that
    /// its worker has closed, or has sent bytes on without a request, is closed.
    fn upstream_for(
        &mut self,
        worker: WorkerId,
        address: SocketAddr,
        task: Task,
        now: Millis,
    ) -> io::Result<ConnectionId> {
        let is_attempt = matches!(task, Task::Attempt(..));
        // The reuse delay protects attempts: one that took a late second answer for its own could cause its
        // job to be sent to a second worker. Other tasks take the most recently used connection even during
        // its reuse delay, which leaves connections past that delay to attempts.
        let usable_by = if is_attempt { now } else { f64::INFINITY };
        while let Some(id) = self.pool.take(worker, usable_by) {
            if self.sockets.get(id).is_some_and(|socket| !net::is_readable(&socket.stream)) {
                return Ok(id);
            }
            self.close(id);
        }
        let connect_timeout = if is_attempt { self.site.connect_timeout_ms } else { task_timeout(task) };
        let connection = upstream::Connection::new(worker);
        self.connect(address, Role::Upstream(connection), now + connect_timeout)
    }

    /// Reports the outcome of a task to the dispatcher; that of a cancellation only if an attempt waits for it.
    pub(super) fn handle_task_end(
        &mut self,
        task: Task,
        outcome: TaskOutcome,
        worker: WorkerId,
        now: Millis,
    ) {
        match task {
            Task::Attempt(job, attempt) => {
                self.pool.attempts.remove(&(job, attempt));
                self.dispatch.attempt_sent(job, attempt, outcome, now);
            }
            Task::HealthCheck(worker) => self.health_check_ended(worker, Some(outcome), now),
            Task::Cancellation(awaited_by) => {
                log::debug!("cancellation ended: worker={worker:?} end={outcome:?}");
                if let Some((job, attempt)) = awaited_by {
                    self.dispatch.cancellation_ended(job, attempt, &outcome, now);
                }
            }
        }
    }

    /// Reports the end of a health check to the dispatcher; `outcome` is `None` if the worker did not answer in
    /// time.
    pub(super) fn health_check_ended(&mut self, worker: WorkerId, outcome: Option<TaskOutcome>, now: Millis) {
        let name = self.endpoints.get(worker).map_or("", |listed| &listed.name);
        self.dispatch.health_check_ended(worker, name, outcome, now);
    }

    /// Abandons an attempt that its worker has not accepted yet. If a part of its request has been written,
    /// the connection is closed.
    pub(super) fn abandon_attempt(&mut self, job: JobId, attempt: AttemptId) {
        let Some(id) = self.pool.attempts.remove(&(job, attempt)) else { return };
        if let Some(Socket { role: Role::Upstream(connection), .. }) = self.socket(id) {
            connection.abandon_task();
            self.release_upstream(id);
        }
    }

    /// Returns a connection to the pool if it has no task, and closes it if it can no longer be used.
    pub(super) fn release_upstream(&mut self, id: ConnectionId) {
        let now = self.clock.now();
        let idle_timeout = self.site.settings.keepalive as f64 / 1e3 * KEEP_ALIVE_FRACTION;
        let Some(Socket { role: Role::Upstream(connection), .. }) = self.socket(id) else { return };
        if connection.is_closed() {
            self.close(id);
        } else if connection.is_idle() {
            let worker = connection.worker;
            let usable_from = connection.usable_from(now);
            self.pool.remove(worker, id);
            self.pool.put(worker, id, usable_from);
            self.sockets.set_deadline(id, now + idle_timeout);
        }
    }

    /// Closes the longest-idle connection of some worker. Returns whether there was one.
    pub(super) fn close_idle_upstream(&mut self) -> bool {
        let Some(id) = self.pool.longest_idle() else { return false };
        self.close(id);
        true
    }

    /// Closes all idle connections to a worker.
    pub(super) fn close_idle_upstreams_of(&mut self, worker: WorkerId) {
        for id in self.pool.take_all(worker) {
            self.close(id);
        }
    }
}

/// Returns the timeout of a task on an established connection. On a new connection, the timeout of a
/// cancellation or a health check includes the connect.
fn task_timeout(task: Task) -> Millis {
    match task {
        Task::Attempt(..) => ACCEPTANCE_TIMEOUT,
        Task::Cancellation(_) => CANCELLATION_TIMEOUT,
        Task::HealthCheck(_) => HEALTH_CHECK_TIMEOUT,
    }
}
