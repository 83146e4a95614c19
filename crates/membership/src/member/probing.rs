//! Probing: pings of the members that it observes, directly and through others, and accusations of the silent ones.

use super::{Member, DOUBT_INTERVALS};
use crate::record::{MemberId, MemberRecord, MemberStatus};
use crate::wire::MessagePart;
use crate::{Action, Millis};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The members that are asked to ping in its place.
const RELAYS: usize = 3;
/// The random members that relays are chosen of.
const RELAY_CANDIDATES: usize = 12;
/// A ping carries so many of the accusations against its receiver, which hears of them first.
const MAX_ACCUSATIONS_IN_PING: usize = 3;
/// A subject without proof of life for this part of the suspicion timeout counts as unheard.
const UNHEARD_PART: f64 = 0.6;
/// An accusation that stands is repeated after so many probe intervals.
const ACCUSATION_REPEAT_INTERVALS: f64 = 4.0;
/// A ping can be answered for so many suspicion timeouts.
const PENDING_PING_TIMEOUTS: f64 = 2.0;
/// The shortest time between two pings of a member, in probe intervals.
const MIN_PING_INTERVAL: f64 = 0.9;
/// The random part of the time between two pings, in probe intervals.
const PING_JITTER: f64 = 0.2;
/// The most pings in place of others that are pending.
const MAX_RELAYED_PINGS: usize = 1_024;

/// What an observer knows of a member that it observes.
#[derive(Clone, Debug)]
pub struct SubjectState {
    /// The latest time at which the member is proved to have lived.
    pub last_proof: Millis,
    next_ping: Millis,
    next_ping_request: Millis,
    /// When it was last accused, if that stands.
    pub accused_at: Option<Millis>,
}

/// How a ping reaches its subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Route {
    Direct,
    Relayed,
}

/// A ping, or a ping request, that may be answered.
#[derive(Clone, Debug)]
pub struct PendingPing {
    subject: MemberId,
    sent_at: Millis,
    route: Route,
}

/// A ping that was sent in another member's place.
#[derive(Clone, Debug)]
pub struct RelayedPing {
    requester: SocketAddr,
    requester_nonce: u64,
    sent_at: Millis,
}

/// Another member's request to ping in its place.
#[derive(Clone, Copy, Debug)]
pub struct PingRequest {
    pub nonce: u64,
    pub subject: MemberId,
    pub addr: SocketAddr,
}

impl Member {
    /// Pings the members that it observes, and accuses those without proof of life.
    pub(super) fn probe_subjects(&mut self, actions: &mut Vec<Action>) {
        self.update_subjects();
        self.expire_pings();
        let was_maybe_cut_off = self.may_be_cut_off;
        self.check_own_connection();
        let connection_changed = was_maybe_cut_off != self.may_be_cut_off;
        let ids: Vec<MemberId> = self.subjects.keys().copied().collect();
        for id in ids {
            self.probe_subject(id, connection_changed, actions);
        }
    }

