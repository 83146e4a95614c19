//! Whether a job is taken on, waits for its turn or is turned away.

use super::*;

const RETRY_RATIO: f64 = 0.2; // further attempts for each arrival: for one sick worker in five, no storm
const PROBE_RATIO: f64 = 1.0; // probes for each arrival; three times as many are kept for later
pub(crate) const AFFORD: f64 = 0.7; // part of a job's slack that waiting may use
const BY_STARTS: f64 = 3.0; // part of that, as a divisor, where queues are known in the mean, or to peers
const UNSEEN: f64 = 2.5; // the same by reports, for peers tenfold: they come late, and more seldom
const SAVED: f64 = 3.0; // seconds of its share that a customer who asks for less keeps for later, and ...
const OWED: f64 = 8.0; // ... that one who asks for more owes at most, for what was lent to it
const FEW: f64 = 2.0; // or so many jobs, where a dispatcher sees fewer of a customer in that time
const SPARED: f64 = 1.0; // slots at a worker that jobs of who owes most leave free for those in their share
const SCOUTED: Micros = 30_000; // a job waits so long to hear of room: probes come back within 5 ms or so
const KEEPERS: usize = 2; // so many keep what a key needs: one may be busy
const KEEP_LOAD: f64 = 2.5; // or by the share of all jobs that a key brings, by this margin
const ASKED: usize = 100; // jobs over which that is counted

impl Dispatcher {
    pub(crate) fn arrived(&mut self, job: Job, out: &mut Vec<Action>) {
        let id = job.id;
        if self.enter(job, out) && !self.line_up(id, out) {
            let near = self.place(id, out);
            self.refresh(None, &near, out); // the next job of a bound class looks where this one does
        }
    }

    /// A job comes with attempts: those out hold tokens here as they did there, and rule 2 knows of all.
    pub(crate) fn adopted(&mut self, job: Job, begun: &[PriorAttempt], out: &mut Vec<Action>) {
        let id = job.id;
        if !self.enter(job, out) {
            return;
        }
        for (b, attempt) in begun.iter().zip((0..).map(AttemptId)) {
            let path = self.workers.get(&b.worker).map_or(0, |w| self.path(w));
            self.resume(id, attempt, b, path);
            self.sync(b.worker);
        }
        let waits = self.line_up(id, out);
        self.requests.entry(id).and_modify(|r| r.waits &= r.attempts.is_empty());
        if !waits && begun.iter().all(|b| !b.pending) {
            self.place(id, out);
        }
    }

