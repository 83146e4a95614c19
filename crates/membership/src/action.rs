//! Actions that a member returns to its host.

use std::net::SocketAddr;
use thiserror::Error;

/// An action that the host must carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    SendDatagram {
        /// The address of the receiver.
        to: SocketAddr,
        /// The encoded message.
        bytes: Vec<u8>,
    },
    /// Exchange complete states: send what [`Member::encode_state`](crate::Member::encode_state) returns and
    /// pass the answer to [`Member::merge_state`](crate::Member::merge_state).
    ExchangeState {
        /// The address of the other member.
        with: SocketAddr,
    },
    /// Terminate the process: the member no longer participates in the cluster.
    Terminate {
        /// The reason for the termination.
        reason: TerminationReason,
    },
}

/// The reason why a member no longer participates: its name belongs to another process.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TerminationReason {
    /// An older process with the same name claims it.
    #[error("{name}: a process that began before this one has its name")]
    ClaimedByOlder {
        /// The name.
        name: String,
    },
    /// Another running process has joined under the name.
    #[error("{name}: another process that runs has its name")]
    HeldByOther {
        /// The name.
        name: String,
    },
}
