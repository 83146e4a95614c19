//! Attempts: how they are sent, watched, settled and called off.

use super::*;

const RISE: f64 = 1.05; // steps of the usual time to a start, up and ...
const FALL: f64 = 0.86; // ... down: a quarter of those seen are shorter, so that queues don't count
const START_WITHIN: Micros = 10; // a job that has not started in its goal over this is looked after
const CROWDED: f64 = 1.4; // with so many jobs for each slot, times at a worker are mostly waiting

impl Dispatcher {
    pub(crate) fn send(&mut self, id: JobId, worker: WorkerId, out: &mut Vec<Action>) {
        self.sync(worker);
        let (Some(r), Some(w)) = (self.requests.get(&id), self.workers.get(&worker)) else { return };
        let (work, free, path) = (self.work(r), self.room(w) >= r.k, self.path(w));
        let (Some(r), Some(w)) = (self.requests.get_mut(&id), self.workers.get_mut(&worker)) else { return };
        let account = self.accounts.get_mut(usize::from(r.job.customer)).filter(|_| r.attempts.is_empty());
        account.into_iter().for_each(Account::spend);
        w.out.push((id, AttemptId(r.attempts.len() as u8)));
        r.attempts.push(Attempt::new(worker, self.now, free, path));
        r.asked = None;
        self.bucket.seize(worker, r.k);
        w.held += r.k;
        w.idle.pop();
        w.credit -= work;
        let after =
            (r.class.latency_objective / START_WITHIN).max((2.0 * self.starts[path].or(0.0)) as Micros);
        out.push(Action::StartAttempt { job: id, worker, timeout: 0 });
        if self.set.reports_start && self.set.cancellation_allowed {
            out.push(Action::SetTimer { after, timer: Cookie::Restless(id).into() });
        }
        self.sync(worker);
    }

    /// Where workers tell of a start: what has not started shows a worker without room.
    pub(crate) fn restless(&mut self, id: JobId, out: &mut Vec<Action>) {
        let idle = |r: &&Request| !r.answered && r.out().all(|(_, l)| l.started.is_none());
        let Some(r) = self.requests.get(&id).filter(idle) else { return };
        if r.waits {
            return self.turn_away(id, out); // its key's turn did not come while it could still be in time
        }
        let Some(l) = r.attempts.last().filter(|l| l.state == AttemptState::Pending) else { return };
        let fast = self.workers.get(&l.worker).map_or(1.0, |w| self.speed(w));
        let (slack, since) = (self.slack(r, fast) as Micros, self.now - r.attempts[0].sent);
        if since >= slack && r.class.late_share == 0.0 {
            return self.turn_away(id, out); // it can't be in time any more, and would only hold up others
        }
        let wake =
            Action::SetTimer { after: slack.saturating_sub(since), timer: Cookie::Restless(id).into() };
        out.extend((since < slack).then_some(wake));
        self.no_slot(l.worker, 1);
    }

    pub(crate) fn note(&mut self, id: JobId, attempt: AttemptId, out: &mut Vec<Action>) {
        let now = self.now;
        let attempt = self.requests.get_mut(&id).and_then(|r| r.attempts.get_mut(attempt.index()));
        let Some(l) = attempt else { return };
        l.heard = now;
        if l.started.is_none() {
            l.started = Some(now);
            let (path, took) = (l.path, (now - l.sent) as f64);
            self.lain(path, took);
            self.starts[path].step(took, RISE, FALL);
        }
        self.call_off(id, false, out);
    }