    fn probe_subject(&mut self, id: MemberId, connection_changed: bool, actions: &mut Vec<Action>) {
        let Some(subject) = self.subjects.get(&id).cloned() else { return };
        let now = self.now;
        let timing = self.config.timing;
        let silence = now - subject.last_proof;
        let in_doubt = silence > DOUBT_INTERVALS * timing.probe_interval;
        if now >= subject.next_ping || in_doubt {
            self.ping(id, actions);
            let jitter = PING_JITTER * self.random.next_fraction();
            let next_ping = now + timing.probe_interval * (MIN_PING_INTERVAL + jitter);
            self.update_subject(id, |subject| subject.next_ping = next_ping);
        }
        if in_doubt && now >= subject.next_ping_request && self.config.mechanisms.indirect_pings {
            self.request_pings(id, actions);
            let next_ping_request = now + timing.probe_interval;
            self.update_subject(id, |subject| subject.next_ping_request = next_ping_request);
        }
        let repeat_after = ACCUSATION_REPEAT_INTERVALS * timing.probe_interval;
        let accusation_due = match subject.accused_at {
            None => true,
            Some(accused_at) => connection_changed || now - accused_at >= repeat_after,
        };
        if silence > timing.suspicion_timeout && accusation_due && !self.hears_no_subject {
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

    /// Follows the latest view: which members it observes, and which others run.
    fn update_subjects(&mut self) {
        let version = self.table.view_version();
        if self.subjects_version == Some(version) {
            return;
        }
        self.subjects_version = Some(version);
        let ids: BTreeSet<MemberId> = self.table.subjects(self.own_id);
        self.subjects.retain(|id, _| ids.contains(id));
        self.others.clear();
        for (id, record) in self.table.records() {
            if id != self.own_id && record.status == MemberStatus::Alive {
                self.others.push(id);
            }
        }
        for id in ids {
            // The first pings are spread over a probe interval.
            let delay = self.random.next_fraction() * self.config.timing.probe_interval;
            let new = SubjectState {
                last_proof: self.now,
                next_ping: self.now + delay,
                next_ping_request: self.now,
                accused_at: None,
            };
            self.subjects.entry(id).or_insert(new);
        }
    }

    fn expire_pings(&mut self) {
        let oldest = self.now - PENDING_PING_TIMEOUTS * self.config.timing.suspicion_timeout;
        while let Some(first) = self.pending_pings.first_entry() {
            if first.get().sent_at >= oldest {
                break;
            }
            if first.remove().route == Route::Direct {
                self.metrics.missed_acks += 1;
            }
        }
        self.relayed_pings.retain(|_, relayed| relayed.sent_at >= oldest);
    }

    /// Compares how many of its subjects it hears: if few, the fault may be its own.
    fn check_own_connection(&mut self) {
        let max_silence = UNHEARD_PART * self.config.timing.suspicion_timeout;
        let is_unheard = |subject: &&SubjectState| self.now - subject.last_proof > max_silence;
        let unheard = self.subjects.values().filter(is_unheard).count();
        self.hears_no_subject = unheard > 0 && unheard == self.subjects.len();
        self.may_be_cut_off = 2 * unheard > self.subjects.len();
    }

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

    /// Asks others to ping a member in its place.
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

    /// Random members, each of another zone as long as there are any.
    fn choose_relays(&mut self, subject: MemberId) -> Vec<SocketAddr> {
        let candidates = self.others.len().min(RELAY_CANDIDATES);
        for position in 0..candidates {
            let other = position + self.random.next_index(self.others.len() - position);
            self.others.swap(position, other);
        }
        let mut zones = BTreeSet::new();
        let mut of_new_zones: Vec<&MemberRecord> = Vec::new();
        let mut of_known_zones: Vec<&MemberRecord> = Vec::new();
        for id in &self.others[..candidates] {
            let Some(record) = self.table.record(*id) else { continue };
            if *id == subject {
                continue;
            }
            if zones.insert(record.zone.as_str()) {
                of_new_zones.push(record);
            } else {
                of_known_zones.push(record);
            }
        }
        let relays = of_new_zones.into_iter().chain(of_known_zones).take(RELAYS);
        relays.map(|record| record.addr).collect()
    }

    /// Pings a member in another one's place.
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

    /// An ack has arrived: for a ping of its own, or for one in another member's place.
    pub(super) fn receive_ack(&mut self, nonce: u64, actions: &mut Vec<Action>) {
        match self.relayed_pings.remove(&nonce) {
            Some(relayed) => {
                let ack = MessagePart::IndirectAck { nonce: relayed.requester_nonce };
                self.send(relayed.requester, vec![ack], actions);
            }
            None => self.receive_proof(nonce),
        }
    }

    /// A member is proved to have lived when it was pinged.
    pub(super) fn receive_proof(&mut self, nonce: u64) {
        let Some(pending) = self.pending_pings.remove(&nonce) else { return };
        let Some(subject) = self.subjects.get_mut(&pending.subject) else { return };
        subject.last_proof = subject.last_proof.max(pending.sent_at);
        let is_recent = self.now - subject.last_proof <= self.config.timing.suspicion_timeout;
        if is_recent && subject.accused_at.take().is_some() {
            self.withdraw_accusation(pending.subject);
        }
    }
}
