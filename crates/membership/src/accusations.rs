//! Accusations that observers make against the members that they observe.

use crate::record::MemberId;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An observer's statement that a member does not acknowledge pings, or the withdrawal of that statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accusation {
    /// The observer.
    pub accuser: MemberId,
    /// The accused member.
    pub subject: MemberId,
    /// The incarnation of the accused member to which the accusation applies.
    pub incarnation: u64,
    /// The sequence number, increased with each accusation and withdrawal by this accuser.
    pub sequence: u64,
    /// Whether the accusation stands; otherwise it is withdrawn.
    pub stands: bool,
    /// Whether the accuser reaches at least half of the members that it observes. Otherwise the accuser
    /// itself may be partitioned, and the accusation does not count towards a removal.
    pub accuser_is_connected: bool,
}

/// The result of recording an accusation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccusationOutcome {
    /// The accusation was recorded.
    Recorded,
    /// The accusation is already known or outdated, comes from an unknown member, or concerns a member that
    /// is unknown or not running, or another incarnation of it.
    Ignored,
}

/// An accusation or withdrawal and the time at which this process received or made it.
#[derive(Clone, Copy, Debug)]
struct ReceivedAccusation {
    accusation: Accusation,
    received_at: Millis,
}

/// The latest accusation or withdrawal of each accuser for each accused member.
#[derive(Clone, Debug, Default)]
pub struct AccusationLog {
    by_subject: BTreeMap<MemberId, BTreeMap<MemberId, ReceivedAccusation>>,
}

impl AccusationLog {
    /// Records an accusation or its withdrawal, unless the same or a later one of this accuser is known.
    pub fn record(&mut self, accusation: Accusation, now: Millis) -> AccusationOutcome {
        let by_accuser = self.by_subject.entry(accusation.subject).or_default();
        if let Some(latest) = by_accuser.get(&accusation.accuser) {
            if latest.accusation.sequence >= accusation.sequence {
                return AccusationOutcome::Ignored;
            }
        }
        by_accuser.insert(accusation.accuser, ReceivedAccusation { accusation, received_at: now });
        AccusationOutcome::Recorded
    }

    /// Returns the standing accusations against a member.
    pub fn against(&self, subject: MemberId) -> impl Iterator<Item = Accusation> + '_ {
        let received = self.by_subject.get(&subject).into_iter().flat_map(BTreeMap::values);
        received.map(|received| received.accusation).filter(|accusation| accusation.stands)
    }

    /// Returns the members with a recorded accusation or withdrawal.
    pub fn subjects(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.by_subject.keys().copied()
    }

    /// Removes the accusations and withdrawals for a member.
    pub fn remove_subject(&mut self, subject: MemberId) {
        self.by_subject.remove(&subject);
    }

    /// Removes accusations and withdrawals that were received longer ago than `lifetime`.
    pub fn expire(&mut self, lifetime: Millis, now: Millis) {
        self.by_subject.retain(|_, by_accuser| {
            by_accuser.retain(|_, received| now - received.received_at <= lifetime);
            !by_accuser.is_empty()
        });
    }

    /// Shifts the receive times by the duration of a pause of this process, but not beyond `now`.
    pub fn compensate_pause(&mut self, pause: Millis, now: Millis) {
        for received in self.by_subject.values_mut().flat_map(BTreeMap::values_mut) {
            received.received_at = (received.received_at + pause).min(now);
        }
    }
}
