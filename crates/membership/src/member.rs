//! One member: what it sends when, and what it makes of what others send.

use crate::figures::Figures;
use crate::gossip::Gossip;
use crate::record::{mix, Id, Instance, Record, Standing};
use crate::roster::{Accusation, Change, Roster};
use crate::wire::{self, Part, Writer, MOST_BYTES, MOST_WHOLE};
use crate::{Config, Millis};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// It is woken so often in a probe interval.
const TICKS: f64 = 4.0;
/// Without proof of life for so many intervals an observer is in doubt.
const DOUBT: f64 = 2.0;
/// So many others are asked to ping in its place.
const RELAYS: usize = 3;
/// Drawn by chance from so many.
const DRAWN: usize = 12;
/// Subjects without proof of life for this part of the suspicion time count as not heard.
const UNHEARD: f64 = 0.6;
/// An accusation that stands is said again after so many intervals.
const REPEAT: f64 = 4.0;
/// News is sent on so many times, times the logarithm of the number of members.
const SPREAD: f64 = 3.0;
/// Seeds are asked for so many intervals before a member begins alone.
const ALONE_AFTER: f64 = 5.0;
/// A process that holds the name is waited for so many intervals.
const CLAIM: f64 = 3.0;
/// At most so many intervals between two exchanges of whole states; the first ones come sooner.
const EXCHANGE: f64 = 32.0;
/// So many pings of others' are waited for, at most.
const MOST_RELAYED: usize = 1_024;
/// So many times news on its leaving is sent to others.
const FAREWELLS: usize = 12;

/// What a member wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Datagram {
        /// Where to.
        to: SocketAddr,
        /// What.
        bytes: Vec<u8>,
    },
    /// Exchange whole states: send [`Members::whole`], hand the answer to [`Members::take_whole`].
    Exchange {
        /// With whom.
        with: SocketAddr,
    },
    /// Its name is another process's: it takes no part any more, and its process is to end.
    End {
        /// Why, in words.
        why: String,
    },
}

/// What a member believes of all.
#[derive(Clone, Debug, PartialEq)]
pub struct View {
    /// Its name.
    pub name: String,
    /// Rises whenever a member joins, goes or leaves.
    pub view: u64,
    /// It is on the smaller side of a cut, or hears nobody: it finds nobody gone.
    pub minority: bool,
    /// The members, itself included, by name.
    pub members: Vec<Viewed>,
}

/// What is believed of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Viewed {
    /// What is told of it.
    pub record: Record,
    /// Some observer has no proof that it lives.
    pub suspect: bool,
}

