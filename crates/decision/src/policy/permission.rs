//! The only place that decides whether an attempt may be sent and whether a job may be retried or rejected.
//! Which workers an attempt may be sent to is decided in `placement.rs`.
//!
//! A job may be placed long before the first byte of its attempt is written, because a connection may have to
//! be established. In the meantime the endpoint list may change, the client may disconnect or the time for a
//! retry may end. Therefore [`Dispatcher::check_send`] checks all conditions again just before that byte is
//! written.

use crate::interface::{AttemptContext, DeduplicationScope, Idempotency, Micros, SendDenial, WorkerId};
use crate::state::{Attempt, PendingJob};
use crate::Dispatcher;

/// Time before the end of a deduplication window from which no retry is sent, as an attempt reaches its
/// worker later than it is checked.
const RETRY_WINDOW_MARGIN_US: Micros = 100_000;

impl Dispatcher {
    /// Checks whether the first byte of an attempt may be written at time `now`.
    ///
    /// # Errors
    /// Returns the first reason why it may not.
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
        let Some(job) = self.jobs.get(&attempt.job) else { return Err(SendDenial::JobEnded) };
        if !allows_attempt_after(job.first_possible_run_before(attempt.attempt), job, now) {
            return Err(SendDenial::RetryNotAllowed);
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

    /// Returns whether a worker still accepts jobs by the endpoint list and is not disabled by an operator.
    fn accepts_attempts(&self, worker: WorkerId) -> bool {
        self.workers.get(worker).is_some_and(|worker| self.workers.accepts_jobs(worker))
    }

    /// Returns whether another attempt of a job may be sent, by its answer, the number of its attempts,
    /// whether one of them is pending, and its idempotency.
    pub(super) fn may_send(&self, job: &PendingJob) -> bool {
        let max_attempts = usize::from(self.settings.max_attempts.max(1));
        if job.answered || job.streaming || job.attempts.len() >= max_attempts {
            return false;
        }
        if job.has_pending_attempt() && !self.settings.hedging_allowed {
            return false;
        }
        allows_attempt_after(job.first_possible_run(), job, self.now)
    }

    /// Returns whether a job may be rejected. A rejection promises the client that a retry is harmless.
    pub(super) fn may_reject(&self, job: &PendingJob) -> bool {
        let retry_is_harmless_anywhere = matches!(
            job.class.idempotency,
            Idempotency::Idempotent | Idempotency::ByKey { scope: DeduplicationScope::Fleet, .. }
        );
        retry_is_harmless_anywhere || job.first_possible_run().is_none()
    }
}

/// Returns whether the idempotency of a job allows an attempt at time `now`. `first_possible_run` is the
/// first of the attempts before it that is pending or may have run.
fn allows_attempt_after(first_possible_run: Option<&Attempt>, job: &PendingJob, now: Micros) -> bool {
    match (job.class.idempotency, first_possible_run) {
        (Idempotency::Idempotent, _) | (_, None) => true,
        (Idempotency::ByKey { window, .. }, Some(first)) => {
            now + RETRY_WINDOW_MARGIN_US < first.sent_at + window
        }
        (Idempotency::NotIdempotent, Some(_)) => false,
    }
}
