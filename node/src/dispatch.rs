//! Between the network and the decision module: what has happened goes in as one batch of events, the actions
//! that come back go out as deeds for the event loop. Ids, attempts and timers are kept here; there are no
//! sockets, and no decisions.

use crate::answer::{Answer, Failure};
use crate::clock::{Millis, Timers};
use crate::figures::Figures;
use crate::forward::End;
use crate::handover::{MovedJob, MovedLeg, MovedWait};
use crate::intake::{self, Job};
use crate::invariant::{holds, Invariant};
use crate::key::Key;
use crate::news::{report_from_text, News, State};
use crate::target_group::TargetGroup;
use crate::waiting::{Turned, Waiting};
use postusher::{
    Action, Begun, Dispatcher, Ending, Event, JobId, ListKind, Member, Memory, Micros, Outcome, WorkerId,
};
use postusher_settings::{micros, Site};
use postusher_waiting::{End as Ended, Limits, Verdict};
use std::collections::HashMap;
use std::rc::Rc;

/// A request that is still unanswered so long after its deadline was forgotten by the module.
const OVERDUE: Millis = 20.0;

/// What the event loop is to do.
#[derive(Debug, PartialEq)]
pub enum Deed {
    /// Give a client its answer.
    Answer(Key, Answer),
    /// Send a target this request as an attempt.
    Forward { job: JobId, leg: u8, target: WorkerId, request: Vec<u8> },
    /// Give up an attempt that no target has taken yet.
    Abandon(JobId, u8),
    /// Tell a target that a job it has taken is given up.
    Withdraw { target: WorkerId, trace: Rc<str> },
    /// Look at a target's load.
    Probe(WorkerId),
    /// A job has ended so; told only where jobs wait for others.
    Ended(Rc<str>, Ended),
    /// A client's id may come again.
    Over(Rc<str>),
    /// Keep a watch on the list.
    Watch,
    /// Close the idle connections to a target.
    Disconnect(WorkerId),
}

struct Request {
    client: Key,
    trace: Rc<str>,
    job: Job,
    expires: Millis,
    answered: bool,
    /// It is in the waiting room, and the module has not heard of it.
    held: bool,
    /// The last attempt that ended was turned away as nothing that can be run.
    rejected: bool,
    legs: Vec<Leg>,
}

impl Request {
    /// What the module is told of it.
    fn told(&self, id: JobId) -> postusher::Job {
        let (job, expires) = (&self.job, micros(self.expires));
        let intake::Job { class, hint, slots, key, customer, .. } = *job;
        postusher::Job { id, class, expires, hint, slots, key, customer }
    }
}

struct Leg {
    target: WorkerId,
    name: Rc<str>,
    sent: Millis,
    /// The target has said that it has the job.
    taken: bool,
    out: bool,
    /// It may have run.
    ran: bool,
}

enum Due {
    Module(u64),
    Attempt(JobId, u8),
    Deadline(JobId),
}

/// Why a job is not taken.
#[derive(Debug, PartialEq)]
pub enum NotTaken {
    /// Another job under way has its id.
    Twice,
    /// It has had its final answer.
    Answered(Answer),
}

/// The module with all that it is told and all that it wants.
pub struct Dispatch {
    module: Dispatcher,
    waiting: Waiting,
    site: Rc<Site>,
    events: Vec<Event>,
    deeds: Vec<Deed>,
    timers: Timers<Due>,
    requests: HashMap<JobId, Request>,
    by_trace: HashMap<Rc<str>, JobId>,
    /// Requests that may be over, or late, looked at once the module has had its say.
    doubtful: Vec<JobId>,
    last_id: u32,
    /// By when jobs must have their answers, whatever their clients' patience: the scheduler ends.
    ends: Millis,
    /// What happened so far.
    pub figures: Figures,
}

impl Dispatch {
    /// A module that knows nothing yet.
    pub fn new(site: Rc<Site>, seed: u64, now: Millis) -> Self {
        let figures = Figures::new(&site.classes, &site.customers);
        Dispatch {
            module: Dispatcher::new(site.settings.clone(), seed, micros(now)),
            waiting: Waiting::default(),
            site,
            events: Vec::new(),
            deeds: Vec::new(),
            timers: Timers::new(),
            requests: HashMap::new(),
            by_trace: HashMap::new(),
            doubtful: Vec::new(),
            last_id: 0,
            ends: f64::INFINITY,
            figures,
        }
    }

