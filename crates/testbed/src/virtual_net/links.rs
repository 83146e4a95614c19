//! The links of the virtual network.

use postusher_membership::Millis;
use std::collections::BTreeSet;

/// The reliability and the delay of all links of a network.
#[derive(Clone, Copy, Debug)]
pub struct LinkConditions {
    /// Probability that a datagram is lost, 0 to 1.
    pub loss: f64,
    /// Probability that a datagram arrives twice, 0 to 1.
    pub duplication: f64,
    /// Shortest time in transit, in milliseconds.
    pub min_delay: Millis,
    /// Longest time in transit, in milliseconds. Delays are uniformly distributed, so datagrams may overtake
    /// each other.
    pub max_delay: Millis,
}

impl Default for LinkConditions {
    fn default() -> Self {
        LinkConditions { loss: 0.0, duplication: 0.0, min_delay: 0.5, max_delay: 2.0 }
    }
}

/// The cut links, by direction.
#[derive(Default)]
pub(super) struct CutLinks {
    cut: BTreeSet<(usize, usize)>,
}

impl CutLinks {
    /// Cuts the link from one process to another; the opposite direction is not affected.
    pub(super) fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// Restores all links.
    pub(super) fn heal(&mut self) {
        self.cut.clear();
    }

    /// Returns whether datagrams from one process to another are dropped.
    pub(super) fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.contains(&(from, to))
    }

    /// Returns whether no connection between two processes is possible; a connection needs both directions.
    pub(super) fn is_cut_either_way(&self, first: usize, second: usize) -> bool {
        self.is_cut(first, second) || self.is_cut(second, first)
    }
}