    pub(crate) fn settled(&mut self, o: AttemptOutcome, out: &mut Vec<Action>) {
        let (now, id) = (self.now, o.job);
        let Some(r) = self.requests.get_mut(&id) else { return };
        let Some(l) = r.attempts.get_mut(o.attempt.index()).filter(|l| l.state == AttemptState::Pending)
        else {
            return;
        };
        l.state =
            if self.set.may_have_run(o.result) { AttemptState::MayHaveRun } else { AttemptState::NeverRan };
        // Guards against: kept connections that break, taken for workers in ill health.
        (l.stale, l.rejected) =
            (o.result == AttemptResult::StaleConnection, o.result == AttemptResult::Unprocessable);
        out.extend(l.stale.then_some(Action::CloseIdleConnections { worker: l.worker }));
        let unsure = matches!(
            o.result,
            AttemptResult::TimedOut
                | AttemptResult::Reset
                | AttemptResult::Cancelled
                | AttemptResult::StaleConnection
        );
        let (worker, k, path) = (l.worker, r.k, l.path);
        let lay =
            Some(o.latency as f64).filter(|_| l.started.is_none() && o.result == AttemptResult::Cancelled);
        // Waiting is not running: what is learned of running times leaves it out.
        let (jobs, at) = (self.set.report_value(ReportField::Jobs, &o.report), self.workers.get(&l.worker));
        let crowded = jobs.zip(at).is_some_and(|(jobs, w)| jobs >= CROWDED * w.slots as f64);
        let known = self.set.reports_start || l.free && !crowded;
        let ran = l.started.filter(|_| self.set.reports_start).map_or(o.latency, |s| now - s);
        r.rests = if unsure && r.key().is_some() { now + self.set.key_order_pause } else { r.rests };
        let (answered, waiting) = (r.answered || o.job_answered, r.out().next().is_some());
        lay.into_iter().for_each(|lay| self.lain(path, lay));
        self.report(worker, &o.report, false);
        let Some(r) = self.requests.get(&id) else { return };
        let (class, hint, usual) = (r.job.class, r.job.size_hint, self.expected(r));
        let sample = (ran.max(1) as f64 / usual).ln();
        let kind = self.workers.get(&worker).map_or(0, |w| w.member.kind);
        // Turned away although slots are free: that is about the class, not the worker's health.
        let free = self.set.report_value(ReportField::FreeSlots, &o.report);
        let roomy = o.result == AttemptResult::Overloaded && free.is_some_and(|free| free >= 1.0);
        if let Some(w) = self.workers.get_mut(&worker) {
            w.give_back(id, o.attempt, k);
            self.bucket.release(worker, k);
            if o.result == AttemptResult::Success {
                w.idle.push(now);
            } else if o.result != AttemptResult::NotSent {
                w.idle.clear(); // guards against: connections of a process that may be gone
            }
        }
        self.learn(class, kind, hint, Some(ran).filter(|_| o.result == AttemptResult::Success && known));
        self.fares(worker, class, o.result, roomy);
        match o.result {
            AttemptResult::Success => self.observe(worker, sample.clamp(-1.0, FAILED)),
            // Guards against: jobs with little time left that speak against workers in good health.
            AttemptResult::Cancelled | AttemptResult::TimedOut if sample > SICK => {
                self.observe(worker, sample.min(FAILED))
            }
            AttemptResult::Cancelled
            | AttemptResult::TimedOut
            | AttemptResult::NotSent
            | AttemptResult::StaleConnection
            | AttemptResult::Unprocessable => {}
            _ if roomy => {}
            _ => self.observe(worker, FAILED),
        }
        self.sync(worker);
        // Of a job that nobody can run, two that say so are right; one was wrong if another could run it.
        let attempts = self.requests.get(&id).map_or(&[][..], |r| &r.attempts);
        let turned: Vec<_> = attempts.iter().filter(|l| l.rejected).map(|l| l.worker).collect();
        if o.result == AttemptResult::Success {
            turned.iter().for_each(|wrong| self.observe(*wrong, FAILED));
        }
        if answered {
            self.close(id, out);
        } else if turned.len() > 1 {
            out.push(Action::Fail { job: id });
            self.close(id, out);
        } else if !waiting
            && (matches!(o.result, AttemptResult::StaleConnection | AttemptResult::Unprocessable)
                || self.retries.spend())
        {
            self.place(id, out);
        } else if !waiting {
            self.turn_away(id, out);
        }
    }

    /// No answer is owed any more; attempts still out are called off and keep their tokens until they settle.
    pub(crate) fn close(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        r.answered = true;
        if r.out().next().is_none() && r.rests > self.now {
            out.push(Action::SetTimer { after: r.rests - self.now, timer: Cookie::Rested(id).into() });
        } else if r.out().next().is_none() {
            self.forget(id);
        }
        self.call_off(id, true, out);
    }

    /// Backs up every final answer: rule 1 holds whatever else goes wrong.
    pub(crate) fn guard(&mut self, id: JobId, out: &mut Vec<Action>) {
        if self.requests.get(&id).is_some_and(|r| !r.answered && !r.streaming && r.job.deadline <= self.now) {
            out.push(Action::Fail { job: id });
            self.close(id, out);
        }
    }
}
