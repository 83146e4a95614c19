//! Quota balances of customers.

use crate::interface::Micros;

/// Time constant of the moving average of a customer's arrival rate, in seconds.
const ARRIVAL_RATE_TIME_CONSTANT_S: f64 = 10.0;

/// The quota balance of a customer in jobs. A negative balance is the debt for jobs sent over the quota.
#[derive(Clone, Copy, Default)]
pub struct QuotaBalance {
    balance: f64,
    /// Exponentially discounted number of arrivals, as of `arrivals_updated_at`.
    arrivals: f64,
    arrivals_updated_at: Micros,
    /// Debt in jobs that was written off because it exceeded the limit. The remaining debt is in `balance`.
    forgiven_debt: f64,
    /// Time at which `balance` was last replenished or restored; 0: never.
    replenished_at: Micros,
}

impl QuotaBalance {
    /// Returns the balance in jobs.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Returns the number of jobs sent over the quota whose debt was written off since this balance was
    /// created.
    pub fn forgiven_debt(&self) -> f64 {
        self.forgiven_debt
    }

    /// Restores the balance exported by another process.
    pub fn restore(&mut self, balance: f64, now: Micros) {
        self.balance = balance;
        self.replenished_at = now.max(1);
    }

    /// Charges one job.
    pub fn charge(&mut self) {
        self.balance -= 1.0;
    }

    /// Counts an arriving job.
    pub fn record_arrival(&mut self, now: Micros) {
        self.arrivals = self.arrival_rate(now) * ARRIVAL_RATE_TIME_CONSTANT_S + 1.0;
        self.arrivals_updated_at = now.max(1);
    }

    /// Returns the smoothed number of arrivals per second.
    pub fn arrival_rate(&self, now: Micros) -> f64 {
        let seconds = now.saturating_sub(self.arrivals_updated_at) as f64 / 1e6;
        self.arrivals * (-seconds / ARRIVAL_RATE_TIME_CONSTANT_S).exp() / ARRIVAL_RATE_TIME_CONSTANT_S
    }

    /// Replenishes the balance at `rate` jobs per second for the time since the previous call or
    /// [`QuotaBalance::restore`]; if there was neither, adds `maximum`. The balance is limited to between
    /// `minimum` and `maximum`, and debt below `minimum` is written off.
    pub fn replenish(&mut self, rate: f64, now: Micros, minimum: f64, maximum: f64) {
        let earned = if self.replenished_at == 0 {
            maximum
        } else {
            rate * now.saturating_sub(self.replenished_at) as f64 / 1e6
        };
        let balance = self.balance + earned;
        self.forgiven_debt += (minimum - balance).max(0.0);
        self.balance = balance.clamp(minimum, maximum);
        self.replenished_at = now.max(1);
    }
}
