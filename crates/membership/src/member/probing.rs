//! Probing: pings the observed members directly and through relays, and accuses those that do not answer.

use super::{Member, OVERDUE_INTERVALS};
use crate::record::{MemberId, MemberRecord, MemberStatus};
use crate::wire::MessagePart;
use crate::{Action, Millis};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of members that are asked to ping a subject on behalf of this member.
const RELAYS: usize = 3;
/// Number of random members from which the relays are chosen.
const RELAY_CANDIDATES: usize = 12;
/// Maximum number of accusations against its receiver that a ping carries, so that the receiver can refute
/// them early.
const MAX_ACCUSATIONS_IN_PING: usize = 3;
/// A subject without an acknowledged ping for this fraction of the suspicion timeout counts as unresponsive.
const UNRESPONSIVE_FRACTION: f64 = 0.6;
/// An accusation that has not been withdrawn is repeated after this many probe intervals.
const ACCUSATION_REPEAT_INTERVALS: f64 = 4.0;
/// An ack is accepted for this many suspicion timeouts after its ping.
const PENDING_PING_TIMEOUTS: f64 = 2.0;
/// Minimum time between two regular pings of a member, in probe intervals.
const MIN_PING_INTERVAL: f64 = 0.9;
/// Maximum random addition to the time between two pings, in probe intervals.
const PING_JITTER: f64 = 0.2;
/// Maximum number of pending pings on behalf of other members.
const MAX_RELAYED_PINGS: usize = 1_024;

/// The state of probing one observed member.
#[derive(Clone, Debug)]
pub struct SubjectState {
    /// The send time of the latest ping that the member has acknowledged, directly or through a relay; before
    /// the first one, the time from which the member is observed. Shifted by pauses of this process.
    pub last_acked_at: Millis,
    next_ping: Millis,
    next_ping_request: Millis,
    /// The time of the latest accusation by this member; `None` if its accusation does not stand.
    pub accused_at: Option<Millis>,
}

/// How a ping reaches its subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    Direct,
    Relayed,
}

/// A ping, or a ping request, that may still be answered.
#[derive(Clone, Debug)]
pub struct PendingPing {
    subject: MemberId,
    sent_at: Millis,
    route: Route,
}

/// A ping sent on behalf of another member.
#[derive(Clone, Debug)]
pub struct RelayedPing {
    requester: SocketAddr,
    requester_nonce: u64,
    sent_at: Millis,
}

/// Another member's request to ping a subject on its behalf.
#[derive(Clone, Copy, Debug)]
pub struct PingRequest {
    pub nonce: u64,
    pub subject: MemberId,
    pub addr: SocketAddr,
}

impl Member {
    /// Pings the observed members, and accuses those that have not acknowledged a ping in time.
    pub(super) fn probe_subjects(&mut self, actions: &mut Vec<Action>) {
        self.update_subjects();
        self.expire_pings();
        let was_maybe_partitioned = self.may_be_partitioned;
        self.check_own_connectivity();
        let connectivity_changed = was_maybe_partitioned != self.may_be_partitioned;
        let ids: Vec<MemberId> = self.subjects.keys().copied().collect();
        for id in ids {
            self.probe_subject(id, connectivity_changed, actions);
        }
    }

    fn probe_subject(&mut self, id: MemberId, connectivity_changed: bool, actions: &mut Vec<Action>) {
        let Some(subject) = self.subjects.get(&id).cloned() else { return };
        let now = self.now;
        let timing = self.config.timing;
        let since_ack = now - subject.last_acked_at;
        let is_overdue = since_ack > OVERDUE_INTERVALS * timing.probe_interval;
        if now >= subject.next_ping || is_overdue {
            self.ping(id, actions);
            let jitter = PING_JITTER * self.random.next_fraction();
            let next_ping = now + timing.probe_interval * (MIN_PING_INTERVAL + jitter);
            self.update_subject(id, |subject| subject.next_ping = next_ping);
        }
        if is_overdue && now >= subject.next_ping_request && self.config.mechanisms.indirect_pings {
            self.request_pings(id, actions);
            let next_ping_request = now + timing.probe_interval;
            self.update_subject(id, |subject| subject.next_ping_request = next_ping_request);
        }
        let repeat_after = ACCUSATION_REPEAT_INTERVALS * timing.probe_interval;
        let accusation_due = match subject.accused_at {
            None => true,
            Some(accused_at) => connectivity_changed || now - accused_at >= repeat_after,
        };
        if since_ack > timing.suspicion_timeout && accusation_due && !self.all_subjects_unresponsive {
            if subject.accused_at.is_none() {
                self.metrics.accusations += 1;
            }
            self.accuse(id, actions);
            self.update_subject(id, |subject| subject.accused_at = Some(now));
        }
    }

    fn update_subject(&mut self, id: MemberId, update: impl FnOnce(&mut SubjectState)) {
        if let Some(subject) = self.subjects.get_mut(&id) {
            update(subject);
        }
    }

    /// Updates the observed members and the other running members to the latest view.
    fn update_subjects(&mut self) {
        let version = self.table.view_version();
        if self.subjects_version == Some(version) {
            return;
        }
        self.subjects_version = Some(version);
        let ids: BTreeSet<MemberId> = self.table.subjects(self.own_id);
        self.subjects.retain(|id, _| ids.contains(id));
        self.other_members.clear();
        for (id, record) in self.table.records() {
            if id != self.own_id && record.status == MemberStatus::Alive {
                self.other_members.push(id);
            }
        }
        for id in ids {
            // The first pings are spread over a probe interval.
            let delay = self.random.next_fraction() * self.config.timing.probe_interval;
            let new_subject = SubjectState {
                last_acked_at: self.now,
                next_ping: self.now + delay,
                next_ping_request: self.now,
                accused_at: None,
            };
            self.subjects.entry(id).or_insert(new_subject);
        }
    }

