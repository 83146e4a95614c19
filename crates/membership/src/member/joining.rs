//! Joining the cluster under a unique name, and leaving it.

use super::{Member, Phase, NAME_CLAIM_INTERVALS, OVERDUE_INTERVALS};
use crate::record::{Instance, MemberRecord, MemberStatus};
use crate::wire::MessagePart;
use crate::{Action, Millis, TerminationReason};
use std::net::SocketAddr;

/// A member forms a cluster of its own if no seed answers within this many probe intervals.
const SEED_TIMEOUT_INTERVALS: f64 = 5.0;
/// Maximum number of members that are notified directly when this member leaves; gossip notifies the others.
const MAX_LEAVE_NOTIFICATIONS: usize = 12;

impl Member {
    /// Asks a random seed for the members of the cluster. Joins without an answer if there are no seeds or
    /// none has answered in time.
    pub(super) fn continue_joining(&mut self, since: Millis, actions: &mut Vec<Action>) {
        let own_addr = self.config.addr;
        let seeds: Vec<SocketAddr> =
            self.config.seeds.iter().copied().filter(|seed| *seed != own_addr).collect();
        let timeout = SEED_TIMEOUT_INTERVALS * self.config.timing.probe_interval;
        if seeds.is_empty() || self.now - since >= timeout {
            return self.join(0);
        }
        if self.now >= self.next_exchange {
            self.next_exchange = self.now + self.config.timing.probe_interval;
            let with = seeds[self.random.next_index(seeds.len())];
            actions.push(Action::ExchangeState { with });
        }
    }

    /// Joins with an incarnation higher than `known_incarnation`, the highest one known for its name.
    pub(super) fn join(&mut self, known_incarnation: u64) {
        self.incarnation = self.incarnation.max(known_incarnation).saturating_add(1);
        if self.instance.first_incarnation == 0 {
            self.instance.first_incarnation = self.incarnation;
        }
        self.phase = Phase::Joined;
        self.next_exchange = self.now + self.config.timing.probe_interval;
        self.exchange_interval = 1.0;
        self.announce(MemberStatus::Alive);
    }

    /// Joins after the answer of a seed; if another process may hold the name, claims the name first.
    pub(super) fn join_or_claim_name(&mut self, own_record: Option<MemberRecord>, actions: &mut Vec<Action>) {
        let Some(known) = own_record else { return self.join(0) };
        if known.status != MemberStatus::Alive || known.addr == self.config.addr {
            return self.join(known.incarnation);
        }
        self.claim_name(&known, actions);
        let until = self.now + NAME_CLAIM_INTERVALS * self.config.timing.probe_interval;
        self.phase = Phase::ClaimingName { until, holder: known };
    }

    /// Asks the holder of its name whether it is still running.
    pub(super) fn claim_name(&mut self, holder: &MemberRecord, actions: &mut Vec<Action>) {
        let claim = MessagePart::NameClaim { name: self.own_id, instance: self.instance };
        self.send(holder.addr, vec![claim], actions);
    }

    /// Claims this member's name from another process that has also joined under it, unless a claim was sent
    /// recently.
    pub(super) fn contest_name(&mut self, holder: &MemberRecord, actions: &mut Vec<Action>) {
        let min_interval = OVERDUE_INTERVALS * self.config.timing.probe_interval;
        if self.now - self.last_name_claim >= min_interval {
            self.last_name_claim = self.now;
            self.claim_name(holder, actions);
        }
    }

    /// Handles another process's claim of this member's name. Terminates this member if the claimant has
    /// joined and is older. Otherwise returns the answer; `None` if the claim needs no answer.
    pub(super) fn receive_name_claim(
        &mut self,
        claimant: Instance,
        actions: &mut Vec<Action>,
    ) -> Option<MessagePart> {
        if !self.has_joined() {
            return None;
        }
        if claimant.first_incarnation > 0 && claimant < self.instance {
            let name = self.config.name.clone();
            self.terminate(TerminationReason::ClaimedByOlder { name }, actions);
            return None;
        }
        if claimant == self.instance {
            return None;
        }
        Some(MessagePart::NameHeld { name: self.own_id, instance: self.instance })
    }

    /// Handles the answer that another process holds this member's name. Of two joined processes, the older
    /// one keeps the name; a process that has not joined terminates.
    pub(super) fn receive_name_held(&mut self, holder: Instance, actions: &mut Vec<Action>) {
        if holder != self.instance && (!self.has_joined() || holder < self.instance) {
            let name = self.config.name.clone();
            self.terminate(TerminationReason::HeldByOther { name }, actions);
        }
    }

    fn terminate(&mut self, reason: TerminationReason, actions: &mut Vec<Action>) {
        self.phase = Phase::Ended;
        actions.push(Action::Terminate { reason });
    }

    /// Leaves the cluster and notifies some of the other members, which spread the departure by gossip.
    pub fn leave(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.has_joined() {
            self.announce(MemberStatus::Left);
            let others: Vec<SocketAddr> = self.addresses_of_others(MemberStatus::Alive).collect();
            for offset in 0..others.len().min(MAX_LEAVE_NOTIFICATIONS) {
                let to = others[(offset + self.sequence as usize) % others.len()];
                // The datagram has no parts of its own; it carries the announced record as gossip.
                self.send(to, Vec::new(), actions);
            }
        }
        self.phase = Phase::Ended;
    }
}
