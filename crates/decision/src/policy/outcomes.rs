//! Outcomes of attempts: updates the estimates of the worker and continues the job.

use super::outlier_detection::{FAILURE_SCORE, OUTLIER_SCORE};
use crate::interface::{Action, AttemptOutcome, AttemptResult, JobId, Micros, ReportField, WorkerId};
use crate::state::AttemptState;
use crate::Dispatcher;

/// Number of jobs per slot from which an attempt's latency is mostly queueing.
const QUEUEING_JOBS_PER_SLOT: f64 = 1.4;
/// The best score of an outcome: a running time of 1/e of the expected one.
const MIN_SUCCESS_SCORE: f64 = -1.0;
/// Number of workers that must reject a job as unprocessable before the fault is attributed to the job.
const MIN_UNPROCESSABLE_WORKERS: usize = 2;

/// An attempt that has ended, as seen before the estimates are updated from it.
struct EndedAttempt {
    worker: WorkerId,
    /// Number of tokens that it held.
    slots: i64,
    /// Time from its start, or from its sending if the start is unknown, to its end.
    running_time: Micros,
    /// Whether `running_time` is assumed to contain no queueing.
    running_time_excludes_queueing: bool,
    /// Whether the job has its final answer, from this attempt or from an earlier one.
    answered: bool,
    /// Whether another attempt of the job is pending.
    other_attempt_pending: bool,
}

impl Dispatcher {
    /// Handles the end of an attempt.
    pub(super) fn attempt_ended(&mut self, outcome: &AttemptOutcome, actions: &mut Vec<Action>) {
        let Some(ended) = self.record_end(outcome, actions) else { return };
        self.record_attempt_report(ended.worker, &outcome.report);
        let Some(job) = self.jobs.get(&outcome.job) else { return };
        let class = job.submitted.class;
        let size_hint = job.submitted.size_hint;
        let time_score = (ended.running_time.max(1) as f64 / self.durations.expected_running_time(job)).ln();
        let kind = self.workers.get(ended.worker).map_or(0, |worker| worker.endpoint.kind);
        self.release_attempt(outcome, &ended);
        if outcome.result == AttemptResult::Success && ended.running_time_excludes_queueing {
            self.durations.record(class, kind, size_hint, ended.running_time);
        }
        let rejected_despite_free_slots = self.rejected_despite_free_slots(outcome);
        self.update_breaker(ended.worker, class, outcome.result, rejected_despite_free_slots);
        if let Some(score) = score_of(outcome.result, time_score, rejected_despite_free_slots) {
            self.record_score(ended.worker, score);
        }
        self.update_tokens(ended.worker);
        let unprocessable_at = self.workers_reporting_unprocessable(outcome.job);
        if outcome.result == AttemptResult::Success {
            for worker in &unprocessable_at {
                // The job was served elsewhere, so these workers were at fault.
                self.record_score(*worker, FAILURE_SCORE);
            }
        }
        self.continue_job(outcome, &ended, unprocessable_at.len(), actions);
    }

    /// Marks an attempt as ended. Returns `None` if it is not pending.
    fn record_end(&mut self, outcome: &AttemptOutcome, actions: &mut Vec<Action>) -> Option<EndedAttempt> {
        let jobs_at_worker = self.settings.report_value(ReportField::Jobs, &outcome.report);
        let job = self.jobs.get_mut(&outcome.job)?;
        let pauses_key = job.ordered_key().is_some() && may_still_run(outcome.result);
        let attempt = job.attempts.get_mut(outcome.attempt.index()).filter(|attempt| attempt.is_pending())?;
        attempt.state = if self.settings.may_have_run(outcome.result) {
            AttemptState::MayHaveRun
        } else {
            AttemptState::NeverRan
        };
        attempt.result = Some(outcome.result);
        if outcome.result == AttemptResult::StaleConnection {
            actions.push(Action::CloseIdleConnections { worker: attempt.worker });
        }
        if outcome.result == AttemptResult::Cancelled && attempt.started_at.is_none() {
            self.queueing.record_wait(attempt.route, outcome.latency as f64);
        }
        let worker = self.workers.get(attempt.worker);
        let was_mostly_queueing = jobs_at_worker
            .zip(worker)
            .is_some_and(|(jobs, worker)| jobs >= QUEUEING_JOBS_PER_SLOT * worker.load.max_free_slots as f64);
        let running_time = match attempt.started_at {
            Some(started_at) if self.settings.reports_start => self.now - started_at,
            _ => outcome.latency,
        };
        let running_time_excludes_queueing =
            self.settings.reports_start || attempt.expected_to_start_at_once && !was_mostly_queueing;
        let worker_id = attempt.worker;
        if pauses_key {
            job.key_pause_until = self.now + self.settings.key_order_pause;
        }
        Some(EndedAttempt {
            worker: worker_id,
            slots: job.slots,
            running_time,
            running_time_excludes_queueing,
            answered: job.answered || outcome.job_answered,
            other_attempt_pending: job.has_pending_attempt(),
        })
    }

