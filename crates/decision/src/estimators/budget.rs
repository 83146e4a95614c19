//! A budget that accrues in fractions and is spent in whole units.

/// A balance that accrues in fractions and is spent one unit at a time, for example a retry budget that
/// accrues with each arriving job.
#[derive(Default)]
pub struct Budget {
    balance: f64,
}

impl Budget {
    /// Creates a budget with this balance in units.
    pub fn new(balance: f64) -> Self {
        Budget { balance }
    }

    /// Adds an amount in units, limiting the balance to `maximum`.
    pub fn earn(&mut self, amount: f64, maximum: f64) {
        self.balance = (self.balance + amount).min(maximum);
    }

    /// Spends one unit and returns `true`, or returns `false` if there is less than one.
    pub fn try_spend(&mut self) -> bool {
        let affordable = self.balance >= 1.0;
        if affordable {
            self.balance -= 1.0;
        }
        affordable
    }
}
