//! Ids of connections, for modules that refer to connections without owning them.

/// Identifies a connection. A later connection may reuse the slot, but has a different serial number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ConnectionId {
    /// The slot of the event loop that holds the connection.
    pub slot: usize,
    /// Number that no other connection of this process has.
    pub serial: u64,
}

impl ConnectionId {
    /// Returns the serial number, which identifies the connection without its slot.
    pub fn number(self) -> u64 {
        self.serial
    }

    /// Returns an id for tests in which no socket exists.
    #[cfg(test)]
    pub fn test(serial: u64) -> ConnectionId {
        ConnectionId { slot: 0, serial }
    }
}
