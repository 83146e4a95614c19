//! Budget of work that this scheduler may send to a worker in slow start.

use crate::interface::Micros;

/// Share of one window's allowance that may accumulate in addition to the work of one mean job, if the
/// allowance is less than that work.
const SMALL_ALLOWANCE_SAVED_SHARE: f64 = 0.25;

/// The rate at which a slow-start budget accrues.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Work per window, in slot-microseconds.
    pub work: f64,
    /// Length of the window.
    pub window: Micros,
    /// Mean work of a job, in slot-microseconds.
    pub mean_job: f64,
}

/// A balance of work that accrues with time.
#[derive(Clone, Copy)]
pub struct SlowStartBudget {
    /// The balance in slot-microseconds.
    balance: f64,
    /// Time up to which `balance` has accrued.
    updated_at: Micros,
}

impl SlowStartBudget {
    /// Creates a budget with this balance in slot-microseconds at time `now`.
    pub fn new(balance: f64, now: Micros) -> Self {
        SlowStartBudget { balance, updated_at: now }
    }

    /// Returns the balance in slot-microseconds, as of its latest update.
    pub fn balance(&self) -> f64 {
        self.balance
    }

    /// Spends work in slot-microseconds; the balance may become negative.
    pub fn spend(&mut self, work: f64) {
        self.balance -= work;
    }

    /// Returns the budget accrued up to time `now`. The balance may reach the work of a mean job plus the
    /// allowance of one window, or a share of a small allowance; a higher balance lapses in steps of equal
    /// size until it is within that maximum. Otherwise all schedulers would accumulate work and send it at
    /// the same time.
    pub fn accrued_until(&self, now: Micros, allowance: Allowance) -> SlowStartBudget {
        let Allowance { work, window, mean_job } = allowance;
        let elapsed = (now - self.updated_at) as f64;
        let balance = self.balance + work * elapsed / window.max(1) as f64;
        let savings = if work < mean_job { work * SMALL_ALLOWANCE_SAVED_SHARE } else { work };
        let maximum = mean_job + savings;
        let min_after_lapse = (work - mean_job).max(0.0);
        let lapse_step = maximum - min_after_lapse;
        let steps = ((balance - maximum) / lapse_step).ceil().max(0.0);
        SlowStartBudget { balance: balance - steps * lapse_step, updated_at: now }
    }
}
