//! State of connections to clients and workers, without their sockets.

use super::exchange::MAX_REPLAY_BODY;
use crate::direct::service::RequestId;
use crate::http::WriteBuffer;
use crate::net;
use postusher_decision::{AttemptId, WorkerId};
use postusher_direct::MessageReader;

/// Number of bytes in a connection's write buffer at which reading from the peer connection, the other one of
/// the same request, is paused.
pub(super) const WRITE_BUFFER_LIMIT: usize = MAX_REPLAY_BODY;

/// A socket of this event loop.
pub(super) type Socket = net::Socket<Role>;

/// Role of a connection.
pub(super) enum Role {
    /// A client or an operator sends requests on the connection.
    Downstream(Downstream),
    /// The scheduler sends requests to a worker on the connection.
    Upstream(Upstream),
}

impl Role {
    /// Returns the buffer of bytes to be written to the connection.
    pub(super) fn write_buffer(&self) -> &WriteBuffer {
        match self {
            Role::Downstream(downstream) => &downstream.write_buffer,
            Role::Upstream(upstream) => &upstream.write_buffer,
        }
    }

    /// Returns a mutable reference to the write buffer.
    pub(super) fn write_buffer_mut(&mut self) -> &mut WriteBuffer {
        match self {
            Role::Downstream(downstream) => &mut downstream.write_buffer,
            Role::Upstream(upstream) => &mut upstream.write_buffer,
        }
    }

    /// Returns whether the peer is a worker that has received a part of a request, and so may have answered it
    /// before its end.
    pub(super) fn may_have_been_answered(&self) -> bool {
        matches!(self, Role::Upstream(upstream) if upstream.has_written)
    }

    /// Returns whether the connection leads to a worker and no byte of its next request has been written.
    pub(super) fn is_request_unsent(&self) -> bool {
        match self {
            Role::Downstream(_) => false,
            Role::Upstream(upstream) => upstream.current_attempt.is_some() && !upstream.has_written,
        }
    }

    /// Returns whether the write buffer has reached its limit.
    pub(super) fn is_write_buffer_full(&self) -> bool {
        self.write_buffer().unsent().len() >= WRITE_BUFFER_LIMIT
    }
}

/// A connection of a client or an operator.
pub(super) struct Downstream {
    pub(super) reader: MessageReader,
    pub(super) write_buffer: WriteBuffer,
    /// The current request, once it has been passed to the service.
    pub(super) request: Option<RequestId>,
    /// The current request has been read completely.
    pub(super) is_request_read: bool,
    /// The connection closes after the current answer.
    pub(super) closes_after_answer: bool,
    /// The connection belongs to an operator.
    pub(super) is_admin: bool,
    /// The sending direction is shut down.
    pub(super) is_write_shut: bool,
}

impl Downstream {
    /// Creates a newly accepted connection.
    pub(super) fn new(is_admin: bool) -> Downstream {
        Downstream {
            reader: MessageReader::for_requests(),
            write_buffer: WriteBuffer::default(),
            request: None,
            is_request_read: true,
            closes_after_answer: false,
            is_admin,
            is_write_shut: false,
        }
    }

    /// Returns whether no request is in progress or partially received.
    pub(super) fn is_idle(&self) -> bool {
        self.request.is_none() && self.reader.is_idle()
    }
}

/// A worker of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PoolWorker {
    /// The index of the pool.
    pub(super) pool: usize,
    /// The id of the worker in that pool.
    pub(super) worker: WorkerId,
}

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestAttempt {
    pub(super) request: RequestId,
    pub(super) attempt: AttemptId,
}

/// A connection to a worker.
pub(super) struct Upstream {
    pub(super) reader: MessageReader,
    pub(super) write_buffer: WriteBuffer,
    /// The current attempt, if there is one.
    pub(super) current_attempt: Option<RequestAttempt>,
    pub(super) pool_worker: PoolWorker,
    /// The last answer received on the connection allows its reuse. If the connection then fails before the
    /// next answer begins, the worker may only have closed it while it was idle, which does not indicate its
    /// health.
    pub(super) is_reusable: bool,
    /// A part of the current request has been written.
    pub(super) has_written: bool,
    /// A part of the answer to the current request has been received.
    pub(super) has_received: bool,
}

impl Upstream {
    /// Creates a connection whose connect is in progress.
    pub(super) fn new(pool_worker: PoolWorker) -> Upstream {
        Upstream {
            reader: MessageReader::for_responses(),
            write_buffer: WriteBuffer::default(),
            current_attempt: None,
            pool_worker,
            is_reusable: false,
            has_written: false,
            has_received: false,
        }
    }
}
