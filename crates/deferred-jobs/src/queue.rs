//! The queue: the phases of a job from its arrival to its release to the decision module.

mod admission;
mod migration;
mod release;

use crate::dependency_index::{DependencyIndex, JobState};
use crate::pacer::ReleasePacer;
use crate::release_order::{ReleaseOrder, ReleaseRank};
use crate::timers::{Timers, NEVER};
use crate::usage::Usage;
use crate::{Decision, Dependency, JobEndStatus, JobId, Limits, Millis};
use std::collections::HashMap;
use std::rc::Rc;

/// Interval of the capacity check while jobs are ready. Capacity also changes without an event, as workers
/// complete their slow start and load reports age.
const CAPACITY_CHECK_INTERVAL: Millis = 5.0;

/// The phase of a job in the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// At least one job that the job depends on has not ended.
    Blocked,
    /// All dependencies are met; the start time has not been reached.
    Scheduled,
    /// The job may be released.
    Ready(ReleaseRank),
    /// The job was released, then rejected by the decision module, and becomes ready again after a backoff.
    BackingOff {
        /// The end of the backoff.
        until: Millis,
    },
    /// The job has been released.
    Released,
}

impl Phase {
    /// Returns whether all start conditions are met and the job waits for its release, the first one or
    /// another one after a rejection.
    fn awaits_release(self) -> bool {
        match self {
            Phase::Ready(_) | Phase::BackingOff { .. } => true,
            Phase::Blocked | Phase::Scheduled | Phase::Released => false,
        }
    }
}

/// A job that is deferred, or that was released and has not ended.
#[derive(Debug)]
struct QueuedJob {
    trace_id: Rc<str>,
    client: u64,
    class: u16,
    slots: u32,
    bytes: usize,
    deadline: Millis,
    /// The earliest start time; 0 if there is none.
    not_before: Millis,
    unmet_dependencies: Vec<Dependency>,
    /// The time at which the job fails if a dependency is still unknown; [`NEVER`] if all were known when the
    /// job arrived or at that time.
    grace_until: Millis,
    phase: Phase,
    /// The time at which the job became ready; not meaningful before.
    ready_at: Millis,
    /// The sequence number of its arrival.
    arrival: u64,
    /// The number of times that the job was requeued after a rejection.
    rejections: u32,
    /// The due time of its timer; [`NEVER`] without a timer.
    timer_due: Millis,
}

impl QueuedJob {
    /// Returns the latest time at which a rejection still reaches the client before the deadline.
    fn last_rejection_time(&self, limits: &Limits) -> Millis {
        self.deadline - limits.rejection_lead
    }

    /// Returns the latest time at which a ready job may be released.
    fn last_release_time(&self, limits: &Limits) -> Millis {
        self.last_rejection_time(limits).min(self.ready_at + limits.max_ready_wait)
    }
}

/// Statistics of the queue: current numbers of jobs, and totals since its creation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Statistics {
    /// Number of jobs that are currently deferred.
    pub deferred: usize,
    /// Number of deferred jobs that are ready for release.
    pub ready: usize,
    /// Number of jobs released; a job that was requeued and released again counts once.
    pub released: u64,
    /// The longest time that a ready job has waited for its release or rejection.
    pub longest_wait: Millis,
}

/// The number of items that the queue keeps in memory, for tests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Footprint {
    /// Jobs that are deferred, or released and not ended.
    pub jobs: usize,
    /// Known trace ids.
    pub trace_ids: usize,
    /// Timers.
    pub timers: usize,
    /// Bytes held by the deferred jobs.
    pub bytes: usize,
}

/// The deferred jobs of a scheduler.
pub struct DeferralQueue {
    limits: Limits,
    jobs: HashMap<JobId, QueuedJob>,
    dependencies: DependencyIndex,
    ready: ReleaseOrder,
    timers: Timers,
    usage: Usage,
    pacer: ReleasePacer,
    decisions: Vec<Decision>,
    arrival_count: u64,
    closed: bool,
    released: u64,
    longest_wait: Millis,
    /// The largest number of free slots at a single worker, as of the last call of
    /// [`DeferralQueue::release`].
    max_free_slots: u32,
}

impl DeferralQueue {
    /// Creates an empty queue.
    pub fn new(limits: Limits) -> DeferralQueue {
        DeferralQueue {
            limits,
            jobs: HashMap::new(),
            dependencies: DependencyIndex::default(),
            ready: ReleaseOrder::default(),
            timers: Timers::default(),
            usage: Usage::default(),
            pacer: ReleasePacer::new(),
            decisions: Vec::new(),
            arrival_count: 0,
            closed: false,
            released: 0,
            longest_wait: 0.0,
            max_free_slots: 0,
        }
    }

