//! How many connections there may be.

/// Open connections of one kind, and how many there may be.
pub struct ConnectionLimit {
    /// Those that are open.
    pub open: usize,
    /// How many may be open.
    pub max: usize,
}

impl ConnectionLimit {
    /// None is open yet.
    pub fn new(max: usize) -> ConnectionLimit {
        ConnectionLimit { open: 0, max }
    }

    /// No further connection may be opened.
    pub fn is_reached(&self) -> bool {
        self.open >= self.max
    }

    /// There are more than there may be, as the limit was lowered.
    pub fn is_exceeded(&self) -> bool {
        self.open > self.max
    }
}
