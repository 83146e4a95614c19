//! What other schedulers use of the workers.

use crate::estimators::ForeignLoadByLocation;
use crate::interface::Endpoint;

/// Slots that other schedulers use of a worker, where its own reports do not tell.
#[derive(Default)]
pub struct ForeignLoadEstimates {
    /// Estimates by zone and machine kind, from load reports.
    pub by_location: ForeignLoadByLocation,
    /// The median over the workers; `None` while too few sent a report.
    pub median: Option<f64>,
    /// Most workers reported so lately that decisions can rely on their reports.
    pub reports_are_current: bool,
}

impl ForeignLoadEstimates {
    /// The estimate for a worker in slots.
    pub fn typical(&self, endpoint: &Endpoint) -> f64 {
        self.median.unwrap_or_else(|| self.by_location.estimate(endpoint))
    }
}
