//! Limits on the number of connections.

/// Number of open connections of one kind, and its limit.
pub struct ConnectionLimit {
    /// Number of open connections.
    pub open: usize,
    /// Maximum number of open connections.
    pub max: usize,
}

impl ConnectionLimit {
    /// Creates a limit with no open connections.
    pub fn new(max: usize) -> ConnectionLimit {
        ConnectionLimit { open: 0, max }
    }

    /// Returns whether no further connection may be opened.
    pub fn is_reached(&self) -> bool {
        self.open >= self.max
    }

    /// Returns whether more connections are open than the limit allows, after it has been lowered.
    pub fn is_exceeded(&self) -> bool {
        self.open > self.max
    }
}
