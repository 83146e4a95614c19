//! What a dispatcher keeps in mind: plain data, the token bucket as a container and the random generator.
//! Nothing is decided here; that is done in `rules.rs`.

use crate::interface::*;
use std::collections::hash_map::Entry;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::hash::{BuildHasherDefault, Hasher};
use std::sync::Arc;

/// A map by id. Its order is never looked at where it could matter; hashing does not depend on the process.
pub type ById<K, V> = HashMap<K, V, BuildHasherDefault<IdHasher>>;

/// Spreads ids by one multiplication.
#[derive(Default)]
pub struct IdHasher(u64);

impl Hasher for IdHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        bytes.iter().for_each(|b| self.write_u32(u32::from(*b)));
    }

    fn write_u32(&mut self, id: u32) {
        self.write_u64(u64::from(id));
    }

    fn write_u64(&mut self, id: u64) {
        self.0 = (self.0 ^ id).wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(32);
    }
}

/// A worker as this dispatcher knows it.
pub struct Worker {
    pub member: Member,
    /// Tokens held by attempts.
    pub held: i64,
    /// Most free slots ever reported.
    pub slots: i64,
    /// Slots that others took at the latest report, smoothed; and in the mean of a long time.
    pub others: f64,
    pub usual: Mean,
    /// When the latest report came; 0: never.
    pub reported: Micros,
    /// Connections that lie idle, by when the attempts on them ended well.
    pub idle: Vec<Micros>,
    /// Smoothed logarithm of running time over what is expected, failures included.
    pub strain: f64,
    /// Its tokens lie out until it is readmitted, from then on; 0: in service.
    pub ejected_until: Micros,
    /// Ejections since it last served well.
    pub strikes: u32,
    pub probing: bool,
    /// How classes fare here, where it matters.
    pub shut: Vec<Shut>,
    /// Attempts in flight.
    pub out: Vec<(JobId, u8)>,
    /// Work that it may be sent while cold, as of a time.
    pub credit: f64,
    pub credited: Micros,
    /// When an operator took it back; 0: never since its start.
    pub back: Micros,
}

/// A class at a worker: turned away there until then, so many times on end; never: served.
pub struct Shut {
    pub class: u16,
    pub until: Micros,
    pub strikes: u32,
}

/// How far an attempt has come.
#[derive(Clone, Copy, PartialEq)]
pub enum LegState {
    Out,
    MayHaveRun,
    NeverRan,
}

/// One attempt.
pub struct Leg {
    pub worker: WorkerId,
    pub sent: Micros,
    pub state: LegState,
    pub heard: Micros,
    pub started: Option<Micros>,
    /// It was sent to a slot that looked free.
    pub free: bool,
    /// What its way to a start is like: see `Dispatcher::starts`.
    pub path: usize,
    pub withdrawn: bool,
    /// A kept connection broke under it.
    pub stale: bool,
    /// Its worker took it for nothing that can be run.
    pub rejected: bool,
}

impl Leg {
    /// An attempt that goes out now.
    pub fn new(worker: WorkerId, now: Micros, free: bool, path: usize) -> Self {
        let state = LegState::Out;
        Leg {
            worker,
            sent: now,
            state,
            heard: now,
            started: None,
            free,
            path,
            withdrawn: false,
            stale: false,
            rejected: false,
        }
    }
}

