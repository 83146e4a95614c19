//! Ids of connections, for modules that refer to connections without owning them.

/// Identifies a connection. Its slot may be used again by another connection, which has another serial number
/// then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId {
    /// Where the event loop keeps the connection.
    pub slot: usize,
    /// See [`ConnectionId::number`].
    pub serial: u64,
}

impl ConnectionId {
    /// A number that no other connection of this process has.
    pub fn number(self) -> u64 {
        self.serial
    }

    /// The id of a connection without a socket.
    #[cfg(test)]
    pub fn test(serial: u64) -> ConnectionId {
        ConnectionId { slot: 0, serial }
    }
}
