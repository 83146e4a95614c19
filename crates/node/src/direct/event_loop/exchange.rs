//! A request under way, between its client's connection and its worker's.

use crate::clock::Millis;
use crate::connection_id::ConnectionId;
use postusher_decision::AttemptId;
use postusher_direct::{Framing, Head};

/// Bytes of a request's body that are kept while it may have to be sent again.
pub(super) const BODY_LIMIT: usize = 64 * 1024;

/// A request under way.
pub(super) struct Exchange {
    /// Its client's connection.
    pub(super) downstream: ConnectionId,
    /// Its worker's connection, while an attempt is pending.
    pub(super) upstream: Option<ConnectionId>,
    /// The last attempt.
    pub(super) attempt: AttemptId,
    pub(super) head: Head,
    /// The target that its worker is asked for.
    pub(super) target: String,
    /// The body so far, framed, while it may have to be sent again.
    pub(super) body: Vec<u8>,
    /// The body is no longer kept: it cannot be sent again.
    pub(super) is_body_dropped: bool,
    /// All of the body has come.
    pub(super) is_body_complete: bool,
    /// How the answer's body is framed, once the answer has begun.
    pub(super) answer_framing: Option<Framing>,
    /// When its time is over.
    pub(super) expires_at: Millis,
}

impl Exchange {
    /// A request whose head has come.
    pub(super) fn new(downstream: ConnectionId, head: Head, target: String, expires_at: Millis) -> Exchange {
        Exchange {
            downstream,
            upstream: None,
            attempt: AttemptId(0),
            head,
            target,
            body: Vec::new(),
            is_body_dropped: false,
            is_body_complete: false,
            answer_framing: None,
            expires_at,
        }
    }

    /// Whether an attempt can be started: nothing of what it sends is gone, and no answer has begun.
    pub(super) fn can_be_sent(&self) -> bool {
        !self.is_body_dropped && self.answer_framing.is_none()
    }

    /// Keeps a part of the body, unless there is too much of it by now and it is with a worker.
    pub(super) fn keep_body(&mut self, bytes: &[u8]) {
        if self.is_body_dropped {
            return;
        }
        self.body.extend_from_slice(bytes);
        if self.upstream.is_some() && self.body.len() > BODY_LIMIT {
            self.body = Vec::new();
            self.is_body_dropped = true;
        }
    }
}
