//! Estimates of the slots that workers have and that jobs need.

use super::Worker;
use crate::estimators::{MovingAverage, SLOW_WEIGHT};
use std::collections::BTreeMap;

/// Weight of a report that shows more free slots than the largest number known for its machine kind. Below 1,
/// as reports are noisy.
const LARGER_REPORT_WEIGHT: f64 = 0.3;

/// Slots of workers, according to their load reports, and of jobs.
pub struct SlotEstimates {
    /// Mean number of slots of a worker, over all reports.
    mean_per_worker: MovingAverage,
    /// Mean number of slots of a job.
    mean_per_job: MovingAverage,
    /// Largest number of slots that a job has needed, limited by [`SlotEstimates::record_job`].
    max_slots_per_job: i64,
    /// By machine kind: largest number of free slots reported, smoothed.
    largest_free_by_kind: BTreeMap<u16, f64>,
}

impl Default for SlotEstimates {
    fn default() -> Self {
        SlotEstimates {
            mean_per_worker: MovingAverage::default(),
            mean_per_job: MovingAverage::default(),
            max_slots_per_job: 1,
            largest_free_by_kind: BTreeMap::new(),
        }
    }
}

impl SlotEstimates {
    /// Returns the mean number of slots of a worker, over all reports.
    pub fn mean_per_worker(&self) -> MovingAverage {
        self.mean_per_worker
    }

    /// Returns the mean number of slots of a job.
    pub fn mean_per_job(&self) -> MovingAverage {
        self.mean_per_job
    }

    /// Returns the largest number of slots that a job has needed, limited by [`SlotEstimates::record_job`];
    /// at least 1.
    pub fn max_slots_per_job(&self) -> i64 {
        self.max_slots_per_job
    }

    /// Restores the mean number of slots of a worker exported by another process; `None` keeps the present
    /// one.
    pub fn restore_mean_per_worker(&mut self, mean: Option<f64>) {
        if mean.is_some() {
            self.mean_per_worker = MovingAverage::new(mean);
        }
    }

    /// Returns the estimated slot count of a worker, which is the maximum of:
    /// - the largest number of free slots in its own reports or, if it has sent none, the mean slot count of
    ///   the workers that have sent reports;
    /// - the largest number of free slots in the reports of its machine kind, smoothed;
    /// - the largest number of slots that a job has needed.
    pub fn slot_count(&self, worker: &Worker) -> i64 {
        let of_worker = if worker.load.reported_at.is_some() {
            worker.load.max_free_slots
        } else {
            self.mean_per_worker.value_or(0.0) as i64
        };
        let of_kind =
            self.largest_free_by_kind.get(&worker.endpoint.kind).map_or(0, |free| free.round() as i64);
        of_worker.max(self.max_slots_per_job).max(of_kind)
    }

    /// Adds the number of slots that a job needs. The part above `maximum` counts for the mean only.
    pub fn record_job(&mut self, slots: i64, maximum: i64) {
        self.max_slots_per_job = self.max_slots_per_job.max(slots.min(maximum));
        self.mean_per_job.add(slots as f64, SLOW_WEIGHT);
    }

    /// Adds the slot count of a worker that has sent a report to the mean.
    pub fn record_slot_count(&mut self, slot_count: i64) {
        self.mean_per_worker.add(slot_count as f64, SLOW_WEIGHT);
    }

    /// Adds the free slots that a worker reports and returns the slot count of the worker. The machine kind
    /// is taken into account, as the worker itself may never have reported a free slot.
    pub fn record_free_slots(&mut self, worker: &mut Worker, free: f64) -> i64 {
        let largest = self.largest_free_by_kind.entry(worker.endpoint.kind).or_insert(free);
        *largest += LARGER_REPORT_WEIGHT * (free - *largest).max(0.0);
        worker.load.max_free_slots = worker.load.max_free_slots.max(free.round() as i64);
        self.slot_count(worker)
    }
}
