//! Accusations: sending and receiving them, and refuting accusations of this member itself.

use super::Member;
use crate::accusations::{Accusation, AccusationOutcome};
use crate::record::{MemberId, MemberStatus};
use crate::Action;

/// Number of low bits of an accusation's sequence number that hold the counter. The high bits hold the
/// accuser's incarnation, so that the numbers keep increasing across a restart.
const SEQUENCE_BITS: u32 = 32;

impl Member {
    /// Accuses a member of not acknowledging pings, and pings it again. The ping carries accusations against
    /// its receiver.
    pub(super) fn accuse(&mut self, subject: MemberId, actions: &mut Vec<Action>) {
        if self.table.record(subject).is_some() {
            self.publish_accusation(subject, true);
            self.ping(subject, actions);
        }
    }

    /// Withdraws an accusation after the member has acknowledged a ping again.
    pub(super) fn withdraw_accusation(&mut self, subject: MemberId) {
        self.publish_accusation(subject, false);
    }

    fn publish_accusation(&mut self, subject: MemberId, stands: bool) {
        let Some(record) = self.table.record(subject) else { return };
        let incarnation = record.incarnation;
        self.sequence += 1;
        let accusation = Accusation {
            accuser: self.own_id,
            subject,
            incarnation,
            sequence: self.incarnation << SEQUENCE_BITS | self.sequence,
            stands,
            accuser_is_connected: !self.may_be_partitioned,
        };
        if self.table.accuse(accusation, self.now) == AccusationOutcome::Recorded {
            self.gossip.push_accusation(accusation);
        }
    }

    /// Handles a received accusation: refutes it if it concerns this member, otherwise records and gossips
    /// it.
    pub(super) fn receive_accusation(&mut self, accusation: Accusation) {
        if accusation.subject == self.own_id {
            let is_current = accusation.incarnation >= self.incarnation;
            if accusation.stands && is_current && self.has_joined() {
                self.refute(accusation.incarnation);
            }
            return;
        }
        if accusation.accuser == self.own_id {
            return;
        }
        if self.table.accuse(accusation, self.now) == AccusationOutcome::Recorded {
            self.gossip.push_accusation(accusation);
        }
    }

    /// Refutes an accusation against this member, or a record of it, at the given incarnation by announcing a
    /// higher incarnation.
    pub(super) fn refute(&mut self, incarnation: u64) {
        if !self.config.mechanisms.refutation {
            return;
        }
        self.metrics.refutations += 1;
        if self.config.mechanisms.raised_incarnation {
            self.incarnation = self.incarnation.max(incarnation).saturating_add(1);
        }
        self.announce(MemberStatus::Alive);
    }
}