    /// Lets jobs wait, within these bounds.
    pub fn with_waiting(self, limits: Option<Limits>) -> Self {
        Dispatch { waiting: Waiting::new(limits), ..self }
    }

    /// The waiting room.
    pub fn waiting(&self) -> &Waiting {
        &self.waiting
    }

    /// Other bounds for the waiting room, if there is one.
    pub fn set_waiting(&mut self, limits: Limits) {
        self.waiting.set(limits);
    }

    /// A job has come to the other process of an upgrade; jobs here may wait for it.
    pub fn opened_elsewhere(&mut self, trace: &str) {
        self.waiting.opened(trace);
    }

    /// And has ended there so.
    pub fn ended_elsewhere(&mut self, trace: &str, how: Ended, now: Millis) {
        self.waiting.ended(trace, how, now);
    }

    /// The scheduler ends: what is held is refused at once.
    pub fn close_waiting(&mut self) {
        self.waiting.close();
    }

    /// News of the list.
    pub fn members(&mut self, kind: ListKind, members: Vec<Member>) {
        self.events.push(Event::Members { kind, members });
    }

    /// The list is kept elsewhere from now on.
    pub fn list_moved(&mut self) {
        self.events.push(Event::ListMoved);
    }

    /// An operator has taken a target out.
    pub fn taken_out(&mut self, target: WorkerId) {
        self.events.push(Event::TakenOut(target));
    }

    /// An operator has taken a target back.
    pub fn taken_back(&mut self, target: WorkerId) {
        self.events.push(Event::TakenBack(target));
    }

    /// The scheduler ends: jobs that come from now on must have their answers by then. Guards against: a job
    /// taken on the way out that the end of the process leaves without an answer.
    pub fn ends_at(&mut self, at: Millis) {
        self.ends = at;
    }

    /// A client's job.
    ///
    /// # Errors
    /// Why it is not taken; its client is to be told.
    pub fn arrived(&mut self, client: Key, job: Job, now: Millis) -> Result<JobId, NotTaken> {
        if self.by_trace.contains_key(job.trace.as_str()) {
            return Err(NotTaken::Twice);
        }
        let waits = !job.waits.is_empty();
        let id = self.enter(client, job, now);
        let Some(r) = self.requests.get_mut(&id) else { return Ok(id) };
        self.figures.taken += 1;
        if !waits {
            self.waiting.opened(&r.trace);
            self.events.push(Event::Arrived(r.told(id)));
            return Ok(id);
        }
        match self.waiting.hold(id, client.number(), &r.job, r.expires, now) {
            Ok(()) => {
                r.held = true;
                Ok(id)
            }
            Err(turned) => {
                let (class, customer) = (r.job.class, r.job.customer);
                let answer = self.turned(turned);
                self.figures.ended(class, customer, answer.kind());
                self.forget(id);
                Err(NotTaken::Answered(answer))
            }
        }
    }

    /// What a client is told whose job is not held.
    fn turned(&self, turned: Turned) -> Answer {
        match turned {
            Turned::Full { retry_after } => Answer::Refused { retry_after: self.advice(retry_after) },
            Turned::Doomed => Answer::Failed(Failure::Dependency),
            Turned::Circle => Answer::Failed(Failure::Circle),
            Turned::TooLate => Answer::Failed(Failure::TooLate),
        }
    }

    /// When to come back, as far as the settings allow to say.
    fn advice(&self, retry_after: Millis) -> Millis {
        let set = &self.site.settings;
        if set.retry_after {
            retry_after.min(set.max_retry_after as f64 / 1e3)
        } else {
            0.0
        }
    }

    fn forget(&mut self, id: JobId) -> Option<Request> {
        let r = self.requests.remove(&id)?;
        self.by_trace.remove(&r.trace);
        Some(r)
    }

