//! The load of a worker according to its load reports.

use crate::estimators::MovingAverage;
use crate::interface::Micros;

/// The load of a worker according to its load reports.
#[derive(Default)]
pub struct ReportedLoad {
    /// Largest number of free slots ever reported.
    pub max_free_slots: i64,
    /// Number of slots that other schedulers use, smoothed over the reports up to the latest one.
    pub foreign_slots: f64,
    /// Time of the latest report or call of [`ReportedLoad::raise_foreign_slots`]; `None` if there was
    /// neither.
    pub reported_at: Option<Micros>,
    /// Number of slots that other schedulers use, averaged over a longer time than `foreign_slots`.
    mean_foreign_slots: MovingAverage,
}

impl ReportedLoad {
    /// Adds the number of slots that other schedulers use. The weight of older reports decays exponentially
    /// with the time constant `span_us`; in the long-term mean with `mean_span_us`.
    pub fn record(&mut self, foreign_slots: f64, now: Micros, span_us: f64, mean_span_us: f64) {
        // Before the first report, no foreign slots are assumed since the start of the clock.
        let elapsed = (now - self.reported_at.unwrap_or(0)) as f64;
        self.foreign_slots += (foreign_slots - self.foreign_slots) * (1.0 - (-elapsed / span_us).exp());
        self.mean_foreign_slots.add(foreign_slots, 1.0 - (-elapsed / mean_span_us).exp());
        self.reported_at = Some(now);
    }

    /// Raises the number of slots that other schedulers use to at least `foreign_slots`, as if a report had
    /// arrived at time `now`.
    pub fn raise_foreign_slots(&mut self, foreign_slots: f64, now: Micros) {
        self.foreign_slots = self.foreign_slots.max(foreign_slots);
        self.reported_at = Some(now);
    }

    /// Returns the number of slots that other schedulers use, averaged over a longer time; `None` without a
    /// report.
    pub fn mean_foreign_slots(&self) -> Option<f64> {
        self.mean_foreign_slots.value()
    }

    /// Returns the time since [`ReportedLoad::reported_at`]; `None` without a report.
    pub fn age(&self, now: Micros) -> Option<Micros> {
        self.reported_at.map(|reported_at| now.saturating_sub(reported_at))
    }
}
