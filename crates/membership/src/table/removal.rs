//! Which members are removed: those that a quorum of their observers has accused for long enough.

use super::MemberTable;
use crate::record::{MemberId, MemberRecord, MemberStatus};
use crate::Millis;
use std::collections::BTreeSet;

/// An accusation that is not repeated for so many probe intervals lapses: its accuser may be gone.
const ACCUSATION_LIFETIME_INTERVALS: f64 = 10.0;
/// A member that so many others accuse is doubtful: its own accusations don't count.
const DOUBTFUL_ACCUSERS: usize = 2;
/// The fewest accusers that remove a member, where it has so many observers.
const MIN_QUORUM: usize = 2;
/// Members that were removed within so many probe intervals still count in the size of the cluster, of which a side
/// needs the majority.
const RECENT_REMOVAL_INTERVALS: f64 = 60.0;

impl MemberTable {
    /// Updates the verdicts and returns the members to remove now, as the records that say so. The smaller side of a
    /// partition removes nobody.
    pub fn due_removals(&mut self, now: Millis) -> Vec<MemberRecord> {
        let probe_interval = self.timing.probe_interval;
        self.accusations.expire(ACCUSATION_LIFETIME_INTERVALS * probe_interval, now);
        self.recent_removals.retain(|removal| now - removal.at <= RECENT_REMOVAL_INTERVALS * probe_interval);
        self.update_condemned(now);
        if self.mechanisms.majority && self.is_minority() {
            return Vec::new();
        }
        let mut removals = Vec::new();
        for (id, condemned_since) in &self.condemned {
            if now - condemned_since < self.timing.removal_delay {
                continue;
            }
            if let Some(record) = self.record(*id) {
                removals.push(MemberRecord { status: MemberStatus::Removed, ..record.clone() });
            }
        }
        removals
    }

    /// Whether those that are neither condemned nor unheard are no majority of the recent members.
    pub fn is_minority(&self) -> bool {
        let is_silent = |id: &MemberId| self.condemned.contains_key(id) || self.is_unheard(*id);
        let silent = self.accusations.subjects().filter(is_silent).count();
        let members = self.rings.len();
        let heard = members.saturating_sub(silent);
        2 * heard <= members + self.recent_removals.len()
    }

    fn update_condemned(&mut self, now: Millis) {
        let condemned: BTreeSet<MemberId> =
            self.accusations.subjects().filter(|id| self.is_condemned(*id)).collect();
        self.condemned.retain(|id, _| condemned.contains(id));
        for id in condemned {
            self.condemned.entry(id).or_insert(now);
        }
    }

    /// Whether a quorum accuses a member: more than half of its observers that are not doubtful, and at least
    /// [`MIN_QUORUM`] where it has so many.
    fn is_condemned(&self, subject: MemberId) -> bool {
        let accusers: BTreeSet<MemberId> = self.connected_accusers(subject).collect();
        if !self.mechanisms.quorum {
            return !accusers.is_empty();
        }
        let observers = self.rings.observers(subject);
        let min_votes = observers.len().min(MIN_QUORUM);
        let mut voters = 0;
        let mut votes = 0;
        for observer in observers {
            if !self.is_doubtful(observer) {
                voters += 1;
                votes += usize::from(accusers.contains(&observer));
            }
        }
        2 * votes > voters && votes >= min_votes
    }

    /// Whether several members that are not doubtful accuse a member, connected or not. Each observer hears only its own
    /// subjects: how many members cannot be heard shows only in the accusations of all.
    fn is_unheard(&self, subject: MemberId) -> bool {
        let accusations = self.accusations.against(subject);
        let accusers = accusations.filter(|accusation| !self.is_doubtful(accusation.accuser));
        accusers.count() >= DOUBTFUL_ACCUSERS
    }

    fn is_doubtful(&self, member: MemberId) -> bool {
        self.connected_accusers(member).count() >= DOUBTFUL_ACCUSERS
    }

    /// Those who accuse a member and hear most of the others.
    fn connected_accusers(&self, subject: MemberId) -> impl Iterator<Item = MemberId> + '_ {
        let any_accuser = !self.mechanisms.majority;
        let accusations = self.accusations.against(subject);
        let counted = accusations.filter(move |accusation| accusation.accuser_is_connected || any_accuser);
        counted.map(|accusation| accusation.accuser)
    }
}
