//! Membership, independent of sockets: framing of state exchanges, and the JSON form of the membership view
//! and its metrics.

use crate::clock::Millis;
use crate::http::WriteBuffer;
use postusher_membership::{MemberState, MembershipView, Metrics, MAX_STATE_BYTES, PART_KINDS};
use serde::{Serialize, Serializer};
use std::net::SocketAddr;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// Timeout of a state exchange, from the opening of its connection.
pub const EXCHANGE_TIMEOUT: Millis = 2_500.0;

/// Names of the kinds of message parts in `GET /stats`, in the order of [`Metrics::parts_sent`].
const PART_KIND_NAMES: [&str; PART_KINDS] =
    ["ping", "ack", "ask", "proof", "record", "accusation", "claim", "held"];

/// Role of this member in a state exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeRole {
    /// This member opened the connection and sends its state first.
    Initiator,
    /// The other member opened the connection; this member answers with its state.
    Responder,
}

/// A connection over which two members exchange their states. Each sends one state, preceded by its length as
/// a big-endian 32-bit number.
pub struct StateExchange {
    /// The role of this member.
    pub role: ExchangeRole,
    /// Received bytes of the state, with its length prefix.
    inbox: Vec<u8>,
    /// Bytes that have not been written to the socket yet.
    pub write_buffer: WriteBuffer,
    /// Whether the state of the other member has arrived.
    has_received_state: bool,
}

/// Error for a state that exceeds the maximum length.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("state of {bytes} bytes exceeds the maximum of {MAX_STATE_BYTES} bytes")]
pub struct StateTooLong {
    /// Length of the state, as announced by its sender.
    pub bytes: usize,
}

impl StateExchange {
    /// Creates an exchange on a new connection.
    pub fn new(role: ExchangeRole) -> StateExchange {
        StateExchange {
            role,
            inbox: Vec::new(),
            write_buffer: WriteBuffer::default(),
            has_received_state: false,
        }
    }

    /// Queues the state of this member for sending.
    pub fn send_state(&mut self, state: &[u8]) {
        self.write_buffer.append(&(state.len() as u32).to_be_bytes());
        self.write_buffer.append(state);
    }

    /// Processes received bytes. Returns the state of the other member once it is complete.
    ///
    /// # Errors
    /// Returns an error if the state is too long; the connection must be closed then.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Option<Vec<u8>>, StateTooLong> {
        if self.has_received_state {
            return Ok(None); // Each member sends only one state on a connection.
        }
        self.inbox.extend(bytes);
        let Some((length, rest)) = self.inbox.split_first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_STATE_BYTES {
            return Err(StateTooLong { bytes: length });
        }
        let Some(state) = rest.get(..length) else { return Ok(None) };
        self.has_received_state = true;
        Ok(Some(state.to_vec()))
    }
}

/// JSON form of the answer to `GET /members`.
#[derive(Serialize)]
struct MembershipForm<'a> {
    name: &'a str,
    #[serde(rename = "view")]
    view_version: u64,
    #[serde(rename = "minority")]
    is_minority: bool,
    members: Vec<MemberForm<'a>>,
}

/// JSON form of a member.
#[derive(Serialize)]
struct MemberForm<'a> {
    name: &'a str,
    zone: &'a str,
    addr: SocketAddr,
    incarnation: u64,
    state: &'static str,
}

/// Returns the name of a member's state on the admin interface.
fn state_name(state: MemberState) -> &'static str {
    match state {
        MemberState::Alive => "alive",
        MemberState::Suspect => "suspect",
        MemberState::Removed => "gone",
        MemberState::Left => "left",
    }
}

/// Returns the membership view as JSON, for `GET /members`.
pub fn members_json(view: &MembershipView) -> String {
    let mut members = Vec::with_capacity(view.members.len());
    for member in &view.members {
        members.push(MemberForm {
            name: &member.record.name,
            zone: &member.record.zone,
            addr: member.record.addr,
            incarnation: member.record.incarnation,
            state: state_name(member.state()),
        });
    }
    let form = MembershipForm {
        name: &view.name,
        view_version: view.version,
        is_minority: view.is_minority,
        members,
    };
    // Strings and numbers can always be serialized.
    serde_json::to_string(&form).unwrap_or_default()
}

/// Metrics of membership in `GET /stats`. Except for the current members and `is_minority`, these are the
/// fields of [`Metrics`].
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct MembersGauges {
    alive: usize,
    suspect: usize,
    #[serde(rename = "minority")]
    is_minority: bool,
    #[serde(rename = "probes")]
    pings: u64,
    #[serde(rename = "missed")]
    missed_acks: u64,
    #[serde(rename = "indirect")]
    ping_requests: u64,
    #[serde(rename = "suspected")]
    accusations: u64,
    #[serde(rename = "refuted")]
    refutations: u64,
    #[serde(rename = "removed")]
    removals: u64,
    false_removals: u64,
    #[serde(rename = "sent", serialize_with = "serialize_by_kind")]
    parts_sent: [u64; PART_KINDS],
    datagrams_sent: u64,
    #[serde(rename = "datagrams_taken")]
    datagrams_received: u64,
    bytes_sent: u64,
    #[serde(rename = "exchanges")]
    state_exchanges: u64,
    #[serde(rename = "garbage")]
    decode_errors: u64,
    #[serde(rename = "woken_late_ms")]
    late_millis: u64,
}

/// Serializes the numbers of message parts as a map with the names of their kinds.
fn serialize_by_kind<S: Serializer>(parts: &[u64; PART_KINDS], serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_map(PART_KIND_NAMES.iter().zip(parts))
}

impl MembersGauges {
    /// Creates the gauges from the view and the metrics of a member.
    pub fn new(view: &MembershipView, metrics: Metrics) -> MembersGauges {
        let count = |state: MemberState| view.members.iter().filter(|member| member.state() == state).count();
        MembersGauges {
            alive: count(MemberState::Alive),
            suspect: count(MemberState::Suspect),
            is_minority: view.is_minority,
            pings: metrics.pings,
            missed_acks: metrics.missed_acks,
            ping_requests: metrics.ping_requests,
            accusations: metrics.accusations,
            refutations: metrics.refutations,
            removals: metrics.removals,
            false_removals: metrics.false_removals,
            parts_sent: metrics.parts_sent,
            datagrams_sent: metrics.datagrams_sent,
            datagrams_received: metrics.datagrams_received,
            bytes_sent: metrics.bytes_sent,
            state_exchanges: metrics.state_exchanges,
            decode_errors: metrics.decode_errors,
            late_millis: metrics.late_millis,
        }
    }
}