impl Viewed {
    /// In a word.
    pub fn state(&self) -> &'static str {
        match self.record.standing {
            Standing::Alive if self.suspect => "suspect",
            Standing::Alive => "alive",
            Standing::Gone => "gone",
            Standing::Left => "left",
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
enum Phase {
    /// Seeds are asked who is there; since then.
    Joining(Millis),
    /// A process under its name is asked whether it lives, until then.
    Claiming(Millis, Record),
    In,
    Over,
}

/// What an observer knows of a subject.
#[derive(Clone, Debug)]
struct Watch {
    /// The latest time at which it is proved to have lived.
    proof: Millis,
    ping_at: Millis,
    ask_at: Millis,
    /// When it was last accused, if that stands.
    accused: Option<Millis>,
}

#[derive(Clone, Debug)]
struct Relayed {
    asker: SocketAddr,
    nonce: u64,
    at: Millis,
}

/// One member of a cluster.
#[derive(Clone, Debug)]
pub struct Members {
    config: Config,
    me: Id,
    instance: Instance,
    incarnation: u64,
    phase: Phase,
    roster: Roster,
    rng: u64,
    now: Millis,
    /// When it is to be woken.
    due: Millis,
    /// Of the subjects of this view of the roster.
    watches: BTreeMap<Id, Watch>,
    watched_at: Option<u64>,
    /// The others that are there, in an order by chance.
    there: Vec<Id>,
    /// Pings whose answers may come: whom they went to, when, and whether by itself.
    asked: BTreeMap<u64, (Id, Millis, bool)>,
    relayed: BTreeMap<u64, Relayed>,
    gossip: Gossip,
    /// Of its subjects none is heard; or so few that it, with those, may be the smaller side of a cut.
    deaf: bool,
    unsure: bool,
    count: u64,
    exchange_at: Millis,
    exchange_every: f64,
    claimed_at: Millis,
    figures: Figures,
}

impl Members {
    /// One that knows nobody yet. `seed` is all the chance there is: two members need different ones.
    pub fn new(config: Config, seed: u64, now: Millis) -> Members {
        let (me, mut rng) = (Id::of(&config.name), mix(seed ^ Id::of(&config.name).0));
        let instance = Instance { born: 0, number: next(&mut rng) };
        let roster = Roster::new(config.times, config.devices);
        Members {
            me,
            instance,
            incarnation: 0,
            phase: Phase::Joining(now),
            roster,
            rng,
            now,
            due: now,
            watches: BTreeMap::new(),
            watched_at: None,
            there: Vec::new(),
            asked: BTreeMap::new(),
            relayed: BTreeMap::new(),
            gossip: Gossip::default(),
            deaf: false,
            unsure: false,
            count: 0,
            exchange_at: now,
            exchange_every: 1.0,
            claimed_at: f64::NEG_INFINITY,
            figures: Figures::default(),
            config,
        }
    }

    /// When it wants to be woken.
    pub fn next_wake(&self) -> Option<Millis> {
        (self.phase != Phase::Over).then_some(self.due)
    }

    /// What it has counted.
    pub fn figures(&self) -> Figures {
        self.figures
    }

    /// What is believed of a name.
    pub fn record(&self, name: &str) -> Option<&Record> {
        self.roster.get(Id::of(name))
    }

    /// Its number.
    pub fn id(&self) -> Id {
        self.me
    }

    /// It has joined, and has neither left nor ended.
    pub fn is_in(&self) -> bool {
        self.phase == Phase::In
    }

    /// Rises whenever a member joins, goes or leaves.
    pub fn view_number(&self) -> u64 {
        self.roster.view()
    }

    /// What is told of all.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.roster.records().map(|(_, record)| record)
    }

    /// What it believes of all.
    pub fn view(&self) -> View {
        let suspect = |id| self.roster.against(id).next().is_some();
        let viewed = |(id, record): (Id, &Record)| Viewed { record: record.clone(), suspect: suspect(id) };
        let mut members: Vec<Viewed> = self.roster.records().map(viewed).collect();
        members.sort_by(|a, b| a.record.name.cmp(&b.record.name));
        let (name, view) = (self.config.name.clone(), self.roster.view());
        View { name, view, minority: self.is_minority(), members }
    }

    /// On the smaller side of a cut, or hears nobody.
    pub fn is_minority(&self) -> bool {
        self.unsure || !self.is_in() || self.roster.is_minority()
    }

    /// Its time has come.
    pub fn wake(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let tick = self.config.times.probe / TICKS;
        let late = self.now - self.due;
        if self.config.devices.pauses && late > tick {
            self.slept(late);
        }
        self.due = self.now + tick;
        match self.phase.clone() {
            Phase::Joining(since) => self.join(since, out),
            Phase::Claiming(until, holder) if self.now >= until => self.enter(holder.incarnation),
            Phase::Claiming(_, holder) => self.claim(&holder, out),
            Phase::In => {
                self.observe(out);
                let gone = self.roster.judge(self.now);
                let may = !self.unsure || !self.config.devices.majority;
                for gone in gone.into_iter().filter(|_| may) {
                    self.figures.removed += 1;
                    self.learn(gone);
                }
                self.exchange(out);
            }
            Phase::Over => {}
        }
    }

    /// What it did not hear while it was not woken says nothing on others.
    fn slept(&mut self, late: Millis) {
        let now = self.now;
        self.figures.slept += late as u64;
        self.watches.values_mut().for_each(|w| w.proof = (w.proof + late).min(now));
        self.roster.slept(late, now);
    }

    fn join(&mut self, since: Millis, out: &mut Vec<Action>) {
        let seeds: Vec<SocketAddr> =
            self.config.seeds.iter().copied().filter(|seed| *seed != self.config.addr).collect();
        if seeds.is_empty() || self.now - since >= ALONE_AFTER * self.config.times.probe {
            return self.enter(0);
        }
        if self.now >= self.exchange_at {
            self.exchange_at = self.now + self.config.times.probe;
            let with = seeds[self.below(seeds.len())];
            out.push(Action::Exchange { with });
        }
    }

    /// It is a member from now on, under a higher incarnation than any known of its name.
    fn enter(&mut self, known: u64) {
        self.incarnation = self.incarnation.max(known).saturating_add(1);
        self.instance.born = if self.instance.born == 0 { self.incarnation } else { self.instance.born };
        self.phase = Phase::In;
        (self.exchange_at, self.exchange_every) = (self.now + self.config.times.probe, 1.0);
        self.tell_of_me(Standing::Alive);
    }

    fn tell_of_me(&mut self, standing: Standing) {
        let record = Record {
            name: self.config.name.clone(),
            zone: self.config.zone.clone(),
            addr: self.config.addr,
            instance: self.instance,
            incarnation: self.incarnation,
            standing,
        };
        self.roster.take(record.clone(), self.now);
        self.gossip.push(Part::Record(record));
    }

    /// Pings those that it observes, and accuses those that give no proof of life.
    fn observe(&mut self, out: &mut Vec<Action>) {
        let (now, times) = (self.now, self.config.times);
        self.follow_subjects();
        let old = now - 2.0 * times.suspicion;
        while let Some(first) = self.asked.first_entry().filter(|e| e.get().1 < old) {
            self.figures.missed += u64::from(first.remove().2);
        }
        self.relayed.retain(|_, r| r.at >= old);
        let unheard = self.watches.values().filter(|w| now - w.proof > UNHEARD * times.suspicion).count();
        self.deaf = unheard > 0 && unheard == self.watches.len();
        let was = std::mem::replace(&mut self.unsure, 2 * unheard > self.watches.len());
        for id in self.watches.keys().copied().collect::<Vec<_>>() {
            let Some(w) = self.watches.get(&id) else { continue };
            let (quiet, ping, ask, accused) = (now - w.proof, now >= w.ping_at, now >= w.ask_at, w.accused);
            let doubt = quiet > DOUBT * times.probe;
            if ping || doubt {
                self.ping(id, out);
                let by = times.probe * (0.9 + 0.2 * self.chance());
                self.watches.entry(id).and_modify(|w| w.ping_at = now + by);
            }
            if doubt && ask && self.config.devices.indirect {
                self.ask_others(id, out);
                self.watches.entry(id).and_modify(|w| w.ask_at = now + times.probe);
            }
            let again = accused.is_none_or(|at| was != self.unsure || now - at >= REPEAT * times.probe);
            if quiet > times.suspicion && again && !self.deaf {
                self.figures.suspected += u64::from(accused.is_none());
                self.say(id, true, out);
                self.watches.entry(id).and_modify(|w| w.accused = Some(now));
            }
        }
    }

    /// Watches are of those whom it observes by its present view.
    fn follow_subjects(&mut self) {
        if self.watched_at == Some(self.roster.view()) {
            return;
        }
        self.watched_at = Some(self.roster.view());
        let subjects: BTreeSet<Id> = self.roster.subjects(self.me);
        self.watches.retain(|id, _| subjects.contains(id));
        let alive = |(_, r): &(Id, &Record)| r.standing == Standing::Alive;
        self.there =
            self.roster.records().filter(alive).map(|(id, _)| id).filter(|id| *id != self.me).collect();
        for id in subjects {
            // Not all in one moment.
            let ping_at = self.now + self.chance() * self.config.times.probe;
            let new = Watch { proof: self.now, ping_at, ask_at: self.now, accused: None };
            self.watches.entry(id).or_insert(new);
        }
    }

    fn ping(&mut self, id: Id, out: &mut Vec<Action>) {
        let Some(addr) = self.roster.get(id).map(|r| r.addr) else { return };
        let nonce = self.nonce();
        self.asked.insert(nonce, (id, self.now, true));
        self.figures.probes += 1;
        // Who is accused hears of it first.
        let about: Vec<Part> = self.roster.against(id).take(RELAYS).map(Part::Accusation).collect();
        let parts = [Part::Ping { nonce, to: id }].into_iter().chain(about);
        self.send(addr, parts, out);
    }

    /// Asks others to ping in its place; of other zones than those asked already, while there are any.
    fn ask_others(&mut self, subject: Id, out: &mut Vec<Action>) {
        let Some(addr) = self.roster.get(subject).map(|r| r.addr) else { return };
        let mut drawn = Vec::new();
        for at in 0..self.there.len().min(DRAWN) {
            let with = at + self.below(self.there.len() - at);
            self.there.swap(at, with);
            drawn.extend(Some(self.there[at]).filter(|id| *id != subject));
        }
        let mut zones = BTreeSet::new();
        let drawn: Vec<&Record> = drawn.iter().filter_map(|id| self.roster.get(*id)).collect();
        let (new, rest): (Vec<&Record>, Vec<&Record>) =
            drawn.into_iter().partition(|r| zones.insert(r.zone.as_str()));
        let relays: Vec<SocketAddr> = new.into_iter().chain(rest).take(RELAYS).map(|r| r.addr).collect();
        for relay in relays {
            let nonce = self.nonce();
            self.asked.insert(nonce, (subject, self.now, false));
            self.figures.indirect += 1;
            self.send(relay, [Part::Ask { nonce, subject, addr }], out);
        }
    }

    /// Says that it has no proof of a member's life, or has it again.
    fn say(&mut self, subject: Id, stands: bool, out: &mut Vec<Action>) {
        let Some(incarnation) = self.roster.get(subject).map(|r| r.incarnation) else { return };
        self.count += 1;
        let seq = self.incarnation << 32 | self.count;
        let a = Accusation { accuser: self.me, subject, incarnation, seq, stands, sure: !self.unsure };
        if self.roster.accuse(a, self.now) {
            self.gossip.push(Part::Accusation(a));
        }
        if stands {
            self.ping(subject, out);
        }
    }

    /// A member is proved to have lived at a time.
    fn proved(&mut self, nonce: u64, out: &mut Vec<Action>) {
        let Some((id, at, _)) = self.asked.remove(&nonce) else { return };
        let Some(w) = self.watches.get_mut(&id) else { return };
        w.proof = w.proof.max(at);
        let proved = self.now - w.proof <= self.config.times.suspicion;
        if proved && w.accused.take().is_some() {
            self.say(id, false, out);
        }
    }

    /// A datagram has come.
    pub fn datagram(&mut self, from: SocketAddr, bytes: &[u8], now: Millis, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let Ok((sender, parts)) = wire::read(bytes, &self.config.cluster) else {
            self.figures.garbage += 1;
            return;
        };
        self.figures.taken += 1;
        let (mut reply, mut asked) = (Vec::new(), Vec::new());
        for part in parts {
            match part {
                Part::Ping { nonce, to } if to == self.me && self.is_in() => reply.push(Part::Ack { nonce }),
                Part::Ping { .. } => {}
                Part::Ack { nonce } => match self.relayed.remove(&nonce) {
                    Some(Relayed { asker, nonce, .. }) => self.send(asker, [Part::Proof { nonce }], out),
                    None => self.proved(nonce, out),
                },
                Part::Proof { nonce } => self.proved(nonce, out),
                Part::Ask { nonce, subject, addr } => asked.push((nonce, subject, addr)),
                Part::Record(record) => self.heard(record, out),
                Part::Accusation(a) => self.accused(a),
                Part::Claim { name, instance } if name == self.me && self.is_in() => {
                    if instance.born > 0 && instance < self.instance {
                        self.end("a process that began before this one has its name", out);
                    } else if instance != self.instance {
                        reply.push(Part::Held { name, instance: self.instance });
                    }
                }
                Part::Held { name, instance } if name == self.me && instance != self.instance => {
                    if !self.is_in() || instance < self.instance {
                        self.end("another process that runs has its name", out);
                    }
                }
                Part::Claim { .. } | Part::Held { .. } => {}
            }
        }
        for (theirs, subject, addr) in asked {
            if self.relayed.len() < MOST_RELAYED && self.is_in() {
                let nonce = self.nonce();
                self.relayed.insert(nonce, Relayed { asker: from, nonce: theirs, at: self.now });
                self.send(addr, [Part::Ping { nonce, to: subject }], out);
            }
        }
        // Who speaks and is gone by this view hears of it at once.
        let over = self.roster.get(sender).filter(|r| r.standing != Standing::Alive).cloned();
        reply.extend(over.filter(|_| self.is_in()).map(Part::Record));
        if !reply.is_empty() {
            self.send(from, reply, out);
        }
    }

    /// What is told of a member; of itself, or of another process under its name, it knows better.
    fn heard(&mut self, record: Record, out: &mut Vec<Action>) {
        if record.id() != self.me {
            return self.learn(record);
        }
        if !self.is_in() || record.incarnation < self.incarnation {
            return;
        }
        let mine = record.instance == self.instance;
        if mine && record.standing == Standing::Alive {
            return;
        }
        if !mine && record.standing == Standing::Alive && record.addr != self.config.addr {
            let pause = DOUBT * self.config.times.probe;
            if self.now - self.claimed_at >= pause {
                self.claimed_at = self.now;
                self.claim(&record, out);
            }
        }
        self.refute(record.incarnation);
    }

    /// It lives, whatever is said.
    fn refute(&mut self, incarnation: u64) {
        if !self.config.devices.refute {
            return;
        }
        self.figures.refuted += 1;
        if self.config.devices.raise {
            self.incarnation = self.incarnation.max(incarnation).saturating_add(1);
        }
        self.tell_of_me(Standing::Alive);
    }

    fn learn(&mut self, record: Record) {
        let change = self.roster.take(record.clone(), self.now);
        self.figures.false_removals += u64::from(change == Change::WasNeverGone);
        if change != Change::Nothing {
            if let Some(w) = self.watches.get_mut(&record.id()) {
                w.accused = None; // what was said of an earlier incarnation is void
            }
            self.gossip.push(Part::Record(record));
        }
    }

    fn accused(&mut self, a: Accusation) {
        if a.subject == self.me {
            let holds = a.stands && a.incarnation >= self.incarnation && self.is_in();
            return if holds {
                self.refute(a.incarnation)
            };
        }
        if a.accuser != self.me && self.roster.accuse(a, self.now) {
            self.gossip.push(Part::Accusation(a));
        }
    }

    fn claim(&mut self, holder: &Record, out: &mut Vec<Action>) {
        let (name, instance) = (self.me, self.instance);
        self.send(holder.addr, [Part::Claim { name, instance }], out);
    }

    fn end(&mut self, why: &str, out: &mut Vec<Action>) {
        self.phase = Phase::Over;
        out.push(Action::End { why: format!("{}: {why}", self.config.name) });
    }

    /// Its whole state, for an exchange.
    pub fn whole(&mut self) -> Vec<u8> {
        let mut w = Writer::new(&self.config.cluster, self.me, MOST_WHOLE);
        for (_, record) in self.roster.records() {
            w.add(&Part::Record(record.clone()));
        }
        self.figures.exchanges += 1;
        w.finish()
    }

    /// Another's whole state has come, as an answer or unasked.
    pub fn take_whole(&mut self, bytes: &[u8], now: Millis, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        let Ok((_, parts)) = wire::read(bytes, &self.config.cluster) else {
            self.figures.garbage += 1;
            return;
        };
        let mut mine = None;
        for part in parts {
            match part {
                Part::Record(record) if record.id() == self.me && !self.is_in() => mine = Some(record),
                // A member that is new here passes word of itself on: a thousand that start at once are told of once.
                Part::Record(record) if record.id() != self.me && self.roster.get(record.id()).is_none() => {
                    self.roster.take(record, self.now);
                }
                Part::Record(record) => self.heard(record, out),
                _ => {}
            }
        }
        if matches!(self.phase, Phase::Joining(_)) {
            let known = mine.as_ref().map_or(0, |r| r.incarnation);
            match mine.filter(|r| r.standing == Standing::Alive && r.addr != self.config.addr) {
                Some(holder) => {
                    self.claim(&holder, out);
                    let until = self.now + CLAIM * self.config.times.probe;
                    self.phase = Phase::Claiming(until, holder);
                }
                None => self.enter(known),
            }
        }
    }

    /// Now and then with a member by chance, and with a seed or one that is gone: a split heals by it.
    fn exchange(&mut self, out: &mut Vec<Action>) {
        if self.now < self.exchange_at {
            return;
        }
        self.roster.forget(self.now);
        let every = self.exchange_every;
        self.exchange_at = self.now + every * self.config.times.probe * (0.75 + 0.5 * self.chance());
        self.exchange_every = (2.0 * every).min(EXCHANGE);
        let here: BTreeSet<SocketAddr> = self.others(Standing::Alive).collect();
        let lost = self.config.seeds.iter().copied().chain(self.others(Standing::Gone));
        let lost: BTreeSet<SocketAddr> =
            lost.filter(|a| *a != self.config.addr && !here.contains(a)).collect();
        for of in [here, lost] {
            if !of.is_empty() {
                let nth = self.below(of.len());
                out.extend(of.into_iter().nth(nth).map(|with| Action::Exchange { with }));
            }
        }
    }

    fn others(&self, standing: Standing) -> impl Iterator<Item = SocketAddr> + '_ {
        let of = self.roster.records().filter(move |(id, r)| *id != self.me && r.standing == standing);
        of.map(|(_, r)| r.addr)
    }

