//! Metrics of a member.

/// The number of kinds of [message parts](crate::Metrics::parts_sent).
pub const PART_KINDS: usize = 8;

/// Counters since the start of the member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Pings sent to observed members.
    pub pings: u64,
    /// Pings to observed members that were not answered.
    pub missed_acks: u64,
    /// Ping requests sent to relays.
    pub ping_requests: u64,
    /// Accusations made by this member; repetitions of an accusation are not counted.
    pub accusations: u64,
    /// Refutations, by this member, of accusations against it and of records of it that it did not announce,
    /// such as removals.
    pub refutations: u64,
    /// Removals that this member has decided itself, because it counted a quorum of accusations.
    pub removals: u64,
    /// Removals that proved false: the removed member announced that its process had not stopped.
    pub false_removals: u64,
    /// Parts of the datagrams sent, by kind: ping, ack, ping request, indirect ack, record, accusation, name
    /// claim, name held.
    pub parts_sent: [u64; PART_KINDS],
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Datagrams received and decoded.
    pub datagrams_received: u64,
    /// Bytes of the datagrams sent.
    pub bytes_sent: u64,
    /// Complete states encoded for an exchange.
    pub state_exchanges: u64,
    /// Messages dropped because they could not be decoded or belonged to another cluster.
    pub decode_errors: u64,
    /// Sum of the pauses by which stored times were shifted, in milliseconds. A pause is the time by which
    /// the timer ran late.
    pub late_millis: u64,
}
