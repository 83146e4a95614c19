//! What a member asks of its host.

use std::net::SocketAddr;
use thiserror::Error;

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    SendDatagram {
        /// The receiver.
        to: SocketAddr,
        /// The content.
        bytes: Vec<u8>,
    },
    /// Exchange complete states: send what [`Member::encode_state`](crate::Member::encode_state) returns and pass the
    /// answer to [`Member::merge_state`](crate::Member::merge_state).
    ExchangeState {
        /// The other member.
        with: SocketAddr,
    },
    /// End the process: the member takes no part any more.
    Terminate {
        /// Why.
        reason: TerminationReason,
    },
}

/// Why a member takes no part any more: its name belongs to another process.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum TerminationReason {
    /// A process that began earlier claims the name.
    #[error("{name}: a process that began before this one has its name")]
    ClaimedByOlder {
        /// The name.
        name: String,
    },
    /// Another process holds the name.
    #[error("{name}: another process that runs has its name")]
    HeldByOther {
        /// The name.
        name: String,
    },
}
