//! Wire format of datagrams and complete states.
//!
//! A message consists of the bytes `PM`, the protocol version (1 byte), the length of the cluster's name in
//! bytes (1 byte), the name, the sender's id (8 bytes) and the parts. Each part consists of its kind (1
//! byte), the length of its content in bytes (2 bytes) and the content, a [`MessagePart`] in the postcard
//! format. Integers outside the content are big-endian. Later versions may add kinds of parts, or fields at
//! the end of a part: a decoder skips unknown kinds and fields.

use crate::accusations::Accusation;
use crate::metrics::PART_KINDS;
use crate::record::{Instance, MemberId, MemberRecord};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

#[cfg(test)]
mod tests;

/// The protocol version of encoded messages.
pub const PROTOCOL_VERSION: u8 = 1;
/// Maximum length of a datagram, in bytes: small enough to pass all common links without fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;
/// Maximum length of a complete state, in bytes: enough for about ten thousand members.
pub const MAX_STATE_BYTES: usize = 1 << 20;

/// The first bytes of each message.
const MAGIC: [u8; 2] = *b"PM";
/// The length of a part's header, in bytes: its kind and the length of its content.
const PART_HEADER_BYTES: usize = 3;
/// Maximum length of a cluster name, in bytes. A longer name is truncated in encoded messages, which even
/// members of the same cluster then drop, because decoding compares the whole name.
const MAX_CLUSTER_BYTES: usize = 255;
/// The kinds of parts that this version can decode.
const KNOWN_KINDS: std::ops::RangeInclusive<u8> = 1..=PART_KINDS as u8;

/// A part of a message. The order of the variants and of their fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MessagePart {
    /// Asks the member `to` for a [`MessagePart::Ack`].
    Ping { nonce: u64, to: MemberId },
    /// Answers a ping.
    Ack { nonce: u64 },
    /// Asks the receiver to ping `subject` on behalf of the sender.
    PingRequest { nonce: u64, subject: MemberId, addr: SocketAddr },
    /// Answers a ping request: the subject has acknowledged the ping.
    IndirectAck { nonce: u64 },
    /// The record of a member.
    Record(MemberRecord),
    /// An observer's accusation of a member, or its withdrawal.
    Accusation(Accusation),
    /// Sent by a process with this name: asks whether the receiver holds the name.
    NameClaim { name: MemberId, instance: Instance },
    /// Answers a name claim: the sender holds the name.
    NameHeld { name: MemberId, instance: Instance },
}

impl MessagePart {
    /// Returns the number of the part's kind in the wire format.
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

/// The result of adding a part to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AddOutcome {
    /// The part was added.
    Added,
    /// The part does not fit; the message is unchanged.
    DoesNotFit,
}

/// Encoder of a message of limited length.
pub struct MessageWriter {
    bytes: Vec<u8>,
    max_bytes: usize,
    /// The number of parts added, by kind; kind 1 is at index 0.
    pub part_counts: [u64; PART_KINDS],
}

impl MessageWriter {
    /// Creates a message without parts.
    pub fn new(cluster: &str, sender: MemberId, max_bytes: usize) -> MessageWriter {
        let mut bytes = MAGIC.to_vec();
        bytes.push(PROTOCOL_VERSION);
        bytes.push(cluster.len().min(MAX_CLUSTER_BYTES) as u8);
        bytes.extend(cluster.bytes().take(MAX_CLUSTER_BYTES));
        bytes.extend(sender.0.to_be_bytes());
        MessageWriter { bytes, max_bytes, part_counts: [0; PART_KINDS] }
    }

    /// Adds a part if it fits.
    pub fn add(&mut self, part: &MessagePart) -> AddOutcome {
        let Ok(content) = postcard::to_allocvec(part) else { return AddOutcome::DoesNotFit };
        let Ok(length) = u16::try_from(content.len()) else { return AddOutcome::DoesNotFit };
        if self.bytes.len() + PART_HEADER_BYTES + content.len() > self.max_bytes {
            return AddOutcome::DoesNotFit;
        }
        self.bytes.push(part.kind());
        self.bytes.extend(length.to_be_bytes());
        self.bytes.extend(content);
        self.part_counts[usize::from(part.kind()) - 1] += 1;
        AddOutcome::Added
    }

    /// Returns the encoded message.
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }
}

/// The reason why a message cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The message does not start with the magic bytes and a valid version.
    #[error("not a message of this protocol")]
    NotAMessage,
    /// The message is truncated.
    #[error("the message is truncated")]
    Truncated,
    /// The message belongs to another cluster.
    #[error("the message belongs to another cluster")]
    OtherCluster,
    /// The content of a part of a known kind cannot be decoded.
    #[error("a part of kind {kind} cannot be decoded")]
    MalformedPart {
        /// The kind of the part.
        kind: u8,
    },
}

/// A decoded message.
#[derive(Clone, Debug, PartialEq)]
pub struct Message {
    /// The sender.
    pub sender: MemberId,
    /// The parts of the kinds that this version can decode.
    pub parts: Vec<MessagePart>,
}

/// Decodes a message of a cluster.
///
/// # Errors
/// Returns the reason why the message must be dropped.
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
            // A part whose content does not match its kind is skipped.
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
