//! What is believed of the members: records that supersede each other, accusations by observers, and the verdict on them.

use crate::record::{Id, Record, Standing};
use crate::rings::Rings;
use crate::{Millis, Times};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// An accusation that is not repeated for so many probe intervals is void: its accuser may be gone.
const LAPSE: f64 = 10.0;
/// Guards against: records of made-up names that fill the memory. Names as long as a setup allows them.
const MOST_MEMBERS: usize = 10_000;
const LONGEST_NAME: usize = 128;
/// An observer that so many others accuse says nothing on others.
const DOUBTFUL: usize = 2;
/// Over so many probe intervals members that went are counted with those that are left, to know which side is larger.
const LATELY: f64 = 60.0;

/// An observer has had no proof of life of a member, or has it again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Accusation {
    /// Who says so.
    pub accuser: Id,
    /// Of whom.
    pub subject: Id,
    /// At which of its incarnations.
    pub incarnation: u64,
    /// Rises with each word of this accuser.
    pub seq: u64,
    /// It stands; else it is withdrawn.
    pub stands: bool,
    /// The accuser hears most of the members; else it may be the one that is cut off, and this removes nobody.
    pub sure: bool,
}

/// Parts of the protocol that can be left out, to measure what each brings and to prove that tests notice.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Devices {
    /// Others are asked to ping in one's place.
    pub indirect: bool,
    /// A removal needs most observers; else one.
    pub quorum: bool,
    /// Who is accused says that it lives.
    pub refute: bool,
    /// And does so under a higher incarnation.
    pub raise: bool,
    /// One's own pauses are taken out of all times.
    pub pauses: bool,
    /// The smaller side removes nobody.
    pub majority: bool,
}

impl Default for Devices {
    fn default() -> Self {
        Devices { indirect: true, quorum: true, refute: true, raise: true, pauses: true, majority: true }
    }
}

/// What a record has changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing: it is known, or older than what is known.
    Nothing,
    /// A higher incarnation of one that is there.
    Renewed,
    /// A member that was not there, or not any more.
    Joined,
    /// One that was gone and has never ended.
    WasNeverGone,
    /// It is gone.
    Gone,
    /// It has left.
    Left,
}

#[derive(Clone, Debug)]
struct Entry {
    record: Record,
    since: Millis,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    accusation: Accusation,
    at: Millis,
}

/// All that is believed of the members.
#[derive(Clone, Debug)]
pub struct Roster {
    times: Times,
    devices: Devices,
    entries: BTreeMap<Id, Entry>,
    rings: Rings,
    /// By subject and accuser.
    accusations: BTreeMap<Id, BTreeMap<Id, Held>>,
    /// Those that enough observers accuse, and since when without a break.
    condemned: BTreeMap<Id, Millis>,
    /// Members that went without a word, and when.
    lost: VecDeque<(Millis, Id)>,
    view: u64,
}

impl Roster {
    /// Nobody.
    pub fn new(times: Times, devices: Devices) -> Roster {
        Roster {
            times,
            devices,
            entries: BTreeMap::new(),
            rings: Rings::default(),
            accusations: BTreeMap::new(),
            condemned: BTreeMap::new(),
            lost: VecDeque::new(),
            view: 0,
        }
    }

    /// Rises whenever a member joins, goes or leaves.
    pub fn view(&self) -> u64 {
        self.view
    }

    /// What is told of a member.
    pub fn get(&self, id: Id) -> Option<&Record> {
        self.entries.get(&id).map(|e| &e.record)
    }

    /// What is told of all.
    pub fn records(&self) -> impl Iterator<Item = (Id, &Record)> {
        self.entries.iter().map(|(id, e)| (*id, &e.record))
    }

    /// Members that are there, suspect ones included.
    pub fn len(&self) -> usize {
        self.rings.len()
    }

    /// Nobody is there.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Those that a member observes.
    pub fn subjects(&self, of: Id) -> BTreeSet<Id> {
        self.rings.subjects(of)
    }

    /// Takes in what is told of a member.
    pub fn take(&mut self, record: Record, now: Millis) -> Change {
        let id = record.id();
        let old = self.entries.get(&id).map(|e| &e.record);
        let fits = record.name.len().max(record.zone.len()) <= LONGEST_NAME;
        let room = old.is_some() || self.entries.len() < MOST_MEMBERS;
        if !fits || !room || old.is_some_and(|old| !record.supersedes(old)) {
            return Change::Nothing;
        }
        let was = old.map(|old| (old.standing, old.instance));
        let (standing, instance) = (record.standing, record.instance);
        self.entries.insert(id, Entry { record, since: now });
        let change = match (was, standing) {
            (Some((Standing::Alive, _)), Standing::Alive) => Change::Renewed,
            (Some((Standing::Gone, same)), Standing::Alive) if same == instance => Change::WasNeverGone,
            (_, Standing::Alive) => Change::Joined,
            (_, Standing::Gone) => Change::Gone,
            (_, Standing::Left) => Change::Left,
        };
        let there = |s| s == Standing::Alive;
        if was.is_some_and(|(s, _)| there(s)) != there(standing) {
            self.view += 1;
        }
        if there(standing) {
            self.rings.insert(id);
            self.lost.retain(|(_, lost)| *lost != id);
        } else {
            self.rings.remove(id);
            if was.is_some_and(|(s, _)| there(s)) && change == Change::Gone {
                self.lost.push_back((now, id));
            }
        }
        // What was said of an earlier incarnation says nothing of this one.
        self.accusations.remove(&id);
        self.condemned.remove(&id);
        change
    }

