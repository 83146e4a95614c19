//! The order of jobs with the same key.

use crate::interface::JobId;
use std::collections::{BTreeMap, VecDeque};

/// For classes that keep the order of a key: its jobs that are not over, in order of arrival.
#[derive(Default)]
pub struct KeyQueues {
    queues: BTreeMap<u64, VecDeque<JobId>>,
    /// Keys from whose queue a job was removed since [`KeyQueues::pop_changed`].
    changed: Vec<u64>,
}

impl KeyQueues {
    /// The jobs of a key, the oldest first.
    pub fn jobs(&self, key: u64) -> impl Iterator<Item = JobId> + '_ {
        self.queues.get(&key).into_iter().flatten().copied()
    }

    /// Appends a job; returns the number of jobs before it.
    pub fn push(&mut self, key: u64, job: JobId) -> usize {
        let queue = self.queues.entry(key).or_default();
        queue.push_back(job);
        queue.len() - 1
    }

    /// Removes a job; the next job of its key may then have its turn.
    pub fn remove(&mut self, key: u64, job: JobId) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.retain(|queued| *queued != job);
            self.changed.push(key);
        }
    }

    /// A key whose first job may have changed, each once per removal, the latest first.
    pub fn pop_changed(&mut self) -> Option<u64> {
        self.changed.pop()
    }

    /// The first job of a key. An empty queue is dropped, so that keys used once do not fill the memory.
    pub fn first(&mut self, key: u64) -> Option<JobId> {
        let first = self.queues.get(&key)?.front().copied();
        if first.is_none() {
            self.queues.remove(&key);
        }
        first
    }
}
