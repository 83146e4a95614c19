//! The list of workers: taken in, asked for again after a failure, and whether jobs may go by it.
//!
//! What discovery has said counts as told, whether or not it could be read here. A list that is known to be
//! out of date, or of which nobody knows how old it is, is not gone by: jobs wait until it is confirmed, or
//! are turned away.

use super::*;

const LIST_CALL: f64 = 10_000.0; // the first list call comes by chance within this for each sibling
const MOVE: Micros = 4_000_000; // after the list has moved: what it tells must be known within this
const FIRST_RETRY: Micros = 250_000; // a failed call is made again after this, give or take a half
const SOON_RETRIES: u32 = 3; // so many on end are made so soon where an answer was begun and is not known
const UNCONFIRMED: Micros = 5_000_000; // a new process without any answer goes by its own list after this
/// Of the grace for drains, as a divisor: so long jobs go by a list that was replaced. The rest is for the
/// way of the answer and for a process that is held up.
const REPLACED_PART: u64 = 2;

impl Dispatcher {
    /// Has jobs wait until the list that comes first, of before this process's start, is confirmed.
    pub fn with_unconfirmed_list(self) -> Self {
        Dispatcher { trust: ListTrust::Unconfirmed { since: self.now }, ..self }
    }

    /// Whether jobs may go by the list held at a time.
    pub fn is_list_current(&self, now: Micros) -> bool {
        match self.trust {
            ListTrust::Confirmed => true,
            ListTrust::Unconfirmed { since } => now >= since + UNCONFIRMED,
            ListTrust::Replaced { until } => now < until,
        }
    }

    pub(crate) fn members(&mut self, kind: ListUpdate, members: Vec<Endpoint>, out: &mut Vec<Action>) {
        match kind {
            ListUpdate::AnswerStarted { at } => return self.list_replaced(at),
            ListUpdate::Failed => return self.list_call_failed(out),
            ListUpdate::Cached => self.list_known(out),
            ListUpdate::Changes | ListUpdate::Complete => {
                (self.list_failures, self.trust) = (0, ListTrust::Confirmed)
            }
        }
        // A full list removes what it does not name.
        let gone = if kind == ListUpdate::Changes { Vec::new() } else { self.unlisted(&members) };
        gone.into_iter().for_each(|m| self.member(Endpoint { state: EndpointState::Removed, ..m }));
        members.into_iter().for_each(|m| self.member(m));
        self.count_ready();
        if kind == ListUpdate::Cached {
            self.bucket.shuffle(&mut self.rng); // dispatchers must not all begin with the same worker
        }
        self.place_held(out);
    }

    /// Discovery has begun an answer that is not known yet.
    fn list_replaced(&mut self, at: Micros) {
        let until = match self.trust {
            ListTrust::Confirmed => at + self.set.drain_grace / REPLACED_PART,
            ListTrust::Unconfirmed { .. } => 0,
            ListTrust::Replaced { until } => until,
        };
        self.trust = ListTrust::Replaced { until };
    }

    /// The list of before the start: it is asked for soon, by all dispatchers in turn.
    fn list_known(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: TICK, timer: Cookie::Tick.into() });
        let spread = (self.scheduler_count * LIST_CALL).min(self.set.poll_interval as f64 / 4.0);
        let after = (spread * self.rng.next()) as Micros;
        let ask = Action::SetTimer { after, timer: Cookie::List.into() };
        out.extend(self.set.list_is_polled.then_some(ask));
    }

    /// A shared service is asked later and later, an agent at once: after 6 s all counts as told. Where it
    /// has begun an answer that is not known here, the first calls come soon, too.
    fn list_call_failed(&mut self, out: &mut Vec<Action>) {
        let moved = self.list_moved.is_some_and(|at| self.now < at + MOVE);
        let replaced = matches!(self.trust, ListTrust::Replaced { .. });
        let soon = !self.set.list_is_polled || moved || replaced && self.list_failures < SOON_RETRIES;
        let most = if self.set.list_is_polled { self.set.poll_interval } else { self.set.drain_grace };
        let step = (FIRST_RETRY << if soon { 0 } else { self.list_failures.min(3) }).min(most / 4);
        self.list_failures += 1;
        let after = (step as f64 * (0.5 + self.rng.next())) as Micros;
        out.push(Action::SetTimer { after, timer: Cookie::List.into() });
    }

    /// The list cannot be gone by: a job waits for it as long as it can still be in time after that.
    pub(crate) fn hold_for_list(&mut self, id: JobId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.answered) else { return };
        let wait = (AFFORD * self.slack(r, 1.0)) as Micros;
        let until = r.list_wait.unwrap_or((self.now + wait).min(r.job.deadline));
        if self.now >= until {
            return self.turn_away(id, out);
        }
        if r.list_wait.is_none() {
            out.push(Action::SetTimer { after: until - self.now, timer: Cookie::ListWait(id).into() });
        }
        self.requests.entry(id).and_modify(|r| r.list_wait = Some(until));
        if !self.held.contains(&id) {
            self.held.push(id);
        }
    }

    /// A job has waited for the list long enough: it goes by it or is turned away.
    pub(crate) fn list_wait_over(&mut self, id: JobId, out: &mut Vec<Action>) {
        let before = self.held.len();
        self.held.retain(|held| *held != id);
        let open = self.requests.get(&id).is_some_and(|r| !r.answered);
        if self.held.len() == before || !open {
            return;
        }
        // Guards against: a timer that comes a microsecond early, and a job that would then wait for nothing.
        if self.is_list_current(self.now) {
            self.place(id, out);
        } else {
            self.turn_away(id, out);
        }
    }

    /// The list is confirmed: what has waited for it goes, in the order in which it came.
    fn place_held(&mut self, out: &mut Vec<Action>) {
        if !self.is_list_current(self.now) {
            return;
        }
        for id in std::mem::take(&mut self.held) {
            if self.requests.get(&id).is_some_and(|r| !r.answered) {
                self.place(id, out);
            }
        }
    }
}
