//! Layer between the event loop and the decision module. Network events are passed to the decision module in
//! batches, and the actions that it returns become commands for the event loop. This module holds the open
//! jobs, their attempts and timers; it uses no sockets, and leaves all decisions about jobs to the decision
//! module and the deferral queue.

mod answers;
mod arrivals;
mod attempts;
mod open_job;
mod status_updates;

use crate::answer::Answer;
use crate::clock::{earliest, Millis};
use crate::connection_id::ConnectionId;
use crate::deferral::DeferredJobs;
use crate::endpoint_list::EndpointList;
use crate::job_timers::JobTimers;
use crate::log_limit::LogLimit;
use crate::metrics::Metrics;
use open_job::OpenJob;
use postusher_decision::{AttemptId, Dispatcher, Endpoint, Event, JobId, LearnedState, ListUpdate, WorkerId};
use postusher_deferred_jobs::{JobEndStatus, Limits};
use postusher_settings::{micros_from_millis, SiteSettings};
use std::collections::HashMap;
use std::rc::Rc;

/// An operation that the event loop has to perform.
#[derive(Debug, PartialEq)]
pub enum Command {
    /// Send a client its final answer.
    Answer(ConnectionId, Answer),
    /// Start an attempt at a worker; [`Dispatch::begin_attempt`] returns its request once the connection is
    /// established.
    StartAttempt {
        /// The job.
        job: JobId,
        /// The number of the attempt within the job.
        attempt: AttemptId,
        /// The worker.
        worker: WorkerId,
    },
    /// Abandon an attempt that its worker has not acknowledged.
    AbandonAttempt(JobId, AttemptId),
    /// Cancel an attempt that its worker has acknowledged.
    CancelAttempt {
        /// The worker.
        worker: WorkerId,
        /// The job's trace id.
        trace_id: Rc<str>,
        /// The attempt that ends once the worker has answered, if it waits for that; its end is to be passed to
        /// [`Dispatch::cancellation_ended`].
        awaited_by: Option<(JobId, AttemptId)>,
    },
    /// Send a health check to a worker.
    CheckHealth(WorkerId),
    /// Notify the other process of an upgrade that the job with this trace id has ended with this status;
    /// only used if jobs can be deferred.
    PublishJobEnd(Rc<str>, JobEndStatus),
    /// Notify the other process of an upgrade that the job with this trace id is no longer open, so that a
    /// new job may have the same trace id.
    ReleaseJobId(Rc<str>),
    /// Watch the endpoint list.
    WatchEndpoints,
    /// Close the idle connections to a worker.
    CloseIdleConnections(WorkerId),
}

/// Reason why a job is not accepted.
#[derive(Debug, PartialEq)]
pub enum JobNotAccepted {
    /// Another open job has the same trace id.
    DuplicateId,
    /// The job gets this final answer at once.
    Answered(Answer),
}

/// A timer of the dispatch layer.
enum Timer {
    /// A timer of the decision module, with the value that is returned to it on expiry.
    Decision(u64),
    /// The deadline of an attempt.
    AttemptDeadline(JobId, AttemptId),
    /// The time at which a job without a final answer is overdue.
    AnswerDue(JobId),
}

/// The decision module with its pending input and output, and the open jobs.
pub struct Dispatch {
    dispatcher: Dispatcher,
    deferred: DeferredJobs,
    site: Rc<SiteSettings>,
    /// Events that have not been passed to the decision module yet.
    events: Vec<Event>,
    /// Commands that have not been passed to the event loop yet.
    commands: Vec<Command>,
    timers: JobTimers<Timer>,
    jobs: HashMap<JobId, OpenJob>,
    /// Memory that the requests of the open jobs take, in bytes.
    request_bytes: usize,
    /// Ids of the open jobs by trace id.
    by_trace_id: HashMap<Rc<str>, JobId>,
    /// Jobs that may be over or whose answer may be overdue; they are reviewed after the decision module has
    /// processed all events.
    to_review: Vec<JobId>,
    /// Number of the job id that was assigned last.
    last_id: u32,
    /// Upper limit of the deadlines of new jobs; infinite before the shutdown.
    shutdown_deadline: Millis,
    invalid_report_log_limit: LogLimit,
    /// The metrics of this scheduler.
    pub metrics: Metrics,
}

impl Dispatch {
    /// Creates a dispatch layer without jobs, endpoints or learned state.
    pub fn new(site: Rc<SiteSettings>, seed: u64, now: Millis) -> Self {
        let metrics = Metrics::new(&site.classes, &site.customers);
        let dispatcher = Dispatcher::new(site.settings.clone(), seed, micros_from_millis(now));
        Dispatch {
            dispatcher: dispatcher.with_unconfirmed_list(),
            deferred: DeferredJobs::default(),
            site,
            events: Vec::new(),
            commands: Vec::new(),
            timers: JobTimers::new(),
            jobs: HashMap::new(),
            request_bytes: 0,
            by_trace_id: HashMap::new(),
            to_review: Vec::new(),
            last_id: 0,
            shutdown_deadline: f64::INFINITY,
            invalid_report_log_limit: LogLimit::new(),
            metrics,
        }
    }

    /// Enables deferred jobs within these limits; with `None`, no job is deferred.
    pub fn with_deferral(mut self, limits: Option<Limits>) -> Self {
        self.deferred = DeferredJobs::new(limits);
        self
    }

    /// Returns the deferred jobs.
    pub fn deferred_jobs(&self) -> &DeferredJobs {
        &self.deferred
    }

    /// Changes the limits of deferred jobs; no effect if jobs cannot be deferred.
    pub fn set_deferral_limits(&mut self, limits: Limits) {
        self.deferred.set_limits(limits);
    }

