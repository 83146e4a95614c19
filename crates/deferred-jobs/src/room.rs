//! The room itself: each job's way from the door to the decision module.

use crate::names::{Known, Names};
use crate::pace::{FreeCapacity, Pace};
use crate::{After, Bound, Carried, Decision, JobEndStatus, JobId, Limits, Millis, Newcomer, No, Wish};
use std::cmp::Ordering;
use std::collections::{BTreeSet, HashMap};
use std::rc::Rc;

/// While jobs are ready, room is looked for so often: workers warm up and reports age without an event.
const LOOK_EVERY: Millis = 5.0;

/// A time that can be put in order.
#[derive(Clone, Copy, Debug, PartialEq)]
struct At(Millis);

impl Eq for At {}

impl PartialOrd for At {
    fn partial_cmp(&self, other: &At) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for At {
    fn cmp(&self, other: &At) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// A job's place in the queue: by when it got ready and how fast it ages, then by arrival.
type Rank = (At, u64);

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    /// Jobs that it names have not ended.
    Blocked,
    /// Its time has not come.
    Timed,
    /// It may go on.
    Ready(Rank),
    /// It went on and was turned away; until then.
    Resting(Millis),
    /// It has gone on.
    Out,
}

struct Job {
    name: Rc<str>,
    client: u64,
    class: u16,
    slots: u32,
    bytes: usize,
    expires: Millis,
    start: Millis,
    pending: Vec<After>,
    /// Names that nobody knows by then will not come; infinite once all are known.
    grace: Millis,
    state: State,
    ready_at: Millis,
    /// Its number in order of arrival.
    nth: u64,
    turned_away: u32,
    /// When to look at it, as it stands among the alarms.
    alarm: Millis,
}

/// What has happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Count {
    /// Jobs that are held now.
    pub held: usize,
    /// Those of them that could go on.
    pub ready: usize,
    /// Jobs that have gone on; one that came back and went on again counts once.
    pub released: u64,
    /// The longest that a job which was ready has waited to go on.
    pub longest_wait: Millis,
}

/// The waiting room.
pub struct Room {
    set: Limits,
    jobs: HashMap<JobId, Job>,
    names: Names,
    ready: BTreeSet<(Rank, JobId)>,
    alarms: BTreeSet<(At, JobId)>,
    clients: HashMap<u64, usize>,
    bytes: usize,
    pace: Pace,
    decisions: Vec<Decision>,
    arrivals: u64,
    closed: bool,
    count: Count,
    /// The most room at a single worker, when it was last looked for.
    largest_free: u32,
}

impl Room {
    /// An empty room.
    pub fn new(set: Limits) -> Room {
        Room {
            set,
            jobs: HashMap::new(),
            names: Names::default(),
            ready: BTreeSet::new(),
            alarms: BTreeSet::new(),
            clients: HashMap::new(),
            bytes: 0,
            pace: Pace::new(),
            decisions: Vec::new(),
            arrivals: 0,
            closed: false,
            count: Count::default(),
            largest_free: 0,
        }
    }

    /// Other bounds from now on. Jobs that are held stay, with the places that they have.
    pub fn set(&mut self, set: Limits) {
        self.set = set;
        let all: Vec<JobId> = self.jobs.keys().copied().collect();
        all.into_iter().for_each(|id| self.rewind(id));
    }

    /// A job that does not wait is under way, here or at another process of this host.
    pub fn opened(&mut self, name: &str) {
        self.names.open(&name.into(), None);
    }

    /// Takes in a job. One that is not held has ended as far as others are concerned: those that wait for it get
    /// their decisions.
    ///
    /// # Errors
    /// Why it is not held. Its client is to be told; nothing else is to be done.
    pub fn hold(&mut self, new: Newcomer, now: Millis) -> Result<(), No> {
        self.names.forget(&self.set, now);
        let name = new.name.clone();
        self.admit(new, now).inspect_err(|_| self.cascade(name, JobEndStatus::Rejected, now))
    }

