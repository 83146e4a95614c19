//! A dispatcher's start, and looking things up.

use super::figures::nth;
use super::*;
use crate::rules::{FRESH, OUTLIVED, RETRIES_KEPT, TICK, USUAL};

impl Dispatcher {
    /// A dispatcher that knows nothing yet; it asks for what it needs at the first event.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        let scheduler_count = f64::from(settings.scheduler_count.max(1));
        let new = Dispatcher { rng: Rng(seed), now, scheduler_count, most_slots: 1, ..Dispatcher::default() };
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

    /// Part of its capacity that a worker has at least, by the time since it started or was taken back.
    pub(crate) fn warmth(&self, w: &Worker) -> f64 {
        let since = w.member.started_at.max(w.back);
        let age = self.now.saturating_sub(since);
        if since == 0 || age >= self.set.slow_start_duration {
            return 1.0;
        }
        self.set.initial_capacity
            + (1.0 - self.set.initial_capacity) * age as f64 / self.set.slow_start_duration as f64
    }

    /// How an attempt gets to a worker: 1 by a new connection, 2 to another zone.
    pub(crate) fn path(&self, w: &Worker) -> usize {
        let kept = w.idle.last().is_some_and(|used| self.now < used + self.set.keepalive);
        usize::from(!kept) + 2 * usize::from(w.member.zone != self.set.zone)
    }

    /// Takes in the settings and what follows from them alone.
    pub(crate) fn with(self, set: Settings) -> Self {
        let group = |c: &Class| {
            if let Idempotency::ByKey { scope, .. } = c.idempotency {
                scope
            } else {
                DeduplicationScope::Fleet
            }
        };
        let told =
            set.report_fields.iter().any(|f| matches!(f, ReportField::QueueLength | ReportField::Jobs));
        Dispatcher {
            learned: vec![Learned::default(); set.classes.len()],
            accounts: vec![Account::default(); set.customers.len()],
            classes: set.classes.iter().cloned().map(Arc::new).collect(),
            told,
            hides: set.reports_start && !told,
            asks: set.health_checks_allowed && set.report_fields.contains(&ReportField::FreeSlots),
            scouts: set.health_checks_allowed
                && set.reports_by_health_check_only
                && set.report_fields.contains(&ReportField::FreeSlots),
            placed: set.classes.iter().any(|c| c.is_restricted() || group(c) == DeduplicationScope::Zone),
            celled: set.classes.iter().any(|c| group(c) == DeduplicationScope::Cell),
            set,
            ..self
        }
    }

    /// Slots of a worker, as far as reports have shown them.
    pub(crate) fn known(&self, w: &Worker) -> i64 {
        let slots = if w.reported == 0 { self.mean_slots.or(0.0) as i64 } else { w.slots };
        let kind = self.widest.get(&w.member.kind).map_or(0, |widest| widest.round() as i64);
        slots.max(self.most_slots).max(kind)
    }

    /// Whether a worker was heard of so lately that most of what runs there still does.
    pub(crate) fn fresh(&self, w: &Worker) -> bool {
        w.reported > 0 && (self.now - w.reported) as f64 <= self.run.or(TICK as f64) * FRESH
    }

    /// Jobs that wait at a worker in the mean, where reports don't tell: by how long ours lay before a start.
    pub(crate) fn hidden(&self) -> f64 {
        f64::from(u8::from(self.hides)) * self.lay * self.mean_slots.or(1.0) / self.run.or(self.lay.max(1.0))
    }

    /// How long a job may lie and still be in time, as far as its running time can be told.
    pub(crate) fn slack(&self, r: &Request, speed: f64) -> f64 {
        r.class.latency_objective as f64
            + (r.class.objective_stretch - 1.0 / speed).max(0.0) * self.expected(r)
    }

