//! Admission: decides whether an arriving job is placed, waits in its key's queue or is rejected.

use super::capacity::DEFAULT_TOKENS;
use super::load_probes::MAX_LOAD_PROBES;
use super::placement::CANDIDATES;
use super::quotas::QUEUEING_SLACK_SHARE;
use crate::estimators::ShareEstimate;
use crate::interface::{Action, AttemptId, Class, Idempotency, Job, JobId, Micros, PriorAttempt, WorkerId};
use crate::state::{Attempt, AttemptState, PendingJob, Route, TimerPurpose};
use crate::Dispatcher;
use std::sync::Arc;

/// Retries added to the retry budget per arrival: enough if one worker in five fails, too few for a retry
/// storm.
const RETRIES_PER_ARRIVAL: f64 = 0.2;
/// Maximum balance of the retry budget.
pub const MAX_SAVED_RETRIES: f64 = 20.0;
/// Health checks added to the probe budget per arrival if the settings do not let jobs wait for load probes;
/// otherwise [`MAX_LOAD_PROBES`] are added.
const PROBES_PER_ARRIVAL: f64 = 1.0;
/// Maximum balance of the probe budget, in arrivals.
const MAX_SAVED_PROBE_ARRIVALS: f64 = 3.0;
/// Latency objective of a job whose class is not in the settings.
const UNKNOWN_CLASS_OBJECTIVE_US: Micros = 1;

/// Result of adding an arrived job to the queue of its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeyQueueOutcome {
    /// The job may be placed: its class is unordered, or no job of its key is before it.
    MayPlace,
    /// The job waits for earlier jobs of its key, or was rejected because the wait would be too long.
    QueuedOrRejected,
}

impl Dispatcher {
    /// Registers a job that a client submitted and places it, unless earlier jobs of its key are not over.
    pub(super) fn admit(&mut self, job: Job, actions: &mut Vec<Action>) {
        let id = job.id;
        if self.jobs.contains_key(&id) {
            return;
        }
        self.register(job, actions);
        if self.queue_by_key(id, actions) == KeyQueueOutcome::QueuedOrRejected {
            return;
        }
        let next_workers = self.place(id, actions);
        // The next job of the class considers the same workers. Those of a restricted class may be missing
        // from the workers that are checked at each tick.
        self.probe_candidates(&next_workers, actions);
    }

