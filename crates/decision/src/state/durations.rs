//! Estimates of running times.

use super::PendingJob;
use crate::estimators::{MovingAverage, SLOW_WEIGHT};
use crate::interface::{ClassEstimates, Micros};
use std::collections::BTreeMap;

/// Mean running time that is assumed before any was observed, in microseconds.
const DEFAULT_RUNNING_TIME_US: f64 = 400_000.0;
/// Lower and upper bound of the speed of a machine kind relative to the average.
const SPEED_BOUNDS: (f64, f64) = (0.25, 4.0);

/// Moving averages of one class.
#[derive(Clone, Copy, Default)]
struct ClassAverages {
    /// Mean logarithm of the running time in microseconds, relative to the size hint where there is one.
    log_duration: MovingAverage,
    /// Mean running time in microseconds.
    mean_duration: MovingAverage,
    /// Smoothed share of the served and rejected attempts that were rejected as overloaded, from 0 to 1.
    rejection_rate: f64,
}

/// Estimates of the running time by class, by machine kind and over the fleet, and of the rejection rate by
/// class.
#[derive(Default)]
pub struct DurationEstimates {
    /// Mean running time over all classes, in microseconds.
    fleet: MovingAverage,
    /// Estimates by class number.
    classes: Vec<ClassAverages>,
    /// By machine kind: mean logarithm of the running time relative to the mean of the class.
    kinds: BTreeMap<u16, MovingAverage>,
}

impl DurationEstimates {
    /// Creates empty estimates for this number of classes.
    pub fn new(classes: usize) -> Self {
        DurationEstimates { classes: vec![ClassAverages::default(); classes], ..DurationEstimates::default() }
    }

    /// Returns the mean running time over all classes in microseconds; it has no value before the first
    /// observation.
    pub fn fleet_mean(&self) -> MovingAverage {
        self.fleet
    }

    /// Returns the mean running time over all classes in microseconds, or a default before the first
    /// observation.
    pub fn mean_running_time(&self) -> f64 {
        self.fleet.value_or(DEFAULT_RUNNING_TIME_US)
    }

    /// Returns the expected running time of a job on a worker of average speed, in microseconds: the
    /// geometric mean of its class, scaled by its size hint if there is one. Before the first observation of
    /// the class, the size hint or else the latency objective.
    pub fn expected_running_time(&self, job: &PendingJob) -> f64 {
        let hint = job.submitted.size_hint.map(|hint| hint.max(1) as f64);
        let class = self.classes.get(usize::from(job.submitted.class));
        match class.and_then(|class| class.log_duration.value()) {
            Some(log) => log.exp() * hint.unwrap_or(1.0),
            None => hint.unwrap_or(job.class.latency_objective.max(1) as f64),
        }
    }

    /// Returns the work that a job is expected to add to a worker, in slot-microseconds: based on its size
    /// hint or else on the arithmetic mean of its class.
    pub fn expected_work(&self, job: &PendingJob) -> f64 {
        let class = self.classes.get(usize::from(job.submitted.class));
        let duration = match class.and_then(|class| class.mean_duration.value()) {
            Some(mean) if job.submitted.size_hint.is_none() => mean,
            _ => self.expected_running_time(job),
        };
        duration.max(1.0) * job.slots as f64
    }

    /// Returns the speed of a machine kind relative to the average; 1 for a kind without observations.
    pub fn speed(&self, kind: u16) -> f64 {
        let log_slowness = self.kinds.get(&kind).map_or(0.0, |kind| kind.value_or(0.0));
        let (slowest, fastest) = SPEED_BOUNDS;
        (-log_slowness).exp().clamp(slowest, fastest)
    }

    /// Returns the smoothed share of a class's served and rejected attempts that were rejected as overloaded,
    /// from 0 to 1; `None` for a class that is not in the settings.
    pub fn rejection_rate(&self, class: u16) -> Option<f64> {
        self.classes.get(usize::from(class)).map(|class| class.rejection_rate)
    }

    /// Adds an observed running time of a class at a machine kind, with the size hint of the job.
    pub fn record(&mut self, class: u16, kind: u16, hint: Option<Micros>, running_time: Micros) {
        self.fleet.add(running_time as f64, SLOW_WEIGHT);
        let Some(class) = self.classes.get_mut(usize::from(class)) else { return };
        let hint = hint.map_or(1.0, |hint| hint.max(1) as f64);
        let log = (running_time.max(1) as f64 / hint).ln();
        self.kinds.entry(kind).or_default().add(log - class.log_duration.value_or(log), SLOW_WEIGHT);
        class.log_duration.add(log, SLOW_WEIGHT);
        class.mean_duration.add(running_time as f64, SLOW_WEIGHT);
    }

    /// Restores the fleet mean exported by another process; `None` keeps the present one.
    pub fn restore_fleet_mean(&mut self, mean: Option<f64>) {
        if mean.is_some() {
            self.fleet = MovingAverage::new(mean);
        }
    }

    /// Exports the estimates of all classes for another process.
    pub fn class_estimates(&self) -> Vec<ClassEstimates> {
        let exported = |class: &ClassAverages| ClassEstimates {
            log_duration: class.log_duration.value(),
            mean_duration: class.mean_duration.value(),
            rejection_rate: class.rejection_rate,
        };
        self.classes.iter().map(exported).collect()
    }

    /// Restores class estimates exported by another process; classes missing there keep their estimates.
    pub fn restore_classes(&mut self, learned: &[ClassEstimates]) {
        for (class, learned) in self.classes.iter_mut().zip(learned) {
            *class = ClassAverages {
                log_duration: MovingAverage::new(learned.log_duration),
                mean_duration: MovingAverage::new(learned.mean_duration),
                rejection_rate: learned.rejection_rate,
            };
        }
    }

    /// Exports, for another process, the mean logarithm of the running time relative to the mean of the
    /// class, by machine kind.
    pub fn kind_estimates(&self) -> Vec<(u16, Option<f64>)> {
        self.kinds.iter().map(|(kind, mean)| (*kind, mean.value())).collect()
    }

    /// Replaces the estimates by machine kind with those exported by another process.
    pub fn restore_kinds(&mut self, learned: &[(u16, Option<f64>)]) {
        let kinds = learned.iter().map(|(kind, mean)| (*kind, MovingAverage::new(*mean)));
        self.kinds = kinds.collect();
    }

    /// Updates the rejection rate of a class by one attempt that was served or rejected as overloaded.
    pub fn update_rejection_rate(&mut self, class: u16, rejected: bool) {
        if let Some(class) = self.classes.get_mut(usize::from(class)) {
            class.rejection_rate += SLOW_WEIGHT * (f64::from(rejected) - class.rejection_rate);
        }
    }
}
