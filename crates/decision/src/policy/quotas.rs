//! Quotas of customers, and the limit on queueing at a worker that depends on them.

use super::capacity::DEFAULT_TOKENS;
use crate::estimators::nth_smallest;
use crate::state::PendingJob;
use crate::Dispatcher;

/// Share of a job's latency slack that it may spend waiting: in a queue or for a current endpoint list.
pub(super) const QUEUEING_SLACK_SHARE: f64 = 0.7;
/// Maximum quota balance of a customer that uses less than its quota, in seconds of quota.
const MAX_SAVED_SECONDS: f64 = 3.0;
/// Maximum debt of a customer that uses more than its quota, in seconds of quota.
const MAX_DEBT_SECONDS: f64 = 8.0;
/// Minimum of both bounds in jobs, for schedulers that get few jobs of a customer in that time.
const MIN_BALANCE_BOUND_JOBS: f64 = 2.0;
/// Number of slots at a worker that jobs of a customer with the maximum debt leave free for others.
const RESERVED_SLOTS: f64 = 1.0;
/// Divisor of the slots to queue for where load reports do not contain queues: only the mean queueing delay
/// is known, or the jobs that other schedulers have queued are unknown. In the latter case the divisor is the
/// number of schedulers, if that is lower.
const UNREPORTED_QUEUE_DIVISOR: f64 = 3.0;
/// Growth of the divisor per tenfold number of schedulers, where load reports contain queues: with more
/// schedulers, each one gets reports later and less often.
const REPORTED_QUEUE_DIVISOR_PER_DECADE: f64 = 2.5;

impl Dispatcher {
    /// Replenishes the customer's quota balance and returns it relative to the maximum debt: 0 within the
    /// quota, down to -1 at the maximum debt. The result is -1 for a customer that is not in the settings,
    /// and 0 for all customers if the settings contain none.
    ///
    /// If even the median customer sends more jobs than this scheduler's part of its quota, this scheduler
    /// gets more jobs than others, and its part of all quotas grows.
    pub(super) fn relative_quota_balance(&mut self, customer: u16) -> f64 {
        let quota_part = self.median_quota_use().clamp(1.0, self.scheduler_count) / self.scheduler_count;
        let index = usize::from(customer);
        let customer_settings = self.settings.customers.get(index);
        let Some((customer_settings, quota)) = customer_settings.zip(self.quotas.get_mut(index)) else {
            return if self.settings.customers.is_empty() { 0.0 } else { -1.0 };
        };
        let rate = customer_settings.quota_per_second * quota_part;
        let max_saved = (rate * MAX_SAVED_SECONDS).max(MIN_BALANCE_BOUND_JOBS);
        let max_debt = (rate * MAX_DEBT_SECONDS).max(MIN_BALANCE_BOUND_JOBS);
        quota.replenish(rate, self.now, -max_debt, max_saved);
        (quota.balance() / max_debt).min(0.0)
    }

    /// Returns the median, over customers with a quota, of the arrival rate at this scheduler relative to an
    /// even part of the quota; of an even number of customers the lower median.
    fn median_quota_use(&self) -> f64 {
        let mut quota_uses = Vec::new();
        for (customer, quota) in self.settings.customers.iter().zip(&self.quotas) {
            let even_part = customer.quota_per_second / self.scheduler_count;
            if even_part > 0.0 {
                quota_uses.push(quota.arrival_rate(self.now) / even_part);
            }
        }
        let middle = quota_uses.len().saturating_sub(1) / 2;
        nth_smallest(quota_uses, middle).unwrap_or(0.0)
    }

    /// Returns the maximum number of slots that a job may queue for if none is free; if negative, that many
    /// slots must be left free.
    pub(super) fn affordable_queue_slots(&self, job: &PendingJob, relative_balance: f64) -> i64 {
        let slack = QUEUEING_SLACK_SHARE * self.latency_slack(job, 1.0);
        let slots =
            slack * self.slots.mean_per_worker().value_or(1.0) / self.durations.fleet_mean().value_or(1.0);
        let slots = (slots / self.queue_uncertainty_divisor()).min(DEFAULT_TOKENS as f64);
        (slots + relative_balance * (slots + RESERVED_SLOTS)).floor() as i64
    }

    /// Returns the factor by which queues may be longer than known, as other schedulers add to them. It is 1
    /// where quotas are used: the fleet has capacity for the sum of all quotas, and the jobs that other
    /// schedulers send, unknown to this one, yield to customers within their quota.
    fn queue_uncertainty_divisor(&self) -> f64 {
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