    /// It ends, and says so to a few others, who pass it on.
    pub fn leave(&mut self, now: Millis, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.is_in() {
            self.tell_of_me(Standing::Left);
            let others: Vec<SocketAddr> = self.others(Standing::Alive).collect();
            for n in 0..others.len().min(FAREWELLS) {
                let with = others[(n + self.count as usize) % others.len()];
                self.send(with, [], out);
            }
        }
        self.phase = Phase::Over;
    }

    /// Sends parts, and news with them as far as there is room: what was sent least goes first.
    fn send(&mut self, to: SocketAddr, parts: impl IntoIterator<Item = Part>, out: &mut Vec<Action>) {
        let mut w = Writer::new(&self.config.cluster, self.me, MOST_BYTES);
        for part in parts {
            w.add(&part);
        }
        let most = (SPREAD * (self.roster.len() as f64 + 1.0).log2()).ceil() as u32;
        self.gossip.fill(&mut w, most);
        self.figures.parts.iter_mut().zip(w.parts).for_each(|(sum, n)| *sum += n);
        let bytes = w.finish();
        self.figures.datagrams += 1;
        self.figures.bytes += bytes.len() as u64;
        out.push(Action::Datagram { to, bytes });
    }

    fn nonce(&mut self) -> u64 {
        // Rises, so that the oldest come first; by chance below that, so that nobody can guess it.
        self.count += 1;
        self.count << 24 | next(&mut self.rng) >> 40
    }

    /// From 0 up to 1.
    fn chance(&mut self) -> f64 {
        (next(&mut self.rng) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn below(&mut self, n: usize) -> usize {
        (self.chance() * n as f64) as usize
    }
}

/// The next number by chance (splitmix64).
fn next(state: &mut u64) -> u64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mix(*state)
}
