//! State exchange: two members exchange their complete states, which also reconciles the sides of a
//! partition.

use super::{Member, Phase};
use crate::record::MemberStatus;
use crate::wire::{self, MessagePart, MessageWriter, MAX_STATE_BYTES};
use crate::{Action, Millis};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Maximum interval between two exchanges, in probe intervals, before the random factor is applied. After
/// joining, the interval doubles up to this value.
const MAX_EXCHANGE_INTERVAL: f64 = 32.0;
/// Minimum of the random factor by which the interval is multiplied.
const MIN_EXCHANGE_FACTOR: f64 = 0.75;
/// Width of the range of the random factor.
const EXCHANGE_JITTER: f64 = 0.5;

impl Member {
    /// Encodes the complete state for an exchange: all known records, as far as they fit in
    /// [`MAX_STATE_BYTES`].
    pub fn encode_state(&mut self) -> Vec<u8> {
        let mut writer = MessageWriter::new(&self.config.cluster, self.own_id, MAX_STATE_BYTES);
        for (_, record) in self.table.records() {
            writer.add(&MessagePart::Record(record.clone()));
        }
        self.metrics.state_exchanges += 1;
        writer.finish()
    }

    /// Merges the complete state of another member, received as a request or as an answer. A state that
    /// cannot be decoded is counted in the metrics and otherwise ignored.
    pub fn merge_state(&mut self, bytes: &[u8], now: Millis, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let Ok(message) = wire::decode(bytes, &self.config.cluster) else {
            self.metrics.decode_errors += 1;
            return;
        };
        let mut own_record = None;
        for part in message.parts {
            let MessagePart::Record(record) = part else { continue };
            if record.id() == self.own_id && !self.has_joined() {
                own_record = Some(record);
            } else if record.id() != self.own_id && self.table.record(record.id()).is_none() {
                // Not gossiped: a new member announces itself, and a thousand members may start at the same
                // time.
                self.table.apply(record, self.now);
            } else {
                self.receive_record(record, actions);
            }
        }
        if matches!(self.phase, Phase::Joining { .. }) {
            self.join_or_claim_name(own_record, actions);
        }
    }

    /// If an exchange is due, exchanges states with a random running member, and with a random seed or
    /// removed member that is not known to be running.
    pub(super) fn exchange_states(&mut self, actions: &mut Vec<Action>) {
        if self.now < self.next_exchange {
            return;
        }
        self.table.evict_departed(self.now);
        let factor = MIN_EXCHANGE_FACTOR + EXCHANGE_JITTER * self.random.next_fraction();
        let probe_interval = self.config.timing.probe_interval;
        self.next_exchange = self.now + self.exchange_interval * probe_interval * factor;
        self.exchange_interval = (2.0 * self.exchange_interval).min(MAX_EXCHANGE_INTERVAL);
        let running: BTreeSet<SocketAddr> = self.addresses_of_others(MemberStatus::Alive).collect();
        let mut not_running: BTreeSet<SocketAddr> = self.addresses_of_others(MemberStatus::Removed).collect();
        not_running.extend(&self.config.seeds);
        not_running.retain(|addr| *addr != self.config.addr && !running.contains(addr));
        self.exchange_with_random(running, actions);
        self.exchange_with_random(not_running, actions);
    }

    fn exchange_with_random(&mut self, addresses: BTreeSet<SocketAddr>, actions: &mut Vec<Action>) {
        if addresses.is_empty() {
            return;
        }
        let index = self.random.next_index(addresses.len());
        if let Some(with) = addresses.into_iter().nth(index) {
            actions.push(Action::ExchangeState { with });
        }
    }
}
