//! Every decision of a dispatcher, by types of `src/interface.rs`. The ordinary path is Comte's: tokens lie
//! in one bucket in release order; a job takes the longest-free that fit it best, or is refused at once.

use crate::interface::*;
use crate::state::*;
use std::sync::Arc;

const DEFAULT_TOKENS: i64 = 8; // of a worker that nothing is known of: the largest slot demand
const TICK: Micros = 100_000; // how often attempts in flight are looked at: well under the shortest aim
const SMOOTH: f64 = 0.2; // weight of a new observation in a running mean: about the last ten count
const LEARN: f64 = 0.05; // weight of one job or report in what is learned of its class and of the fleet
const RISE: f64 = 1.05; // steps of the usual time to a start, up and ...
const FALL: f64 = 0.86; // ... down: a quarter of those seen are shorter, so that queues don't count
const SICK: f64 = 0.92; // strain over the fleet's median of an outlier: 2.5 times slower, as a logarithm
const FAILED: f64 = 3.0; // the strain that a failure counts as: as bad as running 20 times slower
const RECENT: usize = 21; // outcomes over which the fleet's usual strain is taken: their median
const EJECT_ONE_IN: usize = 3; // at most: past that it's the fleet that is in trouble, not the worker
const LIE_OUT: Micros = 500_000; // an ejected worker's tokens, at first; doubled by each failed trial
const OFTEN_FULL: f64 = 0.1; // share of a class turned away over which it matters who has served it
const RETRY_RATIO: f64 = 0.2; // further attempts for each arrival: for one sick worker in five, no storm
const RETRIES_KEPT: f64 = 20.0; // and kept for later, at most
const COPY_RATIO: f64 = 1.0; // copies for each arrival, five times that kept: in overload they only cost
const START_WITHIN: Micros = 10; // a job that has not started in its goal over this is looked after
const REPORT_SPAN: Micros = 400_000; // reports are smoothed over this a sibling: by then others undid it
const USUAL: f64 = 10_000_000.0; // over this a worker's load is averaged: keys and speed differ for long
const REPORT_LAG: Micros = 250_000; // sendings younger than this are not in a load report yet: they are late
const POOL: usize = 3; // so many workers next in the bucket are kept known to have room, by probing
const BELIEF: f64 = 0.15; // weight of one report in what is believed of its zone, half of it of its kind
const HOPELESS: f64 = 3.0; // so many jobs for each slot are as bad as more: nothing that waits is in time
const FAR_PROBES: f64 = 0.4; // of the probes drawn for other zones these are sent: most jobs stay near
const FRESH: f64 = 0.5; // a report is fresh for this part of the mean running time: most still runs then
const PROBE_RATIO: f64 = 1.0; // probes for each arrival; three times as many are kept for later
const LIST_CALL: f64 = 10_000.0; // the first list call comes by chance within this for each sibling
const MOVE: Micros = 4_000_000; // after the list has moved: what it tells must be known within this
const AFFORD: f64 = 0.7; // part of a job's slack that waiting may use
const BY_STARTS: f64 = 3.0; // part of that, as a divisor, where queues are known in the mean, or to siblings
const CROWDED: f64 = 1.4; // with so many jobs for each slot, times at a worker are mostly waiting
const UNSEEN: f64 = 2.5; // the same by reports, for siblings tenfold: they come late, and more seldom
const SAVED: f64 = 3.0; // seconds of its share that a customer who asks for less keeps for later, and ...
const OWED: f64 = 8.0; // ... that one who asks for more owes at most, for what was lent to it
const FEW: f64 = 2.0; // or so many jobs, where a dispatcher sees fewer of a customer in that time
const SPARED: f64 = 1.0; // slots at a worker that jobs of who owes most leave free for those in their share
const CHANCE: f64 = 1.0; // margin for what all send a cold worker, in roots of mean jobs: it's partly chance
const COLD_SPARED: f64 = 0.3; // colder ones get jobs only when no slot is free elsewhere: most would be late
const KEEPERS: usize = 2; // where fetches have a price, so many keep what a key needs: one may be busy
const KEEP_LOAD: f64 = 2.5; // or by the share of all jobs that a key brings, by this margin
const ASKED: usize = 100; // jobs over which that is counted
const FETCH: i64 = 2; // slots that a job seems to wait for, at least, where it would have to fetch
const LOOK: usize = 12; // looked at for a job in bucket order (4 times that if none fits), and heard of last

