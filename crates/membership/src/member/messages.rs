//! Messages: handles the parts of received datagrams, and fills the free space of sent datagrams with gossip.

use super::probing::PingRequest;
use super::Member;
use crate::record::{MemberRecord, MemberStatus};
use crate::wire::{self, MessagePart, MessageWriter, MAX_DATAGRAM_BYTES};
use crate::{Action, Millis};
use std::net::SocketAddr;

/// Number of times that a gossip item is sent, per binary logarithm of the number of members.
const GOSSIP_SENDS_PER_LOG: f64 = 3.0;

/// The replies and ping requests that are collected while the parts of a datagram are handled, and sent or
/// relayed afterwards.
#[derive(Default)]
struct FollowUp {
    replies: Vec<MessagePart>,
    ping_requests: Vec<PingRequest>,
}

impl Member {
    /// Handles a received datagram.
    pub fn receive_datagram(
        &mut self,
        from: SocketAddr,
        bytes: &[u8],
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        self.now = self.now.max(now);
        let Ok(message) = wire::decode(bytes, &self.config.cluster) else {
            self.metrics.decode_errors += 1;
            return;
        };
        self.metrics.datagrams_received += 1;
        let mut follow_up = FollowUp::default();
        for part in message.parts {
            self.handle_part(part, &mut follow_up, actions);
        }
        for request in follow_up.ping_requests {
            self.relay_ping(from, request, actions);
        }
        let mut replies = follow_up.replies;
        if let Some(record) = self.table.record(message.sender) {
            // A sender that was removed or has left is sent its record immediately, so that it can refute it.
            if record.status != MemberStatus::Alive && self.has_joined() {
                replies.push(MessagePart::Record(record.clone()));
            }
        }
        if !replies.is_empty() {
            self.send(from, replies, actions);
        }
    }

    fn handle_part(&mut self, part: MessagePart, follow_up: &mut FollowUp, actions: &mut Vec<Action>) {
        match part {
            MessagePart::Ping { nonce, to } => {
                if to == self.own_id && self.has_joined() {
                    follow_up.replies.push(MessagePart::Ack { nonce });
                }
            }
            MessagePart::Ack { nonce } => self.receive_ack(nonce, actions),
            MessagePart::IndirectAck { nonce } => self.record_ack(nonce),
            MessagePart::PingRequest { nonce, subject, addr } => {
                follow_up.ping_requests.push(PingRequest { nonce, subject, addr });
            }
            MessagePart::Record(record) => self.receive_record(record, actions),
            MessagePart::Accusation(accusation) => self.receive_accusation(accusation),
            MessagePart::NameClaim { name, instance } => {
                if name == self.own_id {
                    follow_up.replies.extend(self.receive_name_claim(instance, actions));
                }
            }
            MessagePart::NameHeld { name, instance } => {
                if name == self.own_id {
                    self.receive_name_held(instance, actions);
                }
            }
        }
    }

    /// Handles a received record. A record for this member's own name that is current and was not announced
    /// by this process is refuted. If it shows that another process is running under the name at another
    /// address, the name is also claimed.
    pub(super) fn receive_record(&mut self, record: MemberRecord, actions: &mut Vec<Action>) {
        if record.id() != self.own_id {
            return self.apply_record(record);
        }
        if !self.has_joined() || record.incarnation < self.incarnation {
            return;
        }
        if record.status == MemberStatus::Alive {
            if record.instance == self.instance {
                return;
            }
            if record.addr != self.config.addr {
                self.contest_name(&record, actions);
            }
        }
        self.refute(record.incarnation);
    }

    /// Sends a datagram with the given parts, and with gossip in the remaining space.
    pub(super) fn send(&mut self, to: SocketAddr, parts: Vec<MessagePart>, actions: &mut Vec<Action>) {
        let mut writer = MessageWriter::new(&self.config.cluster, self.own_id, MAX_DATAGRAM_BYTES);
        for part in &parts {
            writer.add(part);
        }
        let members = self.table.len() as f64;
        let max_sends = (GOSSIP_SENDS_PER_LOG * (members + 1.0).log2()).ceil() as u32;
        self.gossip.fill(&mut writer, max_sends);
        for (sum, count) in self.metrics.parts_sent.iter_mut().zip(writer.part_counts) {
            *sum += count;
        }
        let bytes = writer.finish();
        self.metrics.datagrams_sent += 1;
        self.metrics.bytes_sent += bytes.len() as u64;
        actions.push(Action::SendDatagram { to, bytes });
    }
}
