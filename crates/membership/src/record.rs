//! What members tell of one another, and which of two records counts.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A member's name as a number: what accusations and rings go by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Id(pub u64);

impl Id {
    /// Of a name; FNV-1a, with the bits mixed once more, the same at every member and in every version.
    pub fn of(name: &str) -> Id {
        let fnv = |h: u64, b: u8| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3);
        Id(mix(name.bytes().fold(0xcbf2_9ce4_8422_2325, fnv)))
    }
}

/// Mixes the bits of a number (the last step of splitmix64).
pub(crate) fn mix(mut z: u64) -> u64 {
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// One process under a name; another process under the same name has another number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The incarnation that it began with.
    pub born: u64,
    /// By chance.
    pub number: u64,
}

/// What is believed of a member at an incarnation. The later of these counts where the incarnation is the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Standing {
    /// It runs.
    Alive,
    /// Its observers have had no answer from it.
    Gone,
    /// It said that it ends.
    Left,
}

/// All that is told of a member.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Its name.
    pub name: String,
    /// Where it stands.
    pub zone: String,
    /// Where others reach it.
    pub addr: SocketAddr,
    /// Which process it is.
    pub instance: Instance,
    /// Rises with each refutation and each start.
    pub incarnation: u64,
    /// What is believed of it.
    pub standing: Standing,
}

impl Record {
    /// The member's number.
    pub fn id(&self) -> Id {
        Id::of(&self.name)
    }

    /// Whether this one counts, of two of one name. Two processes may say that they are at one incarnation: the one that
    /// began first counts then, at every member alike.
    pub fn supersedes(&self, other: &Record) -> bool {
        let rank = |r: &Record| (r.incarnation, r.standing, std::cmp::Reverse(r.instance));
        rank(self) > rank(other)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(incarnation: u64, standing: Standing, number: u64) -> Record {
        let instance = Instance { born: 1, number };
        let addr = "127.0.0.1:1".parse().unwrap();
        Record { name: "a".into(), zone: "z".into(), addr, instance, incarnation, standing }
    }

    #[test]
    fn of_two_records_the_same_one_counts_whichever_came_first() {
        use Standing::{Alive, Gone, Left};
        let order = [(1, Alive, 9), (1, Alive, 3), (1, Gone, 9), (1, Left, 9), (2, Alive, 9), (3, Gone, 1)];
        for (i, (n, standing, number)) in order.iter().enumerate() {
            for (m, other, its) in &order[..i] {
                let (later, earlier) = (record(*n, *standing, *number), record(*m, *other, *its));
                assert!(later.supersedes(&earlier) && !earlier.supersedes(&later), "{later:?} {earlier:?}");
            }
        }
        assert!(!record(1, Alive, 3).supersedes(&record(1, Alive, 3)), "no news");
    }

    #[test]
    fn names_have_the_same_numbers_for_ever() {
        assert_ne!(Id::of("a1"), Id::of("a2"));
        assert_eq!(Id::of("a1"), Id(9_292_193_738_565_264_012), "older versions go by it");
    }
}
