//! Delivery of events to the processes of the virtual network, and sending of their messages.

use super::event_queue::{Event, Message, MessageKind};
use super::process::ProcessState;
use super::{address_of, index_of, VirtualNetwork};
use postusher_membership::{Action, Millis};
use rand::Rng;
use std::net::SocketAddr;

/// Transit time of a state over a connection, in multiples of the transit time of a datagram: the handshake
/// takes a round trip, then the state follows.
const CONNECTION_TRANSITS: f64 = 3.0;

impl VirtualNetwork {
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Timer { process, generation } => self.handle_timer(process, generation),
            Event::Message(message) => self.handle_message(message),
        }
    }

    fn handle_timer(&mut self, index: usize, generation: u64) {
        let process = &mut self.processes[index];
        if generation != process.generation {
            return;
        }
        match process.state {
            ProcessState::Running => {}
            // A timer that expires during a pause is not missed: `resume` sets another one.
            ProcessState::Paused | ProcessState::NotRunning | ProcessState::Terminated(_) => return,
        }
        let local_time = process.local_time(self.now);
        let mut actions = Vec::new();
        process.member.advance(local_time, &mut actions);
        if let Some(next) = process.member.next_timer() {
            let lateness = process.max_processing_delay * self.rng.random::<f64>();
            let at = next - local_time + self.now + lateness;
            self.queue.schedule(at, Event::Timer { process: index, generation });
        }
        self.perform_actions(index, actions);
        self.record_status_changes(index);
    }

    fn handle_message(&mut self, message: Message) {
        let index = message.to;
        let process = &mut self.processes[index];
        match process.state {
            ProcessState::Running => {}
            ProcessState::Paused => {
                process.inbox.push(message);
                return;
            }
            ProcessState::NotRunning | ProcessState::Terminated(_) => return,
        }
        let local_time = process.local_time(self.now);
        let mut actions = Vec::new();
        match message.kind {
            MessageKind::Datagram => {
                let from = address_of(message.from);
                process.member.receive_datagram(from, &message.bytes, local_time, &mut actions);
            }
            MessageKind::StateRequest => {
                let state = process.member.encode_state();
                self.send_state(index, message.from, state, MessageKind::StateReply);
                self.processes[index].member.merge_state(&message.bytes, local_time, &mut actions);
            }
            MessageKind::StateReply => process.member.merge_state(&message.bytes, local_time, &mut actions),
        }
        self.perform_actions(index, actions);
        self.record_status_changes(index);
    }

    /// Performs the actions that a member has requested.
    pub(super) fn perform_actions(&mut self, index: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendDatagram { to, bytes } => self.send_datagram(index, to, bytes),
                Action::ExchangeState { with } => {
                    let state = self.processes[index].member.encode_state();
                    if let Some(to) = index_of(with) {
                        self.send_state(index, to, state, MessageKind::StateRequest);
                    }
                }
                Action::Terminate { reason } => {
                    self.processes[index].end(ProcessState::Terminated(reason));
                }
            }
        }
    }

    fn send_datagram(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let Some(to) = index_of(to) else { return };
        if to >= self.processes.len() {
            return;
        }
        let bytes = self.processes[from].encode_for_version(bytes);
        let is_duplicated = self.rng.random::<f64>() < self.link_conditions.duplication;
        let copies = if is_duplicated { 2 } else { 1 };
        for _ in 0..copies {
            let is_lost = self.rng.random::<f64>() < self.link_conditions.loss;
            // Drawn for lost copies too, so that a loss does not shift the random numbers of the next copy.
            let arrival = self.now + self.draw_transit(from, to);
            if !is_lost && !self.cut_links.is_cut(from, to) {
                let message = Message { to, from, bytes: bytes.clone(), kind: MessageKind::Datagram };
                self.queue.schedule(arrival, Event::Message(message));
            }
        }
    }

    /// Sends a complete state over a connection. It is not lost, as connections retransmit, unless the link
    /// is cut in either direction.
    fn send_state(&mut self, from: usize, to: usize, bytes: Vec<u8>, kind: MessageKind) {
        if to >= self.processes.len() || self.cut_links.is_cut_either_way(from, to) {
            return;
        }
        let bytes = self.processes[from].encode_for_version(bytes);
        let arrival = self.now + CONNECTION_TRANSITS * self.draw_transit(from, to);
        self.queue.schedule(arrival, Event::Message(Message { to, from, bytes, kind }));
    }

    /// Draws the time in transit of a datagram, including the processing delays of the sender and the
    /// receiver.
    fn draw_transit(&mut self, from: usize, to: usize) -> Millis {
        let conditions = self.link_conditions;
        let sender_delay = self.processes[from].max_processing_delay;
        let receiver_delay = self.processes[to].max_processing_delay;
        let spread = conditions.max_delay - conditions.min_delay + sender_delay + receiver_delay;
        conditions.min_delay + spread * self.rng.random::<f64>()
    }

    fn record_status_changes(&mut self, index: usize) {
        let changes = self.processes[index].take_status_changes(self.now);
        self.status_changes.extend(changes);
    }
}
