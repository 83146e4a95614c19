//! The event queue of the virtual network, ordered by time.

use postusher_membership::Millis;
use std::collections::BTreeMap;

const MICROS_PER_MILLI: f64 = 1e3;

/// An event at a process.
#[derive(Debug)]
pub(super) enum Event {
    /// A timer of the member expires.
    Timer {
        /// The process whose timer it is.
        process: usize,
        /// The generation of the process that set the timer; timers of earlier generations are ignored.
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
    /// The kind of the message.
    pub(super) kind: MessageKind,
}

/// The kinds of messages, by transport and by how the receiver handles them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageKind {
    /// A single datagram.
    Datagram,
    /// The first state of a state exchange, over a connection; the receiver replies with its own state.
    StateRequest,
    /// The state that is the reply to a request.
    StateReply,
}

/// The pending events. Events of the same microsecond are ordered by when they were scheduled.
#[derive(Default)]
pub(super) struct EventQueue {
    /// The events, by time in microseconds and sequence number.
    events: BTreeMap<(u64, u64), Event>,
    /// The number of events scheduled so far, which is the last sequence number.
    scheduled_count: u64,
}

impl EventQueue {
    /// Schedules an event for a time.
    pub(super) fn schedule(&mut self, at: Millis, event: Event) {
        self.scheduled_count += 1;
        self.events.insert((whole_micros(at), self.scheduled_count), event);
    }

    /// Removes the next event and returns it with its time; `None` if no event is due by `end`.
    pub(super) fn pop_until(&mut self, end: Millis) -> Option<(Millis, Event)> {
        let next = self.events.first_entry()?;
        let (at_micros, _) = *next.key();
        if at_micros > whole_micros(end) {
            return None;
        }
        Some((at_micros as f64 / MICROS_PER_MILLI, next.remove()))
    }
}

/// Returns a time in whole microseconds.
fn whole_micros(at: Millis) -> u64 {
    (at * MICROS_PER_MILLI) as u64
}