    fn admit(&mut self, new: Newcomer, now: Millis) -> Result<(), No> {
        let Newcomer { id, name, client, class, slots, bytes, expires, wish, carried } = new;
        if self.closed {
            return Err(No::Closed);
        }
        if carried.is_none() {
            self.bounds(client, bytes)?;
        }
        let (mut pending, mut unknown) = (Vec::<After>::with_capacity(wish.after.len()), false);
        for after in wish.after {
            if after.name == name {
                return Err(No::Circle);
            }
            match self.names.known(&after.name) {
                Known::Ended(end) if suits(end, after.any) => continue,
                Known::Ended(_) => return Err(No::Doomed),
                Known::Open(_) => {}
                Known::Awaited => unknown = true,
            }
            // Of two wishes that name one job the stricter counts.
            match pending.iter_mut().find(|p| p.name == after.name) {
                Some(twice) => twice.any &= after.any,
                None => pending.push(after),
            }
        }
        // A circle can close only at a job that others wait for already.
        if self.names.has_waiters(&name) && self.leads_to(&pending, &name) {
            return Err(No::Circle);
        }
        for p in &mut pending {
            p.name = self.names.wait(&p.name, id);
        }
        pending.shrink_to_fit();
        let name = self.names.open(&name, Some(id));
        let grace_left = carried.map_or(self.set.grace, |c| c.grace_left);
        let grace = if unknown { now + grace_left } else { f64::INFINITY };
        let ready_at = now - carried.and_then(|c| c.ready_for).unwrap_or(0.0);
        self.arrivals += 1;
        let job = Job {
            name,
            client,
            class,
            slots,
            bytes,
            expires,
            start: wish.start.unwrap_or(0.0),
            pending,
            grace,
            state: State::Blocked,
            ready_at,
            nth: self.arrivals,
            turned_away: 0,
            alarm: f64::INFINITY,
        };
        self.count.held += 1;
        self.bytes += bytes;
        *self.clients.entry(client).or_default() += 1;
        let free = job.pending.is_empty();
        self.jobs.insert(id, job);
        match free {
            true => self.unblocked(id, ready_at, now),
            false => self.rewind(id),
        }
        Ok(())
    }

    fn bounds(&self, client: u64, bytes: usize) -> Result<(), No> {
        let of_client = self.clients.get(&client).copied().unwrap_or(0);
        let bound = if self.count.held >= self.set.jobs {
            Bound::Jobs
        } else if self.bytes + bytes > self.set.bytes {
            Bound::Bytes
        } else if of_client >= self.set.per_client {
            Bound::Client
        } else {
            return Ok(());
        };
        Err(No::Full { bound, retry_after: self.until_room() })
    }

    /// An estimate of when the next job leaves the room.
    fn until_room(&self) -> Millis {
        // A tenth of those that are ready makes enough room that who comes back finds some.
        self.pace.time_for(1 + self.ready.len() / 10)
    }

    /// Whether any of these jobs waits for the one of this name, directly or through others.
    fn leads_to(&self, from: &[After], name: &str) -> bool {
        let (mut seen, mut next) = (BTreeSet::new(), Vec::new());
        next.extend(from.iter().map(|a| a.name.clone()));
        while let Some(at) = next.pop() {
            if *at == *name {
                return true;
            }
            if let Known::Open(Some(id)) = self.names.known(&at) {
                if seen.insert(id) {
                    let on = self.jobs.get(&id).into_iter().flat_map(|j| &j.pending);
                    next.extend(on.map(|a| a.name.clone()));
                }
            }
        }
        false
    }

    /// A job has ended, whether it ever waited or not; its client knows, or has left.
    /// What is told twice counts once.
    pub fn ended(&mut self, name: &str, how: JobEndStatus, now: Millis) {
        if !matches!(self.names.known(name), Known::Ended(_)) {
            self.cascade(name.into(), how, now);
        }
    }

    /// Tells all that wait for a job of its end, and so on for those that end by that.
    fn cascade(&mut self, name: Rc<str>, how: JobEndStatus, now: Millis) {
        let mut next = vec![(name, how)];
        while let Some((name, how)) = next.pop() {
            if let Known::Open(Some(id)) = self.names.known(&name) {
                self.drop_job(id);
            }
            for who in self.names.end(&name, how, &self.set, now) {
                let Some(job) = self.jobs.get_mut(&who) else { continue };
                let Some(at) = job.pending.iter().position(|p| p.name == name) else { continue };
                let after = job.pending.swap_remove(at);
                if !suits(how, after.any) {
                    let name = job.name.clone();
                    self.decisions.push(Decision::Fail(who));
                    // Guards against: a second verdict by another job that it waits for and that ends with this one.
                    self.drop_job(who);
                    next.push((name, JobEndStatus::Failed));
                } else if job.pending.is_empty() {
                    self.unblocked(who, now, now);
                }
            }
        }
    }

    /// Takes a job out of all but the names.
    fn drop_job(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(&id) else { return };
        job.pending.iter().for_each(|p| self.names.leave(&p.name, id));
        self.alarms.remove(&(At(job.alarm), id));
        if let State::Ready(rank) = job.state {
            self.ready.remove(&(rank, id));
        }
        if job.state != State::Out {
            self.uncount(job.client, job.bytes);
        }
    }

