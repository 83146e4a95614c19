//! Open jobs and their attempts.

use crate::clock::Millis;
use crate::connection_id::ConnectionId;
use crate::intake::Job;
use crate::timers::TimerId;
use crate::upgrade_protocol::{MigratedAttempt, MigratedDeferral, MigratedJob};
use postusher_decision::{AttemptId, AttemptResult, JobId, PriorAttempt, WorkerId};
use postusher_settings::micros_from_millis;
use std::rc::Rc;

/// Phase in the life cycle of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum JobPhase {
    /// The job is in the deferral queue and not in the decision module.
    Deferred,
    /// The job was passed to the decision module.
    Dispatched,
    /// The job has its final answer, or its client has disconnected.
    Answered,
}

/// A job that has no final answer yet or has a pending attempt.
pub(super) struct OpenJob {
    /// The connection that waits for the answer.
    pub client: ConnectionId,
    pub trace_id: Rc<str>,
    /// The job as submitted by the client.
    pub submission: Job,
    pub deadline: Millis,
    /// The timer that expires when the answer is overdue.
    answer_timer: TimerId,
    pub phase: JobPhase,
    /// Whether the worker of the attempt that ended last rejected the job as one that cannot be run.
    pub last_attempt_unprocessable: bool,
    /// All attempts, in the order in which they were started; the index of an attempt is its [`AttemptId`].
    pub attempts: Vec<Attempt>,
}

impl OpenJob {
    /// Creates a job that is to be passed to the decision module.
    pub fn new(client: ConnectionId, submission: Job, deadline: Millis, answer_timer: TimerId) -> OpenJob {
        OpenJob {
            client,
            trace_id: Rc::from(submission.trace_id.as_str()),
            submission,
            deadline,
            answer_timer,
            phase: JobPhase::Dispatched,
            last_attempt_unprocessable: false,
            attempts: Vec::new(),
        }
    }

    /// Returns whether the job has its final answer or its client has disconnected.
    pub fn is_answered(&self) -> bool {
        self.phase == JobPhase::Answered
    }

    /// Returns whether the job is answered and has no pending attempt.
    pub fn is_over(&self) -> bool {
        self.is_answered() && !self.attempts.iter().any(Attempt::is_pending)
    }

    /// Returns the timers of the job and of its pending attempts.
    pub fn timers(&self) -> impl Iterator<Item = TimerId> + '_ {
        let attempt_timers = self.attempts.iter().filter_map(|attempt| attempt.deadline_timer);
        attempt_timers.chain([self.answer_timer])
    }

    /// Converts the job to the type of the decision module.
    pub fn for_decision(&self, id: JobId) -> postusher_decision::Job {
        postusher_decision::Job {
            id,
            class: self.submission.class,
            deadline: micros_from_millis(self.deadline),
            size_hint: self.submission.size_hint,
            slots: self.submission.slots,
            key: self.submission.key,
            customer: self.submission.customer,
        }
    }

    /// Returns an attempt if it is pending.
    pub fn pending_attempt(&self, attempt: AttemptId) -> Option<&Attempt> {
        self.attempts.get(attempt.index()).filter(|attempt| attempt.is_pending())
    }

    /// Returns the latest pending attempt at the worker with this name.
    pub fn pending_attempt_at(&self, worker: &str) -> Option<AttemptId> {
        let is_pending_there = |attempt: &Attempt| attempt.is_pending() && *attempt.worker_name == *worker;
        let index = self.attempts.iter().rposition(is_pending_there)?;
        Some(AttemptId(index as u8))
    }

    /// Returns whether an attempt before this one has ended at the same worker, which may run it nevertheless.
    /// Status updates of the worker may then be of either.
    pub fn may_have_run_at_same_worker_before(&self, attempt: AttemptId) -> bool {
        let Some(current) = self.attempts.get(attempt.index()) else { return false };
        let mut earlier = self.attempts.iter().take(attempt.index());
        earlier.any(|attempt| attempt.worker_name == current.worker_name && attempt.may_have_run())
    }

    /// Returns whether any attempt of the job was made at the worker with this name.
    pub fn was_sent_to(&self, worker: &str) -> bool {
        self.attempts.iter().any(|attempt| *attempt.worker_name == *worker)
    }

    /// Returns whether an attempt at this worker is pending.
    pub fn is_pending_at(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.is_pending() && attempt.worker == worker)
    }

    /// Returns whether the job can migrate to the other process of an upgrade. It cannot while an attempt is
    /// being sent or cancelled, as the connection for that belongs to this process.
    pub fn can_migrate(&self) -> bool {
        !self.is_answered() && !self.attempts.iter().any(Attempt::uses_connection)
    }

    /// Returns the job in the form in which it migrates to the other process of an upgrade. The caller, which
    /// holds the connection of the client, has to set `closes_connection`.
    pub fn to_migrated(&self, deferral: Option<MigratedDeferral>, now: Millis) -> MigratedJob {
        MigratedJob {
            request: self.submission.payload.request(self.deadline - now),
            closes_connection: false,
            attempts: self.attempts.iter().map(|attempt| attempt.to_migrated(now)).collect(),
            deferral,
        }
    }
}

