//! Events of the virtual network in the order of their time.

use postusher_membership::Millis;
use std::collections::BTreeMap;

const MICROS_PER_MILLI: f64 = 1e3;

/// Something that happens to a process.
#[derive(Debug)]
pub(super) enum Event {
    /// A timer of the member expires.
    Timer {
        /// The process whose timer it is.
        process: usize,
        /// The generation that set it; timers of earlier generations are void.
        generation: u64,
    },
    /// A message arrives.
    Message(Message),
}

/// A message in transit.
#[derive(Debug)]
pub(super) struct Message {
    /// The receiver.
    pub(super) to: usize,
    /// The sender.
    pub(super) from: usize,
    /// The encoded content.
    pub(super) bytes: Vec<u8>,
    /// How it is sent.
    pub(super) kind: MessageKind,
}

/// How a message is sent, and what follows from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageKind {
    /// A single datagram.
    Datagram,
    /// The first state of a gossip exchange, over a connection; the receiver answers with its own.
    StateRequest,
    /// The state that answers a request.
    StateReply,
}

/// Pending events; those of one microsecond come in the order in which they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    events: BTreeMap<(u64, u64), Event>,
    scheduled: u64,
}

impl EventQueue {
    /// Adds an event at this time.
    pub(super) fn schedule(&mut self, at: Millis, event: Event) {
        self.scheduled += 1;
        self.events.insert((whole_micros(at), self.scheduled), event);
    }

    /// The next event up to this time, with the time at which it happens.
    pub(super) fn pop_until(&mut self, end: Millis) -> Option<(Millis, Event)> {
        let next = self.events.first_entry()?;
        let (at_micros, _) = *next.key();
        if at_micros > whole_micros(end) {
            return None;
        }
        Some((at_micros as f64 / MICROS_PER_MILLI, next.remove()))
    }
}

fn whole_micros(at: Millis) -> u64 {
    (at * MICROS_PER_MILLI) as u64
}
