//! News that rides on messages: each piece is sent a number of times, those sent least go first, and newer news on the
//! same topic replaces older news.

use crate::accusations::Accusation;
use crate::record::{MemberId, MemberRecord};
use crate::wire::{AddOutcome, MessagePart, MessageWriter};
use std::collections::BTreeMap;

#[cfg(test)]
mod tests;

/// What a piece of news is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Topic {
    Member(MemberId),
    Accusation { subject: MemberId, accuser: MemberId },
}

/// A place in the queue: first how often the piece was sent, then its age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Position {
    times_sent: u32,
    sequence: u64,
}

#[derive(Clone, Debug)]
struct News {
    topic: Topic,
    part: MessagePart,
}

/// The pieces of news that are still to be sent.
#[derive(Clone, Debug, Default)]
pub struct GossipQueue {
    news: BTreeMap<Position, News>,
    positions: BTreeMap<Topic, Position>,
    sequence: u64,
}

impl GossipQueue {
    /// Adds a record. It voids what was said of its member before.
    pub fn push_record(&mut self, record: MemberRecord) {
        let subject = record.id();
        let first = Topic::Accusation { subject, accuser: MemberId(0) };
        let last = Topic::Accusation { subject, accuser: MemberId(u64::MAX) };
        let accusations: Vec<Topic> = self.positions.range(first..=last).map(|(topic, _)| *topic).collect();
        for topic in accusations {
            self.remove(topic);
        }
        self.replace(News { topic: Topic::Member(subject), part: MessagePart::Record(record) });
    }

    /// Adds an accusation.
    pub fn push_accusation(&mut self, accusation: Accusation) {
        let topic = Topic::Accusation { subject: accusation.subject, accuser: accusation.accuser };
        self.replace(News { topic, part: MessagePart::Accusation(accusation) });
    }

    /// Adds news to a message as long as it fits; what has been sent `max_sends` times is dropped.
    pub fn fill(&mut self, writer: &mut MessageWriter, max_sends: u32) {
        let mut added = Vec::new();
        for (position, news) in &self.news {
            if writer.add(&news.part) == AddOutcome::NoRoom {
                break;
            }
            added.push(*position);
        }
        for position in added {
            let Some(news) = self.news.remove(&position) else { continue };
            let times_sent = position.times_sent + 1;
            if times_sent < max_sends {
                self.insert(news, times_sent);
            } else {
                self.positions.remove(&news.topic);
            }
        }
    }

    fn replace(&mut self, news: News) {
        self.remove(news.topic);
        self.insert(news, 0);
    }

    fn insert(&mut self, news: News, times_sent: u32) {
        self.sequence += 1;
        let position = Position { times_sent, sequence: self.sequence };
        self.positions.insert(news.topic, position);
        self.news.insert(position, news);
    }

    fn remove(&mut self, topic: Topic) {
        if let Some(position) = self.positions.remove(&topic) {
            self.news.remove(&position);
        }
    }
}
