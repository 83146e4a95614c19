//! Records that members exchange about each other, and their precedence.

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

/// The hash of a member's name, which identifies the member in accusations and on the rings.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberId(pub u64);

impl MemberId {
    /// Returns the id of a name: its FNV-1a hash, followed by a bit mixer. It must be the same at every
    /// member and in every version.
    pub fn of(name: &str) -> MemberId {
        let mut hash = FNV_OFFSET;
        for byte in name.bytes() {
            hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
        }
        MemberId(mix(hash))
    }
}

/// Identifies one process among those with the same name. The instance with the lower first incarnation is
/// the older one; if both joined with the same incarnation, the one with the lower nonce counts as older.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The incarnation with which the process joined; 0 before it has joined.
    pub first_incarnation: u64,
    /// A random number that distinguishes processes with the same first incarnation.
    pub nonce: u64,
}

/// The status of a member at an incarnation. At the same incarnation, the status that is declared later here
/// takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberStatus {
    /// The member is running.
    Alive,
    /// The member did not acknowledge pings and was removed because a quorum of its observers accused it.
    Removed,
    /// The member has left the cluster.
    Left,
}

/// The record of a member, as exchanged between members.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The name of the member.
    pub name: String,
    /// The zone in which the member runs.
    pub zone: String,
    /// The address at which other members reach it.
    pub addr: SocketAddr,
    /// The process that uses the name.
    pub instance: Instance,
    /// The incarnation, increased with each refutation and each start.
    pub incarnation: u64,
    /// The status of the member.
    pub status: MemberStatus,
}

impl MemberRecord {
    /// Returns the id of the member's name.
    pub fn id(&self) -> MemberId {
        MemberId::of(&self.name)
    }

    /// Returns whether this record takes precedence over another one for the same name. If two processes have
    /// the same incarnation and status, the older process takes precedence, so that all members agree.
    pub fn supersedes(&self, other: &MemberRecord) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (u64, MemberStatus, Reverse<Instance>) {
        (self.incarnation, self.status, Reverse(self.instance))
    }
}