    /// Takes over a job with the attempts that another process of this scheduler made. Pending attempts hold
    /// tokens in this process, too, and whether the job may be sent again depends on all of its attempts.
    pub(super) fn adopt(&mut self, job: Job, prior_attempts: &[PriorAttempt], actions: &mut Vec<Action>) {
        let id = job.id;
        if self.jobs.contains_key(&id) {
            return;
        }
        self.register(job, actions);
        for (attempt, attempt_id) in prior_attempts.iter().zip((0..).map(AttemptId)) {
            self.adopt_attempt(id, attempt_id, attempt);
            self.update_tokens(attempt.worker);
        }
        let outcome = self.queue_by_key(id, actions);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.blocked_by_key_order &= job.attempts.is_empty();
        }
        if outcome == KeyQueueOutcome::MayPlace && prior_attempts.iter().all(|attempt| !attempt.pending) {
            self.place(id, actions);
        }
    }

    fn adopt_attempt(&mut self, id: JobId, attempt_id: AttemptId, prior: &PriorAttempt) {
        let route = self.workers.get(prior.worker).map_or(Route::default(), |worker| self.route(worker));
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let mut attempt = Attempt::new(prior.worker, self.now, false, route);
        attempt.sent_at = self.now.saturating_sub(prior.age);
        attempt.state = match (prior.pending, prior.may_have_run) {
            (true, _) => AttemptState::Pending,
            (false, true) => AttemptState::MayHaveRun,
            (false, false) => AttemptState::NeverRan,
        };
        job.attempts.push(attempt);
        if prior.pending {
            if let Some(worker) = self.workers.get_mut(prior.worker) {
                worker.add_attempt(id, attempt_id, job.slots);
            }
        }
    }

    /// Adds an arrived job to the jobs, updates the estimates and budgets, and sets the timer that fails the
    /// job at its deadline if it has no answer by then.
    fn register(&mut self, job: Job, actions: &mut Vec<Action>) {
        let id = job.id;
        let after = job.deadline.saturating_sub(self.now);
        let class = self.class_of(&job);
        self.affinity.record_arrival(&job);
        let estimate =
            if self.features.probes_before_placement { ShareEstimate::Low } else { ShareEstimate::Neutral };
        let candidates = self.affinity.candidates(&job, estimate, self.workers.accepting().len());
        let job = PendingJob::new(job, class, candidates);
        self.slots.record_job(job.slots, DEFAULT_TOKENS);
        if let Some(quota) = self.quotas.get_mut(usize::from(job.submitted.customer)) {
            quota.record_arrival(self.now);
        }
        self.retry_budget.earn(RETRIES_PER_ARRIVAL, MAX_SAVED_RETRIES);
        self.earn_probes();
        self.jobs.insert(id, job);
        actions.push(TimerPurpose::Deadline(id).set_after(after));
    }

    /// Returns the class of a job. A class that is not in the settings counts as not idempotent, the safest
    /// assumption.
    fn class_of(&self, job: &Job) -> Arc<Class> {
        match self.classes.get(usize::from(job.class)) {
            Some(class) => Arc::clone(class),
            None => Arc::new(Class::new(Idempotency::NotIdempotent, UNKNOWN_CLASS_OBJECTIVE_US)),
        }
    }

    fn earn_probes(&mut self) {
        let per_arrival =
            if self.features.probes_before_placement { MAX_LOAD_PROBES as f64 } else { PROBES_PER_ARRIVAL };
        let earned = if self.features.probes_load { per_arrival } else { 0.0 };
        self.probe_budget.earn(earned, MAX_SAVED_PROBE_ARRIVALS * per_arrival);
    }

    /// Appends a job of an ordered class to the queue of its key, or rejects it if the jobs before it will
    /// take too long. Jobs of other classes may be placed at once.
    fn queue_by_key(&mut self, id: JobId, actions: &mut Vec<Action>) -> KeyQueueOutcome {
        let Some(job) = self.jobs.get(&id) else { return KeyQueueOutcome::MayPlace };
        let Some(key) = job.ordered_key() else { return KeyQueueOutcome::MayPlace };
        let slack = QUEUEING_SLACK_SHARE * self.latency_slack(job, 1.0);
        let earlier_jobs = self.key_queues.jobs(key).filter_map(|earlier| self.jobs.get(&earlier));
        let wait: f64 = earlier_jobs.map(|earlier| self.remaining_time(earlier).max(0.0)).sum();
        if self.key_queues.push(key, id) == 0 {
            return KeyQueueOutcome::MayPlace;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.blocked_by_key_order = true;
        }
        if wait > slack {
            self.reject_or_fail(id, actions);
        } else {
            actions.push(TimerPurpose::StartOverdue(id).set_after(slack as Micros));
        }
        KeyQueueOutcome::QueuedOrRejected
    }

    /// Returns the expected time until a job is over and its key's pause has passed, in microseconds;
    /// negative if the job takes longer than expected.
    fn remaining_time(&self, job: &PendingJob) -> f64 {
        let pause = job.key_pause_until.saturating_sub(self.now);
        if pause > 0 {
            return pause as f64;
        }
        let elapsed = match job.pending_attempts().next() {
            Some(attempt) => self.now - attempt.started_at.unwrap_or(attempt.sent_at),
            None => 0,
        };
        self.durations.expected_work(job) / job.slots as f64 - elapsed as f64
    }

    /// Places the first job of each key from whose queue a job was removed. A job stays in the queue until it
    /// is over and its key no longer pauses.
    pub(super) fn place_next_of_changed_keys(&mut self, actions: &mut Vec<Action>) {
        while let Some(key) = self.key_queues.pop_changed() {
            let Some(id) = self.key_queues.first(key) else { continue };
            let Some(job) = self.jobs.get_mut(&id) else { continue };
            if job.blocked_by_key_order {
                job.blocked_by_key_order = false;
                self.place(id, actions);
            }
        }
    }

    /// Sends a job to a worker, lets it wait for the endpoint list or for load probes, or rejects it.
    /// Returns the workers next in release order that were considered; none if the job waits.
    pub(super) fn place(&mut self, id: JobId, actions: &mut Vec<Action>) -> Vec<WorkerId> {
        if !self.is_list_current(self.now) {
            self.wait_for_list(id, actions);
            return Vec::new();
        }
        let relative_balance = match self.jobs.get(&id).map(|job| job.submitted.customer) {
            Some(customer) => self.relative_quota_balance(customer),
            None => 0.0,
        };
        if self.wait_for_load_probes(id, actions) {
            return Vec::new();
        }
        let Some(job) = self.jobs.get(&id) else { return Vec::new() };
        let next_workers = self.next_in_release_order(job, CANDIDATES);
        let max_queue_slots = self.max_queue_slots(job, relative_balance);
        let may_start = job.submitted.deadline > self.now && self.may_send(job);
        let chosen = if may_start { self.choose_worker(job, &next_workers, max_queue_slots) } else { None };
        match chosen {
            Some(worker) => self.send(id, worker, actions),
            None => self.reject_or_fail(id, actions),
        }
        next_workers
    }

    /// Returns the maximum number of slots that a job may queue for. A job that is unlikely to end by its
    /// deadline must start at once, and so must every job while jobs wait for load probes, as no current
    /// report shows the queues.
    fn max_queue_slots(&self, job: &PendingJob, relative_balance: f64) -> i64 {
        let affordable = self.affordable_queue_slots(job, relative_balance);
        let time_left = job.submitted.deadline.saturating_sub(self.now) as f64;
        let may_queue = time_left > self.durations.expected_running_time(job) && !self.needs_load_probes();
        if may_queue {
            affordable
        } else {
            affordable.min(0)
        }
    }

    /// Gives a job its final answer without an answer of a worker: rejected if a retry is harmless, otherwise
    /// failed.
    pub(super) fn reject_or_fail(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if self.may_reject(job) {
            actions.push(Action::Reject { job: id, retry_after: self.retry_after(job) });
        } else {
            actions.push(Action::Fail { job: id });
        }
        self.close(id, actions);
    }

    /// Returns the time after which the client of a rejected job should retry, or 0 for no advice. One of the
    /// pending jobs is expected to end within that time, unless the time is cut to the maximum.
    fn retry_after(&self, job: &PendingJob) -> Micros {
        if !self.settings.sends_retry_after {
            return 0;
        }
        let next_end = (self.durations.expected_running_time(job) / self.jobs.len() as f64) as Micros;
        next_end.min(self.settings.max_retry_after)
    }

    /// Returns whether a job is known and has no final answer.
    pub(super) fn is_unanswered(&self, id: JobId) -> bool {
        self.jobs.get(&id).is_some_and(|job| !job.answered)
    }
}
