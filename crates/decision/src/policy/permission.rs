//! Whether an attempt may be sent, a job retried or rejected now: the one place that says so, whoever asks.
//!
//! A job is placed long before its first byte is written: connections come up late, and endpoint lists and
//! disconnects arrive in between. So all conditions are checked again in [`Dispatcher::check_send`], just
//! before that byte.

use super::TICK_US;
use crate::interface::{AttemptContext, DeduplicationScope, Idempotency, Micros, SendDenial, WorkerId};
use crate::state::PendingJob;
use crate::Dispatcher;

impl Dispatcher {
    /// Whether the first byte of an attempt may be written at time `now`.
    ///
    /// # Errors
    /// The first reason why it may not.
    pub fn check_send(&self, attempt: &AttemptContext, now: Micros) -> Result<(), SendDenial> {
        if !attempt.job_open {
            return Err(SendDenial::JobEnded);
        }
        if !attempt.attempt_pending {
            return Err(SendDenial::AttemptEnded);
        }
        if attempt.time_left == 0 {
            return Err(SendDenial::DeadlinePassed);
        }
        if !self.is_list_current(now) {
            return Err(SendDenial::ListNotCurrent);
        }
        if !self.accepts_attempts(attempt.worker) {
            return Err(SendDenial::WorkerUnavailable);
        }
        if !attempt.address_current {
            return Err(SendDenial::WorkerMoved);
        }
        Ok(())
    }

    /// Whether the endpoint list and the operators still let a worker accept jobs.
    fn accepts_attempts(&self, worker: WorkerId) -> bool {
        self.workers.get(worker).is_some_and(|worker| self.workers.accepts_jobs(worker))
    }

    /// Whether another attempt of a job may be sent, as far as the job's idempotency allows it.
    pub(super) fn may_send(&self, job: &PendingJob) -> bool {
        let max_attempts = usize::from(self.settings.max_attempts.max(1));
        if job.answered || job.streaming || job.attempts.len() >= max_attempts {
            return false;
        }
        if job.has_pending_attempt() && !self.settings.hedging_allowed {
            return false;
        }
        match (job.class.idempotency, job.first_possible_run()) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::ByKey { window, .. }, Some(first)) => self.now + TICK_US < first.sent_at + window,
            (Idempotency::NotIdempotent, Some(_)) => false,
        }
    }

    /// Whether a job may be rejected, which promises that a retry by the client does no harm.
    pub(super) fn may_reject(&self, job: &PendingJob) -> bool {
        let retry_is_harmless_anywhere = matches!(
            job.class.idempotency,
            Idempotency::Idempotent | Idempotency::ByKey { scope: DeduplicationScope::Fleet, .. }
        );
        retry_is_harmless_anywhere || job.first_possible_run().is_none()
    }
}
