//! Between the network and the decision module: what has happened goes in as one batch of events, the actions
//! that come back go out as commands for the event loop. Ids, attempts and timers are kept here; there are no
//! sockets, and no decisions.

mod answers;
mod arrivals;
mod attempts;

use crate::answer::{Answer, Failure};
use crate::clock::{Millis, Timers};
use crate::connection_id::ConnectionId;
use crate::deferral::{DeferralError, DeferredJobs};
use crate::endpoint_list::EndpointList;
use crate::intake::{self, Job};
use crate::invariant::{holds, Invariant};
use crate::job_status::{report_from_text, JobStatusUpdate, State};
use crate::metrics::Metrics;
use crate::upgrade_protocol::{MigratedAttempt, MigratedDeferral, MigratedJob};
use crate::upstream::End;
use postusher_decision::{
    Action, AttemptContext, AttemptId, AttemptOutcome, AttemptResult, Dispatcher, Endpoint, Event, JobId,
    LearnedState, ListUpdate, Micros, PriorAttempt, WorkerId,
};
use postusher_deferred_jobs::{Decision, JobEndStatus, Limits};
use postusher_settings::{micros_from_millis, SiteSettings};
use std::collections::HashMap;
use std::rc::Rc;

/// A request that is still unanswered so long after its deadline was forgotten by the module.
const OVERDUE: Millis = 20.0;

/// What the event loop is to do.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Give a client its answer.
    Answer(ConnectionId, Answer),
    /// Make an attempt at a worker; [`Dispatch::request`] has what it is sent once its connection is up.
    StartAttempt { job: JobId, attempt: AttemptId, worker: WorkerId },
    /// Give up an attempt that no worker has taken yet.
    AbandonAttempt(JobId, AttemptId),
    /// Tell a worker that a job it has taken is given up.
    CancelAttempt { worker: WorkerId, trace_id: Rc<str> },
    /// Look at a worker's load.
    CheckHealth(WorkerId),
    /// A job has ended so; told only where jobs wait for others.
    PublishJobEnd(Rc<str>, JobEndStatus),
    /// A client's id may come again.
    ReleaseJobId(Rc<str>),
    /// Keep a watch on the list.
    WatchEndpoints,
    /// Close the idle connections to a worker.
    CloseIdleConnections(WorkerId),
}

struct Request {
    client: ConnectionId,
    trace_id: Rc<str>,
    job: Job,
    deadline: Millis,
    answered: bool,
    /// It is in the waiting room, and the module has not heard of it.
    held: bool,
    /// The last attempt that ended was turned away as nothing that can be run.
    rejected: bool,
    attempts: Vec<Attempt>,
}

impl Request {
    /// What the module is told of it.
    fn told(&self, id: JobId) -> postusher_decision::Job {
        let (job, deadline) = (&self.job, micros_from_millis(self.deadline));
        let intake::Job { class, size_hint, slots, key, customer, .. } = *job;
        postusher_decision::Job { id, class, deadline, size_hint, slots, key, customer }
    }
}

struct Attempt {
    worker: WorkerId,
    name: Rc<str>,
    sent: Millis,
    /// When it is given up.
    until: Millis,
    /// The worker has said that it has the job.
    taken: bool,
    out: bool,
    /// It may have run.
    ran: bool,
}

enum Due {
    Module(u64),
    Attempt(JobId, AttemptId),
    Deadline(JobId),
}

/// Why a job is not taken.
#[derive(Debug, PartialEq)]
pub enum JobNotAccepted {
    /// Another job under way has its id.
    DuplicateId,
    /// It has had its final answer.
    Answered(Answer),
}

/// The module with all that it is told and all that it wants.
pub struct Dispatch {
    module: Dispatcher,
    waiting: DeferredJobs,
    site: Rc<SiteSettings>,
    events: Vec<Event>,
    commands: Vec<Command>,
    timers: Timers<Due>,
    requests: HashMap<JobId, Request>,
    by_trace_id: HashMap<Rc<str>, JobId>,
    /// Requests that may be over, or late, looked at once the module has had its say.
    doubtful: Vec<JobId>,
    last_id: u32,
    /// By when jobs must have their answers, whatever their clients' patience: the scheduler ends.
    ends: Millis,
    /// What happened so far.
    pub metrics: Metrics,
}

impl Dispatch {
    /// A module that knows nothing yet.
    pub fn new(site: Rc<SiteSettings>, seed: u64, now: Millis) -> Self {
        let metrics = Metrics::new(&site.classes, &site.customers);
        Dispatch {
            module: Dispatcher::new(site.settings.clone(), seed, micros_from_millis(now))
                .with_unconfirmed_list(),
            waiting: DeferredJobs::default(),
            site,
            events: Vec::new(),
            commands: Vec::new(),
            timers: Timers::new(),
            requests: HashMap::new(),
            by_trace_id: HashMap::new(),
            doubtful: Vec::new(),
            last_id: 0,
            ends: f64::INFINITY,
            metrics,
        }
    }

