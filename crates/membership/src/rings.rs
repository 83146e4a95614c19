//! Who observes whom: all members on a few rings by hashes, each observed by whoever follows it.

use crate::record::{mix, Id};
use std::collections::{BTreeMap, BTreeSet};

/// So many rings: observers of a member, where there are more members than that.
pub const RINGS: u64 = 10;

/// The members on their rings.
#[derive(Clone, Debug, Default)]
pub struct Rings {
    members: BTreeSet<Id>,
    rings: BTreeMap<u64, BTreeMap<u64, Id>>,
}

impl Rings {
    /// Puts a member on the rings.
    pub fn insert(&mut self, id: Id) {
        self.members.insert(id);
        for ring in 0..RINGS {
            self.rings.entry(ring).or_default().insert(place(ring, id), id);
        }
    }

    /// Takes it off.
    pub fn remove(&mut self, id: Id) {
        self.members.remove(&id);
        for ring in 0..RINGS {
            self.rings.entry(ring).or_default().remove(&place(ring, id));
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Those that observe a member, whether it is on the rings itself or not.
    pub fn observers(&self, of: Id) -> BTreeSet<Id> {
        self.neighbours(of, |ring, at| ring.range(at + 1..).chain(ring.iter()).map(|(_, id)| *id).next())
    }

    /// Those that a member observes.
    pub fn subjects(&self, of: Id) -> BTreeSet<Id> {
        self.neighbours(of, |ring, at| {
            ring.range(..at).rev().chain(ring.iter().rev()).map(|(_, id)| *id).next()
        })
    }

    fn neighbours(&self, of: Id, next: impl Fn(&BTreeMap<u64, Id>, u64) -> Option<Id>) -> BTreeSet<Id> {
        let others = || self.members.iter().copied().filter(|id| *id != of);
        if self.members.len() as u64 <= RINGS + 1 {
            return others().collect();
        }
        let near = self.rings.iter().filter_map(|(ring, on)| next(on, place(*ring, of)));
        near.filter(|id| *id != of).collect()
    }
}

fn place(ring: u64, id: Id) -> u64 {
    // The last place of all has nothing after it.
    mix(id.0 ^ mix(ring.wrapping_add(0x9e37_79b9_7f4a_7c15))).min(u64::MAX - 1)
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn rings(n: u64) -> Rings {
        let mut rings = Rings::default();
        (0..n).for_each(|i| rings.insert(Id(mix(i))));
        rings
    }

    #[test]
    fn few_members_all_observe_each_other_and_many_have_about_ten_observers() {
        assert_eq!(rings(1).observers(Id(mix(0))).len(), 0);
        assert_eq!(rings(11).observers(Id(mix(3))).len(), 10);
        let many = rings(1_000);
        let counts: Vec<usize> = (0..1_000).map(|i| many.observers(Id(mix(i))).len()).collect();
        assert!(counts.iter().all(|n| (7..=10).contains(n)), "{counts:?}");
        let most = (0..1_000).map(|i| many.subjects(Id(mix(i))).len()).max();
        assert!(most <= Some(10), "pings of one member do not grow with their number");
    }

    proptest! {
        #[test]
        fn subjects_and_observers_are_two_sides_of_one_thing(n in 1u64..60, gone in prop::collection::vec(0u64..60, 0..20)) {
            let mut rings = rings(n);
            gone.iter().for_each(|i| rings.remove(Id(mix(*i))));
            for a in rings.members.clone() {
                for b in rings.members.clone() {
                    let (of, by) = (rings.subjects(a).contains(&b), rings.observers(b).contains(&a));
                    prop_assert_eq!(of, by, "{:?} {:?}", a, b);
                }
            }
        }
    }
}
