//! Whether something may be sent, repeated or refused now: the one place that says so, whoever asks.
//!
//! A job is placed long before its first byte is written: connections come up late, lists and clients' ends
//! arrive in between. So all that makes a send right is looked at again in [`Dispatcher::check_send`], just
//! before that byte.

use super::*;

impl Dispatcher {
    /// Whether the first byte of an attempt may be written at a time.
    ///
    /// # Errors
    /// Why not.
    pub fn check_send(&self, begin: &AttemptContext, now: Micros) -> Result<(), SendDenial> {
        let rules = [
            (begin.job_open, SendDenial::JobEnded),
            (begin.attempt_pending, SendDenial::AttemptEnded),
            (begin.time_left > 0, SendDenial::DeadlinePassed),
            (self.is_list_current(now), SendDenial::ListNotCurrent),
            (self.accepts(begin.worker), SendDenial::WorkerUnavailable),
            (begin.address_current, SendDenial::WorkerMoved),
        ];
        rules.iter().find(|(holds, _)| !holds).map_or(Ok(()), |(_, denial)| Err(*denial))
    }

    /// Whether an attempt of a job may be sent as far as its effect allows (rule 2).
    pub(crate) fn may_send(&self, r: &Request) -> bool {
        let open =
            !r.answered && !r.streaming && r.attempts.len() < usize::from(self.set.max_attempts.max(1));
        let alone = self.set.hedging_allowed || r.out().next().is_none();
        let harmless = match (r.class.idempotency, r.first_run()) {
            (Idempotency::Idempotent, _) | (_, None) => true,
            (Idempotency::ByKey { window, .. }, Some(first)) => self.now + TICK < first.sent + window,
            (Idempotency::NotIdempotent, Some(_)) => false,
        };
        open && alone && harmless
    }

    /// Whether a job may be refused, which promises that sending it again does no harm (rule 2).
    pub(crate) fn may_refuse(&self, r: &Request) -> bool {
        let anywhere = matches!(
            r.class.idempotency,
            Idempotency::Idempotent | Idempotency::ByKey { scope: DeduplicationScope::Fleet, .. }
        );
        anywhere || r.first_run().is_none()
    }
}
