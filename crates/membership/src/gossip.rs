//! News that rides on messages: each piece so many times, those sent least first; newer news of the same takes its place.

use crate::record::Id;
use crate::wire::{Part, Writer};
use std::collections::BTreeMap;

/// What a piece is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum About {
    Member(Id),
    /// Subject and accuser.
    Word(Id, Id),
}

fn about(part: &Part) -> Option<About> {
    match part {
        Part::Record(record) => Some(About::Member(record.id())),
        Part::Accusation(a) => Some(About::Word(a.subject, a.accuser)),
        _ => None,
    }
}

/// The pieces, by how often they were sent, then by age.
#[derive(Clone, Debug, Default)]
pub struct Gossip {
    pieces: BTreeMap<(u32, u64), Part>,
    at: BTreeMap<About, (u32, u64)>,
    count: u64,
}

impl Gossip {
    /// Has a record or an accusation sent on. A record makes void what was said of its member before.
    pub fn push(&mut self, part: Part) {
        let Some(about) = about(&part) else { return };
        if let About::Member(id) = about {
            let words: Vec<About> = self
                .at
                .range(About::Word(id, Id(0))..=About::Word(id, Id(u64::MAX)))
                .map(|(a, _)| *a)
                .collect();
            words.into_iter().for_each(|word| self.remove(word));
        }
        self.remove(about);
        self.put(about, 0, part);
    }

    fn put(&mut self, about: About, sent: u32, part: Part) {
        self.count += 1;
        self.at.insert(about, (sent, self.count));
        self.pieces.insert((sent, self.count), part);
    }

    fn remove(&mut self, about: About) {
        if let Some(at) = self.at.remove(&about) {
            self.pieces.remove(&at);
        }
    }

    /// Adds pieces to a message as long as there is room; what has been sent `most` times is dropped.
    pub fn fill(&mut self, w: &mut Writer, most: u32) {
        let fits: Vec<(u32, u64)> =
            self.pieces.iter().take_while(|(_, part)| w.add(part)).map(|(at, _)| *at).collect();
        for at in fits {
            let Some(part) = self.pieces.remove(&at) else { continue };
            let Some(about) = about(&part) else { continue };
            if at.0 + 1 < most {
                self.put(about, at.0 + 1, part);
            } else {
                self.at.remove(&about);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::roster::Accusation;
    use crate::wire::{read, MOST_BYTES};

    fn word(subject: u64, seq: u64) -> Part {
        let (accuser, subject) = (Id(1), Id(subject));
        Part::Accusation(Accusation { accuser, subject, incarnation: 1, seq, stands: true, sure: true })
    }

    fn filled(gossip: &mut Gossip, most: u32) -> Vec<Part> {
        let mut w = Writer::new("c", Id(1), MOST_BYTES);
        gossip.fill(&mut w, most);
        read(&w.finish(), "c").unwrap().1
    }

    #[test]
    fn each_piece_goes_out_so_often_and_newer_news_takes_its_place() {
        let mut gossip = Gossip::default();
        gossip.push(word(2, 1));
        gossip.push(word(2, 2));
        gossip.push(Part::Ack { nonce: 1 }); // is no news
        assert_eq!(filled(&mut gossip, 2), vec![word(2, 2)]);
        assert_eq!(filled(&mut gossip, 2), vec![word(2, 2)]);
        assert_eq!(filled(&mut gossip, 2), vec![]);
        assert!(gossip.at.is_empty() && gossip.pieces.is_empty(), "nothing is left behind");
    }

    #[test]
    fn what_was_sent_least_goes_first_where_there_is_no_room_for_all() {
        let mut gossip = Gossip::default();
        (0..500).for_each(|subject| gossip.push(word(subject, 1)));
        let first = filled(&mut gossip, 9);
        assert!(first.len() > 20 && first.len() < 250, "{}", first.len());
        let rounds = 500usize.div_ceil(first.len());
        let mut sent: Vec<Part> = (1..rounds).flat_map(|_| filled(&mut gossip, 9)).chain(first).collect();
        sent.sort_by_key(|part| format!("{part:?}"));
        sent.dedup();
        assert_eq!(sent.len(), 500, "all of them once before any twice");
    }
}