    fn uncount(&mut self, client: u64, bytes: usize) {
        self.count.held -= 1;
        self.bytes -= bytes;
        if let Some(n) = self.clients.get_mut(&client) {
            *n -= 1;
            if *n == 0 {
                self.clients.remove(&client);
            }
        }
    }

    /// A job waits for no other any more.
    fn unblocked(&mut self, id: JobId, ready_at: Millis, now: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        job.grace = f64::INFINITY;
        if job.start > now {
            job.state = State::Timed;
        } else {
            job.ready_at = ready_at;
            self.line_up(id);
        }
        self.rewind(id);
    }

    /// A job takes its place in the queue, the same each time.
    fn line_up(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let rank = (At(job.ready_at + self.set.lag(job.class)), job.nth);
        job.state = State::Ready(rank);
        self.ready.insert((rank, id));
    }

    /// Has a job looked at when something about it changes by time alone.
    fn rewind(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let last = job.expires - self.set.lead;
        let limit = last.min(job.ready_at + self.set.longest);
        let alarm = match job.state {
            State::Blocked => last.min(job.grace),
            State::Timed => last.min(job.start),
            State::Ready(_) => limit,
            State::Resting(until) => limit.min(until),
            State::Out => f64::INFINITY,
        };
        if alarm == job.alarm {
            return;
        }
        self.alarms.remove(&(At(job.alarm), id));
        job.alarm = alarm;
        if alarm.is_finite() {
            self.alarms.insert((At(alarm), id));
        }
    }

    /// When [`Room::release`] has something to do by time alone.
    pub fn next_due(&self, now: Millis) -> Option<Millis> {
        let alarm = self.alarms.first().map(|(at, _)| at.0);
        let pace = (!self.ready.is_empty()).then(|| self.pace.rests_until().max(now + LOOK_EVERY));
        // Names that are forgotten change nothing for anybody who waits: they go with the next call.
        alarm.into_iter().chain(pace).min_by(f64::total_cmp)
    }

    /// Whether jobs would go on now, were there room.
    pub fn wants_room(&self, now: Millis) -> bool {
        !self.ready.is_empty() && now >= self.pace.rests_until()
    }

    /// Lets time pass: what is due comes ready, or is over.
    pub fn pass(&mut self, now: Millis) {
        self.names.forget(&self.set, now);
        while let Some((at, id)) = self.alarms.first().copied().filter(|(at, _)| at.0 <= now) {
            self.alarms.remove(&(at, id));
            if let Some(job) = self.jobs.get_mut(&id) {
                job.alarm = f64::INFINITY;
                self.look_at(id, now);
            }
        }
    }

    /// Lets time pass and sends on what the fleet has room for.
    pub fn release(&mut self, capacity: FreeCapacity, now: Millis) {
        self.pass(now);
        let (mut slots, mut jobs) = self.pace.open(capacity, self.set.reserve, now);
        self.largest_free = capacity.largest_free;
        while let Some((_, id)) = self.ready.first().copied().filter(|_| jobs > 0) {
            let Some(job) = self.jobs.get(&id) else { return };
            let needs = Pace::needs(job.slots, capacity, self.set.reserve);
            // Nobody passes the first in the queue: else one that needs more room than others never gets it.
            if needs > slots {
                break;
            }
            // Whether it fits at any single worker, or may lie there for a moment, the module knows.
            self.send_on(id, now);
            slots -= needs;
            jobs -= 1;
        }
    }

    fn send_on(&mut self, id: JobId, now: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if let State::Ready(rank) = job.state {
            self.ready.remove(&(rank, id));
        }
        job.state = State::Out;
        self.count.longest_wait = self.count.longest_wait.max(now - job.ready_at);
        self.count.released += u64::from(job.turned_away == 0);
        let (client, bytes) = (job.client, job.bytes);
        self.uncount(client, bytes);
        self.rewind(id);
        self.pace.released(now);
        self.decisions.push(Decision::Release(id));
    }