    /// Lets jobs wait, within these bounds.
    pub fn with_deferral(self, limits: Option<Limits>) -> Self {
        Dispatch { waiting: DeferredJobs::new(limits), ..self }
    }

    /// The waiting room.
    pub fn deferred_jobs(&self) -> &DeferredJobs {
        &self.waiting
    }

    /// Other bounds for the waiting room, if there is one.
    pub fn set_deferral_limits(&mut self, limits: Limits) {
        self.waiting.set(limits);
    }

    /// A job has come to the other process of an upgrade; jobs here may wait for it.
    pub fn job_started_elsewhere(&mut self, trace_id: &str) {
        self.waiting.opened(trace_id);
    }

    /// And has ended there so.
    pub fn job_ended_elsewhere(&mut self, trace_id: &str, how: JobEndStatus, now: Millis) {
        self.waiting.ended(trace_id, how, now);
    }

    /// The scheduler ends: what is held is refused at once.
    pub fn close_deferral(&mut self) {
        self.waiting.close();
    }

    /// An update of the endpoint list.
    pub fn endpoint_list(&mut self, update: ListUpdate, endpoints: Vec<Endpoint>) {
        self.events.push(Event::EndpointList { update, endpoints });
    }

    /// Whether jobs may go by the list held.
    pub fn is_list_current(&self, now: Millis) -> bool {
        self.module.is_list_current(micros_from_millis(now))
    }

    /// The list is kept elsewhere from now on.
    pub fn discovery_moved(&mut self) {
        self.events.push(Event::DiscoveryMoved);
    }

    /// An operator has taken a worker out.
    pub fn worker_disabled(&mut self, worker: WorkerId) {
        self.events.push(Event::WorkerDisabled(worker));
    }

    /// An operator has taken a worker back.
    pub fn worker_enabled(&mut self, worker: WorkerId) {
        self.events.push(Event::WorkerEnabled(worker));
    }

    /// The scheduler ends: jobs that come from now on must have their answers by then. Guards against: a job
    /// taken on the way out that the end of the process leaves without an answer.
    pub fn set_shutdown_deadline(&mut self, at: Millis) {
        self.ends = at;
    }

    /// Jobs of each customer that were sent over its share.
    pub fn over_quota(&self) -> Vec<u64> {
        self.module.over_quota().collect()
    }

    /// What the module has learned.
    pub fn learned_state(&self) -> LearnedState {
        self.module.learned_state()
    }

    /// What another process's module has learned.
    pub fn learned(&mut self, memory: LearnedState) {
        self.events.push(Event::Learned(memory));
    }

    /// Whether a job under this id is under way.
    pub fn has_job(&self, trace: &str) -> bool {
        self.by_trace_id.contains_key(trace)
    }

    /// The client's id for a job.
    pub fn trace_id(&self, id: JobId) -> Option<Rc<str>> {
        self.requests.get(&id).map(|r| r.trace_id.clone())
    }

    /// The ids of the jobs under way.
    pub fn open_trace_ids(&self) -> impl Iterator<Item = &str> + '_ {
        self.by_trace_id.keys().map(|trace| &**trace)
    }

    /// Lets all timers come due that are.
    pub fn run_timers(&mut self, now: Millis) {
        while let Some(due) = self.timers.due(now) {
            match due {
                Due::Module(cookie) => self.events.push(Event::TimerExpired(cookie)),
                Due::Attempt(id, attempt) => self.expired(id, attempt, now),
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
    pub fn unanswered_jobs(&self) -> usize {
        self.requests.values().filter(|r| !r.answered).count()
    }

    /// Whether a worker gets nothing new, by hand or by the module's choice.
    pub fn avoids(&self, worker: WorkerId) -> bool {
        self.module.avoids(worker)
    }

    /// How many requests are kept in mind.
    #[cfg(test)]
    pub fn open_jobs(&self) -> usize {
        self.requests.len()
    }

    /// Hands the module all that was gathered and turns what it wants into commands.
    pub fn decide(&mut self, endpoints: &EndpointList, now: Millis) -> Vec<Command> {
        self.tell_module(endpoints, now);
        // After those at the door: what has waited gets the room that they leave.
        if self.let_go(now) {
            self.tell_module(endpoints, now);
        }
        for id in std::mem::take(&mut self.doubtful) {
            self.look_at(id, now);
        }
        std::mem::take(&mut self.commands)
    }

    fn tell_module(&mut self, endpoints: &EndpointList, now: Millis) {
        let mut actions = Vec::new();
        self.module.handle_all(self.events.drain(..), micros_from_millis(now), &mut actions);
        for action in actions {
            self.act(action, endpoints, now);
        }
    }
}
