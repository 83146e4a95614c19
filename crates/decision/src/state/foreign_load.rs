//! Estimates of the load that other schedulers put on workers.

use crate::estimators::ForeignLoadByZoneAndKind;
use crate::interface::Endpoint;

/// Number of slots that other schedulers use at a worker, estimated from the reports of other workers. Used
/// where the worker's own reports are missing or too old.
#[derive(Default)]
pub struct ForeignLoadEstimates {
    /// Estimates by zone and machine kind, from load reports.
    by_zone_and_kind: ForeignLoadByZoneAndKind,
    /// Median number of slots over the workers; `None` while too few have sent a recent report.
    median: Option<f64>,
    /// Whether the reports of most workers are recent enough to base decisions on.
    reports_are_current: bool,
}

impl ForeignLoadEstimates {
    /// Adds the number of slots that other schedulers use at a worker according to its load report.
    pub fn record(&mut self, endpoint: &Endpoint, slots: f64, weight: f64) {
        self.by_zone_and_kind.add(endpoint, slots, weight);
    }

    /// Sets the values that are recomputed at each tick: the median number of slots over the workers, if
    /// enough of them have sent a recent report, and whether the reports are current.
    pub fn update(&mut self, median: Option<f64>, reports_are_current: bool) {
        self.median = median;
        self.reports_are_current = reports_are_current;
    }

    /// Returns whether enough workers have sent a recent report for a median.
    pub fn has_median(&self) -> bool {
        self.median.is_some()
    }

    /// Returns whether the reports of most workers are recent enough to base decisions on.
    pub fn reports_are_current(&self) -> bool {
        self.reports_are_current
    }

    /// Returns the estimate for a worker in slots: the median if there is one, or else the estimate for its
    /// zone and machine kind.
    pub fn estimate(&self, endpoint: &Endpoint) -> f64 {
        self.median.unwrap_or_else(|| self.by_zone_and_kind.estimate(endpoint))
    }
}