    /// Calls off attempts of a job that are out: all of them, or those that have not started.
    pub(crate) fn call_off(&mut self, id: JobId, all: bool, out: &mut Vec<Action>) {
        let open = self.requests.get_mut(&id).filter(|r| self.set.cancellation_allowed && !r.streaming);
        let attempts = open.map_or(Vec::new(), |r| r.withdraw(all));
        out.extend(attempts.into_iter().map(|attempt| Action::CancelAttempt { job: id, attempt }));
    }

    /// Whether jobs wait for fresh reports: where those of most workers are too old to go by.
    pub(crate) fn scouting(&self) -> bool {
        self.scouts && !self.current
    }

    /// Whether some worker was heard of lately. Those that are silent then are busy; if all are, it may be the probes.
    pub(crate) fn heard(&self) -> bool {
        let last = self.lately.front().and_then(|id| self.workers.get(id));
        last.is_some_and(|w| self.now - w.reported < USUAL as Micros)
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

    /// Whether most workers were heard of so lately that their reports can be gone by. Free slots alone say nothing of
    /// what waits, and are worth something only while some of what ran there still does.
    pub(crate) fn up_to_date(&self) -> bool {
        let lasting = if self.told { 3.0 * USUAL } else { OUTLIVED * self.run.or(TICK as f64) };
        self.usual_of_most(lasting as Micros).is_some()
    }

    /// Finds anew which workers take jobs.
    pub(crate) fn count_ready(&mut self) {
        let mut round: Vec<WorkerId> =
            self.workers.iter().filter(|(_, w)| self.takes(w)).map(|(id, _)| *id).collect();
        round.sort_unstable();
        self.ring.update(&self.round, &round);
        self.round = round;
    }

    /// The keepers of what a job needs, and so many next to them; none for a job without a key.
    pub(crate) fn near(&self, r: &Request, more: usize) -> Vec<WorkerId> {
        let all = r.keepers.len() + if r.keepers.is_empty() { 0 } else { more };
        self.ring.near(r.job.key, all)
    }

    /// Workers that a full list leaves out.
    pub(crate) fn unlisted(&self, listed: &[Endpoint]) -> Vec<Endpoint> {
        let listed: BTreeSet<WorkerId> = listed.iter().map(|m| m.worker).collect();
        let known = self.workers.values().map(|w| &w.member);
        let mut gone: Vec<Endpoint> = known.filter(|m| !listed.contains(&m.worker)).cloned().collect();
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
    pub(crate) fn shelves(&self, m: &Endpoint) -> Vec<Shelf> {
        if m.state == EndpointState::Reserved {
            return Vec::new(); // found by a wish alone
        }
        let place = self.placed.then_some(Shelf::Place(m.zone, m.kind));
        let cell = self.celled.then_some(Shelf::Cell(m.cell));
        [Some(Shelf::All), place, cell].into_iter().flatten().collect()
    }

    /// The middle running time to expect of a job on a usual worker.
    pub(crate) fn expected(&self, r: &Request) -> f64 {
        let hint = r.job.size_hint.map(|h| h.max(1) as f64);
        let log = self.learned.get(usize::from(r.job.class)).and_then(|l| l.log.0);
        log.map_or(hint.unwrap_or(r.class.latency_objective.max(1) as f64), |log| {
            log.exp() * hint.unwrap_or(1.0)
        })
    }

    /// What a job brings to its worker: slots times the mean running time; by the hint, where there is one.
    pub(crate) fn work(&self, r: &Request) -> f64 {
        let mean = self.learned.get(usize::from(r.job.class)).and_then(|l| l.mean.0);
        mean.filter(|_| r.job.size_hint.is_none()).unwrap_or(self.expected(r)).max(1.0) * r.k as f64
    }

    /// How fast machines of a worker's kind run, 1 as usual: tokens in this proportion share out the jobs.
    pub(crate) fn speed(&self, w: &Worker) -> f64 {
        (-self.kinds.get(&w.member.kind).map_or(0.0, |k| k.or(0.0))).exp().clamp(0.25, 4.0)
    }

    /// How much of a dispatcher's even part of its share the customer in the middle asks for here: of few, the lower.
    pub(crate) fn usual_use(&self) -> f64 {
        let shares =
            self.set.customers.iter().map(|c| c.quota_per_second / self.scheduler_count).zip(&self.accounts);
        let uses: Vec<f64> = shares.filter(|s| s.0 > 0.0).map(|(part, a)| a.asks(self.now) / part).collect();
        let middle = uses.len().saturating_sub(1) / 2;
        nth(uses, middle).unwrap_or(0.0)
    }

    /// Keeps an attempt that another process has made; one that is out holds its tokens here, too.
    pub(crate) fn resume(&mut self, id: JobId, attempt: AttemptId, b: &PriorAttempt, path: usize) {
        let ended = if b.may_have_run { AttemptState::MayHaveRun } else { AttemptState::NeverRan };
        let (sent, state) =
            (self.now.saturating_sub(b.age), if b.pending { AttemptState::Pending } else { ended });
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.attempts.push(Attempt { sent, state, ..Attempt::new(b.worker, self.now, false, path) });
        if let Some(w) = self.workers.get_mut(&b.worker).filter(|_| b.pending) {
            w.out.push((id, attempt));
            w.held += r.k;
        }
    }

    /// Attempts in flight at a worker.
    pub(crate) fn attempts_at(&self, id: WorkerId) -> impl Iterator<Item = (&Request, &Attempt)> {
        let out = self.workers.get(&id).into_iter().flat_map(|w| &w.out);
        out.filter_map(|(job, attempt)| {
            let r = self.requests.get(job)?;
            Some((r, r.attempts.get(attempt.index())?))
        })
    }

    /// Jobs of each customer sent over its share for good, beyond what it owes still; jobs of customers that the
    /// settings don't have are not counted.
    pub fn over_quota(&self) -> impl Iterator<Item = u64> + '_ {
        self.accounts.iter().map(|account| account.over as u64)
    }

    /// How many workers are kept in mind.
    pub fn known_workers(&self) -> usize {
        self.workers.len()
    }

    /// Whether a worker's tokens lie out after failures or long times.
    pub fn is_ejected(&self, worker: WorkerId) -> bool {
        self.workers.get(&worker).is_some_and(Worker::ejected)
    }

    /// Whether a worker gets nothing new although its list lets it.
    pub fn avoids(&self, worker: WorkerId) -> bool {
        self.taken_out.contains(&worker) || self.is_ejected(worker)
    }

    /// Whether the list and the operators let a worker take jobs.
    pub(crate) fn takes(&self, w: &Worker) -> bool {
        w.ready() && !self.taken_out.contains(&w.member.worker)
    }

    /// Whether an attempt may begin at a worker: its list and the operators let it take jobs still.
    pub(crate) fn accepts(&self, worker: WorkerId) -> bool {
        self.workers.get(&worker).is_some_and(|w| self.takes(w))
    }

    /// What the fleet has room for now. Costs time in proportion to the number of workers.
    pub fn free_capacity(&self) -> FreeCapacity {
        let mut sum = FreeCapacity::default();
        for (id, w) in self.workers.iter().filter(|(_, w)| self.takes(w) && !w.ejected()) {
            let free = self.room(w).clamp(0, self.bucket.free(*id)) as u32;
            sum.free += free;
            sum.total += free + w.held.max(0) as u32;
            sum.largest_free = sum.largest_free.max(free);
        }
        sum
    }

    /// Tokens of a worker, for dashboards and tests: those in the bucket and those held by attempts.
    pub fn tokens(&self, worker: WorkerId) -> (usize, usize) {
        let held = self.workers.get(&worker).map_or(0, |w| w.held.max(0) as usize);
        (self.bucket.free(worker).max(0) as usize, held)
    }
}
