//! The name of a connection, for those that speak of connections without having them.

/// Names a connection for as long as it lives; its slot may be used again by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId {
    /// Where the event loop keeps it.
    pub slot: usize,
    /// See [`ConnectionId::number`].
    pub serial: u64,
}

impl ConnectionId {
    /// A number that no other connection of this process ever has.
    pub fn number(self) -> u64 {
        self.serial
    }
}

#[cfg(test)]
impl ConnectionId {
    /// A key where there are no sockets.
    pub fn test(serial: u64) -> ConnectionId {
        ConnectionId { slot: 0, serial }
    }
}