/// A job that is owed an answer, or has attempts out still.
pub struct Request {
    pub job: Job,
    pub class: Arc<Class>,
    /// Tokens that it takes.
    pub k: i64,
    pub legs: Vec<Leg>,
    pub answered: bool,
    pub streaming: bool,
    /// The workers that should have what its key needs.
    pub keepers: Vec<WorkerId>,
    /// It waits for its key's turn.
    pub waits: bool,
    /// Work of an attempt whose end is not sure may go on until then.
    pub rests: Micros,
}

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
pub struct Recent(VecDeque<f64>);

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
fn nth(mut all: Vec<f64>, at: usize) -> Option<f64> {
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

    /// A key's share. One that came once may have come by chance: that counts by half, and less among few.
    pub fn share(&self, key: u64) -> f64 {
        let count = self.count.get(&key).copied().unwrap_or(0);
        (f64::from(count) - 0.5).max(0.0) / (self.lately.len() as f64 + FEW)
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
    earned: Micros,
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

/// What a timer was set for.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Cookie {
    Tick,
    Guard(JobId),
    Restless(JobId),
    List,
    Rested(JobId),
}

impl From<Cookie> for u64 {
    fn from(cookie: Cookie) -> u64 {
        match cookie {
            Cookie::Tick => 0,
            Cookie::Guard(id) => 1 << 32 | u64::from(id.0),
            Cookie::Restless(id) => 2 << 32 | u64::from(id.0),
            Cookie::List => 3 << 32,
            Cookie::Rested(id) => 4 << 32 | u64::from(id.0),
        }
    }
}

impl Cookie {
    /// What a timer's number stands for, if it is one of ours.
    pub fn read(cookie: u64) -> Option<Cookie> {
        let id = JobId(cookie as u32);
        match cookie >> 32 {
            0 => Some(Cookie::Tick),
            1 => Some(Cookie::Guard(id)),
            2 => Some(Cookie::Restless(id)),
            3 => Some(Cookie::List),
            4 => Some(Cookie::Rested(id)),
            _ => None,
        }
    }
}

impl Request {
    /// Marks attempts that are out as withdrawn, all or those not started; gives those not marked before.
    pub fn withdraw(&mut self, all: bool) -> Vec<u8> {
        let legs = self.legs.iter_mut().zip(0..);
        let out = |l: &Leg| l.state == LegState::Out && !l.withdrawn && (all || l.started.is_none());
        let open = legs.filter(|(l, _)| out(l));
        open.map(|(l, leg)| {
            l.withdrawn = true;
            leg
        })
        .collect()
    }

    /// A job that has just come.
    pub fn new(job: Job, class: Arc<Class>, keepers: Vec<WorkerId>) -> Self {
        let (k, legs) = (i64::from(job.slots.clamp(1, 1024)), Vec::new());
        Request { job, class, k, legs, answered: false, streaming: false, keepers, waits: false, rests: 0 }
    }

    /// Whether what its key needs has to be fetched at a worker, as far as keepers tell.
    pub fn lacks_at(&self, w: &Worker) -> bool {
        !self.keepers.is_empty() && !self.keepers.contains(&w.member.worker)
    }

    /// The attempts that are out, with their numbers.
    pub fn out(&self) -> impl Iterator<Item = (usize, &Leg)> {
        self.legs.iter().enumerate().filter(|(_, l)| l.state == LegState::Out)
    }

    /// The key whose turns it takes, if it does.
    pub fn key(&self) -> Option<u64> {
        Some(self.job.key).filter(|key| *key != 0 && self.class.keep_order)
    }

    /// The first attempt that may have run or is still out.
    pub fn first_run(&self) -> Option<&Leg> {
        self.legs.iter().find(|l| l.state != LegState::NeverRan)
    }
}

impl Worker {
    /// A worker just listed; `held` and `out` carry over what an earlier process of it still has.
    pub fn new(member: Member, held: i64, out: Vec<(JobId, u8)>, credit: f64, now: Micros) -> Self {
        Worker {
            member,
            held,
            slots: 0,
            others: 0.0,
            usual: Mean::default(),
            reported: 0,
            idle: Vec::new(),
            strain: 0.0,
            ejected_until: 0,
            strikes: 0,
            probing: false,
            shut: Vec::new(),
            out,
            credit,
            credited: now,
            back: 0,
        }
    }

    /// How a class fares here.
    pub fn shut_for(&mut self, class: u16) -> &mut Shut {
        let at = self.shut.iter().position(|s| s.class == class).unwrap_or(self.shut.len());
        if at == self.shut.len() {
            self.shut.push(Shut { class, until: 0, strikes: 0 });
        }
        &mut self.shut[at]
    }

    /// An attempt has ended; its tokens are no longer held.
    pub fn give_back(&mut self, job: JobId, leg: u8, tokens: i64) {
        self.held = (self.held - tokens).max(0);
        self.out.retain(|out| *out != (job, leg));
    }

    /// Whether its tokens lie out.
    pub fn ejected(&self) -> bool {
        self.ejected_until > 0
    }

    /// Whether it is back from an ejection and has not served well since.
    pub fn on_trial(&self) -> bool {
        self.strikes > 0
    }

    /// Whether the list says that it takes jobs.
    pub fn ready(&self) -> bool {
        matches!(self.member.readiness, Readiness::Ready | Readiness::Reserved)
    }
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

/// Where free tokens are looked for: jobs bound to some workers have an order of their own to look in.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Debug)]
pub enum Shelf {
    /// Every worker.
    All,
    /// The workers of a zone and a machine kind.
    Place(u16, u16),
    /// The workers of a cell.
    Cell(u16),
}

/// A worker's free tokens, the longest-free first, by a number that rises with each release.
#[derive(Default)]
struct Free {
    tokens: VecDeque<u64>,
    shelves: Vec<Shelf>,
}

/// Free tokens in release order. The cost of a call does not depend on how many workers there are.
#[derive(Default)]
pub struct Bucket {
    free: ById<WorkerId, Free>,
    /// On each shelf, each worker's longest-free token.
    order: BTreeMap<Shelf, BTreeSet<(u64, WorkerId)>>,
    next: u64,
}

impl Bucket {
    /// The first `n` workers with free tokens on a shelf, by their longest-free one.
    pub fn on(&self, shelf: Shelf, n: usize) -> Vec<WorkerId> {
        self.order.get(&shelf).into_iter().flatten().take(n).map(|(_, id)| *id).collect()
    }

    /// The first `n` on those shelves of zones and kinds that are open.
    pub fn in_places(&self, open: impl Fn(u16, u16) -> bool, n: usize) -> Vec<WorkerId> {
        let places = self.order.range(Shelf::Place(0, 0)..=Shelf::Place(u16::MAX, u16::MAX));
        let open = places.filter(|(s, _)| matches!(s, Shelf::Place(zone, kind) if open(*zone, *kind)));
        let mut next: Vec<_> = open.flat_map(|(_, on)| on.iter().take(n)).collect();
        next.sort_unstable();
        next.into_iter().take(n).map(|(_, id)| *id).collect()
    }

    /// When the longest-free token of a worker that has `n` was released, as a number that rises.
    pub fn first(&self, worker: WorkerId, n: i64) -> Option<u64> {
        let tokens = &self.free.get(&worker)?.tokens;
        tokens.front().copied().filter(|_| tokens.len() as i64 >= n)
    }

    /// Free tokens of a worker.
    pub fn free(&self, worker: WorkerId) -> i64 {
        self.free.get(&worker).map_or(0, |f| f.tokens.len() as i64)
    }

    /// Says on which shelves the tokens of a worker lie.
    pub fn shelve(&mut self, worker: WorkerId, shelves: Vec<Shelf>) {
        let free = self.free.entry(worker).or_default();
        let first = free.tokens.front().copied();
        let old = std::mem::replace(&mut free.shelves, shelves);
        if let Some(first) = first {
            Self::reorder(&mut self.order, &old, worker, Some(first), None);
            Self::reorder(&mut self.order, &free.shelves, worker, None, Some(first));
        }
    }

    /// Forgets a worker.
    pub fn remove(&mut self, worker: WorkerId) {
        self.shrink(worker, i64::MAX);
        self.free.remove(&worker);
    }

    fn reorder(
        order: &mut BTreeMap<Shelf, BTreeSet<(u64, WorkerId)>>,
        shelves: &[Shelf],
        worker: WorkerId,
        old: Option<u64>,
        new: Option<u64>,
    ) {
        for shelf in shelves {
            let on = order.entry(*shelf).or_default();
            old.map(|old| on.remove(&(old, worker)));
            new.map(|new| on.insert((new, worker)));
            if on.is_empty() {
                order.remove(shelf);
            }
        }
    }

    /// Puts tokens of a worker at the back.
    pub fn release(&mut self, worker: WorkerId, tokens: i64) {
        let Some(free) = self.free.get_mut(&worker).filter(|_| tokens > 0) else { return };
        if free.tokens.is_empty() {
            Self::reorder(&mut self.order, &free.shelves, worker, None, Some(self.next));
        }
        let last = self.next + tokens as u64;
        free.tokens.extend(self.next..last);
        self.next = last;
    }

    /// Takes the longest-free tokens of a worker.
    pub fn seize(&mut self, worker: WorkerId, tokens: i64) {
        let Some(free) = self.free.get_mut(&worker) else { return };
        let tokens = tokens.clamp(0, free.tokens.len() as i64) as usize;
        let first = free.tokens.drain(..tokens).next();
        if first.is_some() {
            Self::reorder(&mut self.order, &free.shelves, worker, first, free.tokens.front().copied());
        }
    }

    /// Takes out the newest tokens of a worker.
    pub fn shrink(&mut self, worker: WorkerId, tokens: i64) {
        let Some(free) = self.free.get_mut(&worker).filter(|_| tokens > 0) else { return };
        let left = (free.tokens.len() as i64 - tokens).max(0);
        let first = free.tokens.front().copied().filter(|_| left == 0);
        free.tokens.truncate(left as usize);
        if first.is_some() {
            Self::reorder(&mut self.order, &free.shelves, worker, first, None);
        }
    }

    /// Gives a worker this many free tokens: the newest go first, new ones come in by chance, or last.
    pub fn resize(&mut self, worker: WorkerId, tokens: i64, chance: Option<&mut Rng>) {
        let more = tokens - self.free(worker);
        self.shrink(worker, -more);
        let Some(rng) = chance else { return self.release(worker, more) };
        let Some(free) = self.free.get_mut(&worker).filter(|_| more > 0) else { return };
        let oldest = self.order.get(&Shelf::All).and_then(|on| on.first()).map_or(self.next, |o| o.0);
        let old = free.tokens.front().copied();
        for _ in 0..more {
            free.tokens.push_back(oldest + rng.below((self.next - oldest) as usize + 1) as u64);
        }
        free.tokens.make_contiguous().sort_unstable();
        Self::reorder(&mut self.order, &free.shelves, worker, old, free.tokens.front().copied());
        self.next += 1;
    }

    /// Puts all tokens in an order by chance.
    pub fn shuffle(&mut self, rng: &mut Rng) {
        let mut all: Vec<WorkerId> =
            self.free.iter().flat_map(|(id, f)| f.tokens.iter().map(|_| *id)).collect();
        all.sort_unstable();
        for i in (1..all.len()).rev() {
            all.swap(i, rng.below(i + 1));
        }
        self.order.clear();
        self.free.values_mut().for_each(|f| f.tokens.clear());
        all.into_iter().for_each(|id| self.release(id, 1));
    }
}

/// Workers by hashes: every dispatcher finds the same few for a key, whatever else it knows.
#[derive(Default)]
pub struct Ring(BTreeMap<u64, WorkerId>);

impl Ring {
    /// Has these workers on it, each at eight places.
    pub fn of(workers: &[WorkerId]) -> Self {
        let points = |worker: &WorkerId| {
            let (mut rng, worker) = (Rng(u64::from(worker.0)), *worker);
            (0..8).map(move |_| ((rng.next() * u64::MAX as f64) as u64, worker))
        };
        Ring(workers.iter().flat_map(points).collect())
    }

    /// The first `n` workers from a key on.
    pub fn near(&self, key: u64, n: usize) -> Vec<WorkerId> {
        let from = (Rng(key).next() * u64::MAX as f64) as u64;
        let mut near = Vec::new();
        for (_, worker) in self.0.range(from..).chain(self.0.range(..from)).take(8 * n) {
            if near.len() < n && !near.contains(worker) {
                near.push(*worker);
            }
        }
        near
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
    pub fn learn(&mut self, m: &Member, x: f64, weight: f64) {
        let zone = self.zones.entry(m.zone).or_default();
        let over = x - zone.or(x);
        zone.add(x, weight);
        self.kinds.entry(m.kind).or_default().add(over, weight / 2.0);
    }

    /// What to take for a worker; the mean of the zones where nothing was heard of its own.
    pub fn at(&self, m: &Member) -> f64 {
        let zones = self.zones.values().map(|z| z.or(0.0));
        let fleet = || zones.sum::<f64>() / self.zones.len().max(1) as f64;
        let zone = self.zones.get(&m.zone).map_or_else(fleet, |z| z.or(0.0));
        (zone + self.kinds.get(&m.kind).map_or(0.0, |k| k.or(0.0))).max(0.0)
    }
}

/// One dispatcher: tokens, health of the workers it knows, and the jobs it owes an answer.
#[derive(Default)]
pub struct Dispatcher {
    pub(crate) set: Settings,
    pub(crate) classes: Vec<Arc<Class>>,
    /// Some class is bound to zones or kinds; some class's repeats are dropped in a cell.
    pub(crate) placed: bool,
    pub(crate) celled: bool,
    pub(crate) rng: Rng,
    pub(crate) now: Micros,
    pub(crate) workers: ById<WorkerId, Worker>,
    /// Taken out by an operator, listed or not.
    pub(crate) taken_out: BTreeSet<WorkerId>,
    pub(crate) bucket: Bucket,
    pub(crate) requests: ById<JobId, Request>,
    /// Workers that hosts wish for jobs, and whether no other will do.
    pub(crate) wishes: ById<JobId, (WorkerId, bool)>,
    /// Jobs that are not over, in order of arrival, by key, for classes that keep order.
    pub(crate) lines: BTreeMap<u64, VecDeque<JobId>>,
    /// Keys whose next job may have its turn.
    pub(crate) due: Vec<u64>,
    pub(crate) learned: Vec<Learned>,
    /// What customers have left of their shares, by number.
    pub(crate) accounts: Vec<Account>,
    /// Running time over what is expected, as a logarithm, by kind of machine.
    pub(crate) kinds: BTreeMap<u16, Mean>,
    pub(crate) siblings: f64,
    /// Most slots that any job asked for.
    pub(crate) most_slots: i64,
    /// Mean time for which a slot is held.
    pub(crate) run: Mean,
    pub(crate) retries: Budget,
    pub(crate) copies: Budget,
    pub(crate) list_failures: u32,
    /// When the list was last said to be kept elsewhere.
    pub(crate) list_moved: Option<Micros>,
    /// Strain of the latest outcomes, of whichever worker.
    pub(crate) recent: Recent,
    /// Workers that time alone changes: those that hold attempts, lie out or are on trial, and those cold.
    pub(crate) watched: BTreeSet<WorkerId>,
    pub(crate) cold: VecDeque<WorkerId>,
    /// Workers that take jobs, in order of their numbers, and by hashes where keys matter.
    pub(crate) round: Vec<WorkerId>,
    pub(crate) ring: Ring,
    /// Workers whose reports came last.
    pub(crate) lately: VecDeque<WorkerId>,
    /// Slots of a job, in the mean.
    pub(crate) mean_k: Mean,
    /// Slots of a worker, in the mean of all reports.
    pub(crate) mean_slots: Mean,
    pub(crate) loads: Loads,
    /// What others usually take in the middle of the workers, where most were heard of lately.
    pub(crate) middle: Option<f64>,
    /// Reports tell of what waits, or leave it out although starts are told.
    pub(crate) told: bool,
    pub(crate) hides: bool,
    /// Probes are allowed and carry load.
    pub(crate) asks: bool,
    pub(crate) probes: Budget,
    /// The keys of the latest jobs.
    pub(crate) asked: Shares,
    /// Usual time to a start where nothing waits: on a held or a new (1) connection, in this or another zone (2).
    pub(crate) starts: [Mean; 4],
    /// Mean time for which jobs lay at workers before their start, beyond that.
    pub(crate) lay: f64,
}

/// What was learned, from one process to the next.
impl Dispatcher {
    /// All that another process of this dispatcher could go on from.
    pub fn memory(&self) -> Memory {
        let health = |w: &Worker| Health {
            slots: w.slots,
            others: w.others,
            reported: (w.reported > 0).then(|| self.now - w.reported.min(self.now)),
            strain: w.strain,
            avoided: if w.ejected() { w.ejected_until.saturating_sub(self.now).max(1) } else { 0 },
            strikes: w.strikes,
        };
        let mut workers: Vec<_> = self.workers.iter().map(|(id, w)| (*id, health(w))).collect();
        workers.sort_unstable_by_key(|(id, _)| *id);
        let means = [self.run, self.mean_slots].into_iter().chain(self.starts);
        Memory {
            fleet: means.map(|mean| mean.0).collect(),
            lay: self.lay,
            recent: self.recent.0.iter().copied().collect(),
            classes: self.learned.iter().map(|l| (l.log.0, l.mean.0, l.full)).collect(),
            kinds: self.kinds.iter().map(|(kind, mean)| (*kind, mean.0)).collect(),
            accounts: self.accounts.iter().map(|a| a.left).collect(),
            workers,
        }
    }

    /// Goes on from what another process has learned; of workers that are not known here nothing is kept.
    pub(crate) fn remember(&mut self, memory: &Memory) {
        let [a, b, c, d] = &mut self.starts;
        let means = [&mut self.run, &mut self.mean_slots, a, b, c, d];
        means.into_iter().zip(&memory.fleet).for_each(|(mean, known)| mean.0 = known.or(mean.0));
        self.lay = memory.lay;
        self.recent = Recent(memory.recent.iter().copied().collect());
        for (l, (log, mean, full)) in self.learned.iter_mut().zip(&memory.classes) {
            *l = Learned { log: Mean(*log), mean: Mean(*mean), full: *full };
        }
        self.kinds = memory.kinds.iter().map(|(kind, mean)| (*kind, Mean(*mean))).collect();
        for (account, left) in self.accounts.iter_mut().zip(&memory.accounts) {
            *account = Account { left: *left, earned: self.now.max(1), ..*account };
        }
        for (id, h) in &memory.workers {
            let Some(w) = self.workers.get_mut(id) else { continue };
            (w.slots, w.others, w.strain, w.strikes) = (h.slots, h.others, h.strain, h.strikes);
            w.reported = h.reported.map_or(0, |age| self.now.saturating_sub(age).max(1));
            w.ejected_until = if h.avoided > 0 { self.now + h.avoided } else { 0 };
        }
    }
}

/// Looking things up.
impl Dispatcher {
    /// Takes in the settings and what follows from them alone.
    pub(crate) fn with(self, set: Settings) -> Self {
        let group = |c: &Class| if let Effect::ByKey { group, .. } = c.effect { group } else { Group::All };
        let told = set.fields.iter().any(|f| matches!(f, Field::Queue | Field::Jobs));
        Dispatcher {
            learned: vec![Learned::default(); set.classes.len()],
            accounts: vec![Account::default(); set.customers.len()],
            classes: set.classes.iter().cloned().map(Arc::new).collect(),
            told,
            hides: set.tells_start && !told,
            asks: set.probes && set.fields.contains(&Field::FreeSlots),
            placed: set.classes.iter().any(|c| c.is_bound() || group(c) == Group::Zone),
            celled: set.classes.iter().any(|c| group(c) == Group::Cell),
            set,
            ..self
        }
    }

    /// Puts a worker first of those heard of last.
    pub(crate) fn heard_of(&mut self, id: WorkerId, most: usize) {
        self.lately.retain(|lately| *lately != id);
        self.lately.push_front(id);
        self.lately.truncate(most);
    }

    /// What others usually take of a worker: the median of those heard of within this time, each counted once,
    /// however many reports it sent. `None` unless it is three in four of those that take jobs. Guards against: a fleet that
    /// seems full since reports come with outcomes, so mostly from where most jobs go.
    pub(crate) fn usual_of_most(&self, within: Micros) -> Option<f64> {
        let listed = self.round.iter().filter_map(|id| self.workers.get(id));
        let heard = listed.filter(|w| w.reported > 0 && self.now - w.reported < within);
        let all: Vec<f64> = heard.filter_map(|w| w.usual.0).collect();
        let (most, middle) = (4 * all.len() > 3 * self.round.len(), all.len().saturating_sub(1) / 2);
        nth(all, middle).filter(|_| most)
    }

    /// Finds anew which workers take jobs.
    pub(crate) fn count_ready(&mut self) {
        self.round = self.workers.iter().filter(|(_, w)| self.takes(w)).map(|(id, _)| *id).collect();
        self.round.sort_unstable();
        self.ring = Ring::of(if self.set.fetch_price > 0.0 { &self.round } else { &[] });
    }

    /// Workers that a full list leaves out.
    pub(crate) fn unlisted(&self, listed: &[Member]) -> Vec<Member> {
        let listed: BTreeSet<WorkerId> = listed.iter().map(|m| m.worker).collect();
        let known = self.workers.values().map(|w| &w.member);
        let mut gone: Vec<Member> = known.filter(|m| !listed.contains(&m.worker)).cloned().collect();
        gone.sort_unstable_by_key(|m| m.worker);
        gone
    }

    /// The first of a key's line, if it waits; it does no more. A line that is done leaves nothing behind.
    pub(crate) fn next_turn(&mut self, key: u64) -> Option<JobId> {
        let Some(id) = self.lines.get(&key)?.front().copied() else {
            self.lines.remove(&key); // guards against: one-off keys that fill the memory
            return None;
        };
        let r = self.requests.get_mut(&id).filter(|r| r.waits)?;
        r.waits = false;
        Some(id)
    }

    /// Takes a job out of mind and out of its key's line.
    pub(crate) fn forget(&mut self, id: JobId) {
        self.wishes.remove(&id);
        let key = self.requests.remove(&id).and_then(|r| r.key());
        if let Some((key, line)) = key.and_then(|key| Some((key, self.lines.get_mut(&key)?))) {
            line.retain(|j| *j != id);
            self.due.push(key);
        }
    }

    /// Where the tokens of a worker lie.
    pub(crate) fn shelves(&self, m: &Member) -> Vec<Shelf> {
        if m.readiness == Readiness::Reserved {
            return Vec::new(); // found by a wish alone
        }
        let place = self.placed.then_some(Shelf::Place(m.zone, m.kind));
        let cell = self.celled.then_some(Shelf::Cell(m.cell));
        [Some(Shelf::All), place, cell].into_iter().flatten().collect()
    }

    /// The middle running time to expect of a job on a usual worker.
    pub(crate) fn expected(&self, r: &Request) -> f64 {
        let hint = r.job.hint.map(|h| h.max(1) as f64);
        let log = self.learned.get(usize::from(r.job.class)).and_then(|l| l.log.0);
        log.map_or(hint.unwrap_or(r.class.goal.max(1) as f64), |log| log.exp() * hint.unwrap_or(1.0))
    }

    /// What a job brings to its worker: slots times the mean running time; by the hint, where there is one.
    pub(crate) fn work(&self, r: &Request) -> f64 {
        let mean = self.learned.get(usize::from(r.job.class)).and_then(|l| l.mean.0);
        mean.filter(|_| r.job.hint.is_none()).unwrap_or(self.expected(r)).max(1.0) * r.k as f64
    }

    /// How fast machines of a worker's kind run, 1 as usual: tokens in this proportion share out the jobs.
    pub(crate) fn speed(&self, w: &Worker) -> f64 {
        (-self.kinds.get(&w.member.kind).map_or(0.0, |k| k.or(0.0))).exp().clamp(0.25, 4.0)
    }

    /// How much of a dispatcher's even part of its share the customer in the middle asks for here: of few, the lower.
    pub(crate) fn usual_use(&self) -> f64 {
        let shares = self.set.customers.iter().map(|c| c.quota / self.siblings).zip(&self.accounts);
        let uses: Vec<f64> = shares.filter(|s| s.0 > 0.0).map(|(part, a)| a.asks(self.now) / part).collect();
        let middle = uses.len().saturating_sub(1) / 2;
        nth(uses, middle).unwrap_or(0.0)
    }

    /// Keeps an attempt that another process has made; one that is out holds its tokens here, too.
    pub(crate) fn resume(&mut self, id: JobId, leg: u8, b: &Begun, path: usize) {
        let ended = if b.ran { LegState::MayHaveRun } else { LegState::NeverRan };
        let (sent, state) = (self.now.saturating_sub(b.age), if b.out { LegState::Out } else { ended });
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.legs.push(Leg { sent, state, ..Leg::new(b.worker, self.now, false, path) });
        if let Some(w) = self.workers.get_mut(&b.worker).filter(|_| b.out) {
            w.out.push((id, leg));
            w.held += r.k;
        }
    }

    /// Attempts in flight at a worker.
    pub(crate) fn legs_at(&self, id: WorkerId) -> impl Iterator<Item = (&Request, &Leg)> {
        let out = self.workers.get(&id).into_iter().flat_map(|w| &w.out);
        out.filter_map(|(job, leg)| {
            let r = self.requests.get(job)?;
            Some((r, r.legs.get(usize::from(*leg))?))
        })
    }

    /// Jobs of each customer sent over its share for good, beyond what it owes still; jobs of customers that the
    /// settings don't have are not counted.
    pub fn over_share(&self) -> impl Iterator<Item = u64> + '_ {
        self.accounts.iter().map(|account| account.over as u64)
    }

    /// How many workers are kept in mind.
    pub fn known_workers(&self) -> usize {
        self.workers.len()
    }

    /// Whether a worker's tokens lie out after failures or long times.
    pub fn ejected(&self, worker: WorkerId) -> bool {
        self.workers.get(&worker).is_some_and(Worker::ejected)
    }

    /// Whether a worker gets nothing new although its list lets it.
    pub fn avoids(&self, worker: WorkerId) -> bool {
        self.taken_out.contains(&worker) || self.ejected(worker)
    }

    /// Whether the list and the operators let a worker take jobs.
    pub(crate) fn takes(&self, w: &Worker) -> bool {
        w.ready() && !self.taken_out.contains(&w.member.worker)
    }

    /// What the fleet has room for now. Costs time in proportion to the number of workers.
    pub fn vacancy(&self) -> Vacancy {
        let mut sum = Vacancy::default();
        for (id, w) in self.workers.iter().filter(|(_, w)| self.takes(w) && !w.ejected()) {
            let free = self.room(w).clamp(0, self.bucket.free(*id)) as u32;
            sum.free += free;
            sum.total += free + w.held.max(0) as u32;
            sum.widest = sum.widest.max(free);
        }
        sum
    }

    /// Tokens of a worker, for dashboards and tests: those in the bucket and those held by attempts.
    pub fn tokens(&self, worker: WorkerId) -> (usize, usize) {
        let held = self.workers.get(&worker).map_or(0, |w| w.held.max(0) as usize);
        (self.bucket.free(worker).max(0) as usize, held)
    }
}
