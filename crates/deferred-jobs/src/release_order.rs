//! The order in which ready jobs are released.

use crate::ordered_time::OrderedTime;
use crate::{JobId, Millis};
use std::collections::BTreeSet;

/// A job's place in the order: when it became ready plus the lag of its class, then its number of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReleaseRank {
    ready_and_lag: OrderedTime,
    arrival: u64,
}

impl ReleaseRank {
    /// The place of a job that became ready at a time.
    pub fn new(ready_at: Millis, lag: Millis, arrival: u64) -> ReleaseRank {
        ReleaseRank { ready_and_lag: OrderedTime(ready_at + lag), arrival }
    }
}

/// The ready jobs in the order of their release.
#[derive(Debug, Default)]
pub struct ReleaseOrder {
    ranked: BTreeSet<(ReleaseRank, JobId)>,
}

impl ReleaseOrder {
    /// Adds a job.
    pub fn insert(&mut self, rank: ReleaseRank, id: JobId) {
        self.ranked.insert((rank, id));
    }

    /// Removes a job.
    pub fn remove(&mut self, rank: ReleaseRank, id: JobId) {
        self.ranked.remove(&(rank, id));
    }

    /// The job that is released next.
    pub fn first(&self) -> Option<JobId> {
        self.ranked.first().map(|(_, id)| *id)
    }

    /// The number of ready jobs.
    pub fn len(&self) -> usize {
        self.ranked.len()
    }

    /// Whether no job is ready.
    pub fn is_empty(&self) -> bool {
        self.ranked.is_empty()
    }
}