    /// A job's alarm has come.
    fn look_at(&mut self, id: JobId, now: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        let late = matches!(job.state, State::Ready(_) | State::Resting(_))
            && now >= job.ready_at + self.set.longest;
        if late || now >= job.expires - self.set.lead {
            self.count.longest_wait = match job.state {
                State::Ready(_) | State::Resting(_) => self.count.longest_wait.max(now - job.ready_at),
                _ => self.count.longest_wait,
            };
            let (name, retry_after) = (job.name.clone(), self.until_room());
            self.decisions.push(Decision::Reject { id, retry_after });
            return self.cascade(name, JobEndStatus::Rejected, now);
        }
        match job.state {
            State::Blocked if now >= job.grace => {
                if job.pending.iter().any(|p| self.names.known(&p.name) == Known::Awaited) {
                    let name = job.name.clone();
                    self.decisions.push(Decision::Fail(id));
                    return self.cascade(name, JobEndStatus::Failed, now);
                }
                job.grace = f64::INFINITY;
            }
            State::Timed if now >= job.start => {
                // It was due then, however late it is looked at.
                job.ready_at = job.start;
                self.line_up(id);
            }
            State::Resting(until) if now >= until => self.line_up(id),
            _ => {}
        }
        self.rewind(id);
    }

    /// The decision module has turned away a job that went on, and nothing of it was ever sent. Says if it waits on;
    /// else its client is to be told at once, as there is no time left for another try.
    pub fn turned_away(&mut self, id: JobId, now: Millis) -> bool {
        let Some(job) = self.jobs.get_mut(&id).filter(|j| j.state == State::Out) else { return false };
        // One that is larger than the room at any worker says nothing of others: they pass while it rests.
        if job.slots <= self.largest_free {
            self.pace.turned_away(now);
        }
        let last = (job.expires - self.set.lead).min(job.ready_at + self.set.longest);
        let until = now + Pace::rest(job.turned_away + 1);
        if self.closed || until >= last {
            return false;
        }
        job.turned_away += 1;
        job.state = State::Resting(until);
        self.count.held += 1;
        self.bytes += job.bytes;
        *self.clients.entry(job.client).or_default() += 1;
        self.rewind(id);
        true
    }

    /// A job that waits for nothing was refused for want of room: what is held gives way for a moment, so that a backlog
    /// does not crowd out what comes to the door. The bounds of the wait hold all the same.
    pub fn crowded(&mut self, now: Millis) {
        self.pace.crowded(now);
    }

    /// What another process needs to go on holding a job; `None` if it is not held.
    pub fn parcel(&self, id: JobId, now: Millis) -> Option<(Wish, Carried)> {
        let job = self.jobs.get(&id).filter(|j| j.state != State::Out)?;
        let ready = matches!(job.state, State::Ready(_) | State::Resting(_));
        let wish = Wish { after: job.pending.clone(), start: (job.start > now).then_some(job.start) };
        let ready_for = ready.then_some(now - job.ready_at);
        Some((wish, Carried { ready_for, grace_left: (job.grace - now).clamp(0.0, self.set.grace) }))
    }

    /// Another process has a job now. It is still under way, as far as others here are concerned.
    pub fn moved(&mut self, name: &str) {
        if let Known::Open(Some(id)) = self.names.known(name) {
            self.drop_job(id);
            self.names.open(&name.into(), None);
        }
    }

    /// The ended jobs that are remembered: name, how it ended, how long ago.
    pub fn remembered(&self, now: Millis) -> impl Iterator<Item = (Rc<str>, JobEndStatus, Millis)> + '_ {
        self.names.remembered(now)
    }

    /// The host ends: all that is held is refused at once, without advice, and so is what still comes.
    pub fn close(&mut self) {
        self.closed = true;
        let mut held: Vec<(u64, JobId)> =
            self.jobs.iter().filter(|(_, j)| j.state != State::Out).map(|(id, j)| (j.nth, *id)).collect();
        held.sort_unstable();
        for (_, id) in held {
            self.decisions.push(Decision::Reject { id, retry_after: 0.0 });
            self.drop_job(id);
        }
    }

    /// What the host is to do, in order.
    pub fn decisions(&mut self) -> Vec<Decision> {
        std::mem::take(&mut self.decisions)
    }

    /// The figures; a job that is ready and waits still counts with its wait so far.
    pub fn count(&self, now: Millis) -> Count {
        let oldest = self.ready.iter().next().and_then(|(_, id)| self.jobs.get(id));
        let waits = oldest.map_or(0.0, |job| now - job.ready_at);
        let longest_wait = self.count.longest_wait.max(waits);
        Count { ready: self.ready.len(), longest_wait, ..self.count }
    }

    /// What the room keeps in mind: jobs (held or out), names, alarms, bytes held. For tests and dashboards.
    pub fn kept(&self) -> (usize, usize, usize, usize) {
        (self.jobs.len(), self.names.len(), self.alarms.len(), self.bytes)
    }
}

/// Whether an end is what a job waits for.
fn suits(end: JobEndStatus, any: bool) -> bool {
    match end {
        JobEndStatus::Served => true,
        JobEndStatus::Rejected | JobEndStatus::Failed => any,
        JobEndStatus::Disconnected => false,
    }
}
