//! Other ways to know who is there, as models beside the program's own: SWIM with suspicion, and phi accrual over heartbeats.
//! Over the same links in virtual time, by the published descriptions; where those leave something open it is taken in their
//! favour. They are here to be measured, not to be used.

use crate::virtual_net::LinkConditions;
use rand::seq::SliceRandom;
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Between two pings or heartbeats, in milliseconds.
const INTERVAL: f64 = 1_000.0;
/// Members look at their clocks so often, in milliseconds.
const TICK: f64 = 250.0;
/// SWIM: without an answer for this time others are asked to ping.
const PATIENCE: f64 = 500.0;
/// SWIM: so many of them.
const RELAYS: usize = 3;
/// SWIM: a suspicion that is not refuted for this time is a removal; as long as the program's own accusation takes.
const SUSPICION: f64 = 5_000.0;
/// Phi accrual: a member is gone from this value on (as Cassandra and Akka have it).
const PHI: f64 = 8.0;
/// Phi accrual: so many times between heartbeats are remembered.
const WINDOW: usize = 100;
/// Phi accrual: the standard deviation is taken to be at least this, in milliseconds (Akka's).
const LEAST_DEVIATION: f64 = 100.0;

/// Which way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Das, Gupta, Motivala: SWIM (2002), with suspicion. Each message carries all that its sender knows, and one
    /// that is removed and hears of it is back under a higher incarnation.
    Swim,
    /// Hayashibara and others: the phi accrual failure detector (2004), over heartbeats of each to all.
    Phi,
}

/// What befalls a cluster.
#[derive(Clone, Debug, Default)]
pub struct Case {
    /// How many members.
    pub members: usize,
    /// The links between them.
    pub links: LinkConditions,
    /// Ways that are cut, from one to another, from the second half minute on.
    pub cut: BTreeSet<(usize, usize)>,
    /// One is killed at 30 s.
    pub killed: Option<usize>,
    /// One is stopped at 30 s, for so long, in milliseconds.
    pub stopped: Option<(usize, f64)>,
    /// How long all lasts after those 30 s, in milliseconds.
    pub lasts: f64,
}

/// What came of it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Found {
    /// When each found the killed one to be gone, in milliseconds from then.
    pub known: Vec<f64>,
    /// Findings that a member is gone that runs: who found it, and of whom.
    pub wrong: Vec<(usize, usize)>,
}

/// The time at which things begin to happen.
const BEGIN: f64 = 30_000.0;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Status {
    Alive,
    Suspect,
    Gone,
}

#[derive(Clone, Debug)]
enum Word {
    Beat,
    Ping(u64),
    Ack(u64),
    Ask(u64, usize),
}

/// Of each member, its incarnation and status.
type Knowledge = Vec<(u64, Status)>;

#[derive(Clone, Debug)]
struct Message {
    from: usize,
    word: Word,
    knows: Knowledge,
}

enum Event {
    Tick,
    Comes(Message),
}

#[derive(Clone, Default)]
struct Member {
    inbox: Vec<Message>,
    beat_at: f64,
    /// SWIM: what it knows, and since when.
    knows: Knowledge,
    since: Vec<f64>,
    round: Vec<usize>,
    /// The ping under way: its number, whom it goes to, since when, and whether others were asked.
    ping: Option<(u64, usize, f64, bool)>,
    relayed: BTreeMap<u64, (usize, u64)>,
    /// Phi: when each was last heard, times between heartbeats, and who is gone.
    heard: Vec<f64>,
    between: Vec<VecDeque<f64>>,
    gone: BTreeSet<usize>,
}

struct Model<'a> {
    way: Way,
    case: &'a Case,
    now: f64,
    rng: ChaCha8Rng,
    members: Vec<Member>,
    queue: BTreeMap<(u64, u64), (usize, Event)>,
    count: u64,
    found: Found,
}

/// Plays a case.
pub fn play(way: Way, case: &Case, seed: u64) -> Found {
    let n = case.members;
    let member = Member {
        knows: vec![(1, Status::Alive); n],
        since: vec![0.0; n],
        heard: vec![0.0; n],
        between: vec![VecDeque::new(); n],
        ..Member::default()
    };
    let rng = ChaCha8Rng::seed_from_u64(seed);
    let (members, queue, found) = (vec![member; n], BTreeMap::new(), Found::default());
    let mut model = Model { way, case, now: 0.0, rng, members, queue, count: 0, found };
    for of in 0..n {
        let first = TICK * model.rng.random::<f64>();
        model.put(first, of, Event::Tick);
        model.members[of].beat_at = INTERVAL * model.rng.random::<f64>();
    }
    while let Some(((at, _), (of, event))) = model.queue.pop_first() {
        model.now = at as f64 / 1e3;
        if model.now > BEGIN + case.lasts {
            break;
        }
        model.happens(of, event);
    }
    model.found
}

