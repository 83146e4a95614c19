//! Gossip that is piggybacked on messages: each item is sent a limited number of times, the items that were
//! sent least often go first, and a newer item replaces an older one on the same topic.

use crate::accusations::Accusation;
use crate::record::{MemberId, MemberRecord};
use crate::wire::{AddOutcome, MessagePart, MessageWriter};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// The topic of a gossip item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Topic {
    Member(MemberId),
    Accusation { subject: MemberId, accuser: MemberId },
}

/// A position in the queue: ordered by the number of times that the item was sent, then by its sequence
/// number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    times_sent: u32,
    sequence: u64,
}

/// A record or an accusation with its topic.
#[derive(Clone, Debug)]
struct GossipItem {
    topic: Topic,
    part: MessagePart,
}

/// The gossip items that are still to be sent.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    items: BTreeMap<Position, GossipItem>,
    positions: BTreeMap<Topic, Position>,
    /// The sequence number of the latest position.
    sequence: u64,
}

impl GossipQueue {
    /// Adds a record. Queued accusations against its member are dropped, because they concern an earlier
    /// record.
    pub fn push_record(&mut self, record: MemberRecord) {
        let subject = record.id();
        let first = Topic::Accusation { subject, accuser: MemberId(0) };
        let last = Topic::Accusation { subject, accuser: MemberId(u64::MAX) };
        let accusations: Vec<Topic> = self.positions.range(first..=last).map(|(topic, _)| *topic).collect();
        for topic in accusations {
            self.remove(topic);
        }
        self.replace(GossipItem { topic: Topic::Member(subject), part: MessagePart::Record(record) });
    }

    /// Adds an accusation or its withdrawal.
    pub fn push_accusation(&mut self, accusation: Accusation) {
        let topic = Topic::Accusation { subject: accusation.subject, accuser: accusation.accuser };
        self.replace(GossipItem { topic, part: MessagePart::Accusation(accusation) });
    }

    /// Adds items to a message until one does not fit. Items that have then been sent `max_sends` times are
    /// dropped from the queue.
    pub fn fill(&mut self, writer: &mut MessageWriter, max_sends: u32) {
        let mut added = Vec::new();
        for (position, item) in &self.items {
            if writer.add(&item.part) == AddOutcome::DoesNotFit {
                break;
            }
            added.push(*position);
        }
        for position in added {
            let Some(item) = self.items.remove(&position) else { continue };
            let times_sent = position.times_sent + 1;
            if times_sent < max_sends {
                self.insert(item, times_sent);
            } else {
                self.positions.remove(&item.topic);
            }
        }
    }

    fn replace(&mut self, item: GossipItem) {
        self.remove(item.topic);
        self.insert(item, 0);
    }

    fn insert(&mut self, item: GossipItem, times_sent: u32) {
        self.sequence += 1;
        let position = Position { times_sent, sequence: self.sequence };
        self.positions.insert(item.topic, position);
        self.items.insert(position, item);
    }

    fn remove(&mut self, topic: Topic) {
        if let Some(position) = self.positions.remove(&topic) {
            self.items.remove(&position);
        }
    }
}
