//! What is believed of the members: records that supersede each other, accusations by observers, and who is removed.

mod removal;

use crate::accusations::{Accusation, AccusationLog, AccusationOutcome};
use crate::record::{MemberId, MemberRecord, MemberStatus};
use crate::rings::ObserverRings;
use crate::{Mechanisms, Millis, Timing};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

#[cfg(test)]
mod tests;

/// The most members that are remembered: made-up names must not fill the memory.
const MAX_MEMBERS: usize = 10_000;
/// The longest name of a member or a zone, in bytes, as the setup file allows them.
const MAX_NAME_BYTES: usize = 128;

/// What a record has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// Nothing: the record is known, outdated or not acceptable.
    Unchanged,
    /// A member that runs has a higher incarnation.
    Refreshed,
    /// A member runs that was unknown or had ended.
    Joined,
    /// A member runs that was removed and had never ended.
    FalselyRemoved,
    /// A member is removed.
    Removed,
    /// A member has left.
    Left,
}

#[derive(Clone, Debug)]
struct Entry {
    record: MemberRecord,
    updated_at: Millis,
}

/// A member that was removed lately.
#[derive(Clone, Debug)]
struct RecentRemoval {
    at: Millis,
    id: MemberId,
}

/// All that is believed of the members.
#[derive(Clone, Debug)]
pub struct MemberTable {
    timing: Timing,
    mechanisms: Mechanisms,
    entries: BTreeMap<MemberId, Entry>,
    /// The members that run.
    rings: ObserverRings,
    accusations: AccusationLog,
    /// Members that a quorum of observers accuses, and since when without a break.
    condemned: BTreeMap<MemberId, Millis>,
    recent_removals: VecDeque<RecentRemoval>,
    view_version: u64,
}

impl MemberTable {
    /// An empty table.
    pub fn new(timing: Timing, mechanisms: Mechanisms) -> MemberTable {
        MemberTable {
            timing,
            mechanisms,
            entries: BTreeMap::new(),
            rings: ObserverRings::default(),
            accusations: AccusationLog::default(),
            condemned: BTreeMap::new(),
            recent_removals: VecDeque::new(),
            view_version: 0,
        }
    }

    /// Rises whenever a member joins, is removed or leaves.
    pub fn view_version(&self) -> u64 {
        self.view_version
    }

    /// The latest record of a member.
    pub fn record(&self, id: MemberId) -> Option<&MemberRecord> {
        self.entries.get(&id).map(|entry| &entry.record)
    }

    /// The latest records of all members.
    pub fn records(&self) -> impl Iterator<Item = (MemberId, &MemberRecord)> {
        self.entries.iter().map(|(id, entry)| (*id, &entry.record))
    }

    /// The number of members that run, suspect ones included.
    pub fn len(&self) -> usize {
        self.rings.len()
    }

    /// Whether no member runs.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The members that a member observes.
    pub fn subjects(&self, observer: MemberId) -> BTreeSet<MemberId> {
        self.rings.subjects(observer)
    }

    /// Applies a record, if it supersedes the known one.
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
            self.recent_removals.push_back(RecentRemoval { at: now, id });
        }
        // What was said of an earlier incarnation says nothing of this one.
        self.accusations.remove_subject(id);
        self.condemned.remove(&id);
        change
    }

    fn accepts(&self, record: &MemberRecord) -> bool {
        if record.name.len() > MAX_NAME_BYTES || record.zone.len() > MAX_NAME_BYTES {
            return false;
        }
        match self.record(record.id()) {
            Some(known) => record.supersedes(known),
            None => self.entries.len() < MAX_MEMBERS,
        }
    }

    /// Records what an observer says of a member.
    pub fn accuse(&mut self, accusation: Accusation, now: Millis) -> AccusationOutcome {
        let Some(subject) = self.record(accusation.subject) else { return AccusationOutcome::Ignored };
        let is_current =
            subject.status == MemberStatus::Alive && subject.incarnation == accusation.incarnation;
        if !is_current || self.record(accusation.accuser).is_none() {
            return AccusationOutcome::Ignored;
        }
        self.accusations.record(accusation, now)
    }

    /// The accusations that stand against a member.
    pub fn accusations_against(&self, subject: MemberId) -> impl Iterator<Item = Accusation> + '_ {
        self.accusations.against(subject)
    }

    /// Forgets members that were removed or left so long ago that nobody will ask for them.
    pub fn forget_departed(&mut self, now: Millis) {
        let forget_after = self.timing.forget_after;
        self.entries.retain(|_, entry| {
            entry.record.status == MemberStatus::Alive || now - entry.updated_at < forget_after
        });
    }

    /// Takes a pause of this member out of all times, as it heard nobody during it.
    pub fn compensate_pause(&mut self, pause: Millis, now: Millis) {
        self.accusations.compensate_pause(pause, now);
        for condemned_since in self.condemned.values_mut() {
            *condemned_since = (*condemned_since + pause).min(now);
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
