//! Accusations of members by their observers.

use crate::record::MemberId;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An observer has no proof of life of a member, or has it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accusation {
    /// The observer.
    pub accuser: MemberId,
    /// The accused member.
    pub subject: MemberId,
    /// The incarnation of the accused member.
    pub incarnation: u64,
    /// Rises with each accusation and withdrawal of this accuser.
    pub sequence: u64,
    /// It stands; otherwise it is withdrawn.
    pub stands: bool,
    /// The accuser hears most of the members that it observes. Otherwise it may be the one that is cut off, and the
    /// accusation counts for no removal.
    pub accuser_is_connected: bool,
}

/// What became of an accusation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AccusationOutcome {
    /// It is news.
    Recorded,
    /// It is known, outdated, or of members or incarnations that are not known.
    Ignored,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedAccusation {
    accusation: Accusation,
    received_at: Millis,
}

/// The latest word of each accuser on each accused member.
#[derive(Clone, Debug, Default)]
pub struct AccusationLog {
    by_subject: BTreeMap<MemberId, BTreeMap<MemberId, ReceivedAccusation>>,
}

impl AccusationLog {
    /// Records an accusation or its withdrawal.
    pub fn record(&mut self, accusation: Accusation, now: Millis) -> AccusationOutcome {
        let by_accuser = self.by_subject.entry(accusation.subject).or_default();
        if let Some(known) = by_accuser.get(&accusation.accuser) {
            if known.accusation.sequence >= accusation.sequence {
                return AccusationOutcome::Ignored;
            }
        }
        by_accuser.insert(accusation.accuser, ReceivedAccusation { accusation, received_at: now });
        AccusationOutcome::Recorded
    }

    /// The accusations that stand against a member.
    pub fn against(&self, subject: MemberId) -> impl Iterator<Item = Accusation> + '_ {
        let received = self.by_subject.get(&subject).into_iter().flat_map(BTreeMap::values);
        received.map(|received| received.accusation).filter(|accusation| accusation.stands)
    }

    /// The members on which an observer has said anything, withdrawals included.
    pub fn subjects(&self) -> impl Iterator<Item = MemberId> + '_ {
        self.by_subject.keys().copied()
    }

    /// Forgets what was said of a member.
    pub fn remove_subject(&mut self, subject: MemberId) {
        self.by_subject.remove(&subject);
    }

    /// Forgets what was said longer ago than a lifetime.
    pub fn expire(&mut self, lifetime: Millis, now: Millis) {
        self.by_subject.retain(|_, by_accuser| {
            by_accuser.retain(|_, received| now - received.received_at <= lifetime);
            !by_accuser.is_empty()
        });
    }

    /// Moves all times by a pause of this member, up to `now`.
    pub fn compensate_pause(&mut self, pause: Millis, now: Millis) {
        for received in self.by_subject.values_mut().flat_map(BTreeMap::values_mut) {
            received.received_at = (received.received_at + pause).min(now);
        }
    }
}
