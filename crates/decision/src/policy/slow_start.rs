//! Slow start: a worker's capacity grows with the time since its start. Until it is complete, all
//! schedulers share the limited work that the worker can take.

use crate::state::{Allowance, PendingJob, SlowStartBudget, Worker};
use crate::Dispatcher;

/// Safety margin of the work that all schedulers send to a worker in slow start, in units of two standard
/// deviations. The work is taken to be a random number of mean jobs.
const OVERLOAD_MARGIN: f64 = 1.0;

impl Dispatcher {
    /// Returns the minimum share of its capacity that a worker has, from 0 to 1, by the time since it started
    /// or was enabled; 1 after its slow start.
    pub(super) fn slow_start_share(&self, worker: &Worker) -> f64 {
        let since = worker.endpoint.started_at.max(worker.enabled_at);
        let age = self.now.saturating_sub(since);
        if since == 0 || age >= self.settings.slow_start_duration {
            return 1.0;
        }
        self.settings.initial_capacity
            + (1.0 - self.settings.initial_capacity) * age as f64 / self.settings.slow_start_duration as f64
    }

    /// Returns whether a worker is in slow start.
    pub(super) fn is_in_slow_start(&self, worker: &Worker) -> bool {
        self.slow_start_share(worker) < 1.0
    }

    /// Returns the work in slot-microseconds that all schedulers together may send to a worker in one
    /// overload window, chosen so that their random choices are unlikely to overload it.
    fn shared_allowance(&self, worker: &Worker) -> f64 {
        let mean_job = self.durations.mean_running_time();
        let capacity = self.slots.slot_count(worker) as f64 * self.speed(worker);
        let limit = self.settings.overload_factor
            * self.slow_start_share(worker)
            * capacity
            * self.settings.overload_window as f64;
        // If the number of jobs has a Poisson distribution with mean n, its standard deviation is sqrt(n).
        // This solves n + 2 * OVERLOAD_MARGIN * sqrt(n) = limit / mean_job for n.
        mean_job * ((OVERLOAD_MARGIN * OVERLOAD_MARGIN + limit / mean_job).sqrt() - OVERLOAD_MARGIN).powi(2)
    }

    /// Returns the slow-start budget of a worker at the current time. Each scheduler earns an equal part of
    /// the shared allowance.
    pub(super) fn slow_start_budget(&self, worker: &Worker) -> SlowStartBudget {
        let allowance = Allowance {
            work: self.shared_allowance(worker) / self.scheduler_count,
            window: self.settings.overload_window,
            mean_job: self.durations.mean_running_time(),
        };
        worker.slow_start.accrued_until(self.now, allowance)
    }

    /// Returns whether the budget of a worker in slow start denies a job: the budget is less than the work of
    /// a mean job, or the job is more work than all schedulers may send in one overload window.
    pub(super) fn slow_start_denies(&self, job: &PendingJob, worker: &Worker) -> bool {
        self.slow_start_budget(worker).balance() < self.durations.mean_running_time()
            || self.durations.expected_work(job) > self.shared_allowance(worker)
    }
}
