//! Turning clients away, for one of two reasons: a shutdown, after SIGTERM or because another process uses
//! the membership name (the process serves open connections for a while, finishes its jobs and exits), or a
//! drain, which an operator starts and ends.

use crate::clock::{earliest, Millis};

/// Maximum time for which a planned restart waits for the longest deadline of a job.
const MAX_RESTART_WAIT: Millis = 3_000.0;
/// Additional time for which a planned restart waits before it kills the process.
const EXTRA_RESTART_WAIT: Millis = 700.0;
/// Time between the shutdown deadline, which is the latest deadline of jobs that arrive during the shutdown,
/// and the kill; the last answers are sent in this time.
const ANSWER_MARGIN: Millis = 100.0;
/// Fraction of a shutdown during which connections stay open. In a rolling restart, the scheduler that was
/// restarted before this one may not be ready yet to take over the clients.
const OPEN_FRACTION: f64 = 0.55;
/// The same fraction during an upgrade, where the successor accepts clients. Every answer closes its
/// connection, so that few connections remain whose next request could coincide with their end.
const OPEN_FRACTION_WITH_SUCCESSOR: f64 = 0.85;
/// Time after a drain request in which a client that is turned away could be sent back to this scheduler: the
/// load balancer checks the health every 100 ms and stops sending clients 200 ms after a failed check.
const NOTICE_TIME: Millis = 400.0;
/// Time for which open connections are served after a drain request. No idle connection may remain 2 s after
/// the request.
const SERVING_TIME: Millis = 1_500.0;

/// Drain state of the scheduler. There are two reasons for turning clients away, which can coincide: a
/// shutdown, which cannot be undone, and a drain by an operator.
pub struct Drain {
    /// Time from the start of the shutdown to the shutdown deadline.
    shutdown_duration: Millis,
    shutdown_started_at: Option<Millis>,
    operator_drain: Option<OperatorDrain>,
    /// Whether a successor accepts clients in place of this process.
    has_successor: bool,
}

/// A drain that an operator has requested.
#[derive(Clone, Copy)]
struct OperatorDrain {
    started_at: Millis,
    origin: DrainOrigin,
}

/// The process of an upgrade that received an operator's request to drain.
#[derive(Clone, Copy, PartialEq)]
enum DrainOrigin {
    ThisProcess,
    OtherProcess,
}

impl Drain {
    /// Creates the state of a scheduler that does not drain. `longest_deadline` is the longest time for which
    /// a client may wait for its answer.
    pub fn new(longest_deadline: Millis) -> Self {
        Drain {
            shutdown_duration: longest_deadline.min(MAX_RESTART_WAIT) + EXTRA_RESTART_WAIT - ANSWER_MARGIN,
            shutdown_started_at: None,
            operator_drain: None,
            has_successor: false,
        }
    }

    /// Starts the shutdown; a second call has no effect.
    pub fn start_shutdown(&mut self, now: Millis) {
        self.shutdown_started_at.get_or_insert(now);
    }

    /// Starts a drain at an operator's request; a second request does not restart its time limits.
    pub fn start_by_operator(&mut self, now: Millis) {
        let started_at = self.operator_drain.map_or(now, |drain| drain.started_at);
        self.operator_drain = Some(OperatorDrain { started_at, origin: DrainOrigin::ThisProcess });
    }

    /// Starts a drain that an operator has requested from the other process of an upgrade. A request to this
    /// process takes precedence.
    pub fn start_inherited(&mut self, now: Millis) {
        let inherited = OperatorDrain { started_at: now, origin: DrainOrigin::OtherProcess };
        self.operator_drain.get_or_insert(inherited);
    }

    /// Sets whether a successor accepts clients in place of this process.
    pub fn set_successor(&mut self, has_successor: bool) {
        self.has_successor = has_successor;
    }

    /// Returns whether a successor accepts clients in place of this process.
    pub fn has_successor(&self) -> bool {
        self.has_successor
    }

