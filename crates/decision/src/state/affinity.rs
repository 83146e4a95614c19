//! Key affinity: maps keys to the workers that are expected to have their data cached.

use crate::estimators::{HashRing, KeyShares, ShareEstimate};
use crate::interface::{Job, WorkerId};

/// Minimum number of affinity candidates of a key, so that one of them may be busy.
const MIN_CANDIDATES: usize = 2;
/// Share of the workers that are affinity candidates of a key, as a multiple of the key's share of the recent
/// jobs. Above 1, to leave a margin.
const CANDIDATE_SHARE_FACTOR: f64 = 2.5;
/// Number of recent jobs from which the shares of the keys are computed.
const RECENT_JOBS: usize = 100;

/// A hash ring of the workers, and the keys of the recent jobs.
#[derive(Default)]
pub struct Affinity {
    ring: HashRing,
    recent_keys: KeyShares,
}

impl Affinity {
    /// Replaces the workers `previous` on the ring with the workers `current`. Both slices must be sorted.
    pub fn update_workers(&mut self, previous: &[WorkerId], current: &[WorkerId]) {
        self.ring.update(previous, current);
    }

    /// Counts the key of an arriving job. Jobs without a key count towards the number of recent jobs, too.
    pub fn record_arrival(&mut self, job: &Job) {
        self.recent_keys.push(job.key, RECENT_JOBS);
    }

    /// Returns the affinity candidates of a job in a fleet of `worker_count` workers; none for a job without
    /// a key.
    pub fn candidates(&self, job: &Job, estimate: ShareEstimate, worker_count: usize) -> Vec<WorkerId> {
        if job.key == 0 {
            return Vec::new();
        }
        let share = self.recent_keys.share(job.key, estimate);
        let by_share = (CANDIDATE_SHARE_FACTOR * share * worker_count as f64) as usize;
        self.ring.workers_for(job.key, MIN_CANDIDATES.max(by_share))
    }

    /// Returns the first `count` different workers clockwise of the point of a key on the ring, or all
    /// workers if there are fewer.
    pub fn workers_on_ring(&self, key: u64, count: usize) -> Vec<WorkerId> {
        self.ring.workers_for(key, count)
    }
}