    /// Removes the pending and the relayed pings whose acks are no longer accepted.
    fn expire_pings(&mut self) {
        let oldest_accepted = self.now - PENDING_PING_TIMEOUTS * self.config.timing.suspicion_timeout;
        while let Some(first) = self.pending_pings.first_entry() {
            if first.get().sent_at >= oldest_accepted {
                break;
            }
            if first.remove().route == Route::Direct {
                self.metrics.missed_acks += 1;
            }
        }
        self.relayed_pings.retain(|_, relayed| relayed.sent_at >= oldest_accepted);
    }

    /// Checks whether most or all subjects are unresponsive. In this case, the fault may be in this member's
    /// own connection.
    fn check_own_connectivity(&mut self) {
        let max_since_ack = UNRESPONSIVE_FRACTION * self.config.timing.suspicion_timeout;
        let is_unresponsive = |subject: &&SubjectState| self.now - subject.last_acked_at > max_since_ack;
        let unresponsive = self.subjects.values().filter(is_unresponsive).count();
        self.all_subjects_unresponsive = unresponsive > 0 && unresponsive == self.subjects.len();
        self.may_be_partitioned = 2 * unresponsive > self.subjects.len();
    }

    /// Pings a member directly.
    pub(super) fn ping(&mut self, id: MemberId, actions: &mut Vec<Action>) {
        let Some(addr) = self.table.record(id).map(|record| record.addr) else { return };
        let nonce = self.next_nonce();
        let pending = PendingPing { subject: id, sent_at: self.now, route: Route::Direct };
        self.pending_pings.insert(nonce, pending);
        self.metrics.pings += 1;
        let mut parts = vec![MessagePart::Ping { nonce, to: id }];
        let accusations = self.table.accusations_against(id);
        parts.extend(accusations.take(MAX_ACCUSATIONS_IN_PING).map(MessagePart::Accusation));
        self.send(addr, parts, actions);
    }

    /// Asks other members to ping a subject on behalf of this member.
    fn request_pings(&mut self, subject: MemberId, actions: &mut Vec<Action>) {
        let Some(addr) = self.table.record(subject).map(|record| record.addr) else { return };
        for relay in self.choose_relays(subject) {
            let nonce = self.next_nonce();
            let pending = PendingPing { subject, sent_at: self.now, route: Route::Relayed };
            self.pending_pings.insert(nonce, pending);
            self.metrics.ping_requests += 1;
            self.send(relay, vec![MessagePart::PingRequest { nonce, subject, addr }], actions);
        }
    }

    /// Returns the addresses of up to [`RELAYS`] members, from as many different zones as there are among up
    /// to [`RELAY_CANDIDATES`] random members.
    fn choose_relays(&mut self, subject: MemberId) -> Vec<SocketAddr> {
        let candidates = self.other_members.len().min(RELAY_CANDIDATES);
        // A partial Fisher-Yates shuffle moves random members to the front.
        for position in 0..candidates {
            let chosen = position + self.random.next_index(self.other_members.len() - position);
            self.other_members.swap(position, chosen);
        }
        let mut zones = BTreeSet::new();
        let mut first_of_zone: Vec<&MemberRecord> = Vec::new();
        let mut others_of_zone: Vec<&MemberRecord> = Vec::new();
        for id in &self.other_members[..candidates] {
            let Some(record) = self.table.record(*id) else { continue };
            if *id == subject {
                continue;
            }
            if zones.insert(record.zone.as_str()) {
                first_of_zone.push(record);
            } else {
                others_of_zone.push(record);
            }
        }
        let relays = first_of_zone.into_iter().chain(others_of_zone).take(RELAYS);
        relays.map(|record| record.addr).collect()
    }

    /// Pings a member on behalf of another one.
    pub(super) fn relay_ping(
        &mut self,
        requester: SocketAddr,
        request: PingRequest,
        actions: &mut Vec<Action>,
    ) {
        if self.relayed_pings.len() >= MAX_RELAYED_PINGS || !self.has_joined() {
            return;
        }
        let nonce = self.next_nonce();
        let relayed = RelayedPing { requester, requester_nonce: request.nonce, sent_at: self.now };
        self.relayed_pings.insert(nonce, relayed);
        self.send(request.addr, vec![MessagePart::Ping { nonce, to: request.subject }], actions);
    }

    /// Handles an ack for one of this member's own pings, or for a ping on behalf of another member.
    pub(super) fn receive_ack(&mut self, nonce: u64, actions: &mut Vec<Action>) {
        match self.relayed_pings.remove(&nonce) {
            Some(relayed) => {
                let ack = MessagePart::IndirectAck { nonce: relayed.requester_nonce };
                self.send(relayed.requester, vec![ack], actions);
            }
            None => self.record_ack(nonce),
        }
    }

    /// Records that a subject has acknowledged a ping, directly or through a relay.
    pub(super) fn record_ack(&mut self, nonce: u64) {
        let Some(pending) = self.pending_pings.remove(&nonce) else { return };
        let Some(subject) = self.subjects.get_mut(&pending.subject) else { return };
        subject.last_acked_at = subject.last_acked_at.max(pending.sent_at);
        let is_recent = self.now - subject.last_acked_at <= self.config.timing.suspicion_timeout;
        if is_recent && subject.accused_at.take().is_some() {
            self.withdraw_accusation(pending.subject);
        }
    }
}
