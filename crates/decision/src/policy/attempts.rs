//! Attempts: sends, monitors and cancels them.

use crate::interface::{Action, AttemptId, JobId, Micros, WorkerId};
use crate::state::{Attempt, CancelScope, LoadProbes, PendingJob, Route, TimerPurpose};
use crate::Dispatcher;

/// A job that has not started is checked when the constant part of its latency objective, divided by this,
/// has passed since it was sent; [`START_CHECK_MULTIPLE`] may delay this.
const START_CHECK_DIVISOR: Micros = 10;
/// A job that has not started is not checked before this multiple of the usual time to a start has passed.
const START_CHECK_MULTIPLE: f64 = 2.0;

impl Dispatcher {
    /// Sends a job to a worker.
    pub(super) fn send(&mut self, id: JobId, worker_id: WorkerId, actions: &mut Vec<Action>) {
        self.update_tokens(worker_id);
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(worker) = self.workers.get(worker_id) else { return };
        let work = self.durations.expected_work(job);
        let expected_to_start_at_once = self.free_slots(worker) >= job.slots;
        let route = self.route(worker);
        self.start_attempt(
            id,
            worker_id,
            Attempt::new(worker_id, self.now, expected_to_start_at_once, route),
            work,
        );
        actions.push(Action::StartAttempt { job: id, worker: worker_id, timeout: 0 });
        self.set_start_timer(id, route, actions);
        self.update_tokens(worker_id);
    }

    /// Records a sent attempt: charges the customer's quota if it is the first of its job, acquires its
    /// tokens and spends its work, in slot-microseconds, from the worker's slow-start budget.
    fn start_attempt(&mut self, id: JobId, worker_id: WorkerId, attempt: Attempt, work: f64) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(worker) = self.workers.get_mut(worker_id) else { return };
        if job.attempts.is_empty() {
            if let Some(quota) = self.quotas.get_mut(usize::from(job.submitted.customer)) {
                quota.charge();
            }
        }
        let attempt_id = AttemptId(job.attempts.len() as u8);
        job.attempts.push(attempt);
        job.load_probes = LoadProbes::NotSent;
        self.tokens.acquire(worker_id, job.slots);
        worker.add_attempt(id, attempt_id, job.slots);
        worker.idle_connections.pop();
        worker.slow_start.spend(work);
    }

    /// Sets the timer for the time by which a job should have started, if workers notify starts and attempts
    /// can be cancelled.
    fn set_start_timer(&mut self, id: JobId, route: Route, actions: &mut Vec<Action>) {
        if !self.settings.reports_start || !self.settings.cancellation_allowed {
            return;
        }
        let Some(job) = self.jobs.get(&id) else { return };
        let by_objective = job.class.latency_objective / START_CHECK_DIVISOR;
        let by_usual_start = (START_CHECK_MULTIPLE * self.queueing.time_to_start_us(route)) as Micros;
        let after = by_objective.max(by_usual_start);
        actions.push(TimerPurpose::StartOverdue(id).set_after(after));
    }

    /// Handles a job that should have started by now: either its worker has no free slot, or the jobs of its
    /// key before it took too long.
    pub(super) fn start_overdue(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.answered || job.pending_attempts().any(|attempt| attempt.started_at.is_some()) {
            return;
        }
        if job.blocked_by_key_order {
            return self.reject_or_fail(id, actions); // the job would miss its latency objective
        }
        let (Some(first), Some(latest)) = (job.attempts.first(), job.attempts.last()) else { return };
        if !latest.is_pending() {
            return;
        }
        let worker_id = latest.worker;
        let speed = self.workers.get(worker_id).map_or(1.0, |worker| self.speed(worker));
        let slack = self.latency_slack(job, speed) as Micros;
        let waited = self.now - first.sent_at;
        if waited >= slack && job.class.late_weight_share == 0.0 {
            // A late answer has no value in this class, and running the job would delay others.
            return self.reject_or_fail(id, actions);
        }
        if waited < slack {
            actions.push(TimerPurpose::StartOverdue(id).set_after(slack - waited));
        }
        self.assume_no_free_slot(worker_id, 1);
    }

    /// Records that an attempt has started or made progress, and cancels the other attempts of the job that
    /// have not started.
    pub(super) fn attempt_progressed(&mut self, id: JobId, attempt_id: AttemptId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(attempt) = job.attempts.get_mut(attempt_id.index()) else { return };
        attempt.last_progress_at = self.now;
        if attempt.started_at.is_none() {
            attempt.started_at = Some(self.now);
            self.queueing.record_start(attempt.route, (self.now - attempt.sent_at) as f64);
        }
        self.cancel_attempts(id, CancelScope::NotStarted, actions);
    }

    fn cancel_attempts(&mut self, id: JobId, scope: CancelScope, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.streaming || !self.settings.cancellation_allowed {
            return;
        }
        for attempt in job.cancel(scope) {
            actions.push(Action::CancelAttempt { job: id, attempt });
        }
    }

    /// Closes a job that has its final answer or whose client has disconnected. Pending attempts keep their
    /// tokens until they end; they are cancelled if the settings allow it and no answer is being streamed.
    pub(super) fn close(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.answered = true;
        if job.has_pending_attempt() {
            return self.cancel_attempts(id, CancelScope::All, actions);
        }
        if job.key_pause_until > self.now {
            let after = job.key_pause_until - self.now;
            actions.push(TimerPurpose::KeyPauseEnded(id).set_after(after));
        } else {
            self.remove_job(id, actions);
        }
    }

    /// Removes a finished job, its timers and its entry in the queue of its key.
    fn remove_job(&mut self, id: JobId, actions: &mut Vec<Action>) {
        actions.push(Action::CancelTimers { job: id });
        self.placement_overrides.remove(&id);
        let Some(job) = self.jobs.remove(&id) else { return };
        if let Some(key) = job.ordered_key() {
            self.key_queues.remove(key, id);
        }
    }

    /// Fails a job that has reached its deadline without a final answer, even if attempts are pending, unless
    /// its answer is being streamed.
    pub(super) fn deadline_reached(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if !job.answered && !job.streaming && job.submitted.deadline <= self.now {
            actions.push(Action::Fail { job: id });
            self.close(id, actions);
        }
    }

    /// Returns the pending attempts at a worker with their jobs.
    pub(super) fn attempts_at(&self, id: WorkerId) -> impl Iterator<Item = (&PendingJob, &Attempt)> {
        let attempts = self.workers.get(id).map_or(&[][..], |worker| &worker.attempts);
        attempts.iter().filter_map(|(job, attempt)| {
            let job = self.jobs.get(job)?;
            Some((job, job.attempts.get(attempt.index())?))
        })
    }
}
