//! Accusations: those that it makes, those that it hears, and the refutation of those against itself.

use super::Member;
use crate::accusations::{Accusation, AccusationOutcome};
use crate::record::{MemberId, MemberStatus};
use crate::Action;

/// The low bits of an accusation's sequence number count; the others are the accuser's incarnation, so that the numbers
/// rise over a restart.
const SEQUENCE_BITS: u32 = 32;

impl Member {
    /// Says that it has no proof of life of a member, and pings it once more.
    pub(super) fn accuse(&mut self, subject: MemberId, actions: &mut Vec<Action>) {
        if self.table.record(subject).is_some() {
            self.publish_accusation(subject, true);
            self.ping(subject, actions);
        }
    }

    /// Says that it has proof of life of a member again.
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
            accuser_is_connected: !self.may_be_cut_off,
        };
        if self.table.accuse(accusation, self.now) == AccusationOutcome::Recorded {
            self.gossip.push_accusation(accusation);
        }
    }

    /// An accusation has arrived.
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

    /// Says that it lives, against an accusation or a record at an incarnation.
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