impl Model<'_> {
    fn put(&mut self, at: f64, of: usize, event: Event) {
        self.count += 1;
        self.queue.insert(((at * 1e3) as u64, self.count), (of, event));
    }

    fn is_dead(&self, of: usize) -> bool {
        self.case.killed == Some(of) && self.now >= BEGIN
    }

    fn is_stopped(&self, of: usize) -> bool {
        self.case.stopped.is_some_and(|(n, by)| n == of && self.now >= BEGIN && self.now < BEGIN + by)
    }

    fn happens(&mut self, of: usize, event: Event) {
        if self.is_dead(of) {
            return;
        }
        match event {
            Event::Tick => {
                let after = self.now + TICK;
                self.put(after, of, Event::Tick);
                if !self.is_stopped(of) {
                    // What has come in the meantime is read first.
                    for message in std::mem::take(&mut self.members[of].inbox) {
                        self.comes(of, message);
                    }
                    match self.way {
                        Way::Swim => self.probe(of),
                        Way::Phi => self.beat(of),
                    }
                }
            }
            Event::Comes(message) if self.is_stopped(of) => self.members[of].inbox.push(message),
            Event::Comes(message) => self.comes(of, message),
        }
    }

    fn send(&mut self, from: usize, to: usize, word: Word) {
        let LinkConditions { loss, duplication: twice, min_delay: least, max_delay: most } = self.case.links;
        for _ in 0..1 + usize::from(self.rng.random::<f64>() < twice) {
            let cut = self.now >= BEGIN && self.case.cut.contains(&(from, to));
            let lost = self.rng.random::<f64>() < loss || cut;
            let at = self.now + least + (most - least) * self.rng.random::<f64>();
            if !lost {
                let (word, knows) = (word.clone(), self.members[from].knows.clone());
                self.put(at, to, Event::Comes(Message { from, word, knows }));
            }
        }
    }

    fn finds_gone(&mut self, by: usize, of: usize) {
        if self.is_dead(of) {
            self.found.known.push(self.now - BEGIN);
        } else {
            self.found.wrong.push((by, of));
        }
    }

    fn comes(&mut self, me: usize, Message { from, word, knows }: Message) {
        for (of, (incarnation, status)) in knows.into_iter().enumerate() {
            self.learn(me, of, incarnation, status);
        }
        match word {
            Word::Beat => {
                let (m, now) = (&mut self.members[me], self.now);
                let between = now - m.heard[from];
                m.between[from].push_back(between);
                if m.between[from].len() > WINDOW {
                    m.between[from].pop_front();
                }
                m.heard[from] = now;
                m.gone.remove(&from);
            }
            Word::Ping(nonce) => self.send(me, from, Word::Ack(nonce)),
            Word::Ack(nonce) => match self.members[me].relayed.remove(&nonce) {
                Some((asker, nonce)) => self.send(me, asker, Word::Ack(nonce)),
                None => {
                    let m = &mut self.members[me];
                    m.ping = m.ping.take().filter(|(asked, ..)| *asked != nonce);
                }
            },
            Word::Ask(theirs, subject) => {
                let nonce = self.nonce();
                self.members[me].relayed.insert(nonce, (from, theirs));
                self.send(me, subject, Word::Ping(nonce));
            }
        }
    }

    fn nonce(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    fn learn(&mut self, me: usize, of: usize, incarnation: u64, status: Status) {
        let m = &mut self.members[me];
        if (incarnation, status) <= m.knows[of] {
            return;
        }
        if of == me {
            // It lives, and says so under a higher incarnation.
            m.knows[me] = (incarnation + 1, Status::Alive);
            return;
        }
        let was = m.knows[of].1;
        m.knows[of] = (incarnation, status);
        m.since[of] = self.now;
        if status == Status::Gone && was != Status::Gone {
            self.finds_gone(me, of);
        }
    }

    /// SWIM, at each tick: the ping under way, the next one, and suspicions that have lasted.
    fn probe(&mut self, me: usize) {
        let now = self.now;
        if let Some((nonce, to, at, false)) = self.members[me].ping.filter(|p| now - p.2 >= PATIENCE) {
            self.members[me].ping = Some((nonce, to, at, true));
            let mut others: Vec<usize> =
                (0..self.case.members).filter(|n| ![me, to].contains(n) && self.there(me, *n)).collect();
            others.shuffle(&mut self.rng);
            others.into_iter().take(RELAYS).for_each(|relay| self.send(me, relay, Word::Ask(nonce, to)));
        }
        if now >= self.members[me].beat_at {
            self.members[me].beat_at += INTERVAL;
            if let Some((_, to, ..)) = self.members[me].ping.take() {
                let incarnation = self.members[me].knows[to].0;
                self.learn(me, to, incarnation, Status::Suspect);
            }
            if self.members[me].round.is_empty() {
                let mut round: Vec<usize> =
                    (0..self.case.members).filter(|n| *n != me && self.there(me, *n)).collect();
                round.shuffle(&mut self.rng);
                self.members[me].round = round;
            }
            if let Some(to) = self.members[me].round.pop() {
                let nonce = self.nonce();
                self.members[me].ping = Some((nonce, to, now, false));
                self.send(me, to, Word::Ping(nonce));
            }
        }
        for of in 0..self.case.members {
            let (incarnation, status) = self.members[me].knows[of];
            if status == Status::Suspect && now - self.members[me].since[of] >= SUSPICION {
                self.learn(me, of, incarnation, Status::Gone);
            }
        }
    }

    fn there(&self, me: usize, of: usize) -> bool {
        self.members[me].knows[of].1 != Status::Gone
    }

    /// Phi accrual, at each tick: the next heartbeat, and what the silence of each says.
    fn beat(&mut self, me: usize) {
        let now = self.now;
        if now >= self.members[me].beat_at {
            self.members[me].beat_at = now + INTERVAL;
            (0..self.case.members).filter(|to| *to != me).for_each(|to| self.send(me, to, Word::Beat));
        }
        for of in (0..self.case.members).filter(|of| *of != me) {
            let m = &mut self.members[me];
            let silent = phi(now - m.heard[of], &m.between[of]) >= PHI;
            if silent && m.gone.insert(of) {
                self.finds_gone(me, of);
            }
        }
    }
}

