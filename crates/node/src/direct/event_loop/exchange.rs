//! The requests in progress, each between the connection of its client and that of its worker.

use crate::clock::Millis;
use crate::connection_id::ConnectionId;
use crate::direct::service::RequestId;
use crate::timers::{TimerId, Timers};
use postusher_decision::AttemptId;
use postusher_direct::{Framing, Head};
use std::collections::HashMap;

/// Maximum number of bytes of a request body that are kept for a retry.
pub(super) const MAX_REPLAY_BODY: usize = 64 * 1024;

/// A request in progress.
pub(super) struct Exchange {
    /// Connection of the client.
    pub(super) downstream: ConnectionId,
    /// Connection of the worker, while an attempt is pending.
    pub(super) upstream: Option<ConnectionId>,
    /// The most recent attempt; 0 also before the first one.
    pub(super) attempt: AttemptId,
    pub(super) head: Head,
    /// The request target sent to the worker.
    pub(super) target: String,
    /// The body received so far, in its framing, while it may be needed for the first attempt or a retry.
    pub(super) body: Vec<u8>,
    /// The body is no longer kept, so the request cannot be retried.
    pub(super) is_body_dropped: bool,
    /// The body has been received completely.
    pub(super) is_body_complete: bool,
    /// Framing of the answer's body, once the answer has begun.
    pub(super) answer_framing: Option<Framing>,
    /// Time at which the request times out.
    pub(super) expires_at: Millis,
}

impl Exchange {
    /// Creates an exchange for a request whose head has been received.
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

    /// Returns whether an attempt can be started: the body is still kept completely, and no answer has begun.
    pub(super) fn can_be_sent(&self) -> bool {
        !self.is_body_dropped && self.answer_framing.is_none()
    }

    /// Keeps a part of the body. If an attempt is pending and the body exceeds [`MAX_REPLAY_BODY`], the body
    /// is dropped: the attempt has been given all of it, so it is only needed for a retry.
    pub(super) fn keep_body(&mut self, bytes: &[u8]) {
        if self.is_body_dropped {
            return;
        }
        self.body.extend_from_slice(bytes);
        if self.upstream.is_some() && self.body.len() > MAX_REPLAY_BODY {
            self.body = Vec::new();
            self.is_body_dropped = true;
        }
    }
}

/// An exchange with the timer for its timeout.
struct TimedExchange {
    exchange: Exchange,
    timer: TimerId,
}

/// The requests in progress and their timeouts. A request that is no longer in progress has no timer.
pub(super) struct Exchanges {
    by_request: HashMap<RequestId, TimedExchange>,
    timers: Timers<RequestId>,
}

impl Exchanges {
    /// Creates an empty collection.
    pub(super) fn new() -> Exchanges {
        Exchanges { by_request: HashMap::new(), timers: Timers::new() }
    }

    /// Adds a request and sets the timer for its timeout.
    pub(super) fn insert(&mut self, request: RequestId, exchange: Exchange) {
        let timer = self.timers.set(exchange.expires_at, request);
        self.by_request.insert(request, TimedExchange { exchange, timer });
    }

    /// Removes a request that is no longer in progress, and cancels its timer.
    pub(super) fn remove(&mut self, request: RequestId) -> Option<Exchange> {
        let TimedExchange { exchange, timer } = self.by_request.remove(&request)?;
        self.timers.cancel(timer);
        Some(exchange)
    }

    /// Returns a request in progress.
    pub(super) fn get(&self, request: RequestId) -> Option<&Exchange> {
        self.by_request.get(&request).map(|timed| &timed.exchange)
    }

    /// Returns a request in progress.
    pub(super) fn get_mut(&mut self, request: RequestId) -> Option<&mut Exchange> {
        self.by_request.get_mut(&request).map(|timed| &mut timed.exchange)
    }

    /// Returns the number of requests in progress.
    pub(super) fn len(&self) -> usize {
        self.by_request.len()
    }

    /// Returns the time at which the next request times out; `None` if no timeout is pending.
    pub(super) fn next_timeout(&self) -> Option<Millis> {
        self.timers.next_expiry()
    }

    /// Returns the next request that has timed out, once; `None` if there is none.
    pub(super) fn pop_timed_out(&mut self, now: Millis) -> Option<RequestId> {
        self.timers.pop_expired(now)
    }

    /// Returns the number of pending timers.
    pub(super) fn timer_count(&self) -> usize {
        self.timers.len()
    }
}
