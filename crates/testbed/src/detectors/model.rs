//! The common part of the models: members, messages and the faults of a case, in virtual time.

use super::phi_accrual::HeartbeatHistory;
use super::swim::SwimMember;
use super::{
    Detections, Detector, FalseRemoval, FaultCase, Pause, FAULTS_BEGIN, PROBE_INTERVAL, TICK_INTERVAL,
};
use postusher_membership::Millis;
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;

const MICROS_PER_MILLI: f64 = 1e3;

/// The status of a member in the view of another. Of two statuses with the same incarnation, the greater one
/// applies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Status {
    Alive,
    Suspect,
    Removed,
}

/// The content of a message.
#[derive(Clone, Debug)]
pub(super) enum Payload {
    /// Phi accrual: the sender is alive.
    Heartbeat,
    /// SWIM: asks for an acknowledgement with this sequence number.
    Ping { sequence: u64 },
    /// SWIM: answers a ping.
    Ack { sequence: u64 },
    /// SWIM: asks the receiver to ping another member.
    PingRequest { sequence: u64, subject: usize },
}

/// The status of a member and the incarnation that the status refers to.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub(super) struct Belief {
    pub(super) incarnation: u64,
    pub(super) status: Status,
}

/// A message in transit.
#[derive(Clone, Debug)]
pub(super) struct Message {
    from: usize,
    payload: Payload,
    /// The sender's belief about each member.
    beliefs: Vec<Belief>,
}

enum Event {
    /// The member checks its timers.
    Tick,
    /// A message arrives at the member.
    Arrival(Message),
}

/// An event at a member.
struct ScheduledEvent {
    member: usize,
    event: Event,
}

/// One member, with the state of either detector.
#[derive(Clone)]
pub(super) struct ModelMember {
    /// Messages received during a pause.
    inbox: Vec<Message>,
    /// When its next ping or heartbeat is due.
    pub(super) next_probe_at: Millis,
    pub(super) swim: SwimMember,
    pub(super) heartbeats: HeartbeatHistory,
}

/// A cluster under a detector.
pub(super) struct Model<'a> {
    detector: Detector,
    pub(super) case: &'a FaultCase,
    pub(super) now: Millis,
    pub(super) rng: ChaCha8Rng,
    pub(super) members: Vec<ModelMember>,
    /// The events to come, by time in microseconds and sequence number.
    queue: BTreeMap<(u64, u64), ScheduledEvent>,
    /// The last sequence number given to an event or a ping.
    last_sequence: u64,
    detections: Detections,
}

impl<'a> Model<'a> {
    /// Creates a cluster whose members tick at random offsets.
    pub(super) fn new(detector: Detector, case: &'a FaultCase, seed: u64) -> Model<'a> {
        let member = ModelMember {
            inbox: Vec::new(),
            next_probe_at: 0.0,
            swim: SwimMember::new(case.members),
            heartbeats: HeartbeatHistory::new(case.members),
        };
        let mut model = Model {
            detector,
            case,
            now: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            members: vec![member; case.members],
            queue: BTreeMap::new(),
            last_sequence: 0,
            detections: Detections::default(),
        };
        for index in 0..case.members {
            let first_tick = TICK_INTERVAL * model.rng.random::<f64>();
            model.schedule(first_tick, index, Event::Tick);
            model.members[index].next_probe_at = PROBE_INTERVAL * model.rng.random::<f64>();
        }
        model
    }

    /// Runs the cluster until the end of the case.
    pub(super) fn run(mut self) -> Detections {
        let end = FAULTS_BEGIN + self.case.duration;
        while let Some(((at_micros, _), scheduled)) = self.queue.pop_first() {
            self.now = at_micros as f64 / MICROS_PER_MILLI;
            if self.now > end {
                break;
            }
            self.handle_event(scheduled);
        }
        self.detections
    }

    fn schedule(&mut self, at: Millis, member: usize, event: Event) {
        let sequence = self.next_sequence();
        let at_micros = (at * MICROS_PER_MILLI) as u64;
        self.queue.insert((at_micros, sequence), ScheduledEvent { member, event });
    }

    /// Returns an unused sequence number for an event or a ping.
    pub(super) fn next_sequence(&mut self) -> u64 {
        self.last_sequence += 1;
        self.last_sequence
    }

    fn is_crashed(&self, index: usize) -> bool {
        self.case.crashed == Some(index) && self.now >= FAULTS_BEGIN
    }

    fn is_paused(&self, index: usize) -> bool {
        let Some(Pause { member, duration }) = self.case.paused else { return false };
        member == index && (FAULTS_BEGIN..FAULTS_BEGIN + duration).contains(&self.now)
    }

    fn handle_event(&mut self, scheduled: ScheduledEvent) {
        let index = scheduled.member;
        if self.is_crashed(index) {
            return;
        }
        match scheduled.event {
            Event::Tick => self.handle_tick(index),
            Event::Arrival(message) if self.is_paused(index) => self.members[index].inbox.push(message),
            Event::Arrival(message) => self.handle_message(index, message),
        }
    }

    fn handle_tick(&mut self, index: usize) {
        self.schedule(self.now + TICK_INTERVAL, index, Event::Tick);
        if self.is_paused(index) {
            return;
        }
        // Messages received during a pause are handled before the member checks the silence of others.
        for message in std::mem::take(&mut self.members[index].inbox) {
            self.handle_message(index, message);
        }
        match self.detector {
            Detector::Swim => self.tick_swim(index),
            Detector::PhiAccrual => self.tick_phi_accrual(index),
        }
    }

    fn handle_message(&mut self, index: usize, message: Message) {
        for (subject, belief) in message.beliefs.into_iter().enumerate() {
            self.adopt_belief(index, subject, belief);
        }
        match message.payload {
            Payload::Heartbeat => {
                self.members[index].heartbeats.record_heartbeat(message.from, self.now);
            }
            Payload::Ping { sequence } => self.send(index, message.from, Payload::Ack { sequence }),
            Payload::Ack { sequence } => self.handle_ack(index, sequence),
            Payload::PingRequest { sequence, subject } => {
                self.relay_ping(index, message.from, sequence, subject);
            }
        }
    }

    /// Sends a message with all beliefs of its sender.
    pub(super) fn send(&mut self, from: usize, to: usize, payload: Payload) {
        let conditions = self.case.link_conditions;
        let is_duplicated = self.rng.random::<f64>() < conditions.duplication;
        let copies = if is_duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let is_cut = self.now >= FAULTS_BEGIN && self.case.cut_links.contains(&(from, to));
            let is_lost = self.rng.random::<f64>() < conditions.loss;
            let spread = conditions.max_delay - conditions.min_delay;
            let arrival = self.now + conditions.min_delay + spread * self.rng.random::<f64>();
            if !is_lost && !is_cut {
                let beliefs = self.members[from].swim.beliefs.clone();
                let message = Message { from, payload: payload.clone(), beliefs };
                self.schedule(arrival, to, Event::Arrival(message));
            }
        }
    }

    /// Records that an observer has removed a member.
    pub(super) fn record_removal(&mut self, observer: usize, subject: usize) {
        if self.is_crashed(subject) {
            self.detections.crash_detection_times.push(self.now - FAULTS_BEGIN);
        } else {
            self.detections.false_removals.push(FalseRemoval { observer, subject });
        }
    }
}
