//! An allowance that grows in fractions and is spent in units.

/// A balance that is earned in fractions and spent one unit at a time, for example retries earned by
/// arrivals.
#[derive(Default)]
pub struct Budget {
    balance: f64,
}

impl Budget {
    /// A budget with this balance, in units.
    pub fn new(balance: f64) -> Self {
        Budget { balance }
    }

    /// Adds an amount; the balance does not exceed `maximum`.
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
