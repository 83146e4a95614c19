//! What members tell of one another, and which of two records counts.

use crate::random::mix;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::net::SocketAddr;

#[cfg(test)]
mod tests;

/// The offset basis of the 64-bit FNV hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
/// The prime of the 64-bit FNV hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// A hash of a member's name, by which accusations and rings refer to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// The id of a name: its FNV-1a hash, with the bits mixed once more; the same at every member and in every version.
    pub fn of(name: &str) -> MemberId {
        let mut hash = FNV_OFFSET;
        for byte in name.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
        MemberId(mix(hash))
    }
}

/// One process under a name; another process under the same name is another instance. The one that began at the lower
/// incarnation is the older one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The incarnation that it began with; 0 before it has joined.
    pub first_incarnation: u64,
    /// A random number.
    pub nonce: u64,
}

/// What is believed of a member at an incarnation. At the same incarnation the later of these counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    /// It runs.
    Alive,
    /// Its observers had no proof of life and have removed it.
    Removed,
    /// It said that it ends.
    Left,
}

/// All that is told of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// Where other members reach it.
    pub addr: SocketAddr,
    /// Which process it is.
    pub instance: Instance,
    /// Rises with each refutation and each start.
    pub incarnation: u64,
    /// What is believed of it.
    pub status: MemberStatus,
}

impl MemberRecord {
    /// The id of the member's name.
    pub fn id(&self) -> MemberId {
        MemberId::of(&self.name)
    }

    /// Whether this record counts, of two for one name. Two processes may be at the same incarnation: then the older one
    /// counts, at every member alike.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (u64, MemberStatus, Reverse<Instance>) {
        (self.incarnation, self.status, Reverse(self.instance))
    }
}
