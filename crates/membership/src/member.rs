//! A member: its own state and its view of the other members.

mod accusing;
mod joining;
mod messages;
mod probing;
mod state_exchange;

use crate::gossip::GossipQueue;
use crate::metrics::Metrics;
use crate::random::Random;
use crate::record::{Instance, MemberId, MemberRecord, MemberStatus};
use crate::table::{MemberTable, RecordChange};
use crate::{Action, Config, MemberView, MembershipView, Millis};
use probing::{PendingPing, RelayedPing, SubjectState};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Number of timer ticks per probe interval.
const TICKS_PER_PROBE_INTERVAL: f64 = 4.0;
/// A subject without an acknowledged ping for this many probe intervals is overdue: it is pinged at each
/// tick, and other members are asked to ping it. Also the minimum time between two claims of a contested
/// name.
const OVERDUE_INTERVALS: f64 = 2.0;
/// A member joins if its name claim is not answered within this many probe intervals.
const NAME_CLAIM_INTERVALS: f64 = 3.0;
/// Number of random low bits of a ping's nonce, so that it is hard to guess.
const NONCE_RANDOM_BITS: u32 = 24;

/// The phase of a member's own participation in the cluster.
#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// The member asks the seeds for the members of the cluster.
    Joining {
        /// The start time of the member.
        since: Millis,
    },
    /// The member asks the process that last had its name whether it is still running.
    ClaimingName {
        /// The time at which the member joins if there is no answer.
        until: Millis,
        /// The latest known record for its name.
        holder: MemberRecord,
    },
    /// The member has joined the cluster.
    Joined,
    /// The member has left the cluster, or has terminated because another process holds its name.
    Ended,
}

/// A member of a cluster.
#[derive(Clone, Debug)]
pub struct Member {
    config: Config,
    own_id: MemberId,
    instance: Instance,
    incarnation: u64,
    phase: Phase,
    table: MemberTable,
    random: Random,
    /// The latest time passed in by the host.
    now: Millis,
    /// The time at which [`Member::advance`] must be called next.
    next_tick: Millis,
    /// The members that this member observes, as of `subjects_version`.
    subjects: BTreeMap<MemberId, SubjectState>,
    /// The version of the view from which `subjects` and `other_members` were computed.
    subjects_version: Option<u64>,
    /// The other running members, in no particular order.
    other_members: Vec<MemberId>,
    /// Pings and ping requests that may still be answered, by nonce; the oldest one has the lowest nonce.
    pending_pings: BTreeMap<u64, PendingPing>,
    /// Pings sent on behalf of other members, by nonce.
    relayed_pings: BTreeMap<u64, RelayedPing>,
    gossip: GossipQueue,
    /// Whether there is at least one subject and all subjects are unresponsive.
    all_subjects_unresponsive: bool,
    /// Whether more than half of the subjects are unresponsive, so that this member may itself be on the
    /// smaller side of a partition.
    may_be_partitioned: bool,
    /// The latest sequence number of pings and accusations.
    sequence: u64,
    /// The time of the next state exchange.
    next_exchange: Millis,
    /// The interval between state exchanges, in probe intervals.
    exchange_interval: f64,
    /// The time of the latest claim of this member's name from another process that has also joined under it.
    last_name_claim: Millis,
    metrics: Metrics,
}

impl Member {
    /// Creates a member with an empty table of members. `seed`, which is combined with the member's name, is
    /// its only source of randomness, so processes with the same name need different seeds.
    pub fn new(config: Config, seed: u64, now: Millis) -> Member {
        let own_id = MemberId::of(&config.name);
        let mut random = Random::new(seed ^ own_id.0);
        let instance = Instance { first_incarnation: 0, nonce: random.next_u64() };
        Member {
            own_id,
            instance,
            incarnation: 0,
            phase: Phase::Joining { since: now },
            table: MemberTable::new(config.timing, config.mechanisms),
            random,
            now,
            next_tick: now,
            subjects: BTreeMap::new(),
            subjects_version: None,
            other_members: Vec::new(),
            pending_pings: BTreeMap::new(),
            relayed_pings: BTreeMap::new(),
            gossip: GossipQueue::default(),
            all_subjects_unresponsive: false,
            may_be_partitioned: false,
            sequence: 0,
            next_exchange: now,
            exchange_interval: 1.0,
            last_name_claim: f64::NEG_INFINITY,
            metrics: Metrics::default(),
            config,
        }
    }

    /// Returns the time at which [`Member::advance`] must be called next; `None` once the member has left or
    /// terminated.
    pub fn next_timer(&self) -> Option<Millis> {
        (self.phase != Phase::Ended).then_some(self.next_tick)
    }

