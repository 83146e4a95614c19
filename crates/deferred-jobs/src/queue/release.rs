//! Timers and the release of jobs.

use super::{DeferralQueue, Phase, CAPACITY_CHECK_INTERVAL};
use crate::pacer::ReleasePacer;
use crate::timers::NEVER;
use crate::{Decision, FreeCapacity, JobEndStatus, JobId, Millis, RequeueOutcome};

impl DeferralQueue {
    /// Returns the next time at which [`DeferralQueue::release`] must be called even without another event.
    pub fn next_timer(&self, now: Millis) -> Option<Millis> {
        // Old outcomes need no timer: no job waits for their eviction, and the next call evicts them.
        let timer = self.timers.next_due();
        if self.ready.is_empty() {
            return timer;
        }
        let capacity_check = self.pacer.paused_until().max(now + CAPACITY_CHECK_INTERVAL);
        Some(timer.map_or(capacity_check, |due| due.min(capacity_check)))
    }

    /// Returns whether there are jobs that could be released now if there were capacity.
    pub fn has_releasable_jobs(&self, now: Millis) -> bool {
        !self.ready.is_empty() && now >= self.pacer.paused_until()
    }

    /// Runs the timers that are due; jobs become ready, fail or are rejected.
    pub fn advance(&mut self, now: Millis) {
        self.dependencies.evict_old_outcomes(&self.limits, now);
        while let Some(id) = self.timers.pop_due(now) {
            if let Some(job) = self.jobs.get_mut(&id) {
                job.timer_due = NEVER;
                self.run_timer(id, now);
            }
        }
    }

    /// Advances to `now` and releases the jobs for which the fleet has capacity.
    pub fn release(&mut self, capacity: FreeCapacity, now: Millis) {
        self.advance(now);
        let reserved_share = self.limits.reserved_share;
        let mut allowance = self.pacer.begin_turn(capacity, reserved_share, now);
        self.max_free_slots = capacity.max_free_slots;
        while allowance.jobs > 0 {
            let Some(id) = self.ready.first() else { break };
            let Some(job) = self.jobs.get(&id) else { break };
            // Only the total number of free slots is checked here. The decision module checks whether a
            // single worker can take the job, or can queue it for a short time.
            let required = ReleasePacer::required_slots(job.slots, capacity, reserved_share);
            // No job may overtake the first one: otherwise a job that needs many slots would starve.
            if required > allowance.slots {
                break;
            }
            self.release_job(id, now);
            allowance.slots -= required;
            allowance.jobs -= 1;
        }
    }

    /// Handles the rejection, by the decision module, of a released job that was never sent to a worker. If
    /// the result is [`RequeueOutcome::Final`], the host answers the client immediately.
    pub fn requeue_rejected(&mut self, id: JobId, now: Millis) -> RequeueOutcome {
        let Some(job) = self.jobs.get_mut(&id) else { return RequeueOutcome::Final };
        if job.phase != Phase::Released {
            return RequeueOutcome::Final;
        }
        // A job that needs more slots than any single worker has free may be rejected although there is
        // capacity for other jobs: these are released during its backoff.
        if job.slots <= self.max_free_slots {
            self.pacer.record_rejection(now);
        }
        let until = now + ReleasePacer::backoff(job.rejections + 1);
        if self.closed || until >= job.last_release_time(&self.limits) {
            return RequeueOutcome::Final;
        }
        job.rejections += 1;
        job.phase = Phase::BackingOff { until };
        self.usage.add(job.client, job.bytes);
        self.reschedule(id);
        RequeueOutcome::Requeued
    }

    /// Pauses all releases for a short time. The host calls it when the decision module has rejected a job
    /// that has had no attempt and is not requeued. This is taken as a lack of capacity, and the pause
    /// prevents a backlog of deferred jobs from crowding out new arrivals. Deferred jobs are still rejected
    /// after [`max_ready_wait`](crate::Limits::max_ready_wait) or shortly before their deadline.
    pub fn yield_to_arrivals(&mut self, now: Millis) {
        self.pacer.yield_to_arrivals(now);
    }

    fn release_job(&mut self, id: JobId, now: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if let Phase::Ready(rank) = job.phase {
            self.ready.remove(rank, id);
        }
        job.phase = Phase::Released;
        self.longest_wait = self.longest_wait.max(now - job.ready_at);
        if job.rejections == 0 {
            self.released += 1;
        }
        self.usage.remove(job.client, job.bytes);
        self.reschedule(id);
        self.pacer.record_release(now);
        self.decisions.push(Decision::Release(id));
    }

    /// Handles the timer of a job: rejects the job if it can no longer be released in time; otherwise fails
    /// it if a dependency is still unknown at the end of its grace, or changes its phase if that is due.
    fn run_timer(&mut self, id: JobId, now: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let awaits_release = job.phase.awaits_release();
        let has_waited_too_long = awaits_release && now >= job.ready_at + self.limits.max_ready_wait;
        if has_waited_too_long || now >= job.last_rejection_time(&self.limits) {
            if awaits_release {
                self.longest_wait = self.longest_wait.max(now - job.ready_at);
            }
            return self.reject(id, now);
        }
        match job.phase {
            Phase::Blocked if now >= job.grace_until => {
                if self.dependencies.any_unknown(&job.unmet_dependencies) {
                    return self.fail(id, now);
                }
                job.grace_until = NEVER;
            }
            Phase::Scheduled if now >= job.not_before => {
                // The job counts as ready since its start time, even if the timer runs late.
                job.ready_at = job.not_before;
                self.make_ready(id);
            }
            Phase::BackingOff { until } if now >= until => self.make_ready(id),
            Phase::Blocked
            | Phase::Scheduled
            | Phase::BackingOff { .. }
            | Phase::Ready(_)
            | Phase::Released => {}
        }
        self.reschedule(id);
    }

    fn reject(&mut self, id: JobId, now: Millis) {
        let Some(job) = self.jobs.get(&id) else { return };
        let trace_id = job.trace_id.clone();
        let retry_after = self.estimate_retry_after();
        self.decisions.push(Decision::Reject { id, retry_after });
        self.propagate_end(trace_id, JobEndStatus::Rejected, now);
    }

    fn fail(&mut self, id: JobId, now: Millis) {
        let Some(job) = self.jobs.get(&id) else { return };
        let trace_id = job.trace_id.clone();
        self.decisions.push(Decision::Fail(id));
        self.propagate_end(trace_id, JobEndStatus::Failed, now);
    }
}
