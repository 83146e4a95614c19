//! What a customer has left of its quota.

use crate::interface::Micros;

/// Time constant of the average of a customer's arrival rate, in seconds.
const ARRIVAL_RATE_SECONDS: f64 = 10.0;

/// A customer's quota balance in jobs; below 0 it owes what was lent to it.
#[derive(Clone, Copy, Default)]
pub struct QuotaBalance {
    balance: f64,
    /// Exponentially discounted number of arrivals.
    arrivals: f64,
    arrivals_updated: Micros,
    /// Debt in jobs that was forgiven at the maximum; what is still owed may be repaid yet.
    forgiven_debt: f64,
    /// When `balance` was last replenished; 0: never.
    replenished: Micros,
}

impl QuotaBalance {
    /// The balance in jobs.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Jobs sent over the quota since the start that are never paid back.
    pub fn forgiven_debt(&self) -> f64 {
        self.forgiven_debt
    }

    /// Continues from the balance of another process.
    pub fn restore(&mut self, balance: f64, now: Micros) {
        self.balance = balance;
        self.replenished = now.max(1);
    }

    /// Charges one job.
    pub fn charge(&mut self) {
        self.balance -= 1.0;
    }

    /// Counts a job that arrives.
    pub fn record_arrival(&mut self, now: Micros) {
        self.arrivals = self.arrival_rate(now) * ARRIVAL_RATE_SECONDS + 1.0;
        self.arrivals_updated = now.max(1);
    }

    /// Smoothed arrivals per second.
    pub fn arrival_rate(&self, now: Micros) -> f64 {
        let seconds = now.saturating_sub(self.arrivals_updated) as f64 / 1e6;
        self.arrivals * (-seconds / ARRIVAL_RATE_SECONDS).exp() / ARRIVAL_RATE_SECONDS
    }

    /// Adds what a rate in jobs per second has brought since the last call; the first call adds the maximum.
    /// The balance stays between `minimum` and `maximum`.
    pub fn replenish(&mut self, rate: f64, now: Micros, minimum: f64, maximum: f64) {
        let earned = if self.replenished == 0 {
            maximum
        } else {
            rate * now.saturating_sub(self.replenished) as f64 / 1e6
        };
        let balance = self.balance + earned;
        self.forgiven_debt += (minimum - balance).max(0.0);
        self.balance = balance.clamp(minimum, maximum);
        self.replenished = now.max(1);
    }
}
