//! Requests of a pool that are in progress.

use crate::clock::Millis;

/// An attempt of a request.
pub(super) struct Attempt {
    /// Index of the worker; `None` if it is no longer in the pool.
    pub(super) worker: Option<usize>,
    pub(super) sent_at: Millis,
    pub(super) is_pending: bool,
}

/// A request that is not answered yet or has a pending attempt.
pub(super) struct OpenRequest {
    /// Index of the worker that the weighted round robin proposed, until an attempt starts or the request is
    /// rejected; `None` if the request names a session or no worker was proposed.
    pub(super) proposed: Option<usize>,
    pub(super) attempts: Vec<Attempt>,
    pub(super) is_answered: bool,
}

impl OpenRequest {
    /// Creates a request that has just arrived, with the worker proposed for it.
    pub(super) fn new(proposed: Option<usize>) -> OpenRequest {
        OpenRequest { proposed, attempts: Vec::new(), is_answered: false }
    }

    /// Returns whether the request is answered and has no pending attempt.
    pub(super) fn is_finished(&self) -> bool {
        self.is_answered && !self.attempts.iter().any(|attempt| attempt.is_pending)
    }
}
