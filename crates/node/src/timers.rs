//! Timers that can be cancelled.

use crate::clock::Millis;
use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Identifies a timer that has been set. Ids are ordered by the time at which their timers expire; those of
/// timers with the same time, by the order in which they were set.
#[derive(Clone, Copy, Debug)]
pub struct TimerId {
    /// Time at which the timer expires.
    at: Millis,
    sequence: u64,
}

impl Ord for TimerId {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.total_cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

impl PartialOrd for TimerId {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for TimerId {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for TimerId {}

/// Timers, each with a value. They expire in the order of their ids. The owner of a timer has to cancel it
/// when its purpose ends; otherwise it occupies memory until it expires.
pub struct Timers<T> {
    pending: BTreeMap<TimerId, T>,
    /// Sequence number of the timer that was set last.
    last_sequence: u64,
}

impl<T> Timers<T> {
    /// Creates an empty set of timers.
    pub fn new() -> Self {
        Timers { pending: BTreeMap::new(), last_sequence: 0 }
    }

    /// Sets a timer that expires at a given time.
    pub fn set(&mut self, at: Millis, value: T) -> TimerId {
        self.last_sequence += 1;
        let id = TimerId { at, sequence: self.last_sequence };
        self.pending.insert(id, value);
        id
    }

    /// Cancels a timer. Has no effect if it has expired or been cancelled.
    pub fn cancel(&mut self, id: TimerId) {
        self.pending.remove(&id);
    }

    /// Returns the number of timers that have neither expired nor been cancelled.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns the time at which the next timer expires.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.pending.first_key_value().map(|(id, _)| id.at)
    }

    /// Removes the next expired timer and returns its value; `None` if no timer has expired.
    pub fn pop_expired(&mut self, now: Millis) -> Option<T> {
        self.next_expiry().filter(|at| *at <= now)?;
        self.pending.pop_first().map(|(_, value)| value)
    }
}

#[cfg(test)]
mod tests;
