//! What one process of a scheduler has learned, for the next one.

use crate::estimators::{MedianWindow, MovingAverage, QuantileEstimate};
use crate::interface::{ClassEstimates, LearnedState, WorkerHistory, WorkerId};
use crate::state::{ClassEstimate, Worker};
use crate::Dispatcher;

impl Dispatcher {
    /// All that another process of this scheduler can continue from.
    pub fn learned_state(&self) -> LearnedState {
        let mut workers: Vec<(WorkerId, WorkerHistory)> =
            self.workers.iter().map(|worker| (worker.endpoint.worker, self.history_of(worker))).collect();
        workers.sort_unstable_by_key(|(id, _)| *id);
        let mut fleet_means = vec![self.durations.fleet.value(), self.slots.mean_per_worker.value()];
        fleet_means.extend(self.queueing.time_to_start.iter().map(|estimate| estimate.value()));
        LearnedState {
            fleet_means,
            queueing_delay: self.queueing.delay_us,
            recent_scores: self.recent_scores.samples(),
            classes: self.durations.classes.iter().map(exported_class).collect(),
            kinds: self.durations.kinds.iter().map(|(kind, mean)| (*kind, mean.value())).collect(),
            quota_balances: self.quotas.iter().map(|quota| quota.balance()).collect(),
            workers,
        }
    }

    fn history_of(&self, worker: &Worker) -> WorkerHistory {
        let health = &worker.health;
        WorkerHistory {
            max_free_slots: worker.load.max_free_slots,
            foreign_slots: worker.load.foreign_slots,
            report_age: worker.load.age(self.now),
            health_score: health.score,
            ejected_for: health.ejected_until.map_or(0, |until| until.saturating_sub(self.now).max(1)),
            consecutive_ejections: health.consecutive_ejections,
        }
    }

    /// Continues from what another process has learned; nothing is kept of workers that are not known here.
    pub(super) fn restore_learned_state(&mut self, learned: &LearnedState) {
        self.restore_fleet_means(&learned.fleet_means);
        self.queueing.delay_us = learned.queueing_delay;
        self.recent_scores = MedianWindow::new(&learned.recent_scores);
        for (class, learned) in self.durations.classes.iter_mut().zip(&learned.classes) {
            *class = imported_class(learned);
        }
        let kinds = learned.kinds.iter().map(|(kind, mean)| (*kind, MovingAverage::new(*mean)));
        self.durations.kinds = kinds.collect();
        for (quota, balance) in self.quotas.iter_mut().zip(&learned.quota_balances) {
            quota.restore(*balance, self.now);
        }
        for (id, history) in &learned.workers {
            self.restore_history(*id, history);
        }
        for (id, _) in &learned.workers {
            self.update_tokens(*id);
        }
    }

    /// Restores the means over the fleet, in the order of [`Dispatcher::learned_state`]; those without a
    /// value stay.
    fn restore_fleet_means(&mut self, means: &[Option<f64>]) {
        let mut means = means.iter().copied();
        if let Some(Some(mean)) = means.next() {
            self.durations.fleet = MovingAverage::new(Some(mean));
        }
        if let Some(Some(mean)) = means.next() {
            self.slots.mean_per_worker = MovingAverage::new(Some(mean));
        }
        for (estimate, learned) in self.queueing.time_to_start.iter_mut().zip(means) {
            if learned.is_some() {
                *estimate = QuantileEstimate::new(learned);
            }
        }
    }

    fn restore_history(&mut self, id: WorkerId, history: &WorkerHistory) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.load.max_free_slots = history.max_free_slots;
        worker.load.foreign_slots = history.foreign_slots;
        worker.load.reported_at = history.report_age.map(|age| now.saturating_sub(age).max(1));
        worker.health.score = history.health_score;
        worker.health.consecutive_ejections = history.consecutive_ejections;
        worker.health.ejected_until = (history.ejected_for > 0).then(|| now + history.ejected_for);
    }
}

fn exported_class(class: &ClassEstimate) -> ClassEstimates {
    ClassEstimates {
        log_duration: class.log_duration.value(),
        mean_duration: class.mean_duration.value(),
        rejection_rate: class.rejection_rate,
    }
}

fn imported_class(class: &ClassEstimates) -> ClassEstimate {
    ClassEstimate {
        log_duration: MovingAverage::new(class.log_duration),
        mean_duration: MovingAverage::new(class.mean_duration),
        rejection_rate: class.rejection_rate,
    }
}