impl Dispatcher {
    /// A dispatcher that knows nothing yet; it asks for what it needs at the first event.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let siblings = f64::from(settings.siblings.max(1));
        let new = Dispatcher { rng: Rng(seed), now, siblings, most_slots: 1, ..Dispatcher::default() };
        Dispatcher { retries: Budget(RETRIES_KEPT), ..new.with(settings) }
    }

    /// Takes all that a host has gathered at time `now`, in order, and appends what is to be done.
    pub fn handle_all(
        &mut self,
        events: impl IntoIterator<Item = Event>,
        now: Micros,
        out: &mut Vec<Action>,
    ) {
        events.into_iter().for_each(|event| self.handle(event, now, out));
    }

    /// Takes one event at time `now` and appends what is to be done.
    pub fn handle(&mut self, event: Event, now: Micros, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::Members { kind, members } => self.members(kind, members, out),
            Event::ListMoved => {
                (self.list_failures, self.list_moved) = (0, Some(self.now));
                out.push(Action::Subscribe);
            }
            Event::TakenOut(id) => self.taken(id, true),
            Event::TakenBack(id) => self.taken(id, false),
            Event::Wished { job, worker, only } => drop(self.wishes.insert(job, (worker, only))),
            Event::Arrived(job) => self.arrived(job, out),
            Event::Learned(memory) => {
                self.remember(&memory);
                memory.workers.iter().for_each(|(id, _)| self.sync(*id));
            }
            Event::Adopted { job, begun } => self.adopted(job, &begun, out),
            Event::Started { job, leg } | Event::Progress { job, leg, .. } => self.note(job, leg, out),
            Event::Streaming { job, .. } => drop(self.requests.entry(job).and_modify(|r| r.streaming = true)),
            Event::Settled(outcome) => self.settled(outcome, out),
            Event::ClientGone(job) => self.close(job, out),
            Event::Probed { worker, ending, report } => self.probed(worker, ending, &report),
            Event::Timer(cookie) => match Cookie::read(cookie) {
                Some(Cookie::Tick) => self.tick(out),
                Some(Cookie::List) => out.push(Action::Subscribe),
                Some(Cookie::Guard(id)) => self.guard(id, out),
                Some(Cookie::Restless(id)) => self.restless(id, out),
                Some(Cookie::Rested(id)) => self.close(id, out),
                None => {}
            },
        }
        while let Some(key) = self.due.pop() {
            // The next of a key has its turn once all before it are over, settled and rested.
            if let Some(id) = self.next_turn(key) {
                self.place(id, out);
            }
        }
    }

    fn members(&mut self, kind: ListKind, members: Vec<Member>, out: &mut Vec<Action>) {
        match kind {
            ListKind::Failed => {
                // The list is a shared service: ask again later and later, but well inside `ask_within`.
                let moved = self.list_moved.is_some_and(|at| self.now < at + MOVE);
                let rise = if moved { 0 } else { self.list_failures.min(4) };
                let step = (250_000u64 << rise).min(self.set.ask_within / 4);
                self.list_failures += 1;
                let after = (step as f64 * (0.5 + self.rng.next())) as Micros;
                return out.push(Action::Wake { after, cookie: Cookie::List.into() });
            }
            ListKind::Cached => {
                out.push(Action::Wake { after: TICK, cookie: Cookie::Tick.into() });
                let spread = (self.siblings * LIST_CALL).min(self.set.ask_within as f64 / 4.0);
                let after = (spread * self.rng.next()) as Micros;
                let ask = Action::Wake { after, cookie: Cookie::List.into() };
                out.extend(self.set.must_ask.then_some(ask));
            }
            ListKind::Delta | ListKind::Full => self.list_failures = 0,
        }
        // A full list removes what it does not name.
        let gone = if kind == ListKind::Delta { Vec::new() } else { self.unlisted(&members) };
        gone.into_iter().for_each(|m| self.member(Member { readiness: Readiness::Gone, ..m }));
        members.into_iter().for_each(|m| self.member(m));
        self.count_ready();
        if kind == ListKind::Cached {
            self.bucket.shuffle(&mut self.rng); // dispatchers must not all begin with the same worker
        }
    }

    fn member(&mut self, m: Member) {
        let id = m.worker;
        // Bound jobs and repeats that must stay in a group find their few workers in a fleet of any size.
        self.bucket.shelve(id, self.shelves(&m));
        match self.workers.get_mut(&id) {
            Some(w) if w.member.up_since == m.up_since || m.readiness == Readiness::Gone => w.member = m,
            _ => self.renew(m, 0),
        }
        self.sync(id);
    }

    /// A restart makes what was known of a worker void, but not the tokens still out.
    fn renew(&mut self, m: Member, back: Micros) {
        let (id, old) = (m.worker, self.workers.get_mut(&m.worker));
        let (held, legs) = old.map_or((0, Vec::new()), |w| (w.held, std::mem::take(&mut w.out)));
        self.bucket.shrink(id, i64::MAX);
        let credit = self.rng.next() * self.run.or(REPORT_SPAN as f64);
        self.workers.insert(id, Worker { back, ..Worker::new(m, held, legs, credit, self.now) });
        self.cold.push_back(id);
    }

    /// An operator takes a worker out or back. One that is back has mostly been restarted, and the list tells
    /// so late: guards against old failures that keep it idle, and against more than a cold one can take.
    fn taken(&mut self, id: WorkerId, away: bool) {
        let changes = if away { self.taken_out.insert(id) } else { self.taken_out.remove(&id) };
        let member = self.workers.get(&id).filter(|_| changes && !away).map(|w| w.member.clone());
        member.into_iter().for_each(|m| self.renew(m, self.now));
        self.count_ready();
        self.sync(id);
    }

    /// Part of its capacity that a worker has at least, by the time since it started or was taken back.
    fn warmth(&self, w: &Worker) -> f64 {
        let since = w.member.up_since.max(w.back);
        let age = self.now.saturating_sub(since);
        if since == 0 || age >= self.set.warm_after {
            return 1.0;
        }
        self.set.cold_from + (1.0 - self.set.cold_from) * age as f64 / self.set.warm_after as f64
    }

    /// Slots of a worker, as far as reports have shown them.
    fn known(&self, w: &Worker) -> i64 {
        let slots = if w.reported == 0 { self.mean_slots.or(0.0) as i64 } else { w.slots };
        slots.max(self.most_slots)
    }

    /// Slots that others take: by the last report; as that ages, by what is usual there, then in its place.
    fn others(&self, w: &Worker) -> f64 {
        let age = if w.reported == 0 { f64::MAX } else { (self.now - w.reported) as f64 };
        let place = self.middle.unwrap_or(self.loads.at(&w.member)) + self.hidden();
        let mean = place + (w.usual.or(place) - place) * (-age / USUAL).exp();
        mean + (w.others - mean) * (1.0 - age / (4.0 * self.run.or(1.0))).max(0.0).powi(4)
    }

    /// Jobs that wait at a worker in the mean, where reports don't tell: by how long ours lay before a start.
    fn hidden(&self) -> f64 {
        f64::from(u8::from(self.hides)) * self.lay * self.mean_slots.or(1.0) / self.run.or(self.lay.max(1.0))
    }

    /// Whether a worker was heard of so lately that most of what runs there still does.
    fn fresh(&self, w: &Worker) -> bool {
        w.reported > 0 && (self.now - w.reported) as f64 <= self.run.or(TICK as f64) * FRESH
    }

    /// How many tokens a worker has: its slots, and as many again for jobs that wait.
    fn count(&self, w: &Worker) -> i64 {
        let one = if w.held == 0 { self.most_slots } else { 0 };
        match self.takes(w) && !w.ejected() {
            true if self.warmth(w) < 1.0 || w.on_trial() => self.ours(w).max(one),
            true if self.mean_slots.0.is_none() => DEFAULT_TOKENS + self.most_slots,
            true => (2.0 * self.known(w) as f64 * self.speed(w)).round().max(self.most_slots as f64) as i64,
            false => 0,
        }
    }

    /// Slots of a worker that others leave to us.
    fn ours(&self, w: &Worker) -> i64 {
        let (known, warmth) = (self.known(w), self.warmth(w));
        match self.mean_slots.0 {
            _ if warmth < 1.0 => (known as f64 * warmth) as i64,
            Some(_) => known - (self.others(w) + 0.5) as i64,
            None => DEFAULT_TOKENS - (self.others(w) + 0.5) as i64,
        }
    }

    /// Slots where a job would start at once; below 0 when some wait already.
    pub(crate) fn room(&self, w: &Worker) -> i64 {
        let queues = self.warmth(w) >= 1.0 && !w.on_trial();
        (if queues { self.ours(w) } else { self.count(w) }) - w.held
    }

    /// Brings the bucket in line with a worker's count: the newest tokens go, new ones come in by chance.
    fn sync(&mut self, id: WorkerId) {
        let Some(w) = self.workers.get(&id) else { return };
        let (want, credit) = ((self.count(w) - w.held).max(0), self.credit(w));
        let watch = w.held > 0 || self.takes(w) && w.ejected();
        let forget = w.member.readiness == Readiness::Gone && w.out.is_empty();
        self.bucket.resize(id, want, (!w.on_trial()).then_some(&mut self.rng));
        self.workers.entry(id).and_modify(|w| (w.credit, w.credited) = (credit, self.now));
        let _ = if watch { self.watched.insert(id) } else { self.watched.remove(&id) };
        if forget {
            self.workers.remove(&id); // guards against: years of rolling deploys that fill the memory
            self.bucket.remove(id);
        }
    }

    fn learn(&mut self, class: u16, kind: u16, hint: Option<Micros>, ran: Option<Micros>) {
        let Some(ran) = ran else { return };
        self.run.add(ran as f64, LEARN);
        let Some(l) = self.learned.get_mut(usize::from(class)) else { return };
        let x = (ran.max(1) as f64 / hint.map_or(1.0, |h| h.max(1) as f64)).ln();
        self.kinds.entry(kind).or_default().add(x - l.log.or(x), LEARN);
        l.log.add(x, LEARN);
        l.mean.add(ran as f64, LEARN);
    }

    /// How well tokens fit a job, least first: slots to wait for, lately known before unknown, then price.
    fn rank(&self, r: &Request, w: &Worker, most: i64) -> Option<i64> {
        let (k, warmth, room) = (r.k, self.warmth(w), self.room(w));
        // Placement binds every attempt; none goes where one went before, but for a connection's fault.
        let wished = self.wishes.get(&r.job.id).is_some_and(|(id, _)| *id == w.member.worker);
        let open = r.class.open_to(w.member.zone, w.member.kind);
        let open = open && (wished || w.member.readiness != Readiness::Reserved);
        if !open || r.legs.iter().any(|l| l.worker == w.member.worker && !l.stale) {
            return None;
        }
        // The coldest are spared: as if one slot had to be waited for.
        let fetch = if r.lacks_at(w) { FETCH } else { 0 };
        let wait = (k - room).max(i64::from(warmth <= COLD_SPARED)) + fetch;
        let lacks = if most < 0 { k - room } else { wait - (fetch - 1).max(0) };
        let enough = lacks <= most && (room >= k || warmth >= 1.0 && !w.on_trial());
        let allowed = match r.class.effect {
            Effect::Repeatable => true,
            // A keyed job that may have run stays with the workers that drop its repeats.
            Effect::ByKey { group, .. } => r.first_run().is_none_or(|first| {
                self.workers.get(&first.worker).is_some_and(|f| f.member.drops_repeats_of(&w.member, group))
            }),
            Effect::Once => !w.on_trial(),
        };
        let unit = self.run.or(REPORT_SPAN as f64);
        let spent = warmth < 1.0 && (self.credit(w) < unit || self.work(r) > self.cold_budget(w));
        // A class turned away as full stays away; where that is often, those that served it come first.
        let at = w.shut.iter().find(|s| s.class == r.job.class);
        if !enough || !allowed || spent || at.is_some_and(|s| s.until > self.now) {
            return None;
        }
        let often = self.learned.get(usize::from(r.job.class)).is_some_and(|l| l.full > OFTEN_FULL);
        let untried = i64::from(often && at.is_none_or(|s| s.strikes > 0));
        Some(wait + i64::from(wait > 0 || !self.fresh(w)) + untried)
    }

    /// What an attempt costs besides its work, in millionths: a new connection, another zone.
    fn price(&self, r: &Request, w: &Worker) -> i64 {
        let (path, part) = (self.path(w), |is: bool, price: f64| if is { (price * 1e6) as i64 } else { 0 });
        // Jobs that may go anywhere leave those workers alone that bound classes depend on.
        let needed = |c: &Arc<Class>| c.is_bound() && c.open_to(w.member.zone, w.member.kind);
        let spare = self.placed && !r.class.is_bound() && self.classes.iter().any(needed);
        let way = part(path & 1 > 0, self.set.connect_price) + part(path & 2 > 0, self.set.cross_zone_price);
        way + part(r.lacks_at(w), self.set.fetch_price) + part(spare, 1.0)
    }

    /// How an attempt gets to a worker: 1 by a new connection, 2 to another zone.
    fn path(&self, w: &Worker) -> usize {
        let kept = w.idle.last().is_some_and(|used| self.now < used + self.set.keepalive);
        usize::from(!kept) + 2 * usize::from(w.member.zone != self.set.zone)
    }

    /// A cold worker falls over: what all dispatchers together may send it in a fall window, by the odds.
    fn cold_budget(&self, w: &Worker) -> f64 {
        let (unit, slots) = (self.run.or(REPORT_SPAN as f64), self.known(w) as f64 * self.speed(w));
        let budget = self.set.overload_factor * self.warmth(w) * slots * self.set.fall as f64;
        unit * ((CHANCE * CHANCE + budget / unit).sqrt() - CHANCE).powi(2)
    }

    /// Each earns credit at its part of the rate, from a start by chance. With a mean job's it may send for
    /// part of a window; then credit lapses, or all would save it up and spend it together.
    fn credit(&self, w: &Worker) -> f64 {
        let (earned, unit) = (self.cold_budget(w) / self.siblings, self.run.or(REPORT_SPAN as f64));
        let credit = w.credit + earned * (self.now - w.credited) as f64 / self.set.fall.max(1) as f64;
        let lapse = if earned < unit { earned / 4.0 } else { earned };
        let (most, least) = (unit + lapse, (earned - unit).max(0.0));
        credit - ((credit - most) / (most - least)).ceil().max(0.0) * (most - least)
    }

    /// The workers that a job may go to, those next in bucket order: of its group, of its places, or all.
    fn next_for(&self, r: &Request, n: usize) -> Vec<WorkerId> {
        let first = r.first_run().and_then(|l| self.workers.get(&l.worker)).map(|w| &w.member);
        let (shelf, zone) = match (r.class.effect, first) {
            (Effect::ByKey { group: Group::Cell, .. }, Some(m)) => (Some(Shelf::Cell(m.cell)), None),
            (Effect::ByKey { group: Group::Zone, .. }, Some(m)) => (None, Some(m.zone)),
            _ => ((!r.class.is_bound()).then_some(Shelf::All), None),
        };
        let open = |z, k| r.class.open_to(z, k) && zone.is_none_or(|zone| zone == z);
        shelf.map_or_else(|| self.bucket.in_places(open, n), |shelf| self.bucket.on(shelf, n))
    }

    /// The longest-free of those that fit best, among the first in bucket order and those heard of last.
    fn pick(&self, r: &Request, next: &[WorkerId], most: i64) -> Option<WorkerId> {
        if let Some((wished, only)) = self.wishes.get(&r.job.id) {
            let best = self.best(r, std::iter::once(wished), most);
            if best.is_some() || *only {
                return best; // a wish may be declined, and then never goes round the rules
            }
        }
        let near = r.keepers.iter().chain(&self.lately).chain(next);
        self.best(r, near, most).or_else(|| self.best(r, self.next_for(r, 4 * LOOK).iter(), most))
    }

    fn best<'a>(&self, r: &Request, of: impl Iterator<Item = &'a WorkerId>, most: i64) -> Option<WorkerId> {
        let fit = |id: &WorkerId| {
            let w = self.workers.get(id)?;
            Some((self.rank(r, w, most)?, self.price(r, w), self.bucket.first(*id, r.k)?, *id))
        };
        of.filter_map(fit).min().map(|best| best.3)
    }

    /// How a customer stands: 0 within its share, down to -1 where it owes as much as can be. Nothing is owed
    /// for what is refused, so that room which nobody in its share needs is lent. Where even the customer in
    /// the middle brings more than its even part, this dispatcher has more of the traffic than its siblings.
    fn standing(&mut self, customer: u16) -> f64 {
        let part = self.usual_use().clamp(1.0, self.siblings) / self.siblings;
        let (all, n) = (&self.set.customers, usize::from(customer));
        let Some((c, account)) = all.get(n).zip(self.accounts.get_mut(n)) else {
            return if all.is_empty() { 0.0 } else { -1.0 };
        };
        let rate = c.quota * part;
        let (saved, owed) = ((rate * SAVED).max(FEW), (rate * OWED).max(FEW));
        account.earn(rate, self.now, -owed, saved);
        (account.left / owed).min(0.0)
    }

    /// Where no job would start at once: the most slots to wait for that it can afford; below 0, so many must
    /// be left free. Shares fit into the fleet, so what siblings send unseen yields to who is in its share.
    fn affords(&self, r: &Request, standing: f64) -> i64 {
        // Starts tell of queues only in the mean; where nothing does, a few siblings add as much unseen.
        let blind = if self.hides { BY_STARTS } else { self.siblings.min(BY_STARTS) };
        let unseen = if self.told { 1.0 + UNSEEN * self.siblings.log10() } else { blind };
        let unseen = if self.set.customers.is_empty() { unseen } else { 1.0 };
        let slots = AFFORD * self.slack(r, 1.0) * self.mean_slots.or(1.0) / self.run.or(1.0);
        let slots = (slots / unseen).min(DEFAULT_TOKENS as f64);
        (slots + standing * (slots + SPARED)).floor() as i64
    }

    fn send(&mut self, id: JobId, worker: WorkerId, out: &mut Vec<Action>) {
        self.sync(worker);
        let (Some(r), Some(w)) = (self.requests.get(&id), self.workers.get(&worker)) else { return };
        let (work, free, path) = (self.work(r), self.room(w) >= r.k, self.path(w));
        let (Some(r), Some(w)) = (self.requests.get_mut(&id), self.workers.get_mut(&worker)) else { return };
        let account = self.accounts.get_mut(usize::from(r.job.customer)).filter(|_| r.legs.is_empty());
        account.into_iter().for_each(Account::spend);
        w.out.push((id, r.legs.len() as u8));
        r.legs.push(Leg::new(worker, self.now, free, path));
        self.bucket.seize(worker, r.k);
        w.held += r.k;
        w.idle.pop();
        w.credit -= work;
        let after = (r.class.goal / START_WITHIN).max((2.0 * self.starts[path].or(0.0)) as Micros);
        out.push(Action::Send { job: id, worker, within: 0 });
        if self.set.tells_start && self.set.second_copies && self.set.cancel {
            out.push(Action::Wake { after, cookie: Cookie::Restless(id).into() });
        }
        self.sync(worker);
    }

    fn arrived(&mut self, job: Job, out: &mut Vec<Action>) {
        let id = job.id;
        if self.enter(job, out) && !self.line_up(id, out) {
            let near = self.place(id, out);
            self.refresh(&near, out); // the next job of a bound class looks where this one does
        }
    }

    /// A job comes with attempts: those out hold tokens here as they did there, and rule 2 knows of all.
    fn adopted(&mut self, job: Job, begun: &[Begun], out: &mut Vec<Action>) {
        let id = job.id;
        if !self.enter(job, out) {
            return;
        }
        for (b, leg) in begun.iter().zip(0..) {
            let path = self.workers.get(&b.worker).map_or(0, |w| self.path(w));
            self.resume(id, leg, b, path);
            self.sync(b.worker);
        }
        let waits = self.line_up(id, out);
        self.requests.entry(id).and_modify(|r| r.waits &= r.legs.is_empty());
        if !waits && begun.iter().all(|b| !b.out) {
            self.place(id, out);
        }
    }

    fn enter(&mut self, job: Job, out: &mut Vec<Action>) -> bool {
        if self.requests.contains_key(&job.id) {
            return false;
        }
        let (id, after) = (job.id, job.expires.saturating_sub(self.now));
        let none = || Arc::new(Class::new(Effect::Once, 1)); // what settings lack is handled with most care
        let class = self.classes.get(usize::from(job.class)).cloned().unwrap_or_else(none);
        let keyed = self.set.fetch_price > 0.0 && job.key != 0;
        self.asked.push(job.key, ASKED);
        let many = (KEEP_LOAD * self.asked.share(job.key) * self.round.len() as f64) as usize;
        let keepers = if keyed { self.ring.near(job.key, KEEPERS.max(many)) } else { Vec::new() };
        let r = Request::new(job, class, keepers);
        self.most_slots = self.most_slots.max(r.k.min(DEFAULT_TOKENS));
        self.mean_k.add(r.k as f64, LEARN);
        self.accounts.get_mut(usize::from(r.job.customer)).into_iter().for_each(|a| a.ask(self.now));
        self.retries.earn(RETRY_RATIO, RETRIES_KEPT);
        self.copies.earn(COPY_RATIO, 5.0 * COPY_RATIO);
        self.probes.earn(if self.asks { PROBE_RATIO } else { 0.0 }, 3.0 * PROBE_RATIO);
        self.requests.insert(id, r);
        out.push(Action::Wake { after, cookie: Cookie::Guard(id).into() });
        true
    }

    /// Rule on order: one line for each key, as they came. Says if a job has to wait or was refused at once.
    fn line_up(&mut self, id: JobId, out: &mut Vec<Action>) -> bool {
        let Some((key, r)) = self.requests.get(&id).and_then(|r| Some((r.key()?, r))) else { return false };
        let ran = |b: &Request| b.out().next().map_or(0, |(_, l)| self.now - l.started.unwrap_or(l.sent));
        let left = |b: &Request| match b.rests.saturating_sub(self.now) {
            0 => self.work(b) / b.k as f64 - ran(b) as f64,
            rest => rest as f64,
        };
        let before = self.lines.get(&key).into_iter().flatten().filter_map(|j| self.requests.get(j));
        let (ahead, slack) = (before.map(|b| left(b).max(0.0)).sum::<f64>(), AFFORD * self.slack(r, 1.0));
        let line = self.lines.entry(key).or_default();
        line.push_back(id);
        if line.len() == 1 {
            return false;
        }
        self.requests.entry(id).and_modify(|r| r.waits = true);
        if ahead > slack {
            self.turn_away(id, out);
        } else {
            out.push(Action::Wake { after: slack as Micros, cookie: Cookie::Restless(id).into() });
        }
        true
    }

    /// How long a job may lie and still be in time, as far as its running time can be told.
    fn slack(&self, r: &Request, speed: f64) -> f64 {
        r.class.goal as f64 + (r.class.stretch - 1.0 / speed).max(0.0) * self.expected(r)
    }

    /// Seizes tokens for a job, or gives it its refusal at once. Returns where it looked.
    fn place(&mut self, id: JobId, out: &mut Vec<Action>) -> Vec<WorkerId> {
        let standing = self.requests.get(&id).map(|r| r.job.customer).map_or(0.0, |c| self.standing(c));
        let Some(r) = self.requests.get(&id) else { return Vec::new() };
        let (open, next) = (r.job.expires > self.now && self.may_send(r), self.next_for(r, LOOK));
        // What is hardly over by its deadline is not worth holding up others: it has to start at once.
        let fits = (r.job.expires - self.now.min(r.job.expires)) as f64 > self.expected(r);
        let most = self.affords(r, standing).min(if fits { i64::MAX } else { 0 });
        match open.then(|| self.pick(r, &next, most)).flatten() {
            Some(worker) => self.send(id, worker, out),
            None => self.turn_away(id, out),
        }
        next
    }

    /// Rule 2, for a further attempt.
    fn may_send(&self, r: &Request) -> bool {
        let open = !r.answered && !r.streaming && r.legs.len() < usize::from(self.set.max_attempts.max(1));
        let alone = self.set.second_copies || r.out().next().is_none();
        let harmless = match (r.class.effect, r.first_run()) {
            (Effect::Repeatable, _) | (_, None) => true,
            (Effect::ByKey { window, .. }, Some(first)) => self.now + TICK < first.sent + window,
            (Effect::Once, Some(_)) => false,
        };
        open && alone && harmless
    }

    /// Rule 2, for a refusal; a failure promises nothing and is always allowed.
    fn turn_away(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let anywhere = matches!(r.class.effect, Effect::Repeatable | Effect::ByKey { group: Group::All, .. });
        let harmless = anywhere || r.first_run().is_none();
        let release = (self.expected(r) / self.requests.len() as f64) as Micros;
        let retry_after = release.min(self.set.max_retry_after) * Micros::from(self.set.retry_after);
        out.push(if harmless { Action::Refuse { job: id, retry_after } } else { Action::Fail { job: id } });
        self.close(id, out);
    }

    /// No answer is owed any more; attempts still out are called off and keep their tokens until they settle.
    fn close(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.answered = true;
        if r.out().next().is_none() && r.rests > self.now {
            out.push(Action::Wake { after: r.rests - self.now, cookie: Cookie::Rested(id).into() });
        } else if r.out().next().is_none() {
            self.forget(id);
        }
        self.call_off(id, true, out);
    }

    /// Backs up every final answer: rule 1 holds whatever else goes wrong.
    fn guard(&mut self, id: JobId, out: &mut Vec<Action>) {
        if self.requests.get(&id).is_some_and(|r| !r.answered && !r.streaming && r.job.expires <= self.now) {
            out.push(Action::Fail { job: id });
            self.close(id, out);
        }
    }

    fn note(&mut self, id: JobId, leg: u8, out: &mut Vec<Action>) {
        let now = self.now;
        let leg = self.requests.get_mut(&id).and_then(|r| r.legs.get_mut(usize::from(leg)));
        let Some(l) = leg else { return };
        l.heard = now;
        if l.started.is_none() {
            l.started = Some(now);
            let (path, took) = (l.path, (now - l.sent) as f64);
            self.lain(path, took);
            self.starts[path].step(took, RISE, FALL);
        }
        self.call_off(id, false, out);
    }

    fn lain(&mut self, path: usize, took: f64) {
        self.lay += SMOOTH * ((took - self.starts[path].or(took)).max(0.0) - self.lay);
    }

    fn settled(&mut self, o: Outcome, out: &mut Vec<Action>) {
        let (now, id) = (self.now, o.job);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(l) = r.legs.get_mut(usize::from(o.leg)).filter(|l| l.state == LegState::Out) else { return };
        l.state = if self.set.may_have_run(o.ending) { LegState::MayHaveRun } else { LegState::NeverRan };
        // Guards against: kept connections that break, taken for workers in ill health.
        (l.stale, l.rejected) = (o.ending == Ending::Stale, o.ending == Ending::Rejected);
        out.extend(l.stale.then_some(Action::Disconnect { worker: l.worker }));
        let unsure = matches!(o.ending, Ending::Timeout | Ending::Reset | Ending::Cancelled | Ending::Stale);
        let (worker, k, path) = (l.worker, r.k, l.path);
        let lay = Some(o.latency as f64).filter(|_| l.started.is_none() && o.ending == Ending::Cancelled);
        // Waiting is not running: what is learned of running times leaves it out.
        let (jobs, at) = (self.set.reported(Field::Jobs, &o.report), self.workers.get(&l.worker));
        let crowded = jobs.zip(at).is_some_and(|(jobs, w)| jobs >= CROWDED * w.slots as f64);
        let known = self.set.tells_start || l.free && !crowded;
        let ran = l.started.filter(|_| self.set.tells_start).map_or(o.latency, |s| now - s);
        r.rests = if unsure && r.key().is_some() { now + self.set.order_pause } else { r.rests };
        let (answered, waiting) = (r.answered || o.done, r.out().next().is_some());
        lay.into_iter().for_each(|lay| self.lain(path, lay));
        self.report(worker, &o.report, false);
        let Some(r) = self.requests.get(&id) else { return };
        let (class, hint, usual) = (r.job.class, r.job.hint, self.expected(r));
        let sample = (ran.max(1) as f64 / usual).ln();
        let kind = self.workers.get(&worker).map_or(0, |w| w.member.kind);
        // Turned away although slots are free: that is about the class, not the worker's health.
        let free = self.set.reported(Field::FreeSlots, &o.report);
        let roomy = o.ending == Ending::Full && free.is_some_and(|free| free >= 1.0);
        if let Some(w) = self.workers.get_mut(&worker) {
            w.give_back(id, o.leg, k);
            self.bucket.release(worker, k);
            if o.ending == Ending::Ok {
                w.idle.push(now);
            } else if o.ending != Ending::Moot {
                w.idle.clear(); // guards against: connections of a process that may be gone
            }
        }
        self.learn(class, kind, hint, Some(ran).filter(|_| o.ending == Ending::Ok && known));
        self.fares(worker, class, o.ending, roomy);
        match o.ending {
            Ending::Ok => self.observe(worker, sample.clamp(-1.0, FAILED)),
            // Guards against: jobs with little time left that speak against workers in good health.
            Ending::Cancelled | Ending::Timeout if sample > SICK => self.observe(worker, sample.min(FAILED)),
            Ending::Cancelled | Ending::Timeout | Ending::Moot | Ending::Stale | Ending::Rejected => {}
            _ if roomy => {}
            _ => self.observe(worker, FAILED),
        }
        self.sync(worker);
        // Of a job that nobody can run, two that say so are right; one was wrong if another could run it.
        let legs = self.requests.get(&id).map_or(&[][..], |r| &r.legs);
        let turned: Vec<_> = legs.iter().filter(|l| l.rejected).map(|l| l.worker).collect();
        if o.ending == Ending::Ok {
            turned.iter().for_each(|wrong| self.observe(*wrong, FAILED));
        }
        if answered {
            self.close(id, out);
        } else if turned.len() > 1 {
            out.push(Action::Fail { job: id });
            self.close(id, out);
        } else if !waiting && (matches!(o.ending, Ending::Stale | Ending::Rejected) || self.retries.spend()) {
            self.place(id, out);
        } else if !waiting {
            self.turn_away(id, out);
        }
    }

    /// 'Full' answers by class: a worker that turns a class away is left alone by it, for longer each time.
    fn fares(&mut self, id: WorkerId, class: u16, ending: Ending, roomy: bool) {
        let full = ending == Ending::Full;
        let told = full || ending == Ending::Ok;
        let Some(l) = self.learned.get_mut(usize::from(class)).filter(|_| told) else { return };
        l.full += LEARN * (f64::from(full) - l.full);
        if let Some(shut) = self.workers.get_mut(&id).map(|w| w.shut_for(class)) {
            shut.until = if full { self.now + (LIE_OUT << shut.strikes.min(4)) } else { 0 };
            shut.strikes = if full { shut.strikes + 1 } else { 0 };
        }
        if full && !roomy {
            self.no_slot(id, DEFAULT_TOKENS);
        }
    }

    /// A load report: what we hold already plus what is free is what we may have; siblings' work is in it.
    fn report(&mut self, id: WorkerId, report: &[f64], chance: bool) {
        let Some(free) = self.set.reported(Field::FreeSlots, report) else { return };
        let queue = self.set.reported(Field::Queue, report);
        let queue = queue.unwrap_or(if free < 1.0 { self.hidden() } else { 0.0 });
        // A wide job at the head of the line keeps slots free that others wait for.
        let jobs = self.set.reported(Field::Jobs, report).unwrap_or(0.0) * self.mean_k.or(1.0);
        // A late report makes all siblings turn to the same workers at once: only its mean is of use.
        let span = (self.siblings * REPORT_SPAN as f64).min(2.0 * self.run.or(REPORT_SPAN as f64));
        let (now, tells) = (self.now, self.set.tells_start);
        let there = |l: &Leg| if tells { l.started.is_some() } else { l.sent + REPORT_LAG <= now };
        let seen: i64 = self.legs_at(id).filter(|(_, l)| there(l)).map(|(r, _)| r.k).sum();
        let Some(w) = self.workers.get_mut(&id) else { return };
        w.slots = w.slots.max(free.round() as i64);
        let (others, since) =
            ((w.slots as f64 - free + queue).max(jobs) - seen as f64, (now - w.reported) as f64);
        w.others += (others.max(0.0) - w.others) * (1.0 - (-since / span).exp());
        w.usual.add(others.max(0.0), 1.0 - (-since / USUAL).exp());
        w.reported = now.max(1);
        self.mean_slots.add(w.slots.max(1) as f64, LEARN);
        // Guards against: a fleet that seems full since outcomes come mostly from where most jobs go.
        if let Some(w) = self.workers.get(&id).filter(|_| chance || !self.asks) {
            self.loads.learn(&w.member, others.clamp(0.0, HOPELESS * self.known(w) as f64), BELIEF);
        }
        self.heard_of(id, LOOK);
    }

    /// One health estimate for slow, silent and failing workers alike.
    fn observe(&mut self, id: WorkerId, sample: f64) {
        self.recent.push(sample, RECENT);
        let median = self.recent.median();
        let Some(w) = self.workers.get_mut(&id) else { return };
        w.strain += SMOOTH * (sample - w.strain);
        // A failure proves nothing good, even where the whole fleet fails.
        let relapse = w.on_trial() && sample >= FAILED;
        w.strikes *= u32::from(w.ejected() || relapse || sample - median > SICK);
        if !w.ejected() && (relapse || w.strain - median > SICK) {
            self.eject(id);
        }
    }

    fn eject(&mut self, id: WorkerId) {
        let on_trial = |id: &&WorkerId| self.workers.get(id).is_some_and(Worker::on_trial);
        let gone = self.watched.iter().filter(on_trial).count();
        let lie_out = (LIE_OUT as f64 * (0.75 + self.rng.next() / 2.0)) as Micros;
        let may = |w: &&mut Worker| w.strikes > 0 || (gone + 1) * EJECT_ONE_IN <= self.round.len();
        let Some(w) = self.workers.get_mut(&id).filter(may) else { return };
        w.ejected_until = self.now + (lie_out << w.strikes.min(4));
        w.strikes += 1;
        self.sync(id);
    }

    /// Where most workers are heard of, keeps a pool known of those next in the bucket, for the job to come.
    /// Else probes by chance, in its own zone more often: refused jobs teach as much as others.
    fn refresh(&mut self, near: &[WorkerId], out: &mut Vec<Action>) {
        let (mut known, drawn) = (0, self.middle.is_none());
        for at in 0..self.round.len().min(LOOK) {
            let (chance, far) = (self.rng.below(self.round.len()), self.rng.next() >= FAR_PROBES);
            let next = near.get(at).filter(|_| known < POOL);
            let Some(id) = if drawn { self.round.get(chance) } else { next }.copied() else { break };
            let asked = |w: &&Worker| self.asks && !(drawn && w.ejected());
            let Some(w) = self.workers.get(&id).filter(asked) else { continue };
            let (fresh, room) = (self.fresh(w), self.room(w) > 0);
            let skip = fresh || w.probing || drawn && far && w.member.zone != self.set.zone;
            if !skip && self.probes.spend() {
                self.workers.entry(id).and_modify(|w| w.probing = true);
                out.push(Action::Probe { worker: id });
            }
            known += usize::from(!fresh || room);
        }
    }

    fn probed(&mut self, id: WorkerId, ending: Ending, report: &[f64]) {
        self.report(id, report, true);
        self.workers.entry(id).and_modify(|w| w.probing = false);
        if !matches!(ending, Ending::Ok | Ending::Full | Ending::Stale) {
            self.observe(id, FAILED);
        }
        self.sync(id);
    }

    fn tick(&mut self, out: &mut Vec<Action>) {
        out.push(Action::Wake { after: TICK, cookie: Cookie::Tick.into() });
        self.lay *= 0.96; // lets go within seconds, when nothing is sent that could tell
        self.middle = self.usual_of_most(3 * USUAL as Micros);
        self.refresh(&self.bucket.on(Shelf::All, LOOK), out);
        // Each cold worker's count is brought up about once a second.
        for _ in 0..self.cold.len().div_ceil(10) {
            let Some(id) = self.cold.pop_front() else { break };
            self.sync(id);
            let cold = self.workers.get(&id).filter(|w| self.takes(w) && self.warmth(w) < 1.0);
            self.cold.extend(cold.map(|_| id));
        }
        for id in self.watched.iter().copied().collect::<Vec<_>>() {
            self.overdue(id);
            let due = |w: &&mut Worker| w.ejected() && self.now >= w.ejected_until;
            if let Some(w) = self.workers.get_mut(&id).filter(due) {
                // Back into service for one job at first: a failure ejects it again, for longer.
                (w.ejected_until, w.strain) = (0, w.strain.min(self.recent.median() + SICK / 2.0));
                self.sync(id);
            }
        }
    }

    /// Silence: attempts in flight past their expected time count as if they ended now.
    fn overdue(&mut self, id: WorkerId) {
        let Some(w) = self.workers.get(&id).filter(|w| !w.ejected()) else { return };
        let mut strain = w.strain;
        for (r, l) in self.legs_at(id) {
            let due = l.heard + 2 * self.set.progress;
            let silent = l.started.is_some() && self.set.progress > 0 && self.now > due;
            let late = ((self.now - l.sent).max(1) as f64 / self.expected(r)).ln().min(FAILED);
            strain += SMOOTH * (if silent { FAILED } else { late } - strain).max(0.0);
        }
        if strain > SICK && strain - self.recent.median() > SICK {
            self.eject(id);
        }
    }

    /// Where workers tell of a start, a copy of what has not started looks for a free slot elsewhere.
    fn restless(&mut self, id: JobId, out: &mut Vec<Action>) {
        let idle = |r: &&Request| !r.answered && r.out().all(|(_, l)| l.started.is_none());
        let Some(r) = self.requests.get(&id).filter(idle) else { return };
        if r.waits {
            return self.turn_away(id, out); // its key's turn did not come while it could still be in time
        }
        let Some(l) = r.legs.last().filter(|l| l.state == LegState::Out) else { return };
        let fast = self.workers.get(&l.worker).map_or(1.0, |w| self.speed(w));
        let (slack, since) = (self.slack(r, fast) as Micros, self.now - r.legs[0].sent);
        if since >= slack && r.class.late_value == 0.0 {
            return self.turn_away(id, out); // it can't be in time any more, and would only hold up others
        }
        let next =
            Some(r).filter(|r| self.may_send(r)).and_then(|r| self.pick(r, &self.next_for(r, LOOK), 0));
        let (full, after) = (l.worker, slack.saturating_sub(since));
        self.no_slot(full, 1);
        if let Some(worker) = next.filter(|_| self.copies.spend()) {
            self.send(id, worker, out);
        } else if after > 0 {
            out.push(Action::Wake { after, cookie: Cookie::Restless(id).into() });
        }
    }

    fn no_slot(&mut self, id: WorkerId, waiting: i64) {
        if let Some(w) = self.workers.get_mut(&id) {
            w.others = w.others.max((w.slots - w.held + waiting) as f64);
            w.reported = self.now.max(1);
        }
    }

    /// Calls off attempts of a job that are out: all of them, or those that have not started.
    fn call_off(&mut self, id: JobId, all: bool, out: &mut Vec<Action>) {
        let open = self.requests.get_mut(&id).filter(|r| self.set.cancel && !r.streaming);
        let legs = open.map_or(Vec::new(), |r| r.withdraw(all));
        out.extend(legs.into_iter().map(|leg| Action::Withdraw { job: id, leg }));
    }
}
