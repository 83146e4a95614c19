//! Job status updates from workers, and which attempt of a job they concern.
//!
//! An update names the job and the worker, not the attempt. If the connection of an attempt ends before the
//! worker has accepted it, the job may go to the same worker again, which may run both attempts. An update that
//! says that the job has ended without a result may then be of either attempt. The later one counts as ended
//! only once the worker has cancelled it, as otherwise a further attempt could run at the same time where the
//! settings do not allow this.

use super::open_job::AttemptState;
use super::{Command, Dispatch};
use crate::answer::Answer;
use crate::clock::Millis;
use crate::job_status::{JobStatus, JobStatusUpdate};
use crate::upstream::TaskOutcome;
use postusher_decision::{AttemptId, AttemptResult, Event, JobId};

impl Dispatch {
    /// Handles a job status update of a worker. An update for a job that is not open in this process has no
    /// effect, nor has one for an ended attempt, unless it contains a result.
    pub fn job_status(&mut self, update: JobStatusUpdate, now: Millis) {
        let Some(id) = self.by_trace_id.get(update.trace_id.as_str()).copied() else { return };
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(attempt) = job.pending_attempt_at(&update.worker) else {
            return self.status_of_ended_attempt(id, update, now);
        };
        let is_uncertain = job.may_have_run_at_same_worker_before(attempt);
        log::debug!(
            "job status received: trace_id={} attempt={attempt} worker={} status={} uncertain={is_uncertain}",
            job.trace_id,
            update.worker,
            update.status.name()
        );
        let report = self.valid_report(&update.worker, update.report, now);
        let result = match update.status {
            JobStatus::Started => return self.attempt_progressed(id, attempt, None, is_uncertain),
            JobStatus::Running(share) => {
                return self.attempt_progressed(id, attempt, Some(share), is_uncertain)
            }
            JobStatus::Done(result) => return self.attempt_succeeded(id, attempt, result, report, now),
            JobStatus::Failed => AttemptResult::Error,
            JobStatus::Returned => AttemptResult::Overloaded,
            JobStatus::Lost => AttemptResult::Reset,
        };
        if is_uncertain {
            self.end_after_cancellation(id, attempt, result, now);
        } else {
            self.end_attempt(id, attempt, result, report, now);
        }
    }

    /// Handles a job status update of a worker at which no attempt of the job is pending. A result is still
    /// delivered to the client, because this process may have ended the attempt only because the
    /// acknowledgement was lost.
    fn status_of_ended_attempt(&mut self, id: JobId, update: JobStatusUpdate, now: Millis) {
        let JobStatus::Done(result) = update.status else { return };
        let Some(job) = self.jobs.get(&id) else { return };
        if !job.is_answered() && job.was_sent_to(&update.worker) {
            self.answer(id, Answer::Served(result), now);
            // No event of an attempt reports this result, so this one makes the decision module end the job.
            self.events.push(Event::ClientDisconnected(id));
        }
    }

    /// Records that a job has started or, with the completed share, is running. The worker may not have received
    /// this attempt yet if the update may be of an earlier one.
    fn attempt_progressed(
        &mut self,
        id: JobId,
        attempt_id: AttemptId,
        completed_share: Option<f64>,
        is_uncertain: bool,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(attempt) = job.attempts.get_mut(attempt_id.index()) else { return };
        if attempt.state == AttemptState::Sending {
            if is_uncertain {
                return;
            }
            attempt.state = AttemptState::Accepted;
        }
        self.events.push(match completed_share {
            None => Event::JobStarted { job: id, attempt: attempt_id },
            Some(completed_share) => Event::JobProgressed { job: id, attempt: attempt_id, completed_share },
        });
    }

    fn attempt_succeeded(
        &mut self,
        id: JobId,
        attempt: AttemptId,
        result: Vec<u8>,
        report: Vec<f64>,
        now: Millis,
    ) {
        if self.jobs.get(&id).is_some_and(|job| !job.is_answered()) {
            self.answer(id, Answer::Served(result), now);
        }
        self.end_attempt(id, attempt, AttemptResult::Success, report, now);
    }

    /// Ends an attempt with this result once its worker has cancelled it, or once its worker has accepted and
    /// then cancelled it. If workers do not cancel attempts, it stays pending until its result or its deadline.
    /// Where the settings allow two attempts at once, it is given up without waiting.
    pub(super) fn end_after_cancellation(
        &mut self,
        id: JobId,
        attempt_id: AttemptId,
        result: AttemptResult,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let attempt = job.attempts.get_mut(attempt_id.index()).filter(|attempt| attempt.is_begun);
        // The worker cannot have reported the end of an attempt that it has not been sent.
        let Some(attempt) = attempt else { return };
        if self.site.settings.hedging_allowed {
            return self.give_up_attempt(id, attempt_id, result, now);
        }
        attempt.uncertain_end = Some(result);
        if attempt.state == AttemptState::Accepted && self.site.settings.cancellation_allowed {
            attempt.state = AttemptState::Cancelling { result };
            self.request_cancellation(id, attempt_id);
        }
    }

    fn request_cancellation(&mut self, id: JobId, attempt_id: AttemptId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let Some(attempt) = job.attempts.get(attempt_id.index()) else { return };
        self.commands.push(Command::CancelAttempt {
            worker: attempt.worker,
            trace_id: job.trace_id.clone(),
            awaited_by: Some((id, attempt_id)),
        });
    }

    /// Handles the end of a cancellation that an attempt waits for. Any answer of the worker confirms it: the job
    /// is cancelled there, or no longer known. Without an answer the attempt may still run.
    pub fn cancellation_ended(
        &mut self,
        id: JobId,
        attempt_id: AttemptId,
        outcome: &TaskOutcome,
        now: Millis,
    ) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let Some(attempt) = job.attempts.get_mut(attempt_id.index()) else { return };
        let AttemptState::Cancelling { result } = attempt.state else { return };
        match outcome {
            TaskOutcome::Answer(_) => self.end_attempt(id, attempt_id, result, Vec::new(), now),
            // The stale connection is closed, so a further one is used.
            TaskOutcome::Stale { .. } => self.request_cancellation(id, attempt_id),
            _ => attempt.state = AttemptState::Accepted,
        }
    }
}
