//! Capacity: the number of tokens of a worker and the number of its slots that are free for this scheduler.

use super::load_reports::FOREIGN_LOAD_SPAN_US;
use super::TICK_US;
use crate::interface::WorkerId;
use crate::state::{PendingJob, Worker};
use crate::Dispatcher;

/// Number of slots that a worker outside slow start is assumed to have while no load report has arrived from
/// any worker: the largest number of slots that a job usually needs. The number of its tokens is larger by
/// the largest number of slots that a job has needed.
pub(super) const DEFAULT_TOKENS: i64 = 8;
/// Maximum number of tokens of all workers together, as each token takes memory. In a fleet that is too large
/// for [`MIN_TOKEN_LIMIT`] tokens of each worker, there may be more.
const MAX_TOKENS: usize = 1 << 18;
/// Lower bound of the maximum number of tokens of a worker.
const MIN_TOKEN_LIMIT: usize = 256;
/// Tokens per slot: as many jobs may queue as run.
const TOKENS_PER_SLOT: f64 = 2.0;
/// Time for which a load report counts as fresh, as a share of the mean running time.
const FRESH_REPORT_SHARE: f64 = 0.5;
/// Time over which the weight of a load report falls to 0, in mean running times.
pub(super) const REPORT_LIFETIME_RUNS: f64 = 4.0;

impl Dispatcher {
    /// Returns the number of tokens of a worker, held ones included.
    fn token_count(&self, worker: &Worker) -> i64 {
        self.estimated_token_count(worker).min(self.token_limit())
    }

    /// Returns the maximum number of tokens of a worker. The slot counts from which the tokens follow come
    /// from outside, and a single one may apply to all workers of a machine kind.
    fn token_limit(&self) -> i64 {
        let even_share = MAX_TOKENS / self.workers.len().max(1);
        even_share.max(MIN_TOKEN_LIMIT) as i64
    }

    /// Returns the number of tokens that a worker has by the estimates, held ones included.
    fn estimated_token_count(&self, worker: &Worker) -> i64 {
        if !self.workers.accepts_jobs(worker) || worker.health.is_ejected() {
            return 0;
        }
        if self.is_in_slow_start(worker) || worker.health.is_ejected_or_half_open() {
            let one_job = if worker.held_tokens == 0 { self.slots.max_slots_per_job() } else { 0 };
            return self.usable_slots(worker).max(one_job);
        }
        if self.slots.mean_per_worker().value().is_none() {
            return DEFAULT_TOKENS + self.slots.max_slots_per_job();
        }
        let tokens = (TOKENS_PER_SLOT * self.slots.slot_count(worker) as f64 * self.speed(worker)).round();
        tokens.max(self.slots.max_slots_per_job() as f64) as i64
    }

    /// Returns the number of slots of a worker that this scheduler may use: those that other schedulers leave
    /// free or, in slow start, the share of the slots by the time since the worker started or was enabled.
    fn usable_slots(&self, worker: &Worker) -> i64 {
        let slot_count = self.slots.slot_count(worker);
        let share = self.slow_start_share(worker);
        if share < 1.0 {
            return (slot_count as f64 * share) as i64;
        }
        let foreign_slots = (self.foreign_slots(worker) + 0.5) as i64;
        match self.slots.mean_per_worker().value() {
            Some(_) => slot_count - foreign_slots,
            None => DEFAULT_TOKENS - foreign_slots,
        }
    }

    /// Returns the estimated number of slots of a worker that other schedulers use: by its latest report and,
    /// as that ages, by the worker's mean, then by the typical value: the median over the workers or, if that
    /// is unknown, the estimate for its zone and machine kind, plus the estimated queue length.
    fn foreign_slots(&self, worker: &Worker) -> f64 {
        let age = worker.load.age(self.now).map_or(f64::MAX, |age| age as f64);
        let typical = self.foreign_load.estimate(&worker.endpoint) + self.estimated_queue_length();
        let worker_mean = worker.load.mean_foreign_slots().unwrap_or(typical);
        let mean = typical + (worker_mean - typical) * (-age / FOREIGN_LOAD_SPAN_US).exp();
        let lifetime = REPORT_LIFETIME_RUNS * self.durations.fleet_mean().value_or(1.0);
        mean + (worker.load.foreign_slots - mean) * (1.0 - age / lifetime).max(0.0).powi(4)
    }

    /// Returns the number of slots at which a job would start at once; negative if jobs are already queued.
    pub(crate) fn free_slots(&self, worker: &Worker) -> i64 {
        let may_queue = !self.is_in_slow_start(worker) && !worker.health.is_ejected_or_half_open();
        let slots = if may_queue { self.usable_slots(worker) } else { self.token_count(worker) };
        slots - worker.held_tokens
    }

    /// Returns the mean number of jobs queued at a worker, computed from the queueing delay (Little's law)
    /// where load reports do not contain it and workers notify starts; 0 elsewhere. Not a finite number while
    /// the mean running time is 0.
    pub(super) fn estimated_queue_length(&self) -> f64 {
        let applies = f64::from(self.features.infers_queue_from_starts);
        let delay = self.queueing.delay_us();
        let mean_slots = self.slots.mean_per_worker().value_or(1.0);
        let running_time = self.durations.fleet_mean().value_or(delay.max(1.0));
        applies * delay * mean_slots / running_time
    }

    /// Returns whether a worker's latest load report is so recent that most jobs running then still run.
    pub(super) fn has_fresh_report(&self, worker: &Worker) -> bool {
        let limit = self.durations.fleet_mean().value_or(TICK_US as f64) * FRESH_REPORT_SHARE;
        worker.load.age(self.now).is_some_and(|age| age as f64 <= limit)
    }

    /// Returns the speed of a worker's machine kind relative to the usual one. The number of tokens is in
    /// proportion to it.
    pub(super) fn speed(&self, worker: &Worker) -> f64 {
        self.durations.speed(worker.endpoint.kind)
    }

    /// Returns the time for which a job can wait and still meet its latency objective, in microseconds, by
    /// its expected running time at this relative speed. If that running time exceeds the part of the
    /// objective that grows with it, the excess is not subtracted from the constant part.
    pub(super) fn latency_slack(&self, job: &PendingJob, speed: f64) -> f64 {
        job.class.latency_objective as f64
            + (job.class.objective_stretch - 1.0 / speed).max(0.0) * self.durations.expected_running_time(job)
    }

    /// Updates a worker's free tokens and slow-start budget. Drops the worker once it is removed and idle;
    /// otherwise the workers of earlier deployments would accumulate in memory.
    pub(super) fn update_tokens(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        let free_tokens = (self.token_count(worker) - worker.held_tokens).max(0);
        let slow_start = self.slow_start_budget(worker);
        let ejected = self.workers.accepts_jobs(worker) && worker.health.is_ejected();
        let changes_with_time = worker.held_tokens > 0 || ejected;
        let can_be_dropped = worker.can_be_dropped();
        if worker.health.is_ejected_or_half_open() {
            self.tokens.resize(id, free_tokens);
        } else {
            self.tokens.resize_at_random(id, free_tokens, &mut self.random);
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.slow_start = slow_start;
        }
        self.workers.set_time_dependent(id, changes_with_time);
        if can_be_dropped {
            self.workers.remove(id);
            self.tokens.remove(id);
        }
    }
}