    fn enter(&mut self, job: Job, out: &mut Vec<Action>) -> bool {
        if self.requests.contains_key(&job.id) {
            return false;
        }
        let (id, after) = (job.id, job.deadline.saturating_sub(self.now));
        // A class that the settings lack is handled with most care.
        let none = || Arc::new(Class::new(Idempotency::NotIdempotent, 1));
        let class = self.classes.get(usize::from(job.class)).cloned().unwrap_or_else(none);
        self.asked.push(job.key, ASKED);
        let many = (KEEP_LOAD * self.asked.share(job.key, self.scouts) * self.round.len() as f64) as usize;
        let keepers = if job.key != 0 { self.ring.near(job.key, KEEPERS.max(many)) } else { Vec::new() };
        let r = Request::new(job, class, keepers);
        self.most_slots = self.most_slots.max(r.k.min(DEFAULT_TOKENS));
        self.mean_k.add(r.k as f64, LEARN);
        self.accounts.get_mut(usize::from(r.job.customer)).into_iter().for_each(|a| a.ask(self.now));
        self.retries.earn(RETRY_RATIO, RETRIES_KEPT);
        let ratio = if self.scouts { SCOUTS as f64 } else { PROBE_RATIO };
        self.probes.earn(if self.asks { ratio } else { 0.0 }, 3.0 * ratio);
        self.requests.insert(id, r);
        out.push(Action::SetTimer { after, timer: Cookie::Guard(id).into() });
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
            out.push(Action::SetTimer { after: slack as Micros, timer: Cookie::Restless(id).into() });
        }
        true
    }

    /// Seizes tokens for a job, or gives it its refusal at once. Returns where it looked.
    pub(crate) fn place(&mut self, id: JobId, out: &mut Vec<Action>) -> Vec<WorkerId> {
        if !self.is_list_current(self.now) {
            self.hold_for_list(id, out);
            return Vec::new();
        }
        let standing = self.requests.get(&id).map(|r| r.job.customer).map_or(0.0, |c| self.standing(c));
        if self.scout(id, out) {
            return Vec::new();
        }
        let Some(r) = self.requests.get(&id) else { return Vec::new() };
        let (open, next) = (r.job.deadline > self.now && self.may_send(r), self.next_for(r, LOOK));
        // What is hardly over by its deadline has to start at once, as all does where nobody tells who waits.
        let fits = (r.job.deadline - self.now.min(r.job.deadline)) as f64 > self.expected(r);
        let most = self.affords(r, standing).min(if fits && !self.scouting() { i64::MAX } else { 0 });
        match open.then(|| self.pick(r, &next, most)).flatten() {
            Some(worker) => self.send(id, worker, out),
            None => self.turn_away(id, out),
        }
        next
    }

    /// Where all reports are old but those that were asked for, a job waits to hear of room; says whether.
    fn scout(&mut self, id: JobId, out: &mut Vec<Action>) -> bool {
        let unasked = |r: &&Request| self.scouting() && r.asked.is_none() && self.may_send(r);
        let blind = |r: &&Request| self.pick(r, &self.next_for(r, LOOK), 0).is_none();
        if self.requests.get(&id).filter(unasked).filter(blind).is_none() {
            return false;
        }
        let asked = self.refresh(Some(id), &[], out);
        self.requests.entry(id).and_modify(|r| r.asked = Some(asked));
        let wake = Action::SetTimer { after: SCOUTED, timer: Cookie::Scouted(id).into() };
        out.extend((asked > 0).then_some(wake));
        asked > 0
    }

    /// A worker that was asked for a job has answered, or it has waited for all of them long enough.
    pub(crate) fn scouted(&mut self, id: JobId, all: bool, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.answered) else { return };
        let left = r.asked.filter(|n| *n > 0).map(|n| if all { 0 } else { n - 1 });
        r.asked = left.or(r.asked);
        if left == Some(0) {
            self.place(id, out);
        }
    }

    /// How a customer stands: 0 within its share, down to -1 where it owes all it can; refusals owe nothing.
    /// Where even the middle one brings more than its part, this dispatcher has more than its peers.
    fn standing(&mut self, customer: u16) -> f64 {
        let part = self.usual_use().clamp(1.0, self.scheduler_count) / self.scheduler_count;
        let (all, n) = (&self.set.customers, usize::from(customer));
        let Some((c, account)) = all.get(n).zip(self.accounts.get_mut(n)) else {
            return if all.is_empty() { 0.0 } else { -1.0 };
        };
        let rate = c.quota_per_second * part;
        let (saved, owed) = ((rate * SAVED).max(FEW), (rate * OWED).max(FEW));
        account.earn(rate, self.now, -owed, saved);
        (account.left / owed).min(0.0)
    }

    /// Where no job would start at once: the most slots to wait for that it can afford; below 0, so many must
    /// be left free. Shares fit into the fleet, so what peers send unseen yields to who is in its share.
    fn affords(&self, r: &Request, standing: f64) -> i64 {
        // Starts tell of queues only in the mean; where nothing does, a few peers add as much unseen.
        let blind = if self.hides { BY_STARTS } else { self.scheduler_count.min(BY_STARTS) };
        let unseen = if self.told { 1.0 + UNSEEN * self.scheduler_count.log10() } else { blind };
        let unseen = if self.set.customers.is_empty() { unseen } else { 1.0 };
        let slots = AFFORD * self.slack(r, 1.0) * self.mean_slots.or(1.0) / self.run.or(1.0);
        let slots = (slots / unseen).min(DEFAULT_TOKENS as f64);
        (slots + standing * (slots + SPARED)).floor() as i64
    }

    /// A job's final answer where it goes nowhere: refused where that is harmless, else failed.
    pub(crate) fn turn_away(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let harmless = self.may_refuse(r);
        let release = (self.expected(r) / self.requests.len() as f64) as Micros;
        let retry_after = release.min(self.set.max_retry_after) * Micros::from(self.set.sends_retry_after);
        out.push(if harmless { Action::Reject { job: id, retry_after } } else { Action::Fail { job: id } });
        self.close(id, out);
    }
}
