//! Consistent hashing of keys to workers.

use super::RandomGenerator;
use crate::interface::WorkerId;
use std::collections::BTreeMap;

/// Number of points (virtual nodes) of each worker on the ring.
const POINTS_PER_WORKER: usize = 8;

/// A hash ring for consistent hashing. All schedulers with the same workers on their rings get the same few
/// workers for a key, independent of any other state.
#[derive(Default)]
pub struct HashRing {
    points: BTreeMap<u64, WorkerId>,
}

impl HashRing {
    /// Returns the points of a worker, which depend on its id only.
    fn points_of(worker: WorkerId) -> impl Iterator<Item = u64> {
        let mut random = RandomGenerator::new(u64::from(worker.0));
        (0..POINTS_PER_WORKER).map(move |_| (random.next_fraction() * u64::MAX as f64) as u64)
    }

    /// Replaces the workers `previous` with the workers `current`. Both slices must be sorted. The cost is
    /// one binary search for each worker, plus updates of the ring for the workers that differ.
    pub fn update(&mut self, previous: &[WorkerId], current: &[WorkerId]) {
        for removed in previous.iter().filter(|worker| current.binary_search(worker).is_err()) {
            for point in Self::points_of(*removed) {
                // Two workers may have the same point, which then belongs to the worker added last.
                if self.points.get(&point) == Some(removed) {
                    self.points.remove(&point);
                }
            }
        }
        for added in current.iter().filter(|worker| previous.binary_search(worker).is_err()) {
            self.points.extend(Self::points_of(*added).map(|point| (point, *added)));
        }
    }

    /// Returns the first `count` different workers clockwise of the point of a key, or all workers if there
    /// are fewer.
    pub fn workers_for(&self, key: u64, count: usize) -> Vec<WorkerId> {
        let start = (RandomGenerator::new(key).next_fraction() * u64::MAX as f64) as u64;
        let clockwise = self.points.range(start..).chain(self.points.range(..start));
        let mut workers = Vec::new();
        // As a worker has at most `POINTS_PER_WORKER` points, this many points belong to at least `count`
        // workers.
        for (_, worker) in clockwise.take(POINTS_PER_WORKER * count) {
            if workers.len() < count && !workers.contains(worker) {
                workers.push(*worker);
            }
        }
        workers
    }

    #[cfg(test)]
    pub(super) fn points(&self) -> &BTreeMap<u64, WorkerId> {
        &self.points
    }
}
