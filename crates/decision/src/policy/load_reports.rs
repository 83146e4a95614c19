//! Load reports: estimates how many slots of a worker other schedulers use.

use super::capacity::REPORT_LIFETIME_RUNS;
use super::placement::CANDIDATES;
use super::TICK_US;
use crate::estimators::nth_smallest;
use crate::interface::{Micros, ReportField, WorkerId};
use crate::state::Attempt;
use crate::Dispatcher;

/// An attempt sent less than this time before a load report is assumed to be missing from the report, where
/// workers do not notify starts.
const REPORT_LAG_US: Micros = 250_000;
/// Load reports are smoothed over this time, multiplied by the number of schedulers: other schedulers change
/// the reported load before the next report arrives.
const SMOOTHING_SPAN_US: Micros = 400_000;
/// Time constant of the long-term mean of the slots that other schedulers use at a worker. It is long because
/// keys and relative speeds change slowly.
pub(super) const FOREIGN_LOAD_SPAN_US: f64 = 10_000_000.0;
/// Weight of one report in the estimate for its zone; half of this in the estimate for its machine kind.
const LOCATION_WEIGHT: f64 = 0.15;
/// Cap, per slot of a worker, on the load of other schedulers in the estimates by zone and machine kind:
/// above it, no job that queues there meets its latency objective.
const MAX_JOBS_PER_SLOT: f64 = 3.0;

/// The message that carried a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportSource {
    /// The end of an attempt; such reports come mostly from workers to which many jobs are sent.
    Attempt,
    /// A health check.
    HealthCheck,
}

impl Dispatcher {
    /// Empties a load report with a value that no worker can have: the other values of such a report may be
    /// wrong, too, and the estimates of the last valid report stay.
    pub(super) fn drop_invalid_report(&self, report: &mut Vec<f64>) {
        if self.settings.check_report(report).is_err() {
            report.clear();
        }
    }

    /// Records the load report of an attempt.
    pub(super) fn record_attempt_report(&mut self, id: WorkerId, report: &[f64]) {
        self.record_report(id, report, ReportSource::Attempt);
    }

    /// Records the load report of a health check.
    pub(super) fn record_health_check_report(&mut self, id: WorkerId, report: &[f64]) {
        self.record_report(id, report, ReportSource::HealthCheck);
    }

    /// Records a load report. Slots that are neither free nor held by this scheduler's attempts are used by
    /// other schedulers.
    fn record_report(&mut self, id: WorkerId, report: &[f64], source: ReportSource) {
        let Some(free_slots) = self.settings.report_value(ReportField::FreeSlots, report) else { return };
        let queue_length = self.reported_queue_length(free_slots, report);
        // While a job that needs many slots waits at the head of the queue, some slots stay free although
        // other jobs are queued. Therefore the slots that all reported jobs need are a lower bound of the
        // load.
        let jobs = self.settings.report_value(ReportField::Jobs, report).unwrap_or(0.0);
        let slots_of_jobs = jobs * self.slots.mean_per_job().value_or(1.0);
        let attempt_slots = self.attempt_slots_in_report(id);
        let span_us = self.smoothing_span_us();
        let Some(worker) = self.workers.get_mut(id) else { return };
        let slot_count = self.slots.record_free_slots(worker, free_slots);
        let foreign_slots =
            (slot_count as f64 - free_slots + queue_length).max(slots_of_jobs) - attempt_slots as f64;
        worker.load.record(foreign_slots.max(0.0), self.now, span_us, FOREIGN_LOAD_SPAN_US);
        self.slots.record_slot_count(slot_count);
        // Reports of attempts come mostly from the workers with most jobs; they alone would make the fleet
        // seem full.
        if source == ReportSource::HealthCheck || !self.features.probes_load {
            let foreign_slots = foreign_slots.clamp(0.0, MAX_JOBS_PER_SLOT * slot_count as f64);
            self.foreign_load.record(&worker.endpoint, foreign_slots, LOCATION_WEIGHT);
        }
        self.workers.record_report(id, CANDIDATES);
    }

    /// Returns the number of queued jobs by a load report or, if it does not contain them, by the queueing
    /// delay; in the latter case 0 if a slot is free.
    fn reported_queue_length(&self, free_slots: f64, report: &[f64]) -> f64 {
        match self.settings.report_value(ReportField::QueueLength, report) {
            Some(queue_length) => queue_length,
            None if free_slots < 1.0 => self.estimated_queue_length(),
            None => 0.0,
        }
    }

    /// Returns the slots of this scheduler's attempts that a load report received now includes.
    fn attempt_slots_in_report(&self, id: WorkerId) -> i64 {
        let is_reported = |attempt: &Attempt| {
            if self.settings.reports_start {
                attempt.started_at.is_some()
            } else {
                attempt.sent_at + REPORT_LAG_US <= self.now
            }
        };
        let reported = self.attempts_at(id).filter(|(_, attempt)| is_reported(attempt));
        reported.map(|(job, _)| job.slots).sum()
    }

    /// Returns the time constant in microseconds with which reports are smoothed. Reports arrive late: if
    /// many schedulers acted on a single report, all of them would send to the same workers at once.
    /// Therefore only the mean of several reports is used. The time constant is at most twice the mean
    /// running time.
    fn smoothing_span_us(&self) -> f64 {
        let by_schedulers = self.scheduler_count * SMOOTHING_SPAN_US as f64;
        by_schedulers.min(2.0 * self.durations.mean_running_time())
    }

    /// Recomputes, at each tick, the typical number of slots that other schedulers use and whether the known
    /// reports are recent enough.
    pub(super) fn update_foreign_load(&mut self) {
        let median = self.median_foreign_slots(3 * FOREIGN_LOAD_SPAN_US as Micros);
        self.foreign_load.update(median, self.reports_are_current());
    }

    /// Returns the median number of slots that other schedulers use, over the workers whose report is younger
    /// than `max_age`, each counted once regardless of its number of reports. `None` unless those are more
    /// than three in four of the workers that accept jobs: the others may have more free slots, as most
    /// reports come from the workers with most jobs.
    fn median_foreign_slots(&self, max_age: Micros) -> Option<f64> {
        let accepting = self.workers.accepting();
        let mut means = Vec::new();
        for worker in accepting.iter().filter_map(|id| self.workers.get(*id)) {
            if worker.load.age(self.now).is_some_and(|age| age < max_age) {
                means.extend(worker.load.mean_foreign_slots());
            }
        }
        if 4 * means.len() <= 3 * accepting.len() {
            return None;
        }
        let middle = means.len().saturating_sub(1) / 2;
        nth_smallest(means, middle)
    }

    /// Returns whether most workers reported so recently that decisions can rely on the reports. Free slots
    /// alone do not show queues, and are valid only while some of the jobs that ran then still run.
    fn reports_are_current(&self) -> bool {
        let lifetime = if self.features.reports_queue {
            3.0 * FOREIGN_LOAD_SPAN_US
        } else {
            REPORT_LIFETIME_RUNS * self.durations.fleet_mean().value_or(TICK_US as f64)
        };
        self.median_foreign_slots(lifetime as Micros).is_some()
    }
}