    /// Keeps a job under a number of its own.
    fn enter(&mut self, client: Key, job: Job, now: Millis) -> JobId {
        let (trace, expires) = (Rc::<str>::from(job.trace.as_str()), (now + job.wait).min(self.ends));
        self.last_id = self.last_id.wrapping_add(1);
        while self.requests.contains_key(&JobId(self.last_id)) {
            self.last_id = self.last_id.wrapping_add(1);
        }
        let id = JobId(self.last_id);
        self.timers.set(expires + OVERDUE, Due::Deadline(id));
        self.by_trace.insert(trace.clone(), id);
        let legs = Vec::new();
        let (answered, held, rejected) = (false, false, false);
        self.requests.insert(id, Request { client, trace, job, expires, answered, held, rejected, legs });
        id
    }

    /// A job comes over from another process of this scheduler with the attempts made there, or with its place in the
    /// waiting room.
    ///
    /// # Errors
    /// Why it is not taken; its client is to be told.
    pub fn adopt(
        &mut self,
        client: Key,
        job: Job,
        legs: Vec<(WorkerId, MovedLeg)>,
        held: Option<MovedWait>,
        now: Millis,
    ) -> Result<JobId, NotTaken> {
        if self.has(&job.trace) {
            return Err(NotTaken::Twice);
        }
        let id = self.enter(client, job, now);
        let Some(r) = self.requests.get_mut(&id) else { return Ok(id) };
        if let Some(held) = held {
            r.held = self.waiting.adopt(id, client.number(), &r.job, r.expires, held, now);
            if r.held {
                return Ok(id);
            }
            // There is no room here, as the setup of this process has none, or it ends.
            self.forget(id);
            return Err(NotTaken::Answered(Answer::Refused { retry_after: 0.0 }));
        }
        self.waiting.opened(&r.trace);
        let mut begun = Vec::new();
        for (n, (target, leg)) in legs.into_iter().enumerate() {
            let (name, sent, out, ran) = (leg.target.into(), now - leg.age, leg.out, leg.ran);
            begun.push(Begun { worker: target, age: micros(leg.age), out, ran });
            r.legs.push(Leg { target, name, sent, taken: true, out, ran });
            self.timers.set(r.expires, Due::Attempt(id, n as u8));
        }
        self.events.push(Event::Adopted { job: r.told(id), begun });
        Ok(id)
    }

    /// Jobs of each customer that were sent over its share.
    pub fn over_share(&self) -> Vec<u64> {
        self.module.over_share().collect()
    }

    /// What the module has learned.
    pub fn memory(&self) -> Memory {
        self.module.memory()
    }

    /// What another process's module has learned.
    pub fn learned(&mut self, memory: Memory) {
        self.events.push(Event::Learned(memory));
    }

    /// A job in the form in which another process can go on with it; `None` where an attempt is still on its way to
    /// its target, or the job has its answer.
    pub fn moving(&self, id: JobId, now: Millis) -> Option<MovedJob> {
        let r = self.requests.get(&id).filter(|r| !r.answered && r.legs.iter().all(|l| !l.out || l.taken))?;
        let leg =
            |l: &Leg| MovedLeg { target: l.name.to_string(), age: now - l.sent, out: l.out, ran: l.ran };
        let (legs, held) = (r.legs.iter().map(leg).collect(), self.waiting.parcel(id, now));
        Some(MovedJob { request: r.job.payload.request(r.expires - now), last: false, legs, held })
    }

    /// Another process has a job now. The module here may go on with it in vain: nothing is done for a job that is
    /// not here.
    pub fn release(&mut self, id: JobId) {
        if let Some(r) = self.forget(id) {
            self.waiting.moved(&r.trace);
        }
    }