    /// Takes in what an observer says; whether it is news.
    pub fn accuse(&mut self, a: Accusation, now: Millis) -> bool {
        let here = |r: &&Record| r.standing == Standing::Alive && r.incarnation == a.incarnation;
        if self.get(a.subject).filter(here).is_none() || self.get(a.accuser).is_none() {
            return false;
        }
        let of = self.accusations.entry(a.subject).or_default();
        let news = of.get(&a.accuser).is_none_or(|held| held.accusation.seq < a.seq);
        if news {
            of.insert(a.accuser, Held { accusation: a, at: now });
        }
        news
    }

    /// The accusations that stand against a member.
    pub fn against(&self, subject: Id) -> impl Iterator<Item = Accusation> + '_ {
        let held = self.accusations.get(&subject).into_iter().flat_map(BTreeMap::values);
        held.map(|held| held.accusation).filter(|a| a.stands)
    }

    /// Who accuses a member and hears most of the others.
    fn sure_against(&self, subject: Id) -> impl Iterator<Item = Id> + '_ {
        self.against(subject).filter(|a| a.sure || !self.devices.majority).map(|a| a.accuser)
    }

    /// Whether enough observers accuse a member: more than half of those that count, two at least where there are two.
    fn is_condemned(&self, subject: Id) -> bool {
        let accusers: BTreeSet<Id> = self.sure_against(subject).collect();
        if !self.devices.quorum {
            return !accusers.is_empty();
        }
        let observers = self.rings.observers(subject);
        let least = observers.len().min(2);
        let counts = |id: &&Id| self.sure_against(**id).count() < DOUBTFUL;
        let voters: Vec<Id> = observers.iter().filter(counts).copied().collect();
        let votes = voters.iter().filter(|id| accusers.contains(id)).count();
        2 * votes > voters.len() && votes >= least
    }

    /// Whether several accuse a member, sure or not, that are not doubtful themselves. Of many, each hears only its own
    /// subjects: it takes the words of all to see how many cannot be heard.
    fn is_unheard(&self, subject: &Id) -> bool {
        let counts = |accuser: &Id| self.sure_against(*accuser).count() < DOUBTFUL;
        self.against(*subject).map(|a| a.accuser).filter(counts).count() >= DOUBTFUL
    }

    /// Whether those that are neither condemned nor unheard are no majority of the members of the last minute.
    pub fn is_minority(&self) -> bool {
        let unheard =
            self.accusations.keys().filter(|id| self.condemned.contains_key(id) || self.is_unheard(id));
        let (here, unheard) = (self.rings.len(), unheard.count());
        2 * (here - unheard.min(here)) <= here + self.lost.len()
    }

    /// Brings the verdicts up to now; gives the members that are gone from now on, with the records that say so. The smaller
    /// side finds nobody gone.
    pub fn judge(&mut self, now: Millis) -> Vec<Record> {
        let probe = self.times.probe;
        for of in self.accusations.values_mut() {
            of.retain(|_, held| now - held.at <= LAPSE * probe);
        }
        self.accusations.retain(|_, of| !of.is_empty());
        self.lost.retain(|(at, _)| now - at <= LATELY * probe);
        let condemned: BTreeSet<Id> =
            self.accusations.keys().copied().filter(|id| self.is_condemned(*id)).collect();
        self.condemned.retain(|id, _| condemned.contains(id));
        condemned.into_iter().for_each(|id| {
            self.condemned.entry(id).or_insert(now);
        });
        if self.devices.majority && self.is_minority() {
            return Vec::new();
        }
        let due = self.condemned.iter().filter(|(_, since)| now - **since >= self.times.removal);
        let due: Vec<Id> = due.map(|(id, _)| *id).collect();
        let gone = |id: Id| Some(Record { standing: Standing::Gone, ..self.get(id)?.clone() });
        due.into_iter().filter_map(gone).collect()
    }

    /// Forgets those that went so long ago that nobody will ask.
    pub fn forget(&mut self, now: Millis) {
        let old = self.times.forget;
        self.entries.retain(|_, e| e.record.standing == Standing::Alive || now - e.since < old);
    }

    /// Takes a time in which nobody was listened to out of all times.
    pub fn slept(&mut self, by: Millis, now: Millis) {
        let later = |at: &mut Millis| *at = (*at + by).min(now);
        self.accusations.values_mut().flat_map(BTreeMap::values_mut).for_each(|held| later(&mut held.at));
        self.condemned.values_mut().for_each(later);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::Instance;

    fn record(name: String, incarnation: u64) -> Record {
        let (addr, instance) = ("127.0.0.1:1".parse().unwrap(), Instance { born: 1, number: 1 });
        Record { name, zone: "z".into(), addr, instance, incarnation, standing: Standing::Alive }
    }

    #[test]
    fn what_strangers_make_up_takes_no_memory() {
        let mut roster = Roster::new(Times::default(), Devices::default());
        for n in 0..MOST_MEMBERS {
            roster.take(record(format!("m{n}"), 1), 0.0);
        }
        assert_eq!(roster.take(record("one-more".into(), 1), 0.0), Change::Nothing);
        assert_eq!(roster.take(record("m7".into(), 2), 0.0), Change::Renewed, "who is known can be told of");
        assert_eq!(roster.take(record("x".repeat(LONGEST_NAME + 1), 1), 0.0), Change::Nothing);
        let (subject, accuser) = (Id::of("m7"), Id(77));
        let made_up = Accusation { accuser, subject, incarnation: 2, seq: 1, stands: true, sure: true };
        assert!(!roster.accuse(made_up, 0.0), "nobody is called so");
    }
}
