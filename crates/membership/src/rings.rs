//! Assignment of observers: all members are placed on several hash rings, and each member is observed by its
//! successor on each ring.

use crate::random::{mix, GOLDEN_GAMMA};
use crate::record::MemberId;
use std::collections::{BTreeMap, BTreeSet};

#[cfg(test)]
mod tests;

/// The number of rings, and the maximum number of observers of a member. Up to `RINGS + 1` members all
/// observe each other.
pub const RINGS: u64 = 10;

/// The members by their positions on one ring.
type Ring = BTreeMap<u64, MemberId>;

/// The hash rings with all members.
#[derive(Clone, Debug, Default)]
pub struct ObserverRings {
    members: BTreeSet<MemberId>,
    rings: BTreeMap<u64, Ring>,
}

impl ObserverRings {
    /// Adds a member to all rings.
    pub fn insert(&mut self, id: MemberId) {
        self.members.insert(id);
        for ring in 0..RINGS {
            self.rings.entry(ring).or_default().insert(position(ring, id), id);
        }
    }

    /// Removes a member from all rings.
    pub fn remove(&mut self, id: MemberId) {
        self.members.remove(&id);
        for ring in 0..RINGS {
            self.rings.entry(ring).or_default().remove(&position(ring, id));
        }
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns the members that observe `subject`, which need not be on the rings itself.
    pub fn observers(&self, subject: MemberId) -> BTreeSet<MemberId> {
        self.neighbours(subject, successor)
    }

    /// Returns the members that `observer` observes.
    pub fn subjects(&self, observer: MemberId) -> BTreeSet<MemberId> {
        self.neighbours(observer, predecessor)
    }

    fn neighbours(&self, id: MemberId, neighbour: fn(&Ring, u64) -> Option<MemberId>) -> BTreeSet<MemberId> {
        let mut neighbours = BTreeSet::new();
        if self.members.len() as u64 <= RINGS + 1 {
            neighbours.extend(&self.members);
        } else {
            for (ring_number, ring) in &self.rings {
                neighbours.extend(neighbour(ring, position(*ring_number, id)));
            }
        }
        neighbours.remove(&id);
        neighbours
    }
}

/// Returns the next member after a position.
fn successor(ring: &Ring, position: u64) -> Option<MemberId> {
    let (_, id) = ring.range(position + 1..).next().or_else(|| ring.first_key_value())?;
    Some(*id)
}

/// Returns the last member before a position.
fn predecessor(ring: &Ring, position: u64) -> Option<MemberId> {
    let (_, id) = ring.range(..position).next_back().or_else(|| ring.last_key_value())?;
    Some(*id)
}

/// Returns the position of a member on a ring.
fn position(ring: u64, id: MemberId) -> u64 {
    // Never `u64::MAX`, because the search for a successor starts at the next position, which would overflow.
    mix(id.0 ^ mix(ring.wrapping_add(GOLDEN_GAMMA))).min(u64::MAX - 1)
}
