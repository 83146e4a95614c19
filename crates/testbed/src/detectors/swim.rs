//! SWIM with suspicion: round-robin pings, indirect pings, and suspicions that a member may refute.

use super::model::{Belief, Model, Payload, Status};
use super::PROBE_INTERVAL;
use postusher_membership::Millis;
use rand::seq::SliceRandom;
use std::collections::BTreeMap;

/// Time without an acknowledgement after which other members are asked to ping the subject.
const INDIRECT_PING_AFTER: Millis = 500.0;
/// Number of members that are asked for an indirect ping.
const INDIRECT_PINGS: usize = 3;
/// Time for which a suspicion may be refuted before the member is removed: as long as the silence after which
/// an observer accuses a member in the protocol of the scheduler program, by default.
const SUSPICION_TIMEOUT: Millis = 5_000.0;

const FIRST_INCARNATION: u64 = 1;

/// Whether others have been asked to ping the subject of a pending ping.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PingStage {
    Direct,
    Indirect,
}

/// A ping that has not been acknowledged.
#[derive(Clone, Copy, Debug)]
struct PendingPing {
    sequence: u64,
    subject: usize,
    sent_at: Millis,
    stage: PingStage,
}

/// A ping on behalf of another member.
#[derive(Clone, Copy, Debug)]
struct RelayedPing {
    requester: usize,
    requester_sequence: u64,
}

/// The state of a SWIM member.
#[derive(Clone)]
pub(super) struct SwimMember {
    /// The belief about each member, including itself.
    pub(super) beliefs: Vec<Belief>,
    /// When each of the beliefs last changed.
    believed_since: Vec<Millis>,
    /// Members still to be pinged in the current round; the last one is next.
    round: Vec<usize>,
    pending_ping: Option<PendingPing>,
    /// Relayed pings, by the sequence number under which they were relayed.
    relayed_pings: BTreeMap<u64, RelayedPing>,
}

impl SwimMember {
    /// Creates a member of a cluster of the given size that believes all members to be alive.
    pub(super) fn new(members: usize) -> SwimMember {
        let alive = Belief { incarnation: FIRST_INCARNATION, status: Status::Alive };
        SwimMember {
            beliefs: vec![alive; members],
            believed_since: vec![0.0; members],
            round: Vec::new(),
            pending_ping: None,
            relayed_pings: BTreeMap::new(),
        }
    }
}

impl Model<'_> {
    /// Handles the pending ping, sends the next one when it is due, and removes suspects that did not refute
    /// the suspicion in time.
    pub(super) fn tick_swim(&mut self, index: usize) {
        self.request_indirect_pings(index);
        if self.now >= self.members[index].next_probe_at {
            self.members[index].next_probe_at += PROBE_INTERVAL;
            self.suspect_unanswered(index);
            self.ping_next(index);
        }
        self.remove_unrefuted_suspects(index);
    }

    fn request_indirect_pings(&mut self, index: usize) {
        let now = self.now;
        let Some(ping) = &mut self.members[index].swim.pending_ping else { return };
        if ping.stage == PingStage::Indirect || now - ping.sent_at < INDIRECT_PING_AFTER {
            return;
        }
        ping.stage = PingStage::Indirect;
        let PendingPing { sequence, subject, .. } = *ping;
        let mut relays = self.others_not_removed(index);
        relays.retain(|relay| *relay != subject);
        relays.shuffle(&mut self.rng);
        relays.truncate(INDIRECT_PINGS);
        for relay in relays {
            self.send(index, relay, Payload::PingRequest { sequence, subject });
        }
    }

    fn suspect_unanswered(&mut self, index: usize) {
        if let Some(ping) = self.members[index].swim.pending_ping.take() {
            let incarnation = self.members[index].swim.beliefs[ping.subject].incarnation;
            self.adopt_belief(index, ping.subject, Belief { incarnation, status: Status::Suspect });
        }
    }

    /// Pings the next member of the round. Each round contains all other members that are not removed, in a
    /// new random order.
    fn ping_next(&mut self, index: usize) {
        if self.members[index].swim.round.is_empty() {
            let mut round = self.others_not_removed(index);
            round.shuffle(&mut self.rng);
            self.members[index].swim.round = round;
        }
        if let Some(subject) = self.members[index].swim.round.pop() {
            let sequence = self.next_sequence();
            let ping = PendingPing { sequence, subject, sent_at: self.now, stage: PingStage::Direct };
            self.members[index].swim.pending_ping = Some(ping);
            self.send(index, subject, Payload::Ping { sequence });
        }
    }

    fn remove_unrefuted_suspects(&mut self, index: usize) {
        for subject in 0..self.case.members {
            let swim = &self.members[index].swim;
            let Belief { incarnation, status } = swim.beliefs[subject];
            let is_expired = self.now - swim.believed_since[subject] >= SUSPICION_TIMEOUT;
            if status == Status::Suspect && is_expired {
                self.adopt_belief(index, subject, Belief { incarnation, status: Status::Removed });
            }
        }
    }

    fn others_not_removed(&self, index: usize) -> Vec<usize> {
        let beliefs = &self.members[index].swim.beliefs;
        (0..self.case.members)
            .filter(|member| *member != index && beliefs[*member].status != Status::Removed)
            .collect()
    }

    /// Forwards an acknowledgement to the member that requested the ping, or completes the member's own ping.
    pub(super) fn handle_ack(&mut self, index: usize, sequence: u64) {
        let swim = &mut self.members[index].swim;
        if let Some(relayed) = swim.relayed_pings.remove(&sequence) {
            self.send(index, relayed.requester, Payload::Ack { sequence: relayed.requester_sequence });
        } else if swim.pending_ping.is_some_and(|ping| ping.sequence == sequence) {
            swim.pending_ping = None;
        }
    }

    /// Pings a member on behalf of another.
    pub(super) fn relay_ping(
        &mut self,
        index: usize,
        requester: usize,
        requester_sequence: u64,
        subject: usize,
    ) {
        let sequence = self.next_sequence();
        let relayed = RelayedPing { requester, requester_sequence };
        self.members[index].swim.relayed_pings.insert(sequence, relayed);
        self.send(index, subject, Payload::Ping { sequence });
    }

    /// Adopts a belief, received or formed by the member itself, if it supersedes the present one. A member
    /// that is suspected or removed by the belief refutes it.
    pub(super) fn adopt_belief(&mut self, index: usize, subject: usize, belief: Belief) {
        let swim = &mut self.members[index].swim;
        let previous = swim.beliefs[subject];
        if belief <= previous {
            return;
        }
        if subject == index {
            let incarnation = belief.incarnation + 1;
            swim.beliefs[index] = Belief { incarnation, status: Status::Alive };
            return;
        }
        swim.beliefs[subject] = belief;
        swim.believed_since[subject] = self.now;
        if belief.status == Status::Removed && previous.status != Status::Removed {
            self.record_removal(index, subject);
        }
    }
}
