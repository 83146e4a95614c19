//! Phi accrual: each member sends heartbeats to all others, and the suspicion level of a member grows with
//! its silence.

use super::model::{Model, Payload};
use super::PROBE_INTERVAL;
use postusher_membership::Millis;
use std::collections::{BTreeSet, VecDeque};

/// Value of phi from which a member is removed (the default of Cassandra and Akka).
const PHI_THRESHOLD: f64 = 8.0;
/// Maximum number of heartbeat intervals that are kept for each member.
const MAX_SAMPLES: usize = 100;
/// Minimum number of intervals for an estimate; with fewer, phi is 0.
const MIN_SAMPLES: usize = 10;
/// Lower bound of the standard deviation (Akka's).
const MIN_DEVIATION: Millis = 100.0;

/// The heartbeats that a member has received from each other member.
#[derive(Clone)]
pub(super) struct HeartbeatHistory {
    last_heard_at: Vec<Millis>,
    intervals: Vec<VecDeque<Millis>>,
    removed: BTreeSet<usize>,
}

impl HeartbeatHistory {
    /// Creates an empty history for a cluster of the given size.
    pub(super) fn new(members: usize) -> HeartbeatHistory {
        HeartbeatHistory {
            last_heard_at: vec![0.0; members],
            intervals: vec![VecDeque::new(); members],
            removed: BTreeSet::new(),
        }
    }

    /// Records a heartbeat. If its sender was removed, it is a member again.
    pub(super) fn record_heartbeat(&mut self, from: usize, now: Millis) {
        let intervals = &mut self.intervals[from];
        intervals.push_back(now - self.last_heard_at[from]);
        if intervals.len() > MAX_SAMPLES {
            intervals.pop_front();
        }
        self.last_heard_at[from] = now;
        self.removed.remove(&from);
    }

    /// Removes a member that has been silent for too long. Returns whether this call has removed it.
    fn remove_if_silent(&mut self, subject: usize, now: Millis) -> bool {
        let silence = now - self.last_heard_at[subject];
        phi(silence, &self.intervals[subject]) >= PHI_THRESHOLD && self.removed.insert(subject)
    }
}

impl Model<'_> {
    /// Sends heartbeats when they are due, and checks the silence of each other member.
    pub(super) fn tick_phi_accrual(&mut self, index: usize) {
        if self.now >= self.members[index].next_probe_at {
            self.members[index].next_probe_at = self.now + PROBE_INTERVAL;
            for to in (0..self.case.members).filter(|to| *to != index) {
                self.send(index, to, Payload::Heartbeat);
            }
        }
        for subject in (0..self.case.members).filter(|subject| *subject != index) {
            if self.members[index].heartbeats.remove_if_silent(subject, self.now) {
                self.record_removal(index, subject);
            }
        }
    }
}

/// Returns the suspicion level after a silence: minus the decimal logarithm of the probability that the next
/// heartbeat arrives even later, for normally distributed intervals (by the logistic approximation that Akka
/// uses). Returns 0 while there are too few intervals.
pub(super) fn phi(silence: Millis, intervals: &VecDeque<Millis>) -> f64 {
    if intervals.len() < MIN_SAMPLES {
        return 0.0;
    }
    let count = intervals.len() as f64;
    let mean = intervals.iter().sum::<f64>() / count;
    let variance = intervals.iter().map(|interval| (interval - mean).powi(2)).sum::<f64>() / count;
    let deviations = (silence - mean) / variance.sqrt().max(MIN_DEVIATION);
    let odds = (-deviations * (1.5976 + 0.070_566 * deviations * deviations)).exp();
    let probability_later = if silence > mean { odds / (1.0 + odds) } else { 1.0 - 1.0 / (1.0 + odds) };
    -probability_later.max(f64::MIN_POSITIVE).log10()
}
