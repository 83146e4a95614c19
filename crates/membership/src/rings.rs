//! Who observes whom: all members on several hash rings, each observed by its successors.

use crate::random::{mix, GOLDEN_GAMMA};
use crate::record::MemberId;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// The number of rings, and of observers of a member where there are more members than that.
pub const RINGS: u64 = 10;

/// Members by their position on one ring.
type Ring = BTreeMap<u64, MemberId>;

/// The members on their rings.
#[derive(Clone, Debug, Default)]
pub struct ObserverRings {
    members: BTreeSet<MemberId>,
    rings: BTreeMap<u64, Ring>,
}

impl ObserverRings {
    /// Adds a member.
    pub fn insert(&mut self, id: MemberId) {
        self.members.insert(id);
        for ring in 0..RINGS {
            self.rings.entry(ring).or_default().insert(position(ring, id), id);
        }
    }

    /// Removes a member.
    pub fn remove(&mut self, id: MemberId) {
        self.members.remove(&id);
        for ring in 0..RINGS {
            self.rings.entry(ring).or_default().remove(&position(ring, id));
        }
    }

    /// The number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// The members that observe a member, whether it is on the rings itself or not.
    pub fn observers(&self, subject: MemberId) -> BTreeSet<MemberId> {
        self.neighbours(subject, successor)
    }

    /// The members that a member observes.
    pub fn subjects(&self, observer: MemberId) -> BTreeSet<MemberId> {
        self.neighbours(observer, predecessor)
    }

    fn neighbours(&self, id: MemberId, neighbour: fn(&Ring, u64) -> Option<MemberId>) -> BTreeSet<MemberId> {
        let mut neighbours = BTreeSet::new();
        if self.members.len() as u64 <= RINGS + 1 {
            neighbours.extend(&self.members);
        } else {
            for (number, ring) in &self.rings {
                neighbours.extend(neighbour(ring, position(*number, id)));
            }
        }
        neighbours.remove(&id);
        neighbours
    }
}

/// The next member after a position.
fn successor(ring: &Ring, position: u64) -> Option<MemberId> {
    let (_, id) = ring.range(position + 1..).next().or_else(|| ring.first_key_value())?;
    Some(*id)
}

/// The last member before a position.
fn predecessor(ring: &Ring, position: u64) -> Option<MemberId> {
    let (_, id) = ring.range(..position).next_back().or_else(|| ring.last_key_value())?;
    Some(*id)
}

fn position(ring: u64, id: MemberId) -> u64 {
    // Never the largest number, as the search for a successor begins at the next one.
    mix(id.0 ^ mix(ring.wrapping_add(GOLDEN_GAMMA))).min(u64::MAX - 1)
}
