//! Removal of members that a quorum of their observers has accused for at least the removal delay.

use super::MemberTable;
use crate::record::{MemberId, MemberRecord, MemberStatus};
use crate::Millis;
use std::collections::BTreeSet;

/// An accusation that is not repeated within this many probe intervals expires, because its accuser may have
/// stopped.
const ACCUSATION_LIFETIME_INTERVALS: f64 = 10.0;
/// A member accused by at least this many others is unreliable: its own accusations are not counted. Also the
/// minimum number of reliable accusers for a member to count as unreachable.
const MIN_CREDIBLE_ACCUSERS: usize = 2;
/// Minimum number of accusers for a removal, unless the member has fewer observers.
const MIN_QUORUM: usize = 2;
/// Members that were removed within this many probe intervals still count towards the cluster size. A side of
/// a partition removes members only if it has the majority of this size.
const RECENT_REMOVAL_INTERVALS: f64 = 60.0;

impl MemberTable {
    /// Updates the removal candidates and returns the records of the members that are now to be removed. The
    /// smaller side of a partition removes no members.
    pub fn due_removals(&mut self, now: Millis) -> Vec<MemberRecord> {
        let probe_interval = self.timing.probe_interval;
        self.accusations.expire(ACCUSATION_LIFETIME_INTERVALS * probe_interval, now);
        self.recent_removals
            .retain(|removal| now - removal.removed_at <= RECENT_REMOVAL_INTERVALS * probe_interval);
        self.update_removal_candidates(now);
        if self.mechanisms.majority && self.is_minority() {
            return Vec::new();
        }
        let mut removals = Vec::new();
        for (id, candidate_since) in &self.removal_candidates {
            if now - candidate_since < self.timing.removal_delay {
                continue;
            }
            if let Some(record) = self.record(*id) {
                removals.push(MemberRecord { status: MemberStatus::Removed, ..record.clone() });
            }
        }
        removals
    }

    /// Returns whether this member is on the smaller side of a partition: the members that are neither
    /// removal candidates nor unreachable are at most half of the running and recently removed members.
    pub fn is_minority(&self) -> bool {
        let is_lost = |id: &MemberId| self.removal_candidates.contains_key(id) || self.is_unreachable(*id);
        let lost = self.accusations.subjects().filter(is_lost).count();
        let members = self.rings.len();
        let reachable = members.saturating_sub(lost);
        2 * reachable <= members + self.recent_removals.len()
    }

    fn update_removal_candidates(&mut self, now: Millis) {
        let accused_by_quorum: BTreeSet<MemberId> =
            self.accusations.subjects().filter(|id| self.has_quorum_against(*id)).collect();
        self.removal_candidates.retain(|id, _| accused_by_quorum.contains(id));
        for id in accused_by_quorum {
            self.removal_candidates.entry(id).or_insert(now);
        }
    }

    /// Returns whether a quorum accuses a member: more than half of its reliable observers, and at least
    /// [`MIN_QUORUM`] of them unless it has fewer observers.
    fn has_quorum_against(&self, subject: MemberId) -> bool {
        let accusers: BTreeSet<MemberId> = self.connected_accusers(subject).collect();
        if !self.mechanisms.quorum {
            return !accusers.is_empty();
        }
        let observers = self.rings.observers(subject);
        let min_votes = observers.len().min(MIN_QUORUM);
        let mut voters = 0;
        let mut votes = 0;
        for observer in observers {
            if !self.is_unreliable(observer) {
                voters += 1;
                votes += usize::from(accusers.contains(&observer));
            }
        }
        2 * votes > voters && votes >= min_votes
    }

    /// Returns whether several reliable members accuse a member, including accusers that may themselves be
    /// partitioned. Each observer reaches only its own subjects, so only the accusations of all observers
    /// show how many members are unreachable.
    fn is_unreachable(&self, subject: MemberId) -> bool {
        let accusations = self.accusations.against(subject);
        let accusers = accusations.filter(|accusation| !self.is_unreliable(accusation.accuser));
        accusers.count() >= MIN_CREDIBLE_ACCUSERS
    }

    /// Returns whether several connected members accuse a member, so that its own accusations do not count.
    fn is_unreliable(&self, member: MemberId) -> bool {
        self.connected_accusers(member).count() >= MIN_CREDIBLE_ACCUSERS
    }

    /// Returns the accusers of a member that reach at least half of the members that they observe; without
    /// the majority mechanism, all accusers.
    fn connected_accusers(&self, subject: MemberId) -> impl Iterator<Item = MemberId> + '_ {
        let counts_all = !self.mechanisms.majority;
        let accusations = self.accusations.against(subject);
        let counted = accusations.filter(move |accusation| accusation.accuser_is_connected || counts_all);
        counted.map(|accusation| accusation.accuser)
    }
}
