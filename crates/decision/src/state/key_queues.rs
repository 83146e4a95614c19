//! Queues that keep the arrival order of jobs with the same key.

use crate::interface::JobId;
use std::collections::{BTreeMap, VecDeque};

/// The unfinished jobs of each key in order of arrival, for classes whose jobs are ordered by key.
#[derive(Default)]
pub struct KeyQueues {
    queues: BTreeMap<u64, VecDeque<JobId>>,
    /// Keys whose queue has lost a job and that [`KeyQueues::pop_changed`] has not returned yet.
    changed: Vec<u64>,
}

impl KeyQueues {
    /// Returns the jobs of a key, the oldest first.
    pub fn jobs(&self, key: u64) -> impl Iterator<Item = JobId> + '_ {
        self.queues.get(&key).into_iter().flatten().copied()
    }

    /// Appends a job and returns the number of jobs before it.
    pub fn push(&mut self, key: u64, job: JobId) -> usize {
        let queue = self.queues.entry(key).or_default();
        queue.push_back(job);
        queue.len() - 1
    }

    /// Removes a job; the next job of its key may then be sent.
    pub fn remove(&mut self, key: u64, job: JobId) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.retain(|queued| *queued != job);
            self.changed.push(key);
        }
    }

    /// Removes and returns a key whose first job may have changed: one for each removed job, the latest
    /// removal first. `None` if no removal is left.
    pub fn pop_changed(&mut self) -> Option<u64> {
        self.changed.pop()
    }

    /// Returns the first job of a key. Drops an empty queue; otherwise keys that are used once would
    /// accumulate in memory.
    pub fn first(&mut self, key: u64) -> Option<JobId> {
        let first = self.queues.get(&key)?.front().copied();
        if first.is_none() {
            self.queues.remove(&key);
        }
        first
    }
}
