//! One member: its state, and what it believes of the others.

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

/// Its timer runs so often in a probe interval.
const TICKS_PER_PROBE_INTERVAL: f64 = 4.0;
/// Without proof of life for so many probe intervals an observer is in doubt.
const DOUBT_INTERVALS: f64 = 2.0;
/// A member joins if its name claim is not answered for so many probe intervals.
const NAME_CLAIM_INTERVALS: f64 = 3.0;
/// The low bits of a ping's nonce are random, so that nobody can guess it.
const NONCE_RANDOM_BITS: u32 = 24;

/// A member's own part in the cluster.
#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// It asks the seeds for the members.
    Joining {
        /// The time of the start.
        since: Millis,
    },
    /// It asks a process under its name whether it runs.
    ClaimingName {
        /// When it joins if there is no answer.
        until: Millis,
        /// The latest record under its name.
        holder: MemberRecord,
    },
    /// It is a member.
    Joined,
    /// It has left, or another process has its name.
    Ended,
}

/// One member of a cluster.
#[derive(Clone, Debug)]
pub struct Member {
    config: Config,
    own_id: MemberId,
    instance: Instance,
    incarnation: u64,
    phase: Phase,
    table: MemberTable,
    random: Random,
    now: Millis,
    next_tick: Millis,
    /// The members that it observes by its latest view.
    subjects: BTreeMap<MemberId, SubjectState>,
    /// The version of the view that `subjects` and `others` are of.
    subjects_version: Option<u64>,
    /// The other members that run, in a random order.
    others: Vec<MemberId>,
    /// Pings and ping requests that may be answered, by nonce; the oldest has the lowest.
    pending_pings: BTreeMap<u64, PendingPing>,
    /// Pings in place of others, by nonce.
    relayed_pings: BTreeMap<u64, RelayedPing>,
    gossip: GossipQueue,
    /// It hears none of its subjects.
    hears_no_subject: bool,
    /// It hears so few of its subjects that it may be on the smaller side of a partition.
    may_be_cut_off: bool,
    /// The numbers of its pings and accusations.
    sequence: u64,
    next_exchange: Millis,
    /// In probe intervals.
    exchange_interval: f64,
    last_name_claim: Millis,
    metrics: Metrics,
}

impl Member {
    /// A member that knows nobody yet. `seed` is its only source of randomness: two members need different ones.
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
            others: Vec::new(),
            pending_pings: BTreeMap::new(),
            relayed_pings: BTreeMap::new(),
            gossip: GossipQueue::default(),
            hears_no_subject: false,
            may_be_cut_off: false,
            sequence: 0,
            next_exchange: now,
            exchange_interval: 1.0,
            last_name_claim: f64::NEG_INFINITY,
            metrics: Metrics::default(),
            config,
        }
    }

    /// When [`Member::advance`] is to be called; `None` once the member has ended.
    pub fn next_timer(&self) -> Option<Millis> {
        (self.phase != Phase::Ended).then_some(self.next_tick)
    }

    /// The metrics.
    pub fn metrics(&self) -> Metrics {
        self.metrics
    }

    /// The latest record of a name.
    pub fn record(&self, name: &str) -> Option<&MemberRecord> {
        self.table.record(MemberId::of(name))
    }

    /// The latest records of all members.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.table.records().map(|(_, record)| record)
    }

    /// Whether it has joined, and has neither left nor ended.
    pub fn has_joined(&self) -> bool {
        self.phase == Phase::Joined
    }

    /// Rises whenever a member joins, is removed or leaves.
    pub fn view_version(&self) -> u64 {
        self.table.view_version()
    }

    /// What it believes of all members.
    pub fn view(&self) -> MembershipView {
        let mut members = Vec::new();
        for (id, record) in self.table.records() {
            let is_suspect = self.table.accusations_against(id).next().is_some();
            members.push(MemberView { record: record.clone(), is_suspect });
        }
        members.sort_by(|one, other| one.record.name.cmp(&other.record.name));
        MembershipView {
            name: self.config.name.clone(),
            version: self.table.view_version(),
            is_minority: self.is_minority(),
            members,
        }
    }

    /// Whether it is on the smaller side of a partition, or hears nobody.
    pub fn is_minority(&self) -> bool {
        self.may_be_cut_off || !self.has_joined() || self.table.is_minority()
    }

    /// Does what is due by time.
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

    /// Takes a pause of its own out of all times: that it heard nobody meanwhile says nothing of others.
    fn compensate_pause(&mut self, pause: Millis) {
        self.metrics.late_millis += pause as u64;
        for subject in self.subjects.values_mut() {
            subject.last_proof = (subject.last_proof + pause).min(self.now);
        }
        self.table.compensate_pause(pause, self.now);
    }

    fn remove_members(&mut self) {
        let removals = self.table.due_removals(self.now);
        if self.may_be_cut_off && self.config.mechanisms.majority {
            return;
        }
        for removal in removals {
            self.metrics.removals += 1;
            self.apply_record(removal);
        }
    }

    /// Applies a record of another member and passes it on if it is news.
    fn apply_record(&mut self, record: MemberRecord) {
        let change = self.table.apply(record.clone(), self.now);
        if change == RecordChange::Unchanged {
            return;
        }
        if change == RecordChange::FalselyRemoved {
            self.metrics.false_removals += 1;
        }
        if let Some(subject) = self.subjects.get_mut(&record.id()) {
            // What was said of an earlier incarnation is void.
            subject.accused_at = None;
        }
        self.gossip.push_record(record);
    }

    /// Tells the others of itself.
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

    /// The addresses of other members with a status.
    fn addresses_of_others(&self, status: MemberStatus) -> impl Iterator<Item = SocketAddr> + '_ {
        let records = self.table.records();
        let others = records.filter(move |(id, record)| *id != self.own_id && record.status == status);
        others.map(|(_, record)| record.addr)
    }

    /// A nonce above all earlier ones.
    fn next_nonce(&mut self) -> u64 {
        self.sequence += 1;
        let random = self.random.next_u64() >> (u64::BITS - NONCE_RANDOM_BITS);
        self.sequence << NONCE_RANDOM_BITS | random
    }
}