/// State of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum AttemptState {
    /// The attempt is being sent; the worker has not acknowledged it.
    Sending,
    /// The worker has acknowledged the attempt.
    Accepted,
    /// The attempt ends with this result once the worker has answered its cancellation.
    Cancelling { result: AttemptResult },
    /// The attempt has ended.
    Ended {
        /// Whether the worker may have run the job.
        may_have_run: bool,
    },
}

/// An attempt of a job.
pub(super) struct Attempt {
    pub worker: WorkerId,
    /// Name of the worker; empty if the worker was not listed when the attempt was started.
    pub worker_name: Rc<str>,
    /// Time at which the attempt was started, before the connection was established.
    pub sent_at: Millis,
    pub deadline: Millis,
    /// The timer that expires at the deadline; `None` if the attempt has ended.
    pub deadline_timer: Option<TimerId>,
    pub state: AttemptState,
    /// Whether the request may have been written to the worker.
    pub is_begun: bool,
    /// The result that the worker has reported, for this attempt or for an earlier one that it may also run.
    pub uncertain_end: Option<AttemptResult>,
}

impl Attempt {
    /// Creates an attempt, without its timer, from one that the other process of an upgrade made.
    pub fn from_migrated(
        worker: WorkerId,
        migrated: &MigratedAttempt,
        deadline: Millis,
        now: Millis,
    ) -> Attempt {
        let state = if migrated.pending {
            AttemptState::Accepted
        } else {
            AttemptState::Ended { may_have_run: migrated.may_have_run }
        };
        Attempt {
            worker,
            worker_name: Rc::from(migrated.worker.as_str()),
            sent_at: now - migrated.age,
            deadline,
            deadline_timer: None,
            state,
            is_begun: true,
            uncertain_end: None,
        }
    }

    /// Returns whether the attempt has not ended.
    pub fn is_pending(&self) -> bool {
        match self.state {
            AttemptState::Sending | AttemptState::Accepted | AttemptState::Cancelling { .. } => true,
            AttemptState::Ended { .. } => false,
        }
    }

    /// Returns whether a connection to the worker is in use for the attempt.
    fn uses_connection(&self) -> bool {
        matches!(self.state, AttemptState::Sending | AttemptState::Cancelling { .. })
    }

    /// Returns whether the worker may have run the job.
    fn may_have_run(&self) -> bool {
        match self.state {
            AttemptState::Sending | AttemptState::Accepted | AttemptState::Cancelling { .. } => true,
            AttemptState::Ended { may_have_run } => may_have_run,
        }
    }

    fn to_migrated(&self, now: Millis) -> MigratedAttempt {
        MigratedAttempt {
            worker: self.worker_name.to_string(),
            age: now - self.sent_at,
            pending: self.is_pending(),
            may_have_run: self.may_have_run(),
        }
    }
}

/// Converts a migrated attempt to the type of the decision module.
pub(super) fn prior_attempt(worker: WorkerId, migrated: &MigratedAttempt) -> PriorAttempt {
    PriorAttempt {
        worker,
        age: micros_from_millis(migrated.age),
        pending: migrated.pending,
        may_have_run: migrated.may_have_run,
    }
}
