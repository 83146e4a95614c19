//! The share of each key among the recent jobs.

use crate::id_map::IdMap;
use std::collections::hash_map::Entry;
use std::collections::VecDeque;

/// Number of imaginary jobs with different keys that are added to the sample. This prior lowers shares in a
/// small sample, which are uncertain.
const PRIOR_KEYS: f64 = 10.0;

/// How a share is estimated from a small sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShareEstimate {
    /// The first occurrence of a key counts half.
    Neutral,
    /// The first occurrence of a key counts a quarter, and the prior counts twice. For callers that notice an
    /// estimate that is too low before it does harm, as load probes show whether the few workers chosen by it
    /// are full.
    Low,
}

/// A window of the latest keys, with the number of occurrences of each.
#[derive(Default)]
pub struct KeyShares {
    recent: VecDeque<u64>,
    counts: IdMap<u64, u32>,
}

impl KeyShares {
    /// Adds a key and drops the oldest keys beyond `capacity`.
    pub fn push(&mut self, key: u64, capacity: usize) {
        self.recent.push_back(key);
        *self.counts.entry(key).or_default() += 1;
        while self.recent.len() > capacity {
            let Some(oldest) = self.recent.pop_front() else { break };
            self.remove_occurrence(oldest);
        }
    }

    fn remove_occurrence(&mut self, key: u64) {
        if let Entry::Occupied(mut count) = self.counts.entry(key) {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
    }

    /// Returns the estimated share of a key among the keys of the window, from 0 to 1. The first occurrence
    /// counts less than 1, as it may be due to chance.
    pub fn share(&self, key: u64, estimate: ShareEstimate) -> f64 {
        let (first_discount, prior) = match estimate {
            ShareEstimate::Neutral => (0.5, PRIOR_KEYS),
            ShareEstimate::Low => (0.75, 2.0 * PRIOR_KEYS),
        };
        let count = self.counts.get(&key).copied().unwrap_or(0);
        (f64::from(count) - first_discount).max(0.0) / (self.recent.len() as f64 + prior)
    }
}
