//! Joining the cluster under a name that no other process has, and leaving it.

use super::{Member, Phase, DOUBT_INTERVALS, NAME_CLAIM_INTERVALS};
use crate::record::{Instance, MemberRecord, MemberStatus};
use crate::wire::MessagePart;
use crate::{Action, Millis, TerminationReason};
use std::net::SocketAddr;

/// A member begins alone if no seed has answered for so many probe intervals.
const SEED_TIMEOUT_INTERVALS: f64 = 5.0;
/// The most other members that are told directly that it leaves; they pass it on.
const MAX_FAREWELLS: usize = 12;

impl Member {
    /// Asks a seed for the members, or joins alone.
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

    /// Joins under a higher incarnation than any that is known of its name.
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

    /// Joins with what a seed knows, once no other process answers for its name.
    pub(super) fn join_or_claim_name(&mut self, own_record: Option<MemberRecord>, actions: &mut Vec<Action>) {
        let Some(known) = own_record else { return self.join(0) };
        if known.status != MemberStatus::Alive || known.addr == self.config.addr {
            return self.join(known.incarnation);
        }
        self.claim_name(&known, actions);
        let until = self.now + NAME_CLAIM_INTERVALS * self.config.timing.probe_interval;
        self.phase = Phase::ClaimingName { until, holder: known };
    }

    /// Asks the holder of its name whether it runs.
    pub(super) fn claim_name(&mut self, holder: &MemberRecord, actions: &mut Vec<Action>) {
        let claim = MessagePart::NameClaim { name: self.own_id, instance: self.instance };
        self.send(holder.addr, vec![claim], actions);
    }

    /// Claims its name again from a process that was told of, unless it did so lately.
    pub(super) fn contest_name(&mut self, other: &MemberRecord, actions: &mut Vec<Action>) {
        let pause = DOUBT_INTERVALS * self.config.timing.probe_interval;
        if self.now - self.last_name_claim >= pause {
            self.last_name_claim = self.now;
            self.claim_name(other, actions);
        }
    }

    /// Another process claims its name. Returns the answer, if there is one.
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

    /// Another process holds its name. Of two that have joined, the older one keeps it.
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

    /// Leaves the cluster and tells some others, who pass it on.
    pub fn leave(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.has_joined() {
            self.announce(MemberStatus::Left);
            let others: Vec<SocketAddr> = self.addresses_of_others(MemberStatus::Alive).collect();
            for number in 0..others.len().min(MAX_FAREWELLS) {
                let to = others[(number + self.sequence as usize) % others.len()];
                self.send(to, Vec::new(), actions);
            }
        }
        self.phase = Phase::Ended;
    }
}
