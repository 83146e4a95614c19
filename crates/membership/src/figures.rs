//! What a member counts.

/// The kinds of what is sent, in order.
pub const KINDS: [&str; 8] = ["ping", "ack", "ask", "proof", "record", "accusation", "claim", "held"];

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Pings sent on own account.
    pub probes: u64,
    /// Pings that had no answer.
    pub missed: u64,
    /// Others asked to ping in its place.
    pub indirect: u64,
    /// Accusations made.
    pub suspected: u64,
    /// Accusations of itself, and words that it is gone, that it has refuted.
    pub refuted: u64,
    /// Members that it has found to be gone, by its own count of accusations.
    pub removed: u64,
    /// Processes that were gone by its view and then said that they never ended.
    pub false_removals: u64,
    /// What was in the datagrams sent, by kind, as in [`KINDS`].
    pub parts: [u64; 8],
    /// Datagrams sent.
    pub datagrams: u64,
    /// And taken.
    pub taken: u64,
    /// Their bytes, sent.
    pub bytes: u64,
    /// Whole states exchanged.
    pub exchanges: u64,
    /// What could not be read or was another cluster's, dropped.
    pub garbage: u64,
    /// Milliseconds for which it was woken too late.
    pub slept: u64,
}