    /// Returns the metrics.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// Returns the latest record for a name.
    pub fn record(&self, name: &str) -> Option<&MemberRecord> {
        self.table.record(MemberId::of(name))
    }

    /// Returns the latest records of all members.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table.records().map(|(_, record)| record)
    }

    /// Returns whether the member has joined, and has neither left nor terminated.
    pub fn has_joined(&self) -> bool {
        self.phase == Phase::Joined
    }

    /// Returns the version of the view, which increases whenever a member joins, is removed or leaves.
    pub fn view_version(&self) -> u64 {
        self.table.view_version()
    }

    /// Returns this member's view of the cluster.
    pub fn view(&self) -> MembershipView {
        let mut members = Vec::new();
        for (id, record) in self.table.records() {
            let is_suspect = self.table.accusations_against(id).next().is_some();
            members.push(MemberView { record: record.clone(), is_suspect });
        }
        members.sort_by(|left, right| left.record.name.cmp(&right.record.name));
        MembershipView {
            name: self.config.name.clone(),
            version: self.table.view_version(),
            is_minority: self.is_minority(),
            members,
        }
    }

    /// Returns whether this member is on the smaller side of a partition, has not joined, or cannot reach
    /// more than half of its subjects.
    pub fn is_minority(&self) -> bool {
        self.may_be_partitioned || !self.has_joined() || self.table.is_minority()
    }

    /// Runs the member's timer: joins, probes, removes members and exchanges states as due.
    pub fn advance(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let tick = self.config.timing.probe_interval / TICKS_PER_PROBE_INTERVAL;
        let late_by = self.now - self.next_tick;
        if self.config.mechanisms.pause_compensation && late_by > tick {
            self.compensate_pause(late_by);
        }
        self.next_tick = self.now + tick;
        match self.phase.clone() {
            Phase::Joining { since } => self.continue_joining(since, actions),
            Phase::ClaimingName { until, holder } if self.now >= until => self.join(holder.incarnation),
            Phase::ClaimingName { holder, .. } => self.claim_name(&holder, actions),
            Phase::Joined => {
                self.probe_subjects(actions);
                self.remove_members();
                self.exchange_states(actions);
            }
            Phase::Ended => {}
        }
    }

    /// Shifts the times of the latest acks, of received accusations and of removal candidates by a pause of
    /// this process: the lack of acks during the pause is no evidence against other members.
    fn compensate_pause(&mut self, pause: Millis) {
        self.metrics.late_millis += pause as u64;
        for subject in self.subjects.values_mut() {
            subject.last_acked_at = (subject.last_acked_at + pause).min(self.now);
        }
        self.table.compensate_pause(pause, self.now);
    }

    fn remove_members(&mut self) {
        // Called even if this member may not remove others, because it also updates the removal candidates.
        let removals = self.table.due_removals(self.now);
        if self.may_be_partitioned && self.config.mechanisms.majority {
            return;
        }
        for removal in removals {
            self.metrics.removals += 1;
            self.apply_record(removal);
        }
    }

    /// Applies a record of another member and gossips it if it changed the table.
    fn apply_record(&mut self, record: MemberRecord) {
        let change = self.table.apply(record.clone(), self.now);
        if change == RecordChange::Unchanged {
            return;
        }
        if change == RecordChange::FalselyRemoved {
            self.metrics.false_removals += 1;
        }
        if let Some(subject) = self.subjects.get_mut(&record.id()) {
            // An accusation against an earlier incarnation is obsolete.
            subject.accused_at = None;
        }
        self.gossip.push_record(record);
    }

    /// Enters this member's own record with the given status in the table and gossips it.
    fn announce(&mut self, status: MemberStatus) {
        let record = MemberRecord {
            name: self.config.name.clone(),
            zone: self.config.zone.clone(),
            addr: self.config.addr,
            instance: self.instance,
            incarnation: self.incarnation,
            status,
        };
        self.table.apply(record.clone(), self.now);
        self.gossip.push_record(record);
    }

    /// Returns the addresses of the other members with the given status.
    fn addresses_of_others(&self, status: MemberStatus) -> impl Iterator<Item = SocketAddr> + '_ {
        let records = self.table.records();
        let others_with_status =
            records.filter(move |(id, record)| *id != self.own_id && record.status == status);
        others_with_status.map(|(_, record)| record.addr)
    }

    /// Returns a nonce higher than all earlier ones.
    fn next_nonce(&mut self) -> u64 {
        self.sequence += 1;
        let random = self.random.next_u64() >> (u64::BITS - NONCE_RANDOM_BITS);
        self.sequence << NONCE_RANDOM_BITS | random
    }
}
