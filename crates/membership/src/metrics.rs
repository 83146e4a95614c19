//! What a member counts.

/// The number of kinds of [message parts](crate::Metrics::parts_sent).
pub const PART_KINDS: usize = 8;

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Pings sent to members that it observes.
    pub pings: u64,
    /// Those of them that had no answer.
    pub missed_acks: u64,
    /// Members asked to ping in its place.
    pub ping_requests: u64,
    /// Accusations made.
    pub accusations: u64,
    /// Accusations and removals of itself that it has refuted.
    pub refutations: u64,
    /// Members that it has removed, by its own count of accusations.
    pub removals: u64,
    /// Members that were removed and then said that they never ended.
    pub false_removals: u64,
    /// Parts of the datagrams sent, by kind: ping, ack, ping request, indirect ack, record, accusation, name claim, name
    /// held.
    pub parts_sent: [u64; PART_KINDS],
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Datagrams received and decoded.
    pub datagrams_received: u64,
    /// Bytes of the datagrams sent.
    pub bytes_sent: u64,
    /// Complete states sent.
    pub state_exchanges: u64,
    /// Messages dropped because they could not be decoded or were another cluster's.
    pub decode_errors: u64,
    /// Milliseconds by which its timers ran late.
    pub late_millis: u64,
}
