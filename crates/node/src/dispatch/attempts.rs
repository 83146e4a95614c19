//! Life cycle of attempts: start, acceptance by the worker, and end. Also handles the results of health checks.
//! Job status updates from workers are in `status_updates`.

use super::open_job::{Attempt, AttemptState};
use super::{Command, Dispatch, Timer};
use crate::clock::{millis_from_micros, Millis};
use crate::endpoint_list::EndpointList;
use crate::http::{Message, StatusLine};
use crate::invariant::{holds, Invariant};
use crate::load_report::{self, ReportError};
use crate::upstream::TaskOutcome;
use crate::worker_protocol::{LOAD_REPORT_HEADER, NEVER_RAN_HEADER};
use postusher_decision::{
    AttemptContext, AttemptId, AttemptOutcome, AttemptResult, Event, JobId, Micros, WorkerId,
};
use postusher_settings::micros_from_millis;
use std::rc::Rc;

/// HTTP status with which a worker accepts an attempt; the result follows in a job status update.
const ACCEPTED: u16 = 202;
/// HTTP status with which a healthy worker answers a health check.
const HEALTHY: u16 = 200;

impl Dispatch {
    /// Handles the outcome of the request that sends an attempt to its worker.
    pub fn attempt_sent(&mut self, id: JobId, attempt: AttemptId, outcome: TaskOutcome, now: Millis) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(pending) = job.pending_attempt(attempt) else { return };
        // A job status update that arrived before the connection broke shows that the worker has the job.
        let accepted = pending.state != AttemptState::Sending;
        let result = match outcome {
            TaskOutcome::Answer(answer) => return self.worker_answered(id, attempt, &answer, now),
            TaskOutcome::Broken | TaskOutcome::Stale { .. } if accepted => return,
            TaskOutcome::Broken => AttemptResult::Reset,
            TaskOutcome::Stale { sent: true } => AttemptResult::StaleConnection,
            TaskOutcome::Stale { sent: false } | TaskOutcome::Withheld => AttemptResult::NotSent,
            TaskOutcome::NotSent => AttemptResult::ConnectFailed,
        };
        self.end_attempt(id, attempt, result, Vec::new(), now);
    }

    /// Handles a worker's response that accepts or rejects an attempt.
    fn worker_answered(
        &mut self,
        id: JobId,
        attempt_id: AttemptId,
        answer: &Message<StatusLine>,
        now: Millis,
    ) {
        let status = answer.line.status;
        if status != ACCEPTED {
            let never_ran = answer.headers.get(NEVER_RAN_HEADER) == Some("1");
            let text = answer.headers.get(LOAD_REPORT_HEADER).unwrap_or("");
            let report = load_report::from_text(text, &self.site);
            let worker = self.worker_name(id, attempt_id);
            let report = self.valid_report(&worker, report, now);
            return self.end_attempt(id, attempt_id, rejection_result(status, never_ran), report, now);
        }
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(attempt) = job.attempts.get_mut(attempt_id.index()) else { return };
        attempt.state = AttemptState::Accepted;
        log::debug!(
            "attempt accepted: trace_id={} attempt={attempt_id} worker={} after_ms={:.1}",
            job.trace_id,
            attempt.worker_name,
            now - attempt.sent_at
        );
        if let Some(result) = attempt.uncertain_end {
            self.end_after_cancellation(id, attempt_id, result, now);
        }
    }

    /// Returns the name of the worker of an attempt; empty if there is no such attempt.
    fn worker_name(&self, id: JobId, attempt: AttemptId) -> Rc<str> {
        let attempt = self.jobs.get(&id).and_then(|job| job.attempts.get(attempt.index()));
        attempt.map_or_else(|| "".into(), |attempt| attempt.worker_name.clone())
    }

    /// Returns a worker's load report. One that is refused is counted and logged, at a limited rate, and counts
    /// as missing.
    pub(super) fn valid_report(
        &mut self,
        worker: &str,
        report: Result<Vec<f64>, ReportError>,
        now: Millis,
    ) -> Vec<f64> {
        report.unwrap_or_else(|error| {
            self.metrics.invalid_reports += 1;
            if self.invalid_report_log_limit.allows(now) {
                log::warn!("load report refused: worker={worker} error=\"{error}\"");
            }
            Vec::new()
        })
    }

    /// Handles the end of a health check; `outcome` is `None` if the worker did not answer in time.
    pub fn health_check_ended(
        &mut self,
        worker: WorkerId,
        worker_name: &str,
        outcome: Option<TaskOutcome>,
        now: Millis,
    ) {
        let mut report = Vec::new();
        let result = match outcome {
            Some(TaskOutcome::Answer(answer)) => {
                let text = std::str::from_utf8(&answer.body).unwrap_or("");
                report = self.valid_report(worker_name, load_report::from_text(text, &self.site), now);
                if answer.line.status == HEALTHY {
                    AttemptResult::Success
                } else {
                    AttemptResult::Error
                }
            }
            Some(TaskOutcome::NotSent | TaskOutcome::Withheld) => AttemptResult::ConnectFailed,
            Some(TaskOutcome::Broken) => AttemptResult::Reset,
            Some(TaskOutcome::Stale { .. }) => AttemptResult::StaleConnection,
            None => AttemptResult::TimedOut,
        };
        self.events.push(Event::HealthCheckEnded { worker, result, report });
    }

    /// Starts an attempt. It ends at once if another event of the same batch has made it superfluous or has
    /// removed its worker. A `timeout` of 0 means that the attempt may run until the deadline of the job.
    pub(super) fn start_attempt(
        &mut self,
        id: JobId,
        worker: WorkerId,
        timeout: Micros,
        endpoints: &EndpointList,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let listed = endpoints.get(worker);
        let attempt = AttemptId(job.attempts.len() as u8);
        let deadline = match timeout {
            0 => job.deadline,
            _ => job.deadline.min(now + millis_from_micros(timeout)),
        };
        let is_superfluous = job.is_answered() || job.is_pending_at(worker);
        job.attempts.push(Attempt {
            worker,
            worker_name: listed.map_or_else(|| "".into(), |listed| listed.name.clone()),
            sent_at: now,
            deadline,
            deadline_timer: None,
            state: AttemptState::Sending,
            is_begun: false,
            uncertain_end: None,
        });
        if is_superfluous {
            return self.end_attempt(id, attempt, AttemptResult::NotSent, Vec::new(), now);
        }
        if listed.is_none() {
            return self.end_attempt(id, attempt, AttemptResult::ConnectFailed, Vec::new(), now);
        }
        let timer = self.timers.set(deadline, Timer::AttemptDeadline(id, attempt));
        if let Some(started) = job.attempts.last_mut() {
            started.deadline_timer = Some(timer);
        }
        self.commands.push(Command::StartAttempt { job: id, attempt, worker });
    }

    /// Returns the request of an attempt whose connection is established; `None` if the job is no longer open
    /// or [`postusher_decision::Dispatcher::check_send`] denies the attempt, which is logged and counted.
    /// `address_current` states whether the connection leads to the worker's address on the endpoint list.
    pub fn begin_attempt(
        &mut self,
        id: JobId,
        attempt_id: AttemptId,
        address_current: bool,
        now: Millis,
    ) -> Option<Vec<u8>> {
        let job = self.jobs.get_mut(&id)?;
        let is_open = !job.is_answered();
        let attempt = job.attempts.get_mut(attempt_id.index())?;
        let time_left = attempt.deadline - now;
        let context = AttemptContext {
            job: id,
            attempt: attempt_id,
            worker: attempt.worker,
            job_open: is_open,
            attempt_pending: attempt.is_pending(),
            time_left: micros_from_millis(time_left.max(0.0)),
            address_current,
        };
        let trace_id = &job.trace_id;
        let worker = &attempt.worker_name;
        if let Err(denial) = self.dispatcher.check_send(&context, micros_from_millis(now)) {
            log::debug!(
                "attempt denied: trace_id={trace_id} attempt={attempt_id} worker={worker} reason={denial:?}"
            );
            self.metrics.attempt_denied(denial);
            return None;
        }
        attempt.is_begun = true;
        log::debug!(
            "attempt started: trace_id={trace_id} attempt={attempt_id} worker={worker} left_ms={time_left:.0}"
        );
        Some(job.submission.payload.request(time_left))
    }

    /// Cancels an attempt if it is pending.
    pub(super) fn cancel_attempt(&mut self, id: JobId, attempt: AttemptId, now: Millis) {
        self.give_up_attempt(id, attempt, AttemptResult::Cancelled, now);
    }

    /// Ends an attempt whose deadline has passed.
    pub(super) fn attempt_timed_out(&mut self, id: JobId, attempt: AttemptId, now: Millis) {
        self.give_up_attempt(id, attempt, AttemptResult::TimedOut, now);
    }

    /// Ends an attempt, if it is pending, before its worker has. An attempt that is being sent is abandoned;
    /// one that its worker has accepted is cancelled there if the settings allow it.
    pub(super) fn give_up_attempt(
        &mut self,
        id: JobId,
        attempt_id: AttemptId,
        result: AttemptResult,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(attempt) = job.pending_attempt(attempt_id) else { return };
        match attempt.state {
            AttemptState::Sending => self.commands.push(Command::AbandonAttempt(id, attempt_id)),
            AttemptState::Accepted if self.site.settings.cancellation_allowed => {
                self.commands.push(Command::CancelAttempt {
                    worker: attempt.worker,
                    trace_id: job.trace_id.clone(),
                    awaited_by: None,
                });
            }
            AttemptState::Accepted | AttemptState::Cancelling { .. } | AttemptState::Ended { .. } => {}
        }
        self.end_attempt(id, attempt_id, result, Vec::new(), now);
    }

    /// Ends an attempt, which must happen only once for each attempt. `report` is the load report that
    /// arrived with the end of the attempt; it is empty if there was none.
    pub(super) fn end_attempt(
        &mut self,
        id: JobId,
        attempt_id: AttemptId,
        result: AttemptResult,
        report: Vec<f64>,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.last_attempt_unprocessable = result == AttemptResult::Unprocessable;
        let job_answered = job.is_answered();
        let Some(attempt) = job.attempts.get_mut(attempt_id.index()) else { return };
        if !holds(Invariant::AttemptEndedOnce, attempt.is_pending()) {
            return;
        }
        attempt.state = AttemptState::Ended { may_have_run: self.site.settings.may_have_run(result) };
        if let Some(timer) = attempt.deadline_timer.take() {
            self.timers.cancel(timer);
        }
        let elapsed = now - attempt.sent_at;
        if result != AttemptResult::Success {
            log::debug!(
                "attempt ended: trace_id={} attempt={attempt_id} worker={} result={result:?} \
                 after_ms={elapsed:.0}",
                job.trace_id,
                attempt.worker_name
            );
        }
        self.events.push(Event::AttemptEnded(AttemptOutcome {
            job: id,
            attempt: attempt_id,
            result,
            latency: micros_from_millis(elapsed),
            job_answered,
            report,
        }));
        self.to_review.push(id);
    }
}

/// Returns the result of an attempt that its worker has rejected with this HTTP status. `never_ran` states
/// whether the worker reports that the job has not run.
fn rejection_result(status: u16, never_ran: bool) -> AttemptResult {
    match status {
        503 | 504 if never_ran => AttemptResult::Overloaded,
        // Request Timeout, Too Early and Too Many Requests are temporary conditions, not defects of the job.
        408 | 425 | 429 => AttemptResult::Error,
        400..=499 => AttemptResult::Unprocessable,
        _ => AttemptResult::Error,
    }
}
