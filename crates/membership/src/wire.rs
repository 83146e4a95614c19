//! Datagrams and whole states as bytes.
//!
//! `PM`, a version, the cluster's name behind its length, the sender's number; then parts, each with its kind, its length and
//! its content. A version that adds parts, or adds to the end of one, is understood by those before it: what a reader does
//! not know it skips.

use crate::record::{Id, Instance, Record};
use crate::roster::Accusation;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The version that this one writes.
pub const VERSION: u8 = 1;
/// A datagram is no longer: it passes every usual link in one piece.
pub const MOST_BYTES: usize = 1_400;
/// A whole state is no longer: some ten thousand members.
pub const MOST_WHOLE: usize = 1 << 20;

/// One part of a datagram.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Part {
    /// Answer, if it is you.
    Ping { nonce: u64, to: Id },
    /// The answer.
    Ack { nonce: u64 },
    /// Ping this member in my place.
    Ask { nonce: u64, subject: Id, addr: SocketAddr },
    /// It has answered.
    Proof { nonce: u64 },
    /// What is told of a member.
    Record(Record),
    /// What an observer says.
    Accusation(Accusation),
    /// A process of this name asks whether another one lives.
    Claim { name: Id, instance: Instance },
    /// It does.
    Held { name: Id, instance: Instance },
}

impl Part {
    fn kind(&self) -> u8 {
        match self {
            Part::Ping { .. } => 1,
            Part::Ack { .. } => 2,
            Part::Ask { .. } => 3,
            Part::Proof { .. } => 4,
            Part::Record(_) => 5,
            Part::Accusation(_) => 6,
            Part::Claim { .. } => 7,
            Part::Held { .. } => 8,
        }
    }
}

/// A message being written, up to a length.
pub struct Writer {
    bytes: Vec<u8>,
    most: usize,
    /// Parts by kind.
    pub parts: [u64; 8],
}

impl Writer {
    /// With its head.
    pub fn new(cluster: &str, from: Id, most: usize) -> Writer {
        let mut bytes = vec![b'P', b'M', VERSION, cluster.len().min(255) as u8];
        bytes.extend(cluster.bytes().take(255));
        bytes.extend(from.0.to_be_bytes());
        Writer { bytes, most, parts: [0; 8] }
    }

    /// Adds a part, if there is room for it.
    pub fn add(&mut self, part: &Part) -> bool {
        let Ok(content) = postcard::to_allocvec(part) else { return false };
        let fits =
            self.bytes.len() + 3 + content.len() <= self.most && content.len() <= usize::from(u16::MAX);
        if fits {
            self.bytes.push(part.kind());
            self.bytes.extend((content.len() as u16).to_be_bytes());
            self.bytes.extend(content);
            self.parts[usize::from(part.kind()) - 1] += 1;
        }
        fits
    }

    /// The whole message.
    pub fn finish(self) -> Vec<u8> {
        self.bytes
    }
}

/// What cannot be read, or is not meant for this cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Garbage;

/// Reads a message: its sender, and the parts that this version knows.
///
/// # Errors
/// It is none, it is cut off, or it is another cluster's.
pub fn read(bytes: &[u8], cluster: &str) -> Result<(Id, Vec<Part>), Garbage> {
    let [b'P', b'M', version, len, rest @ ..] = bytes else { return Err(Garbage) };
    let (name, rest) = rest.split_at_checked(usize::from(*len)).ok_or(Garbage)?;
    if *version == 0 || name != cluster.as_bytes() {
        return Err(Garbage);
    }
    let (from, mut rest) = rest.split_first_chunk::<8>().ok_or(Garbage)?;
    let mut parts = Vec::new();
    while let [kind, high, low, left @ ..] = rest {
        let len = usize::from(u16::from_be_bytes([*high, *low]));
        let (content, left) = left.split_at_checked(len).ok_or(Garbage)?;
        rest = left;
        if (1..=8).contains(kind) {
            let (part, _) = postcard::take_from_bytes::<Part>(content).map_err(|_| Garbage)?;
            parts.extend((part.kind() == *kind).then_some(part));
        }
    }
    if rest.is_empty() {
        Ok((Id(u64::from_be_bytes(*from)), parts))
    } else {
        Err(Garbage)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::Standing;
    use proptest::prelude::*;

    fn record(name: &str) -> Record {
        let (instance, standing) = (Instance { born: 3, number: 77 }, Standing::Alive);
        let addr = "127.0.0.1:7946".parse().unwrap();
        Record { name: name.into(), zone: "lamia".into(), addr, instance, incarnation: 5, standing }
    }

    fn message() -> Vec<u8> {
        let mut w = Writer::new("demo", Id(9), MOST_BYTES);
        assert!(w.add(&Part::Ping { nonce: 1, to: Id(2) }) && w.add(&Part::Record(record("a1"))));
        w.finish()
    }

    #[test]
    fn what_was_written_is_read_by_its_cluster_alone() {
        let (from, parts) = read(&message(), "demo").unwrap();
        assert_eq!((from, parts.len(), &parts[1]), (Id(9), 2, &Part::Record(record("a1"))));
        assert_eq!(read(&message(), "other"), Err(Garbage));
    }

    #[test]
    fn a_newer_version_may_add_parts_and_add_to_parts() {
        let mut newer = message();
        newer[2] = VERSION + 1;
        newer.extend([200, 0, 2, 7, 7]); // a kind that nobody knows here
        let longer = postcard::to_allocvec(&Part::Ack { nonce: 4 }).unwrap();
        newer.extend([2, 0, longer.len() as u8 + 1]);
        newer.extend(longer.iter().chain(&[9]));
        assert_eq!(read(&newer, "demo").unwrap().1[2], Part::Ack { nonce: 4 });
    }

    #[test]
    fn a_datagram_never_grows_over_its_length() {
        let mut w = Writer::new("demo", Id(9), MOST_BYTES);
        let added = (0..100).take_while(|n| w.add(&Part::Record(record(&format!("member-{n}"))))).count();
        assert!(added > 20 && w.finish().len() <= MOST_BYTES, "{added}");
    }

    #[test]
    fn every_cut_of_a_message_is_garbage_or_shorter_and_no_panic() {
        let whole = message();
        let fewer =
            (0..whole.len()).filter(|n| read(&whole[..*n], "demo").is_ok_and(|(_, p)| p.len() < 2)).count();
        assert_eq!(fewer, 2, "only between parts");
    }

    proptest! {
        #[test]
        fn nothing_from_outside_can_break_the_reader(mut bytes in prop::collection::vec(any::<u8>(), 0..200), at in 0usize..60, with: u8) {
            let _ = read(&bytes, "demo");
            bytes.splice(0..0, message());
            let at = at.min(bytes.len() - 1);
            bytes[at] = with;
            let _ = read(&bytes, "demo");
        }
    }
}
