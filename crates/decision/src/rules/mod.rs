//! Every decision of a dispatcher, by its stages. The ordinary path is Comte's: tokens lie in one bucket in
//! release order; a job takes the longest-free that fit it best, or is refused at once.

mod admission;
mod attempts;
mod choice;
mod health;
mod learning;
mod list;
mod permission;
mod tokens;

use admission::AFFORD;

use crate::interface::*;
use crate::state::*;
use std::sync::Arc;

const DEFAULT_TOKENS: i64 = 8; // of a worker that nothing is known of: the largest slot demand
pub(crate) const TICK: Micros = 100_000; // how often attempts in flight are looked at: under the shortest aim
pub(crate) const SMOOTH: f64 = 0.2; // weight of a new observation in a running mean: about the last ten count
pub(crate) const LEARN: f64 = 0.05; // weight of one job or report in what is learned of its class and fleet
const SICK: f64 = 0.92; // strain over the fleet's median of an outlier: 2.5 times slower, as a logarithm
const FAILED: f64 = 3.0; // the strain that a failure counts as: as bad as running 20 times slower
pub(crate) const RETRIES_KEPT: f64 = 20.0; // and kept for later, at most
const REPORT_SPAN: Micros = 400_000; // reports are smoothed over this a sibling: by then others undid it
pub(crate) const USUAL: f64 = 10_000_000.0; // over this a worker's load is averaged: keys and speed last
const SCOUTS: usize = 3; // workers asked for a job: two that most likely keep what it needs, and the next
pub(crate) const FRESH: f64 = 0.5; // a report is fresh for this part of the mean running time
const LOOK: usize = 12; // looked at for a job in bucket order (4 times that if none fits), and heard of last
pub(crate) const OUTLIVED: f64 = 4.0; // over so many running times a report loses its worth

impl Dispatcher {
    /// Takes one event at time `now` and appends what is to be done.
    pub fn handle(&mut self, event: Event, now: Micros, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::EndpointList { update, endpoints } => self.members(update, endpoints, out),
            Event::DiscoveryMoved => {
                (self.list_failures, self.list_moved) = (0, Some(self.now));
                out.push(Action::WatchEndpoints);
            }
            Event::WorkerDisabled(id) => self.taken(id, true),
            Event::WorkerEnabled(id) => self.taken(id, false),
            Event::PlacementOverride { job, worker, required } => {
                self.wishes.insert(job, (worker, required));
            }
            Event::JobArrived(job) => self.arrived(job, out),
            Event::Learned(memory) => self.remember(&memory),
            Event::JobAdopted { job, attempts } => self.adopted(job, &attempts, out),
            Event::JobStarted { job, attempt } | Event::JobProgressed { job, attempt, .. } => {
                self.note(job, attempt, out)
            }
            Event::AnswerStreaming { job, .. } => {
                self.requests.entry(job).and_modify(|r| r.streaming = true);
            }
            Event::AttemptEnded(outcome) => self.settled(outcome, out),
            Event::ClientDisconnected(job) => self.close(job, out),
            Event::HealthCheckEnded { worker, result, report } => self.probed(worker, result, &report, out),
            Event::TimerExpired(cookie) => match Cookie::read(cookie) {
                Some(Cookie::Tick) => self.tick(out),
                Some(Cookie::List) => out.push(Action::WatchEndpoints),
                Some(Cookie::Guard(id)) => self.guard(id, out),
                Some(Cookie::Restless(id)) => self.restless(id, out),
                Some(Cookie::Rested(id)) => self.close(id, out),
                Some(Cookie::Scouted(id)) => self.scouted(id, true, out),
                Some(Cookie::ListWait(id)) => self.list_wait_over(id, out),
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

    fn member(&mut self, m: Endpoint) {
        let id = m.worker;
        // Bound jobs and repeats that must stay in a group find their few workers in a fleet of any size.
        self.bucket.shelve(id, self.shelves(&m));
        match self.workers.get_mut(&id) {
            Some(w) if w.member.started_at == m.started_at || m.state == EndpointState::Removed => {
                w.member = m
            }
            _ => self.renew(m, 0),
        }
        self.sync(id);
    }

    /// A restart makes what was known of a worker void, but not the tokens still out.
    fn renew(&mut self, m: Endpoint, back: Micros) {
        let (id, old) = (m.worker, self.workers.get_mut(&m.worker));
        let (held, attempts) = old.map_or((0, Vec::new()), |w| (w.held, std::mem::take(&mut w.out)));
        self.bucket.shrink(id, i64::MAX);
        let credit = self.rng.next() * self.run.or(REPORT_SPAN as f64);
        self.workers.insert(id, Worker { back, ..Worker::new(m, held, attempts, credit, self.now) });
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

    fn tick(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { after: TICK, timer: Cookie::Tick.into() });
        self.lay *= 0.96; // lets go within seconds, when nothing is sent that could tell
        self.middle = self.usual_of_most(3 * USUAL as Micros);
        self.current = self.up_to_date();
        self.refresh(None, &self.bucket.on(Shelf::All, LOOK), out);
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
}
