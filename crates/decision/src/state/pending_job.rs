//! Jobs without a final answer or with pending attempts.

use super::{Attempt, AttemptState, Worker};
use crate::interface::{AttemptId, Class, Job, Micros, WorkerId, MAX_SLOTS};
use std::sync::Arc;

/// The state of the load probes that are sent for a job before its placement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoadProbes {
    /// No probes were sent since the job arrived or, if it has attempts, since the latest one.
    #[default]
    NotSent,
    /// The job waits for answers.
    Pending {
        /// Number of outstanding answers, at least 1.
        missing: usize,
    },
    /// All probes were answered, the time limit has passed, or no probe could be sent.
    Done,
}

/// The attempts of a job that a cancellation applies to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelScope {
    /// All pending attempts.
    All,
    /// Pending attempts whose start was not reported.
    NotStarted,
}

/// A job that has no final answer yet or still has pending attempts, or whose key pauses.
pub struct PendingJob {
    /// The job as its client submitted it.
    pub submitted: Job,
    /// The class of the job.
    pub class: Arc<Class>,
    /// Number of slots that the job needs, limited to [`MAX_SLOTS`]; an attempt holds one token for each.
    pub slots: i64,
    /// The attempts in the order in which they were sent.
    pub attempts: Vec<Attempt>,
    /// Whether the job has its final answer or its client has disconnected.
    pub answered: bool,
    /// Whether the answer is being sent to the client.
    pub streaming: bool,
    /// The workers that are expected to have the data of the job's key.
    pub affinity_candidates: Vec<WorkerId>,
    /// The load probes before the placement of the job.
    pub load_probes: LoadProbes,
    /// Whether the job waits for earlier jobs of its key to finish.
    pub blocked_by_key_order: bool,
    /// End of the wait for a current endpoint list, past or future; `None` if the job did not wait.
    pub list_wait_until: Option<Micros>,
    /// Time until which the job's key pauses because an ended attempt may still be running at its worker; 0:
    /// no pause.
    pub key_pause_until: Micros,
}

impl PendingJob {
    /// Creates a job that has just arrived.
    pub fn new(submitted: Job, class: Arc<Class>, affinity_candidates: Vec<WorkerId>) -> Self {
        let slots = i64::from(submitted.slots.clamp(1, MAX_SLOTS));
        PendingJob {
            submitted,
            class,
            slots,
            attempts: Vec::new(),
            answered: false,
            streaming: false,
            affinity_candidates,
            load_probes: LoadProbes::NotSent,
            blocked_by_key_order: false,
            list_wait_until: None,
            key_pause_until: 0,
        }
    }

    /// Marks the pending attempts in a scope as cancelled and returns the ids of those that were not marked
    /// before.
    pub fn cancel(&mut self, scope: CancelScope) -> Vec<AttemptId> {
        let mut cancelled = Vec::new();
        for (attempt, id) in self.attempts.iter_mut().zip((0..).map(AttemptId)) {
            let in_scope = match scope {
                CancelScope::All => true,
                CancelScope::NotStarted => attempt.started_at.is_none(),
            };
            if in_scope && attempt.is_pending() && !attempt.cancelled {
                attempt.cancelled = true;
                cancelled.push(id);
            }
        }
        cancelled
    }

    /// Returns whether a worker is expected to have to fetch the data of the job's key: it is not one of the
    /// affinity candidates.
    pub fn needs_fetch_at(&self, worker: &Worker) -> bool {
        !self.affinity_candidates.is_empty() && !self.affinity_candidates.contains(&worker.endpoint.worker)
    }

    /// Returns whether an attempt was sent to a worker, not counting those that hit a stale connection.
    pub fn was_tried_at(&self, worker: WorkerId) -> bool {
        self.attempts.iter().any(|attempt| attempt.worker == worker && !attempt.hit_stale_connection())
    }

    /// Returns the pending attempts.
    pub fn pending_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.is_pending())
    }

    /// Returns whether an attempt is pending.
    pub fn has_pending_attempt(&self) -> bool {
        self.pending_attempts().next().is_some()
    }

    /// Returns the job's key if the jobs of its class are ordered by key; `None` for other classes and for a
    /// job without a key.
    pub fn ordered_key(&self) -> Option<u64> {
        (self.submitted.key != 0 && self.class.ordered_by_key).then_some(self.submitted.key)
    }

    /// Returns the first attempt that is pending or may have run.
    pub fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.state != AttemptState::NeverRan)
    }

    /// Returns the first attempt before the given one that is pending or may have run.
    pub fn first_possible_run_before(&self, attempt: AttemptId) -> Option<&Attempt> {
        let mut earlier = self.attempts.iter().take(attempt.index());
        earlier.find(|attempt| attempt.state != AttemptState::NeverRan)
    }
}