    /// Replaces the limits. Jobs that are already deferred stay deferred, even if they exceed the new numbers
    /// of jobs or bytes, and ready jobs keep their rank in the release order. The new `max_ready_wait` and
    /// `rejection_lead` apply to them, the new `dependency_grace` does not.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
        let ids: Vec<JobId> = self.jobs.keys().copied().collect();
        for id in ids {
            self.reschedule(id);
        }
    }

    /// Records that a job that is not deferred has arrived, in this process or in the other process of an
    /// upgrade.
    pub fn record_start(&mut self, trace_id: &str) {
        self.dependencies.record_running(&trace_id.into());
    }

    /// Records that a job has ended, whether or not it was deferred: its client has been answered or has
    /// disconnected. A second call for the same end has no effect.
    pub fn record_end(&mut self, trace_id: &str, status: JobEndStatus, now: Millis) {
        if !matches!(self.dependencies.state(trace_id), JobState::Ended(_)) {
            self.propagate_end(trace_id.into(), status, now);
        }
    }

    /// Removes and returns the pending decisions, in the order in which the host must carry them out.
    pub fn take_decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// Returns the statistics. `longest_wait` includes the wait so far of the first job in the release order.
    pub fn statistics(&self, now: Millis) -> Statistics {
        let first_ready = self.ready.first().and_then(|id| self.jobs.get(&id));
        let current_wait = first_ready.map_or(0.0, |job| now - job.ready_at);
        Statistics {
            deferred: self.usage.jobs(),
            ready: self.ready.len(),
            released: self.released,
            longest_wait: self.longest_wait.max(current_wait),
        }
    }

    /// Returns the number of items that the queue keeps in memory.
    pub fn footprint(&self) -> Footprint {
        Footprint {
            jobs: self.jobs.len(),
            trace_ids: self.dependencies.len(),
            timers: self.timers.len(),
            bytes: self.usage.bytes(),
        }
    }

    /// Closes the queue at shutdown of the host: rejects all deferred jobs, without an estimate of the time
    /// for a retry, and refuses every later job with [`DeferralError::Closed`](crate::DeferralError::Closed).
    pub fn close(&mut self) {
        self.closed = true;
        let mut deferred: Vec<(u64, JobId)> = Vec::with_capacity(self.usage.jobs());
        for (id, job) in &self.jobs {
            if job.phase != Phase::Released {
                deferred.push((job.arrival, *id));
            }
        }
        deferred.sort_unstable();
        for (_, id) in deferred {
            self.decisions.push(Decision::Reject { id, retry_after: 0.0 });
            self.remove_job(id);
        }
    }

    /// Records the end of a job and resolves the dependencies on it. Jobs that fail as a result are ended the
    /// same way.
    fn propagate_end(&mut self, trace_id: Rc<str>, status: JobEndStatus, now: Millis) {
        let mut ends = vec![(trace_id, status)];
        while let Some((trace_id, status)) = ends.pop() {
            if let JobState::Deferred(id) = self.dependencies.state(&trace_id) {
                self.remove_job(id);
            }
            for waiter in self.dependencies.record_end(&trace_id, status, &self.limits, now) {
                if let Some(failed_trace_id) = self.resolve_dependency(waiter, &trace_id, status, now) {
                    ends.push((failed_trace_id, JobEndStatus::Failed));
                }
            }
        }
    }

    /// Resolves one dependency of a job. Returns the trace id of the job if it fails as a result.
    fn resolve_dependency(
        &mut self,
        id: JobId,
        ended_trace_id: &Rc<str>,
        status: JobEndStatus,
        now: Millis,
    ) -> Option<Rc<str>> {
        let job = self.jobs.get_mut(&id)?;
        let unmet = &mut job.unmet_dependencies;
        let position = unmet.iter().position(|dependency| dependency.trace_id == *ended_trace_id)?;
        let dependency = unmet.swap_remove(position);
        if !dependency.is_met_by(status) {
            let trace_id = job.trace_id.clone();
            self.decisions.push(Decision::Fail(id));
            // Removed immediately: another dependency may end in the same call, and the job must get only one
            // decision.
            self.remove_job(id);
            return Some(trace_id);
        }
        if unmet.is_empty() {
            self.unblock(id, now, now);
        }
        None
    }

    /// Removes a job from all collections, except the entry of its own trace id in the dependency index.
    fn remove_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else { return };
        for dependency in &job.unmet_dependencies {
            self.dependencies.remove_waiter(&dependency.trace_id, id);
        }
        self.timers.cancel(id, job.timer_due);
        if let Phase::Ready(rank) = job.phase {
            self.ready.remove(rank, id);
        }
        if job.phase != Phase::Released {
            self.usage.remove(job.client, job.bytes);
        }
    }

    /// Moves a job whose dependencies are all met to [`Phase::Scheduled`] or [`Phase::Ready`]. `ready_at` is
    /// the time at which the job became ready; it is earlier than `now` for a job that was ready when it
    /// migrated.
    fn unblock(&mut self, id: JobId, ready_at: Millis, now: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.grace_until = NEVER;
        if job.not_before > now {
            job.phase = Phase::Scheduled;
        } else {
            job.ready_at = ready_at;
            self.make_ready(id);
        }
        self.reschedule(id);
    }

    /// Inserts a job into the release order. A requeued job gets the same rank as before, unless the release
    /// lag of its class has changed.
    fn make_ready(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let rank = ReleaseRank::new(job.ready_at, self.limits.release_lag(job.class), job.arrival);
        job.phase = Phase::Ready(rank);
        self.ready.insert(rank, id);
    }

    /// Sets a job's timer to the next time at which it may change its phase, fail or be rejected without
    /// another event.
    fn reschedule(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let due = match job.phase {
            Phase::Blocked => job.last_rejection_time(&self.limits).min(job.grace_until),
            Phase::Scheduled => job.last_rejection_time(&self.limits).min(job.not_before),
            Phase::Ready(_) => job.last_release_time(&self.limits),
            Phase::BackingOff { until } => job.last_release_time(&self.limits).min(until),
            Phase::Released => NEVER,
        };
        if due != job.timer_due {
            self.timers.reschedule(id, job.timer_due, due);
            job.timer_due = due;
        }
    }

    /// Estimates the time until the queue has capacity for another job.
    fn estimate_retry_after(&self) -> Millis {
        // Includes a tenth of the ready jobs, so that a client that retries finds capacity.
        self.pacer.time_to_release(1 + self.ready.len() / 10)
    }
}
