//! The table of members: their records, the accusations by their observers, and the removals that follow from
//! them.

mod removal;

use crate::accusations::{Accusation, AccusationLog, AccusationOutcome};
use crate::record::{MemberId, MemberRecord, MemberStatus};
use crate::rings::ObserverRings;
use crate::{Mechanisms, Millis, Timing};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[cfg(test)]
mod tests;

/// Maximum number of members in the table, so that forged names cannot exhaust the memory.
const MAX_MEMBERS: usize = 10_000;
/// Maximum length of the name of a member or a zone, in bytes; the same as in the setup file.
const MAX_NAME_BYTES: usize = 128;

/// The change that a record caused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// No change: the record is already known or outdated, or exceeds a limit of the table.
    Unchanged,
    /// The record of a running member was superseded by another record of a running process.
    Refreshed,
    /// A member is running that was unknown or had stopped.
    Joined,
    /// A member is running that was removed although its process had not stopped.
    FalselyRemoved,
    /// A member was removed.
    Removed,
    /// A member has left.
    Left,
}

#[derive(Clone, Debug)]
struct Entry {
    record: MemberRecord,
    updated_at: Millis,
}

/// A recently removed member.
#[derive(Clone, Debug)]
struct RecentRemoval {
    removed_at: Millis,
    id: MemberId,
}

/// The records and accusations of all members.
#[derive(Clone, Debug)]
pub struct MemberTable {
    timing: Timing,
    mechanisms: Mechanisms,
    entries: BTreeMap<MemberId, Entry>,
    /// The running members.
    rings: ObserverRings,
    accusations: AccusationLog,
    /// The members that a quorum of observers accuses, with the time since which this has been so without
    /// interruption.
    removal_candidates: BTreeMap<MemberId, Millis>,
    recent_removals: VecDeque<RecentRemoval>,
    view_version: u64,
}

impl MemberTable {
    /// Creates an empty table.
    pub fn new(timing: Timing, mechanisms: Mechanisms) -> MemberTable {
        MemberTable {
            timing,
            mechanisms,
            entries: BTreeMap::new(),
            rings: ObserverRings::default(),
            accusations: AccusationLog::default(),
            removal_candidates: BTreeMap::new(),
            recent_removals: VecDeque::new(),
            view_version: 0,
        }
    }

    /// Returns the version of the view, which increases whenever a member joins, is removed or leaves.
    pub fn view_version(&self) -> u64 {
        self.view_version
    }

    /// Returns the latest record of a member.
    pub fn record(&self, id: MemberId) -> Option<&MemberRecord> {
        self.entries.get(&id).map(|entry| &entry.record)
    }

    /// Returns the latest records of all members.
    pub fn records(&self) -> impl Iterator<Item = (MemberId, &MemberRecord)> {
        self.entries.iter().map(|(id, entry)| (*id, &entry.record))
    }

    /// Returns the number of running members, including suspect ones.
    pub fn len(&self) -> usize {
        self.rings.len()
    }

    /// Returns whether no member is running.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the members that `observer` observes.
    pub fn subjects(&self, observer: MemberId) -> BTreeSet<MemberId> {
        self.rings.subjects(observer)
    }

    /// Applies a record if it supersedes the known one.
    pub fn apply(&mut self, record: MemberRecord, now: Millis) -> RecordChange {
        if !self.accepts(&record) {
            return RecordChange::Unchanged;
        }
        let id = record.id();
        let is_alive = record.status == MemberStatus::Alive;
        let previous = self.record(id);
        let was_alive = previous.is_some_and(|previous| previous.status == MemberStatus::Alive);
        let change = change_between(previous, &record);
        self.entries.insert(id, Entry { record, updated_at: now });
        if is_alive != was_alive {
            self.view_version += 1;
        }
        if is_alive {
            self.rings.insert(id);
            self.recent_removals.retain(|removal| removal.id != id);
        } else {
            self.rings.remove(id);
        }
        if was_alive && change == RecordChange::Removed {
            self.recent_removals.push_back(RecentRemoval { removed_at: now, id });
        }
        // Accusations against an earlier incarnation do not apply to this one.
        self.accusations.remove_subject(id);
        self.removal_candidates.remove(&id);
        change
    }

    /// Returns whether a record is within the limits of the table and supersedes the known one.
    fn accepts(&self, record: &MemberRecord) -> bool {
        if record.name.len() > MAX_NAME_BYTES || record.zone.len() > MAX_NAME_BYTES {
            return false;
        }
        match self.record(record.id()) {
            Some(known) => record.supersedes(known),
            None => self.entries.len() < MAX_MEMBERS,
        }
    }

    /// Records an observer's accusation of a member, or its withdrawal, if it concerns the current
    /// incarnation of a running member and the accuser is known.
    pub fn accuse(&mut self, accusation: Accusation, now: Millis) -> AccusationOutcome {
        let Some(subject) = self.record(accusation.subject) else { return AccusationOutcome::Ignored };
        let is_current =
            subject.status == MemberStatus::Alive && subject.incarnation == accusation.incarnation;
        if !is_current || self.record(accusation.accuser).is_none() {
            return AccusationOutcome::Ignored;
        }
        self.accusations.record(accusation, now)
    }

    /// Returns the standing accusations against a member.
    pub fn accusations_against(&self, subject: MemberId) -> impl Iterator<Item = Accusation> + '_ {
        self.accusations.against(subject)
    }

    /// Evicts the records of members that were removed or left longer ago than [`Timing::forget_after`].
    pub fn evict_departed(&mut self, now: Millis) {
        let forget_after = self.timing.forget_after;
        self.entries.retain(|_, entry| {
            entry.record.status == MemberStatus::Alive || now - entry.updated_at < forget_after
        });
    }

    /// Shifts the times of the accusations and of the removal candidates by a pause of this process, during
    /// which it received nothing.
    pub fn compensate_pause(&mut self, pause: Millis, now: Millis) {
        self.accusations.compensate_pause(pause, now);
        for candidate_since in self.removal_candidates.values_mut() {
            *candidate_since = (*candidate_since + pause).min(now);
        }
    }
}

fn change_between(previous: Option<&MemberRecord>, record: &MemberRecord) -> RecordChange {
    match (previous, record.status) {
        (_, MemberStatus::Removed) => RecordChange::Removed,
        (_, MemberStatus::Left) => RecordChange::Left,
        (None, MemberStatus::Alive) => RecordChange::Joined,
        (Some(previous), MemberStatus::Alive) => match previous.status {
            MemberStatus::Alive => RecordChange::Refreshed,
            MemberStatus::Removed if previous.instance == record.instance => RecordChange::FalselyRemoved,
            MemberStatus::Removed | MemberStatus::Left => RecordChange::Joined,
        },
    }
}
