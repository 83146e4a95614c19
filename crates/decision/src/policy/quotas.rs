//! Quotas of customers, and how long a job may queue at a worker.

use super::capacity::DEFAULT_TOKENS;
use crate::estimators::nth_smallest;
use crate::state::PendingJob;
use crate::Dispatcher;

/// Part of a job's latency slack that it may spend in a queue.
pub(super) const QUEUEING_SLACK_SHARE: f64 = 0.7;
/// Quota that a customer which asks for less may save, in seconds.
const MAX_SAVED_SECONDS: f64 = 3.0;
/// Quota that a customer which asks for more may owe, in seconds.
const MAX_DEBT_SECONDS: f64 = 8.0;
/// Both bounds in jobs are at least this, where a scheduler sees few jobs of a customer in that time.
const MIN_BALANCE_BOUND_JOBS: f64 = 2.0;
/// Slots at a worker that jobs of a customer with the maximum debt leave free for others.
const RESERVED_SLOTS: f64 = 1.0;
/// Divisor of the slots to queue for where the queueing delay is known only in the mean, or to other
/// schedulers.
const UNREPORTED_QUEUE_DIVISOR: f64 = 3.0;
/// Growth of that divisor where reports tell of queues, for ten times as many schedulers: reports come late,
/// and more seldom.
const REPORTED_QUEUE_DIVISOR_PER_DECADE: f64 = 2.5;

impl Dispatcher {
    /// How far a customer is over its quota: 0 within it, down to -1 at its maximum debt. A customer that the
    /// settings lack has no quota. Where even the median customer brings more than this scheduler's part of
    /// its quota, this scheduler gets more jobs than others, and its part of all quotas grows.
    pub(super) fn quota_standing(&mut self, customer: u16) -> f64 {
        let part = self.median_quota_use().clamp(1.0, self.scheduler_count) / self.scheduler_count;
        let index = usize::from(customer);
        let settings = self.settings.customers.get(index);
        let Some((settings, quota)) = settings.zip(self.quotas.get_mut(index)) else {
            return if self.settings.customers.is_empty() { 0.0 } else { -1.0 };
        };
        let rate = settings.quota_per_second * part;
        let max_saved = (rate * MAX_SAVED_SECONDS).max(MIN_BALANCE_BOUND_JOBS);
        let max_debt = (rate * MAX_DEBT_SECONDS).max(MIN_BALANCE_BOUND_JOBS);
        quota.replenish(rate, self.now, -max_debt, max_saved);
        (quota.balance() / max_debt).min(0.0)
    }

    /// The median, over customers with a quota, of the arrival rate at this scheduler relative to an even
    /// part of the quota; the lower one of an even number.
    fn median_quota_use(&self) -> f64 {
        let mut uses = Vec::new();
        for (customer, quota) in self.settings.customers.iter().zip(&self.quotas) {
            let even_part = customer.quota_per_second / self.scheduler_count;
            if even_part > 0.0 {
                uses.push(quota.arrival_rate(self.now) / even_part);
            }
        }
        let middle = uses.len().saturating_sub(1) / 2;
        nth_smallest(uses, middle).unwrap_or(0.0)
    }

    /// The most slots that a job may queue for where none is free; if negative, so many must be left free.
    /// Quotas fit into the fleet, so that what other schedulers send unseen yields to customers within their
    /// quota.
    pub(super) fn affordable_queue_slots(&self, job: &PendingJob, standing: f64) -> i64 {
        let slack = QUEUEING_SLACK_SHARE * self.latency_slack(job, 1.0);
        let slots =
            slack * self.slots.mean_per_worker().value_or(1.0) / self.durations.fleet_mean().value_or(1.0);
        let slots = (slots / self.unseen_queue_divisor()).min(DEFAULT_TOKENS as f64);
        (slots + standing * (slots + RESERVED_SLOTS)).floor() as i64
    }

    /// By how much queues may be longer than they seem, as other schedulers add to them unseen.
    fn unseen_queue_divisor(&self) -> f64 {
        if !self.settings.customers.is_empty() {
            1.0
        } else if self.features.reports_queue {
            1.0 + REPORTED_QUEUE_DIVISOR_PER_DECADE * self.scheduler_count.log10()
        } else if self.features.infers_queue_from_starts {
            UNREPORTED_QUEUE_DIVISOR
        } else {
            self.scheduler_count.min(UNREPORTED_QUEUE_DIVISOR)
        }
    }
}