    /// A client has gone away.
    pub fn client_gone(&mut self, id: JobId, now: Millis) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.answered) else { return };
        r.answered = true;
        self.figures.left += 1;
        if !r.held {
            self.events.push(Event::ClientGone(id));
        }
        self.doubtful.push(id);
        let trace = r.trace.clone();
        self.has_ended(trace, Ended::Left, now);
    }

    /// A job is over as far as others are concerned that wait for it.
    fn has_ended(&mut self, trace: Rc<str>, how: Ended, now: Millis) {
        if self.waiting.is_on() {
            self.waiting.ended(&trace, how, now);
            self.deeds.push(Deed::Ended(trace, how));
        }
    }

    /// Whether a job under this id is under way.
    pub fn has(&self, trace: &str) -> bool {
        self.by_trace.contains_key(trace)
    }

    /// The client's id for a job.
    pub fn trace(&self, id: JobId) -> Option<Rc<str>> {
        self.requests.get(&id).map(|r| r.trace.clone())
    }

    /// The ids of the jobs under way.
    pub fn open_ids(&self) -> impl Iterator<Item = &str> + '_ {
        self.by_trace.keys().map(|trace| &**trace)
    }

    /// A target's news. What is late, repeated or of no job here changes nothing.
    pub fn news(&mut self, news: News, now: Millis) {
        let Some(id) = self.by_trace.get(news.trace.as_str()).copied() else { return };
        let Some(r) = self.requests.get_mut(&id) else { return };
        let from = |l: &Leg| *l.name == *news.from;
        let out = r.legs.iter_mut().enumerate().rfind(|(_, l)| l.out && from(l));
        let Some((leg, l)) = out else {
            // Guards against: a result thrown away since word of its attempt had been lost on the way.
            let State::Done(result) = news.state else { return };
            if !r.answered && r.legs.iter().any(from) {
                self.answer(id, Answer::Served(result), now);
                self.events.push(Event::ClientGone(id));
            }
            return;
        };
        let leg = leg as u8;
        match news.state {
            State::Started => {
                l.taken = true;
                self.events.push(Event::Started { job: id, leg });
            }
            State::Running(done) => {
                l.taken = true;
                self.events.push(Event::Progress { job: id, leg, done });
            }
            State::Done(result) => {
                if !r.answered {
                    self.answer(id, Answer::Served(result), now); // the first result is the client's, at once
                }
                self.settle(id, leg, Ending::Ok, news.report, now);
            }
            State::Failed => self.settle(id, leg, Ending::Error, news.report, now),
            State::Returned => self.settle(id, leg, Ending::Full, news.report, now),
            State::Lost => self.settle(id, leg, Ending::Reset, news.report, now),
        }
    }

    /// How sending an attempt to its target ended.
    pub fn forwarded(&mut self, id: JobId, leg: u8, end: End, now: Millis) {
        let l = self.requests.get_mut(&id).and_then(|r| r.legs.get_mut(usize::from(leg)));
        let Some(l) = l.filter(|l| l.out) else { return };
        let answer = match end {
            // Its news may have come first: a break says nothing of a job that the target has.
            End::Broken | End::Stale { .. } if l.taken => return,
            End::Broken => return self.settle(id, leg, Ending::Reset, Vec::new(), now),
            End::Stale { sent: true } => return self.settle(id, leg, Ending::Stale, Vec::new(), now),
            End::Stale { sent: false } => return self.settle(id, leg, Ending::Moot, Vec::new(), now),
            End::NotSent => return self.settle(id, leg, Ending::ConnectFailed, Vec::new(), now),
            End::Answer(answer) => answer,
        };
        let never_ran = answer.headers.get("X-Never-Ran") == Some("1");
        match answer.line.status {
            202 => {
                l.taken = true;
                log::debug!("attempt {leg} at {} taken after {:.1} ms", l.name, now - l.sent);
            }
            status => {
                let full = matches!(status, 503 | 504) && never_ran;
                let load = answer.headers.get("Endpoint-Load-Metrics");
                let report = load.map_or(Vec::new(), |text| report_from_text(text, &self.site));
                let ending = match status {
                    _ if full => Ending::Full,
                    // The others of this kind speak of the moment, not of the job.
                    400..=499 if !matches!(status, 408 | 425 | 429) => Ending::Rejected,
                    _ => Ending::Error,
                };
                self.settle(id, leg, ending, report, now);
            }
        }
    }

    /// How a probe ended.
    pub fn probed(&mut self, worker: WorkerId, end: Option<End>) {
        let (ending, report) = match end {
            Some(End::Answer(m)) => {
                let text = std::str::from_utf8(&m.body).unwrap_or("");
                let ending = if m.line.status == 200 { Ending::Ok } else { Ending::Error };
                (ending, report_from_text(text, &self.site))
            }
            Some(End::NotSent) => (Ending::ConnectFailed, Vec::new()),
            Some(End::Broken) => (Ending::Reset, Vec::new()),
            Some(End::Stale { .. }) => (Ending::Stale, Vec::new()),
            None => (Ending::Timeout, Vec::new()),
        };
        self.events.push(Event::Probed { worker, ending, report });
    }

    /// Lets all timers come due that are.
    pub fn due(&mut self, now: Millis) {
        while let Some(due) = self.timers.due(now) {
            match due {
                Due::Module(cookie) => self.events.push(Event::Timer(cookie)),
                Due::Attempt(id, leg) => self.expired(id, leg, now),
                Due::Deadline(id) => self.doubtful.push(id),
            }
        }
    }

    /// When the next timer is due.
    pub fn next_due(&self, now: Millis) -> Option<Millis> {
        self.timers.next().into_iter().chain(self.waiting.next_due(now)).reduce(f64::min)
    }

    /// Whether the module is still owed something.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// How many requests have no answer yet.
    pub fn unanswered(&self) -> usize {
        self.requests.values().filter(|r| !r.answered).count()
    }

    /// Whether a target gets nothing new, by hand or by the module's choice.
    pub fn avoids(&self, target: WorkerId) -> bool {
        self.module.avoids(target)
    }

    /// How many requests are kept in mind.
    #[cfg(test)]
    pub fn open(&self) -> usize {
        self.requests.len()
    }

    /// Hands the module all that was gathered and turns what it wants into deeds.
    pub fn decide(&mut self, group: &TargetGroup, now: Millis) -> Vec<Deed> {
        self.tell_module(group, now);
        // After those at the door: what has waited gets the room that they leave.
        if self.let_go(now) {
            self.tell_module(group, now);
        }
        for id in std::mem::take(&mut self.doubtful) {
            self.look_at(id, now);
        }
        std::mem::take(&mut self.deeds)
    }

    fn tell_module(&mut self, group: &TargetGroup, now: Millis) {
        let mut actions = Vec::new();
        self.module.handle_all(self.events.drain(..), micros(now), &mut actions);
        for action in actions {
            self.act(action, group, now);
        }
    }

    /// Carries out what the waiting room wants; says whether the module is to hear of any job.
    fn let_go(&mut self, now: Millis) -> bool {
        let Dispatch { waiting, module, .. } = self;
        let mut some = false;
        for verdict in waiting.release(|| module.vacancy(), now) {
            match verdict {
                Verdict::Release(id) => {
                    let id = JobId(id.0);
                    let Some(r) = self.requests.get_mut(&id).filter(|r| !r.answered) else { continue };
                    r.held = false;
                    self.events.push(Event::Arrived(r.told(id)));
                    some = true;
                }
                Verdict::Fail(id) => self.answer(JobId(id.0), Answer::Failed(Failure::Dependency), now),
                Verdict::Refuse { id, retry_after } => {
                    let retry_after = self.advice(retry_after);
                    self.answer(JobId(id.0), Answer::Refused { retry_after }, now);
                }
            }
        }
        some
    }

    fn act(&mut self, action: Action, group: &TargetGroup, now: Millis) {
        match action {
            Action::Send { job, worker, within } => self.send(job, worker, within, group, now),
            Action::Withdraw { job, leg } => self.withdraw(job, leg, now),
            Action::Refuse { job, retry_after } => {
                let unsent = |r: &&mut Request| !r.answered && r.legs.is_empty();
                if let Some(r) = self.requests.get_mut(&job).filter(unsent) {
                    r.held = self.waiting.turned_away(job, now);
                    if r.held {
                        return;
                    }
                    self.waiting.crowded(now);
                }
                self.answer(job, Answer::Refused { retry_after: retry_after as f64 / 1e3 }, now);
            }
            Action::Fail { job } => {
                let why = match self.requests.get(&job) {
                    Some(r) if r.expires <= now => Failure::Expired,
                    Some(r) if r.rejected => Failure::Rejected,
                    _ => Failure::Forward,
                };
                self.answer(job, Answer::Failed(why), now);
            }
            Action::Wake { after, cookie } => {
                self.timers.set(now + after as f64 / 1e3, Due::Module(cookie));
            }
            Action::Probe { worker } => self.deeds.push(Deed::Probe(worker)),
            Action::Subscribe => self.deeds.push(Deed::Watch),
            Action::Disconnect { worker } => self.deeds.push(Deed::Disconnect(worker)),
        }
    }

    /// A request's one final answer; what comes after it is ignored.
    fn answer(&mut self, id: JobId, answer: Answer, now: Millis) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.answered) else { return };
        r.answered = true;
        if !matches!(answer, Answer::Served(_)) {
            let intake::Job { class, customer, slots, .. } = &r.job;
            log::debug!("{} of class {class}, customer {customer}, {slots} slots: {answer:?}", r.trace);
        }
        let (how, trace) = (answer.kind(), r.trace.clone());
        self.figures.ended(r.job.class, r.job.customer, how);
        self.deeds.push(Deed::Answer(r.client, answer));
        self.doubtful.push(id);
        self.has_ended(trace, how.into(), now);
    }

    fn send(&mut self, id: JobId, target: WorkerId, within: Micros, group: &TargetGroup, now: Millis) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let listed = group.get(target);
        let name = listed.map_or_else(|| "".into(), |t| t.name.clone());
        let leg = r.legs.len() as u8;
        r.legs.push(Leg { target, name, sent: now, taken: false, out: true, ran: true });
        let until = if within == 0 { r.expires } else { r.expires.min(now + within as f64 / 1e3) };
        let twice = r.legs.iter().filter(|l| l.out && l.target == target).count() > 1;
        // What came before in the same batch may have ended the request.
        if r.answered || twice {
            return self.settle(id, leg, Ending::Moot, Vec::new(), now);
        }
        // A target can go, by the list, between two events of one batch.
        if listed.is_none() {
            return self.settle(id, leg, Ending::ConnectFailed, Vec::new(), now);
        }
        let request = r.job.payload.request(until - now);
        self.timers.set(until, Due::Attempt(id, leg));
        self.deeds.push(Deed::Forward { job: id, leg, target, request });
    }

    fn withdraw(&mut self, id: JobId, leg: u8, now: Millis) {
        if self.give_up(id, leg) {
            self.settle(id, leg, Ending::Cancelled, Vec::new(), now);
        }
    }

    /// An attempt's time is over.
    fn expired(&mut self, id: JobId, leg: u8, now: Millis) {
        if self.give_up(id, leg) {
            self.settle(id, leg, Ending::Timeout, Vec::new(), now);
        }
    }

    /// Lets go of an attempt, if it is out; says if it was.
    fn give_up(&mut self, id: JobId, leg: u8) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        let Some(l) = r.legs.get(usize::from(leg)).filter(|l| l.out) else { return false };
        if !l.taken {
            self.deeds.push(Deed::Abandon(id, leg));
        } else if self.site.settings.cancel {
            self.deeds.push(Deed::Withdraw { target: l.target, trace: r.trace.clone() });
        }
        true
    }

    /// Every attempt ends once.
    fn settle(&mut self, job: JobId, leg: u8, ending: Ending, report: Vec<f64>, now: Millis) {
        let Some(r) = self.requests.get_mut(&job) else { return };
        r.rejected = ending == Ending::Rejected;
        let (done, legs) = (r.answered, &mut r.legs);
        let Some(l) = legs.get_mut(usize::from(leg)) else { return };
        if holds(Invariant::SettledOnce, l.out) {
            l.out = false;
            l.ran = self.site.settings.may_have_run(ending);
            let latency = micros(now - l.sent);
            if ending != Ending::Ok {
                let (name, ms) = (&l.name, now - l.sent);
                log::debug!("{} attempt {leg} at {name} after {ms:.0} ms: {ending:?}", r.trace);
            }
            self.events.push(Event::Settled(Outcome { job, leg, ending, latency, done, report }));
            self.doubtful.push(job);
        }
    }

    /// A request that is answered and has no attempt out is over; one that has outlived its deadline fails.
    fn look_at(&mut self, id: JobId, now: Millis) {
        let Some(r) = self.requests.get(&id) else { return };
        if !r.answered && now >= r.expires + OVERDUE {
            // Guards against: a client that waits for ever, should the module ever forget its job.
            holds(Invariant::AnsweredInTime, false);
            self.events.push(Event::ClientGone(id));
            self.answer(id, Answer::Failed(Failure::Expired), now);
        }
        let Some(r) = self.requests.get(&id) else { return };
        // The module may have ideas of its own about a job until it has had all that is gathered.
        if r.answered && r.legs.iter().all(|l| !l.out) {
            if self.events.is_empty() {
                if let Some(r) = self.forget(id) {
                    self.deeds.push(Deed::Over(r.trace));
                }
            } else {
                self.doubtful.push(id);
            }
        }
    }
}