    /// Ends a drain at an operator's request, at any stage. A shutdown continues.
    pub fn cancel_by_operator(&mut self) {
        self.operator_drain = None;
    }

    /// Returns whether clients are turned away. A shutdown during an upgrade does not turn clients away, as
    /// the successor accepts them.
    pub fn is_draining(&self) -> bool {
        let is_final_shutdown = self.is_shutting_down() && !self.has_successor;
        is_final_shutdown || self.is_operator_drain()
    }

    /// Returns whether an operator drains this scheduler.
    pub fn is_operator_drain(&self) -> bool {
        self.operator_drain.is_some()
    }

    /// Returns whether the drain state lets a health check of this process succeed. A drain that was
    /// requested from the other process of an upgrade does, as an upgrade during a drain would otherwise
    /// never end.
    pub fn is_healthy(&self) -> bool {
        let is_drained_here =
            self.operator_drain.is_some_and(|drain| drain.origin == DrainOrigin::ThisProcess);
        !self.is_shutting_down() && !is_drained_here
    }

    /// Returns whether the process is shutting down.
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_started_at.is_some()
    }

    /// Returns the time from which idle client connections are closed. Connections of workers stay open for
    /// job status updates.
    pub fn closes_idle_at(&self) -> Option<Millis> {
        let open_fraction = if self.has_successor { OPEN_FRACTION_WITH_SUCCESSOR } else { OPEN_FRACTION };
        let by_shutdown =
            self.shutdown_started_at.map(|started_at| started_at + self.shutdown_duration * open_fraction);
        earliest([by_shutdown, self.operator_deadline(SERVING_TIME)])
    }

    /// Returns the time at which an operator's drain has lasted for `duration`.
    fn operator_deadline(&self, duration: Millis) -> Option<Millis> {
        self.operator_drain.map(|drain| drain.started_at + duration)
    }

    /// Returns whether idle client connections are closed at `now`.
    pub fn closes_idle(&self, now: Millis) -> bool {
        has_passed(self.closes_idle_at(), now)
    }

    /// Returns whether the process is shutting down and may exit once no job is pending. It waits at least
    /// until the load balancer has noticed the shutdown, even if an operator's drain has closed all
    /// connections before, because clients may still open new ones.
    pub fn may_exit(&self, now: Millis) -> bool {
        let noticed_at = self.shutdown_started_at.map(|started_at| started_at + NOTICE_TIME);
        has_passed(noticed_at, now) && self.closes_idle(now)
    }

    /// Returns whether the shutdown deadline has passed. From then on, partially received requests are
    /// rejected and unread requests no longer delay the exit. Jobs that arrived before the shutdown keep
    /// their own deadlines.
    pub fn is_past_deadline(&self, now: Millis) -> bool {
        has_passed(self.shutdown_deadline(), now)
    }

    /// Returns whether a connection stays open after an answer. `turned_away` states that the answer is not a
    /// result or a successful readiness check. While clients are turned away, the connection is then closed
    /// at once, so that the client does not retry at this process.
    pub fn keeps_connections(&self, now: Millis, turned_away: bool) -> bool {
        let drain_noticed = has_passed(self.operator_deadline(NOTICE_TIME), now);
        let leaves_at_once = self.is_draining() && turned_away;
        !drain_noticed && !self.has_successor && !self.closes_idle(now) && !leaves_at_once
    }

    /// Returns whether jobs are rejected because the time for serving open connections during an operator's
    /// drain is over.
    pub fn rejects_jobs(&self, now: Millis) -> bool {
        has_passed(self.operator_deadline(SERVING_TIME), now)
    }

    /// Returns the time by which jobs that arrive during the shutdown must have their answers.
    pub fn shutdown_deadline(&self) -> Option<Millis> {
        self.shutdown_started_at.map(|started_at| started_at + self.shutdown_duration)
    }
}

/// Returns whether a time has passed; `None` never passes.
fn has_passed(time: Option<Millis>, now: Millis) -> bool {
    time.is_some_and(|time| now >= time)
}

#[cfg(test)]
mod tests;