    /// Releases an attempt's tokens and updates the idle connections to its worker.
    fn release_attempt(&mut self, outcome: &AttemptOutcome, ended: &EndedAttempt) {
        let Some(worker) = self.workers.get_mut(ended.worker) else { return };
        worker.remove_attempt(outcome.job, outcome.attempt, ended.slots);
        self.tokens.release(ended.worker, ended.slots);
        match outcome.result {
            AttemptResult::Success => worker.idle_connections.push(self.now),
            AttemptResult::NotSent => {}
            // The worker's process may have ended and closed its connections.
            AttemptResult::Error
            | AttemptResult::Overloaded
            | AttemptResult::TimedOut
            | AttemptResult::ConnectFailed
            | AttemptResult::Reset
            | AttemptResult::Unprocessable
            | AttemptResult::StaleConnection
            | AttemptResult::Cancelled => worker.idle_connections.clear(),
        }
    }

    /// Returns whether a worker rejected a job although it reports a free slot. Such a rejection concerns the
    /// class, not the worker's health.
    fn rejected_despite_free_slots(&self, outcome: &AttemptOutcome) -> bool {
        let free_slots = self.settings.report_value(ReportField::FreeSlots, &outcome.report);
        outcome.result == AttemptResult::Overloaded && free_slots.is_some_and(|free| free >= 1.0)
    }

    /// Returns the workers that rejected a job as unprocessable.
    fn workers_reporting_unprocessable(&self, id: JobId) -> Vec<WorkerId> {
        let Some(job) = self.jobs.get(&id) else { return Vec::new() };
        let unprocessable = job.attempts.iter().filter(|attempt| attempt.was_unprocessable());
        unprocessable.map(|attempt| attempt.worker).collect()
    }

    /// Closes, retries or rejects a job after one of its attempts has ended. A job that two workers rejected
    /// as unprocessable fails.
    fn continue_job(
        &mut self,
        outcome: &AttemptOutcome,
        ended: &EndedAttempt,
        unprocessable_count: usize,
        actions: &mut Vec<Action>,
    ) {
        let id = outcome.job;
        if ended.answered {
            return self.close(id, actions);
        }
        if unprocessable_count >= MIN_UNPROCESSABLE_WORKERS {
            actions.push(Action::Fail { job: id });
            return self.close(id, actions);
        }
        if ended.other_attempt_pending {
            return;
        }
        let retry_is_free =
            matches!(outcome.result, AttemptResult::StaleConnection | AttemptResult::Unprocessable);
        if retry_is_free || self.retry_budget.try_spend() {
            self.place(id, actions);
        } else {
            self.reject_or_fail(id, actions);
        }
    }
}

/// Returns whether an attempt with this result may still be running at its worker.
fn may_still_run(result: AttemptResult) -> bool {
    match result {
        AttemptResult::TimedOut
        | AttemptResult::Reset
        | AttemptResult::Cancelled
        | AttemptResult::StaleConnection => true,
        AttemptResult::Success
        | AttemptResult::Error
        | AttemptResult::Overloaded
        | AttemptResult::ConnectFailed
        | AttemptResult::Unprocessable
        | AttemptResult::NotSent => false,
    }
}

/// Returns the score that an outcome adds to its worker's health. `time_score` is the score of the running
/// time alone. `None` if the outcome does not indicate the worker's health.
fn score_of(result: AttemptResult, time_score: f64, rejected_despite_free_slots: bool) -> Option<f64> {
    match result {
        AttemptResult::Success => Some(time_score.clamp(MIN_SUCCESS_SCORE, FAILURE_SCORE)),
        // A job with little time left must not count against a healthy worker.
        AttemptResult::Cancelled | AttemptResult::TimedOut if time_score > OUTLIER_SCORE => {
            Some(time_score.min(FAILURE_SCORE))
        }
        AttemptResult::Cancelled
        | AttemptResult::TimedOut
        | AttemptResult::NotSent
        | AttemptResult::StaleConnection
        | AttemptResult::Unprocessable => None,
        AttemptResult::Overloaded if rejected_despite_free_slots => None,
        AttemptResult::Error
        | AttemptResult::Overloaded
        | AttemptResult::ConnectFailed
        | AttemptResult::Reset => Some(FAILURE_SCORE),
    }
}
