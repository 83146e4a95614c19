//! Roles of the connections of the event loop.

use crate::discovery;
use crate::downstream;
use crate::http::WriteBuffer;
use crate::membership::StateExchange;
use crate::net;
use crate::upstream::{self, Task};
use postusher_decision::JobId;

/// A socket of this event loop.
pub(super) type Socket = net::Socket<Role>;

/// Role of a connection, with its protocol state.
pub(super) enum Role {
    /// A client submits jobs, or a worker sends job status updates. Holds the job whose answer the client
    /// waits for, if any.
    Downstream(downstream::Connection, Option<JobId>),
    /// An operator sends a request to the admin interface.
    Admin(downstream::Connection),
    /// The scheduler sends requests to a worker.
    Upstream(upstream::Connection),
    /// The scheduler calls discovery.
    Discovery(discovery::Connection),
    /// A state exchange with another member.
    StateExchange(StateExchange),
}

impl Role {
    /// Returns the buffer of bytes to be written to the connection.
    pub(super) fn write_buffer(&mut self) -> &mut WriteBuffer {
        match self {
            Role::Downstream(connection, _) | Role::Admin(connection) => &mut connection.write_buffer,
            Role::Upstream(connection) => &mut connection.write_buffer,
            Role::Discovery(connection) => &mut connection.write_buffer,
            Role::StateExchange(connection) => &mut connection.write_buffer,
        }
    }

    /// Returns the state of an HTTP connection that a client, a worker or an operator has opened.
    pub(super) fn server_side(&self) -> Option<&downstream::Connection> {
        match self {
            Role::Downstream(connection, _) | Role::Admin(connection) => Some(connection),
            Role::Upstream(_) | Role::Discovery(_) | Role::StateExchange(_) => None,
        }
    }

    /// Returns the same state as [`Role::server_side`], mutably.
    pub(super) fn server_side_mut(&mut self) -> Option<&mut downstream::Connection> {
        match self {
            Role::Downstream(connection, _) | Role::Admin(connection) => Some(connection),
            Role::Upstream(_) | Role::Discovery(_) | Role::StateExchange(_) => None,
        }
    }

    /// Returns the state of a connection that a client or a worker has opened.
    pub(super) fn downstream(&self) -> Option<&downstream::Connection> {
        match self {
            Role::Downstream(connection, _) => Some(connection),
            _ => None,
        }
    }

    /// Returns the memory that requests and answers on the connection take, in bytes. Lists and state exchanges
    /// have limits of their own and do not count.
    pub(super) fn held_bytes(&self) -> usize {
        match self {
            Role::Downstream(connection, _) | Role::Admin(connection) => connection.held_bytes(),
            Role::Upstream(connection) => connection.held_bytes(),
            Role::Discovery(_) | Role::StateExchange(_) => 0,
        }
    }

    /// Returns whether the connection has work that the process must finish before it exits.
    pub(super) fn has_pending_work(&self) -> bool {
        match self {
            Role::Downstream(connection, _) => connection.has_pending_work(),
            Role::Upstream(connection) => matches!(connection.task(), Some(Task::Cancellation(_))),
            Role::Admin(connection) => !connection.write_buffer.unsent().is_empty(),
            Role::Discovery(_) | Role::StateExchange(_) => false,
        }
    }
}
