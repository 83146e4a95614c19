//! Handover of the learned state from one process of a scheduler to the next one.

use crate::estimators::MedianWindow;
use crate::interface::{LearnedState, WorkerHistory, WorkerId};
use crate::state::Worker;
use crate::Dispatcher;

impl Dispatcher {
    /// Returns the learned state, from which another process of this scheduler can continue.
    pub fn learned_state(&self) -> LearnedState {
        let mut workers: Vec<(WorkerId, WorkerHistory)> =
            self.workers.iter().map(|worker| (worker.endpoint.worker, self.history_of(worker))).collect();
        workers.sort_unstable_by_key(|(id, _)| *id);
        let mut fleet_means = vec![self.durations.fleet_mean().value(), self.slots.mean_per_worker().value()];
        fleet_means.extend(self.queueing.times_to_start());
        LearnedState {
            fleet_means,
            queueing_delay: self.queueing.delay_us(),
            recent_scores: self.recent_scores.samples(),
            classes: self.durations.class_estimates(),
            kinds: self.durations.kind_estimates(),
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

    /// Restores the learned state of another process. Entries of workers that are not in the worker table
    /// are dropped.
    pub(super) fn restore_learned_state(&mut self, learned: &LearnedState) {
        // The order of the fleet means is that of `learned_state`.
        let mut fleet_means = learned.fleet_means.iter().copied();
        self.durations.restore_fleet_mean(fleet_means.next().flatten());
        let max_slots = f64::from(self.settings.max_worker_slots);
        let mean_slots = fleet_means.next().flatten().filter(|mean| (0.0..=max_slots).contains(mean));
        self.slots.restore_mean_per_worker(mean_slots);
        self.queueing.restore(learned.queueing_delay, fleet_means);
        self.durations.restore_classes(&learned.classes);
        self.durations.restore_kinds(&learned.kinds);
        self.recent_scores = MedianWindow::new(&learned.recent_scores);
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

    fn restore_history(&mut self, id: WorkerId, history: &WorkerHistory) {
        let now = self.now;
        let max_slots = i64::from(self.settings.max_worker_slots);
        let Some(worker) = self.workers.get_mut(id) else { return };
        worker.load.max_free_slots = history.max_free_slots.clamp(0, max_slots);
        worker.load.foreign_slots = history.foreign_slots;
        // A report from before the start of this process's clock counts as received at 1 us.
        worker.load.reported_at = history.report_age.map(|age| now.saturating_sub(age).max(1));
        worker.health.score = history.health_score;
        worker.health.consecutive_ejections = history.consecutive_ejections;
        worker.health.ejected_until = (history.ejected_for > 0).then(|| now + history.ejected_for);
    }
}