/// How sure it is that one is gone: minus the logarithm of the chance that its next heartbeat comes later still, with
/// times spread normally (by the logistic approximation that Akka uses). 0 while there is little to go by.
fn phi(silent: f64, between: &VecDeque<f64>) -> f64 {
    if between.len() < 10 {
        return 0.0;
    }
    let n = between.len() as f64;
    let mean = between.iter().sum::<f64>() / n;
    let variance = between.iter().map(|x| (x - mean).powi(2)).sum::<f64>() / n;
    let y = (silent - mean) / variance.sqrt().max(LEAST_DEVIATION);
    let e = (-y * (1.5976 + 0.070_566 * y * y)).exp();
    let later = if silent > mean { e / (1.0 + e) } else { 1.0 - 1.0 / (1.0 + e) };
    -later.max(f64::MIN_POSITIVE).log10()
}

#[cfg(test)]
mod tests {
    use super::*;

    fn calm(members: usize) -> Case {
        Case { members, lasts: 60_000.0, ..Case::default() }
    }

    #[test]
    fn both_know_of_a_crash_and_remove_nobody_while_all_is_well() {
        for way in [Way::Swim, Way::Phi] {
            assert_eq!(play(way, &calm(6), 1), Found::default(), "{way:?}");
            let found = play(way, &Case { killed: Some(2), ..calm(6) }, 1);
            assert!(found.known.len() == 5 && found.wrong.is_empty(), "{way:?}: {found:?}");
            assert!(found.known.iter().all(|at| (1_000.0..20_000.0).contains(at)), "{way:?}: {found:?}");
        }
    }

    #[test]
    fn each_has_the_weakness_that_it_is_known_for() {
        // One accuser is enough for SWIM: who hears nobody removes all, in turn.
        let deaf = Case { cut: (1..6).map(|from| (from, 0)).collect(), ..calm(6) };
        assert!(play(Way::Swim, &deaf, 2).wrong.iter().any(|(_, of)| *of != 0));
        // Nobody speaks for another where heartbeats are all there is.
        let one = Case { cut: [(0, 1)].into(), ..calm(6) };
        assert_eq!(play(Way::Phi, &one, 3).wrong, vec![(1, 0)]);
        assert_eq!(play(Way::Swim, &one, 3).wrong, vec![]);
    }

    #[test]
    fn a_silence_says_more_the_more_regular_heartbeats_were() {
        let (regular, odd) = (VecDeque::from([1_000.0; 50]), (0..50).map(|n| 500.0 + 20.0 * f64::from(n)));
        assert!(phi(1_500.0, &regular) > 5.0 && phi(1_500.0, &odd.collect()) < 2.0);
        assert!(phi(900.0, &regular) < 0.2 && phi(9e9, &VecDeque::new()) == 0.0);
    }
}
