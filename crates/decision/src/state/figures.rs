//! Running figures: means, budgets, shares, accounts, and random numbers.

use super::ById;
use crate::interface::*;
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, VecDeque};

/// A running mean; its first value counts in full.
#[derive(Clone, Copy, Default)]
pub struct Mean(pub Option<f64>);

impl Mean {
    /// Takes in a value with this weight.
    pub fn add(&mut self, x: f64, weight: f64) {
        self.0 = Some(self.0.map_or(x, |mean| mean + weight * (x - mean)));
    }

    /// Goes a step up or down towards a value: a quantile, by how the steps compare.
    pub fn step(&mut self, x: f64, rise: f64, fall: f64) {
        self.0 = Some(self.0.map_or(x, |usual| usual * if x > usual { rise } else { fall }));
    }

    /// The mean, or what to take while there is none.
    pub fn or(&self, none: f64) -> f64 {
        self.0.unwrap_or(none)
    }
}

/// What may be spent, one at a time, of what came in.
#[derive(Default)]
pub struct Budget(pub f64);

impl Budget {
    /// Takes in so much, up to a limit.
    pub fn earn(&mut self, x: f64, most: f64) {
        self.0 = (self.0 + x).min(most);
    }

    /// Takes one, if there is one.
    pub fn spend(&mut self) -> bool {
        let some = self.0 >= 1.0;
        self.0 -= f64::from(u8::from(some));
        some
    }
}

/// The latest values of something.
#[derive(Default)]
pub struct Recent(pub VecDeque<f64>);

impl Recent {
    /// Takes in a value; the oldest over `most` are dropped.
    pub fn push(&mut self, x: f64, most: usize) {
        self.0.push_front(x);
        self.0.truncate(most);
    }

    /// The value in the middle; 0 where there is none.
    pub fn median(&self) -> f64 {
        nth(self.0.iter().copied().collect(), self.0.len() / 2).unwrap_or(0.0)
    }
}

/// The value at this place of all in their order, from 0 on; `None` if there are fewer.
pub fn nth(mut all: Vec<f64>, at: usize) -> Option<f64> {
    (at < all.len()).then(|| *all.select_nth_unstable_by(at, f64::total_cmp).1)
}

/// So many keys more are taken to have come than did, all of them different.
const FEW: f64 = 10.0;

/// How much of what came lately each key is: the latest ones, and how often each is among them.
#[derive(Default)]
pub struct Shares {
    lately: VecDeque<u64>,
    count: ById<u64, u32>,
}

impl Shares {
    /// Takes in a key; the oldest over `most` are dropped.
    pub fn push(&mut self, key: u64, most: usize) {
        self.lately.push_back(key);
        *self.count.entry(key).or_default() += 1;
        while self.lately.len() > most {
            let Some(old) = self.lately.pop_front() else { break };
            let left = self.count.entry(old).and_modify(|n| *n -= 1);
            if matches!(left, Entry::Occupied(n) if *n.get() == 0) {
                self.count.remove(&old);
            }
        }
    }

    /// A key's share. One that came once may have come by chance: that counts by half, and less among few; by a quarter,
    /// among twice as many, where too low a guess shows before it does harm.
    pub fn share(&self, key: u64, shows: bool) -> f64 {
        let (chance, few) = if shows { (0.75, 2.0 * FEW) } else { (0.5, FEW) };
        let count = self.count.get(&key).copied().unwrap_or(0);
        (f64::from(count) - chance).max(0.0) / (self.lately.len() as f64 + few)
    }
}

/// Over this many seconds it is counted how much customers ask for.
const ASKED_OVER: f64 = 10.0;

/// What a customer has left of its share, in jobs; below 0 it owes what was lent to it.
#[derive(Clone, Copy, Default)]
pub struct Account {
    pub left: f64,
    /// Jobs that it brought lately; each counts for less as time goes on.
    asked: f64,
    /// Jobs sent over its share since the start: debts that were forgiven. What is owed still may be earned yet.
    pub over: f64,
    /// As of when.
    at: Micros,
    /// When `left` was last brought up; 0: never, with all saved up that can be.
    pub earned: Micros,
}

impl Account {
    /// Takes off a job that is sent.
    pub fn spend(&mut self) {
        self.left -= 1.0;
    }

    /// Counts a job that the customer brings.
    pub fn ask(&mut self, now: Micros) {
        self.asked = self.asks(now) * ASKED_OVER + 1.0;
        self.at = now.max(1);
    }

    /// Jobs a second that it brings, lately.
    pub fn asks(&self, now: Micros) -> f64 {
        let since = now.saturating_sub(self.at) as f64 / 1e6;
        self.asked * (-since / ASKED_OVER).exp() / ASKED_OVER
    }

    /// Takes in what a share of so many jobs a second has brought since the last time, within these bounds.
    pub fn earn(&mut self, rate: f64, now: Micros, least: f64, most: f64) {
        let earned =
            if self.earned == 0 { most } else { rate * now.saturating_sub(self.earned) as f64 / 1e6 };
        let left = self.left + earned;
        self.over += (least - left).max(0.0);
        (self.left, self.earned) = (left.clamp(least, most), now.max(1));
    }
}

/// Of a class: mean logarithm of running time (over the hint, if any) and mean running time.
#[derive(Default, Clone)]
pub struct Learned {
    pub log: Mean,
    pub mean: Mean,
    /// Share of attempts that were turned away as full.
    pub full: f64,
}

/// Random numbers from the instance's seed alone (splitmix64).
#[derive(Default)]
pub struct Rng(pub u64);

impl Rng {
    /// The next number from 0 up to 1.
    pub fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number below `n`.
    pub fn below(&mut self, n: usize) -> usize {
        (self.next() * n as f64) as usize
    }
}

/// What others usually take of a worker that nothing was heard of: by its zone, and by its kind beside others of the
/// zone. Each is replaced by new reports alone, however old they are; time changes nothing.
#[derive(Default)]
pub struct Loads {
    zones: BTreeMap<u16, Mean>,
    kinds: BTreeMap<u16, Mean>,
}

impl Loads {
    /// Takes in what others take of one of the workers.
    pub fn learn(&mut self, m: &Endpoint, x: f64, weight: f64) {
        let zone = self.zones.entry(m.zone).or_default();
        let over = x - zone.or(x);
        zone.add(x, weight);
        self.kinds.entry(m.kind).or_default().add(over, weight / 2.0);
    }

    /// What to take for a worker; the mean of the zones where nothing was heard of its own.
    pub fn at(&self, m: &Endpoint) -> f64 {
        let zones = self.zones.values().map(|z| z.or(0.0));
        let fleet = || zones.sum::<f64>() / self.zones.len().max(1) as f64;
        let zone = self.zones.get(&m.zone).map_or_else(fleet, |z| z.or(0.0));
        (zone + self.kinds.get(&m.kind).map_or(0.0, |k| k.or(0.0))).max(0.0)
    }
}
