//! Datagrams and complete states as bytes.
//!
//! A message is `PM`, a version, the cluster's name after its length and the sender's id; then parts, each with its kind,
//! its length and its content. Later versions may add kinds of parts, or fields at the end of a part: a reader skips what
//! it does not know.

use crate::accusations::Accusation;
use crate::metrics::PART_KINDS;
use crate::record::{Instance, MemberId, MemberRecord};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// The protocol version that this program writes.
pub const PROTOCOL_VERSION: u8 = 1;
/// The longest datagram, in bytes: it passes every usual link in one piece.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// The longest complete state, in bytes: some ten thousand members.
pub const MAX_STATE_BYTES: usize = 1 << 20;

/// The first bytes of each message.
const MAGIC: [u8; 2] = *b"PM";
/// The bytes of a part before its content: its kind and its length.
const PART_HEADER_BYTES: usize = 3;
/// The longest name of a cluster, in bytes; what is longer is cut.
const MAX_CLUSTER_BYTES: usize = 255;
/// The kinds of parts that this version knows; their numbers count from 1.
const KNOWN_KINDS: std::ops::RangeInclusive<u8> = 1..=PART_KINDS as u8;

/// One part of a message. The encoding depends on the order of the variants and of their fields.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessagePart {
    /// Asks the member `to` for an [`MessagePart::Ack`].
    Ping { nonce: u64, to: MemberId },
    /// Answers a ping.
    Ack { nonce: u64 },
    /// Asks the receiver to ping `subject` in the sender's place.
    PingRequest { nonce: u64, subject: MemberId, addr: SocketAddr },
    /// Answers a ping request: the subject has sent an ack.
    IndirectAck { nonce: u64 },
    /// What is told of a member.
    Record(MemberRecord),
    /// What an observer says of a member.
    Accusation(Accusation),
    /// A process of this name asks whether another one holds the name.
    NameClaim { name: MemberId, instance: Instance },
    /// Answers a name claim: this process holds the name.
    NameHeld { name: MemberId, instance: Instance },
}

impl MessagePart {
    fn kind(&self) -> u8 {
        match self {
            MessagePart::Ping { .. } => 1,
            MessagePart::Ack { .. } => 2,
            MessagePart::PingRequest { .. } => 3,
            MessagePart::IndirectAck { .. } => 4,
            MessagePart::Record(_) => 5,
            MessagePart::Accusation(_) => 6,
            MessagePart::NameClaim { .. } => 7,
            MessagePart::NameHeld { .. } => 8,
        }
    }
}

/// Whether a part fitted into a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddOutcome {
    /// It is part of the message.
    Added,
    /// It does not fit, and the message is as before.
    NoRoom,
}

/// Encodes a message of limited length.
pub struct MessageWriter {
    bytes: Vec<u8>,
    max_bytes: usize,
    /// The parts that were added, by kind.
    pub parts: [u64; PART_KINDS],
}

impl MessageWriter {
    /// A message without parts.
    pub fn new(cluster: &str, sender: MemberId, max_bytes: usize) -> MessageWriter {
        let mut bytes = MAGIC.to_vec();
        bytes.push(PROTOCOL_VERSION);
        bytes.push(cluster.len().min(MAX_CLUSTER_BYTES) as u8);
        bytes.extend(cluster.bytes().take(MAX_CLUSTER_BYTES));
        bytes.extend(sender.0.to_be_bytes());
        MessageWriter { bytes, max_bytes, parts: [0; PART_KINDS] }
    }

    /// Adds a part, if there is room for it.
    pub fn add(&mut self, part: &MessagePart) -> AddOutcome {
        let Ok(content) = postcard::to_allocvec(part) else { return AddOutcome::NoRoom };
        let Ok(length) = u16::try_from(content.len()) else { return AddOutcome::NoRoom };
        if self.bytes.len() + PART_HEADER_BYTES + content.len() > self.max_bytes {
            return AddOutcome::NoRoom;
        }
        self.bytes.push(part.kind());
        self.bytes.extend(length.to_be_bytes());
        self.bytes.extend(content);
        self.parts[usize::from(part.kind()) - 1] += 1;
        AddOutcome::Added
    }

    /// The encoded message.
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }
}

/// Why a message is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// It does not begin as messages do.
    #[error("not a message of this protocol")]
    NotAMessage,
    /// It is cut off.
    #[error("the message is cut off")]
    Truncated,
    /// It is another cluster's.
    #[error("a message of another cluster")]
    OtherCluster,
    /// A part of a known kind has another content.
    #[error("a part of kind {kind} cannot be decoded")]
    MalformedPart {
        /// The kind.
        kind: u8,
    },
}

/// A decoded message.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender.
    pub sender: MemberId,
    /// The parts that this version knows.
    pub parts: Vec<MessagePart>,
}

/// Decodes a message of a cluster.
///
/// # Errors
/// Why the message is to be dropped.
pub fn decode(bytes: &[u8], cluster: &str) -> Result<Message, DecodeError> {
    let rest = bytes.strip_prefix(&MAGIC).ok_or(DecodeError::NotAMessage)?;
    let [version, cluster_length, rest @ ..] = rest else { return Err(DecodeError::Truncated) };
    if *version == 0 {
        return Err(DecodeError::NotAMessage);
    }
    let cluster_length = usize::from(*cluster_length);
    let (name, rest) = rest.split_at_checked(cluster_length).ok_or(DecodeError::Truncated)?;
    if name != cluster.as_bytes() {
        return Err(DecodeError::OtherCluster);
    }
    let (sender, mut rest) = rest.split_first_chunk::<8>().ok_or(DecodeError::Truncated)?;
    let mut parts = Vec::new();
    while let [kind, length_high, length_low, after_header @ ..] = rest {
        let length = usize::from(u16::from_be_bytes([*length_high, *length_low]));
        let (content, after_part) = after_header.split_at_checked(length).ok_or(DecodeError::Truncated)?;
        rest = after_part;
        if KNOWN_KINDS.contains(kind) {
            let (part, _) = postcard::take_from_bytes::<MessagePart>(content)
                .map_err(|_| DecodeError::MalformedPart { kind: *kind })?;
            // A part whose content is of another kind is skipped.
            if part.kind() == *kind {
                parts.push(part);
            }
        }
    }
    if !rest.is_empty() {
        return Err(DecodeError::Truncated);
    }
    Ok(Message { sender: MemberId(u64::from_be_bytes(*sender)), parts })
}