    /// Records that the other process of an upgrade has accepted a job, on which deferred jobs may depend.
    pub fn job_started_elsewhere(&mut self, trace_id: &str) {
        self.deferred.record_start(trace_id);
    }

    /// Records that a job of the other process of an upgrade has ended.
    pub fn job_ended_elsewhere(&mut self, trace_id: &str, status: JobEndStatus, now: Millis) {
        self.deferred.record_end(trace_id, status, now);
    }

    /// Rejects all deferred jobs because the scheduler shuts down.
    pub fn close_deferral(&mut self) {
        self.deferred.close();
    }

    /// Passes an update of the endpoint list to the decision module.
    pub fn endpoint_list_updated(&mut self, update: ListUpdate, endpoints: Vec<Endpoint>) {
        self.events.push(Event::EndpointList { update, endpoints });
    }

    /// Returns whether the endpoint list is recent enough for jobs to be sent by it. Updates that have not been
    /// passed to the decision module yet count: a job that arrives now is decided after them.
    pub fn is_list_current(&self, now: Millis) -> bool {
        let updates = self.events.iter().filter_map(|event| match event {
            Event::EndpointList { update, .. } => Some(*update),
            _ => None,
        });
        self.dispatcher.is_list_current_after(updates, micros_from_millis(now))
    }

    /// Passes a change of the address of discovery to the decision module.
    pub fn discovery_moved(&mut self) {
        self.events.push(Event::DiscoveryMoved);
    }

    /// Informs the decision module that an operator has disabled a worker.
    pub fn worker_disabled(&mut self, worker: WorkerId) {
        self.events.push(Event::WorkerDisabled(worker));
    }

    /// Informs the decision module that an operator has enabled a worker.
    pub fn worker_enabled(&mut self, worker: WorkerId) {
        self.events.push(Event::WorkerEnabled(worker));
    }

    /// Limits the deadlines of jobs that arrive after this call to `at`, the end of the shutdown.
    pub fn set_shutdown_deadline(&mut self, at: Millis) {
        self.shutdown_deadline = at;
    }

    /// Returns, by customer number, the number of jobs that were sent over the quota and whose debt was
    /// written off.
    pub fn over_quota(&self) -> Vec<u64> {
        self.dispatcher.forgiven_quota_debt().collect()
    }

    /// Returns the learned state of the decision module.
    pub fn learned_state(&self) -> LearnedState {
        self.dispatcher.learned_state()
    }

    /// Passes the learned state of another process to the decision module.
    pub fn learned_state_received(&mut self, state: LearnedState) {
        self.events.push(Event::LearnedStateReceived(state));
    }

    /// Returns whether there is an open job with this trace id.
    pub fn has_job(&self, trace_id: &str) -> bool {
        self.by_trace_id.contains_key(trace_id)
    }

    /// Returns the trace id of an open job; `None` if there is no such job.
    pub fn trace_id(&self, id: JobId) -> Option<Rc<str>> {
        self.jobs.get(&id).map(|job| job.trace_id.clone())
    }

    /// Returns the trace ids of the open jobs.
    pub fn open_trace_ids(&self) -> impl Iterator<Item = &str> + '_ {
        self.by_trace_id.keys().map(|trace_id| &**trace_id)
    }

    /// Handles all timers that have expired.
    pub fn run_timers(&mut self, now: Millis) {
        while let Some(timer) = self.timers.pop_expired(now) {
            match timer {
                Timer::Decision(timer) => self.events.push(Event::TimerExpired(timer)),
                Timer::AttemptDeadline(job, attempt) => self.attempt_timed_out(job, attempt, now),
                Timer::AnswerDue(job) => self.to_review.push(job),
            }
        }
    }

    /// Returns the time at which the next timer expires.
    pub fn next_timer(&self, now: Millis) -> Option<Millis> {
        earliest([self.timers.next_expiry(), self.deferred.next_timer(now)])
    }

    /// Returns the number of pending timers of this layer, its jobs and the decision module.
    pub fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// Returns whether there are events that have not been passed to the decision module yet.
    pub fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Returns the number of open jobs without a final answer.
    pub fn unanswered_jobs(&self) -> usize {
        self.jobs.values().filter(|job| !job.is_answered()).count()
    }

    /// Returns the memory that the requests of the open jobs take, in bytes.
    pub fn request_bytes(&self) -> usize {
        self.request_bytes
    }

    /// Returns whether a worker gets no new jobs because an operator has disabled it or the decision module
    /// has ejected it.
    pub fn is_excluded(&self, worker: WorkerId) -> bool {
        self.dispatcher.is_disabled_or_ejected(worker)
    }

    /// Returns the number of open jobs.
    #[cfg(test)]
    pub fn open_job_count(&self) -> usize {
        self.jobs.len()
    }

    /// Passes all queued events to the decision module and returns the resulting commands for the event loop.
    pub fn decide(&mut self, endpoints: &EndpointList, now: Millis) -> Vec<Command> {
        self.run_dispatcher(endpoints, now);
        // Deferred jobs are released after the new arrivals have been placed, into the remaining capacity.
        if self.release_deferred_jobs(now) > 0 {
            self.run_dispatcher(endpoints, now);
        }
        for id in std::mem::take(&mut self.to_review) {
            self.review(id, now);
        }
        std::mem::take(&mut self.commands)
    }

    /// Passes the queued events to the decision module and carries out its actions.
    fn run_dispatcher(&mut self, endpoints: &EndpointList, now: Millis) {
        let mut actions = Vec::new();
        self.dispatcher.handle_all(self.events.drain(..), micros_from_millis(now), &mut actions);
        for action in actions {
            self.carry_out(action, endpoints, now);
        }
    }
}
