//! The order in which ready jobs are released.

use crate::ordered_time::OrderedTime;
use crate::{JobId, Millis};
use std::collections::BTreeSet;

/// A job's sort key: the time at which it became ready plus the release lag of its class, then its arrival
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReleaseRank {
    ready_at_plus_lag: OrderedTime,
    arrival: u64,
}

impl ReleaseRank {
    /// Returns the rank of a job that became ready at `ready_at`.
    pub fn new(ready_at: Millis, lag: Millis, arrival: u64) -> ReleaseRank {
        ReleaseRank { ready_at_plus_lag: OrderedTime(ready_at + lag), arrival }
    }
}

/// The ready jobs, sorted by release order.
#[derive(Debug, Default)]
pub struct ReleaseOrder {
    ranked: BTreeSet<(ReleaseRank, JobId)>,
}

impl ReleaseOrder {
    pub fn insert(&mut self, rank: ReleaseRank, id: JobId) {
        self.ranked.insert((rank, id));
    }

    pub fn remove(&mut self, rank: ReleaseRank, id: JobId) {
        self.ranked.remove(&(rank, id));
    }

    /// Returns the job that is next to be released.
    pub fn first(&self) -> Option<JobId> {
        self.ranked.first().map(|(_, id)| *id)
    }

    /// Returns the number of ready jobs.
    pub fn len(&self) -> usize {
        self.ranked.len()
    }

    /// Returns whether no job is ready.
    pub fn is_empty(&self) -> bool {
        self.ranked.is_empty()
    }
}
