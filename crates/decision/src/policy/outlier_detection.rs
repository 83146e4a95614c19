//! Outlier detection: temporarily ejects workers that are slower or fail more often than the fleet.

use crate::estimators::FAST_WEIGHT;
use crate::interface::{Micros, WorkerId};
use crate::state::{Attempt, PendingJob};
use crate::Dispatcher;

/// Number of recent outcomes over which the fleet's median score is taken.
const RECENT_OUTCOMES: usize = 21;
/// Distance above the fleet's median score from which a worker is an outlier: 2.5 times slower, as a
/// logarithm.
pub(super) const OUTLIER_SCORE: f64 = 0.92;
/// The score of a failure: as bad as running 20 times slower, as a logarithm.
pub(super) const FAILURE_SCORE: f64 = 3.0;
/// A worker is not ejected if more than one in this many workers would then be ejected, or half-open with
/// pending attempts. If more seem to fail, the cause affects the whole fleet.
const MAX_EJECTED_ONE_IN: usize = 3;
/// Mean duration of a worker's first ejection; the actual one is random, within a quarter of it. Each further
/// ejection without an outcome with a normal score in between doubles it. Also the first open time of a
/// circuit breaker, which is not random.
pub(super) const BASE_EJECTION_TIME_US: Micros = 500_000;
/// Maximum number of doublings of the ejection time.
const MAX_EJECTION_DOUBLINGS: u32 = 4;

impl Dispatcher {
    /// Adds the score of an outcome to a worker's health, which is one estimate for slow, unresponsive and
    /// failing workers, and ejects the worker if it has become an outlier or has failed while half-open.
    pub(super) fn record_score(&mut self, id: WorkerId, score: f64) {
        self.recent_scores.push(score, RECENT_OUTCOMES);
        let median = self.recent_scores.median();
        let Some(worker) = self.workers.get_mut(id) else { return };
        let health = &mut worker.health;
        health.record(score);
        // A failure does not count as recovery, even if the whole fleet fails.
        let failed_half_open = health.is_ejected_or_half_open() && score >= FAILURE_SCORE;
        let is_healthy = !health.is_ejected() && !failed_half_open && score - median <= OUTLIER_SCORE;
        if is_healthy {
            health.consecutive_ejections = 0;
        }
        if !health.is_ejected() && (failed_half_open || health.score - median > OUTLIER_SCORE) {
            self.eject(id);
        }
    }

    /// Ejects a worker, unless too many others are ejected, or half-open with pending attempts, already. This
    /// limit does not apply to a half-open worker.
    fn eject(&mut self, id: WorkerId) {
        let ejected_or_half_open = self.workers.time_dependent().filter(|id| self.is_half_open(*id)).count();
        let jitter = 0.75 + self.random.next_fraction() / 2.0;
        let base = (BASE_EJECTION_TIME_US as f64 * jitter) as Micros;
        let accepting = self.workers.accepting().len();
        let Some(worker) = self.workers.get_mut(id) else { return };
        let within_ejection_limit = (ejected_or_half_open + 1) * MAX_EJECTED_ONE_IN <= accepting;
        if !worker.health.is_ejected_or_half_open() && !within_ejection_limit {
            return;
        }
        let doublings = worker.health.consecutive_ejections.min(MAX_EJECTION_DOUBLINGS);
        worker.health.eject(self.now + (base << doublings));
        self.update_tokens(id);
    }

    fn is_half_open(&self, id: WorkerId) -> bool {
        self.workers.get(id).is_some_and(|worker| worker.health.is_ejected_or_half_open())
    }

    /// Ejects a worker whose pending attempts are overdue; they are scored as if they ended now.
    pub(super) fn eject_if_overdue(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get(id) else { return };
        if worker.health.is_ejected() {
            return;
        }
        let mut score = worker.health.score;
        for (job, attempt) in self.attempts_at(id) {
            score += FAST_WEIGHT * (self.overdue_score(job, attempt) - score).max(0.0);
        }
        if score > OUTLIER_SCORE && score - self.recent_scores.median() > OUTLIER_SCORE {
            self.eject(id);
        }
    }

    /// Returns the score that a pending attempt would have if it ended now; that of a failure if its progress
    /// notifications have stopped.
    fn overdue_score(&self, job: &PendingJob, attempt: &Attempt) -> f64 {
        let interval = self.settings.progress_interval;
        let progress_due = attempt.last_progress_at + 2 * interval;
        if attempt.started_at.is_some() && interval > 0 && self.now > progress_due {
            return FAILURE_SCORE;
        }
        let age = (self.now - attempt.sent_at).max(1) as f64;
        (age / self.durations.expected_running_time(job)).ln().min(FAILURE_SCORE)
    }

    /// Makes a worker half-open once its ejection is over. It may get one job whenever none is pending there,
    /// and further ones only if slots are free; a failure ejects it again, for a longer time.
    pub(super) fn readmit_if_due(&mut self, id: WorkerId) {
        let Some(worker) = self.workers.get_mut(id) else { return };
        if worker.health.is_readmission_due(self.now) {
            worker.health.readmit(self.recent_scores.median() + OUTLIER_SCORE / 2.0);
            self.update_tokens(id);
        }
    }
}
