//! Scheduling of the requests of one pool: its dispatcher, its rotation (the workers that receive requests
//! without a session) and the state of its workers.

use super::service::{Command, IncomingRequest, RequestId, RequestState, ServiceError};
use crate::clock::{millis_from_micros, Millis};
use crate::job_timers::JobTimers;
use open_request::{Attempt, OpenRequest};
use postusher_decision::{
    Action, AttemptId, AttemptOutcome, AttemptResult, Dispatcher, Endpoint, EndpointState, Event, Job, JobId,
    ListUpdate, WorkerId,
};
use postusher_direct::{Listing, Proposal, StickySessions};
use postusher_settings::micros_from_millis;
use postusher_setup::{Pool, State};
use serde_json::{json, Map, Value};
use settings::{allows_retry, dispatcher_settings, IDEMPOTENT_CLASS, NOT_IDEMPOTENT_CLASS};
use std::collections::HashMap;
use std::net::SocketAddr;
use worker::{Counters, Worker};

mod open_request;
mod settings;
mod worker;

pub(super) use worker::resolve;

/// Default maximum number of concurrent requests per worker.
const DEFAULT_MAX_IN_FLIGHT: usize = 100;
/// Retry-After advice if the worker of a session accepts no requests.
const SESSION_RETRY_AFTER: Millis = 1_000.0;

/// Scheduler of one pool.
pub(super) struct PoolScheduler {
    /// Index of the pool, as in [`RequestId`].
    pool_index: usize,
    setup: Pool,
    dispatcher: Dispatcher,
    sessions: StickySessions,
    workers: Vec<Worker>,
    /// Ids of workers by name, which are kept when the setup is reloaded.
    worker_ids: HashMap<String, WorkerId>,
    open_requests: HashMap<JobId, OpenRequest>,
    events: Vec<Event>,
    timers: JobTimers<u64>,
    /// Requests that may be finished, checked once the dispatcher has handled the events.
    possibly_finished: Vec<JobId>,
}

impl PoolScheduler {
    /// Creates a pool that has not served any request yet. `seed` is the dispatcher's random seed.
    ///
    /// # Errors
    /// The address of a worker cannot be resolved.
    pub(super) fn new(
        pool_index: usize,
        setup: Pool,
        seed: u64,
        now: Millis,
    ) -> Result<PoolScheduler, ServiceError> {
        let addresses = resolve(&setup)?;
        let mut pool = PoolScheduler {
            pool_index,
            dispatcher: Dispatcher::new(dispatcher_settings(&setup), seed, micros_from_millis(now)),
            sessions: StickySessions::new(&setup),
            setup,
            workers: Vec::new(),
            worker_ids: HashMap::new(),
            open_requests: HashMap::new(),
            events: Vec::new(),
            timers: JobTimers::new(),
            possibly_finished: Vec::new(),
        };
        pool.set_workers(addresses, ListUpdate::Cached);
        Ok(pool)
    }

    /// Returns the configuration of the pool.
    pub(super) fn setup(&self) -> &Pool {
        &self.setup
    }

    /// Applies a reloaded configuration of the pool. `addresses` are those of the workers in `setup`, in the
    /// same order. Workers that remain in the pool keep their ids, counters and mean response times.
    pub(super) fn reload(&mut self, setup: Pool, addresses: Vec<SocketAddr>, now: Millis) {
        let old_names: Vec<String> = self.workers.iter().map(|worker| worker.name.clone()).collect();
        self.sessions.reconfigure(&setup, now);
        self.setup = setup;
        self.set_workers(addresses, ListUpdate::Complete);
        // Open requests refer to workers by index.
        let new_index = |name: &String| self.workers.iter().position(|worker| worker.name == *name);
        let new_indexes: Vec<Option<usize>> = old_names.iter().map(new_index).collect();
        let to_new_index = |old_index: usize| new_indexes.get(old_index).copied().flatten();
        for request in self.open_requests.values_mut() {
            request.proposed = request.proposed.and_then(to_new_index);
            for attempt in &mut request.attempts {
                attempt.worker = attempt.worker.and_then(to_new_index);
            }
        }
    }

    /// Creates the configured workers, keeps the state of existing ones and passes all to the dispatcher.
    fn set_workers(&mut self, addresses: Vec<SocketAddr>, update: ListUpdate) {
        let mut old_workers = HashMap::new();
        for worker in std::mem::take(&mut self.workers) {
            old_workers.insert(worker.name.clone(), worker);
        }
        for (setup, address) in self.setup.workers.iter().zip(addresses) {
            let next_id = WorkerId(self.worker_ids.len() as u32 + 1);
            let id = *self.worker_ids.entry(setup.id.clone()).or_insert(next_id);
            let old_worker = old_workers.remove(&setup.id);
            self.workers.push(Worker {
                name: setup.id.clone(),
                id,
                address,
                max_in_flight: setup.max_in_flight.unwrap_or(DEFAULT_MAX_IN_FLIGHT),
                in_flight: old_worker.as_ref().map_or(0, |worker| worker.in_flight),
                counters: old_worker.as_ref().map_or(Counters::default(), |worker| worker.counters),
                mean_response_time: old_worker.and_then(|worker| worker.mean_response_time),
            });
        }
        self.events.push(Event::EndpointList { update, endpoints: self.endpoints() });
        // Workers of a pool receive no health checks; they are reported as healthy, with their free slots.
        for worker in &self.workers {
            let report = vec![worker.free_slots()];
            let result = AttemptResult::Success;
            self.events.push(Event::HealthCheckEnded { worker: worker.id, result, report });
        }
    }

    fn endpoints(&self) -> Vec<Endpoint> {
        let listings = self.sessions.listings();
        let mut endpoints = Vec::with_capacity(self.workers.len());
        for (index, worker) in self.workers.iter().enumerate() {
            let state = match listings.get(index) {
                Some(Listing::Ready) => EndpointState::Ready,
                Some(Listing::Reserved) => EndpointState::Reserved,
                Some(Listing::Removed) | None => EndpointState::Removed,
            };
            // Each worker has its own machine kind, so that one slower than the others is not an outlier.
            let kind = worker.id.0 as u16;
            endpoints.push(Endpoint {
                worker: worker.id,
                state,
                capacity_weight: 1.0,
                started_at: 0,
                cell: kind,
                kind,
                zone: 0,
            });
        }
        endpoints
    }

    /// Passes a changed rotation to the dispatcher, ahead of all other events.
    fn update_rotation(&mut self, now: Millis) {
        if self.sessions.update_rotation(now) {
            let endpoints = self.endpoints();
            self.events.insert(0, Event::EndpointList { update: ListUpdate::Changes, endpoints });
        }
    }

    /// Handles a new request. Rejects it if the pool is strict and no worker can serve its session.
    pub(super) fn request_arrived(
        &mut self,
        job: JobId,
        request: &IncomingRequest,
        now: Millis,
        commands: &mut Vec<Command>,
    ) {
        self.update_rotation(now);
        let placement_override = match self.sessions.propose(request.session_route, now) {
            Proposal::Prefer(index) => Some((index, false)),
            Proposal::Only(index) => Some((index, true)),
            Proposal::Any => None,
            Proposal::Reject => {
                let request = RequestId { pool: self.pool_index, job };
                commands.push(Command::Reject { request, retry_after: SESSION_RETRY_AFTER });
                return;
            }
        };
        let mut proposed = None;
        if let Some((index, required)) = placement_override {
            if request.session_route.is_none() {
                proposed = Some(index);
            }
            let worker = self.workers[index].id;
            self.events.push(Event::PlacementOverride { job, worker, required });
        }
        self.open_requests.insert(job, OpenRequest::new(proposed));
        let is_retriable = allows_retry(self.setup.retry_policy, request.method) && request.is_replayable;
        self.events.push(Event::JobArrived(Job {
            id: job,
            class: if is_retriable { IDEMPOTENT_CLASS } else { NOT_IDEMPOTENT_CLASS },
            deadline: micros_from_millis(now + self.setup.timeout),
            size_hint: None,
            slots: 1,
            key: 0,
            customer: 0,
        }));
    }

    /// Records that an answer has begun and is being passed to the client.
    pub(super) fn answer_streaming(&mut self, job: JobId, attempt: AttemptId) {
        self.events.push(Event::AnswerStreaming { job, attempt });
    }

    /// Handles the end of an attempt. Has no effect if the attempt has already ended.
    pub(super) fn attempt_ended(
        &mut self,
        job: JobId,
        attempt_id: AttemptId,
        result: AttemptResult,
        state: RequestState,
        now: Millis,
    ) {
        let Some(request) = self.open_requests.get_mut(&job) else { return };
        let Some(attempt) = request.attempts.get_mut(attempt_id.index()) else { return };
        if !attempt.is_pending {
            return;
        }
        attempt.is_pending = false;
        request.is_answered |= state == RequestState::Answered;
        let job_answered = request.is_answered;
        self.possibly_finished.push(job);
        let duration = now - attempt.sent_at;
        let worker_index = attempt.worker;
        let mut latency = micros_from_millis(duration);
        let mut report = Vec::new();
        if let Some(worker_index) = worker_index {
            let relative_time = self.record_end(worker_index, result, duration, now);
            latency = micros_from_millis(relative_time);
            report.push(self.workers[worker_index].free_slots());
        }
        self.update_rotation(now);
        self.events.push(Event::AttemptEnded(AttemptOutcome {
            job,
            attempt: attempt_id,
            result,
            latency,
            job_answered,
            report,
        }));
    }

    /// Records the end of an attempt for its worker. Returns the time to report to the dispatcher.
    fn record_end(&mut self, index: usize, result: AttemptResult, duration: Millis, now: Millis) -> Millis {
        let worker = &mut self.workers[index];
        worker.in_flight = worker.in_flight.saturating_sub(1);
        let has_answer = matches!(result, AttemptResult::Success | AttemptResult::Error);
        let relative_time = worker.relative_time(duration, has_answer);
        match result {
            AttemptResult::Success | AttemptResult::Error => {
                worker.counters.answered += 1;
                self.sessions.record_response(index);
            }
            AttemptResult::ConnectFailed | AttemptResult::Reset | AttemptResult::TimedOut => {
                worker.counters.failed += 1;
                self.sessions.record_failure(index, now);
            }
            _ => {}
        }
        relative_time
    }

    /// Handles the disconnection of a request's client.
    pub(super) fn client_disconnected(&mut self, job: JobId) {
        if self.mark_answered(job).is_some() {
            self.events.push(Event::ClientDisconnected(job));
        }
    }

    /// Marks a request as answered. Returns it if it was not answered before.
    fn mark_answered(&mut self, job: JobId) -> Option<&mut OpenRequest> {
        let request = self.open_requests.get_mut(&job).filter(|request| !request.is_answered)?;
        request.is_answered = true;
        self.possibly_finished.push(job);
        Some(request)
    }

    /// Fires due timers, lets the dispatcher handle all events and appends its commands to `commands`.
    pub(super) fn decide(&mut self, now: Millis, commands: &mut Vec<Command>) {
        while let Some(timer) = self.timers.pop_expired(now) {
            self.events.push(Event::TimerExpired(timer));
        }
        self.update_rotation(now);
        let mut actions = Vec::new();
        self.dispatcher.handle_all(self.events.drain(..), micros_from_millis(now), &mut actions);
        for action in actions {
            self.run_action(action, now, commands);
        }
        self.remove_finished_requests();
    }

    fn run_action(&mut self, action: Action, now: Millis, commands: &mut Vec<Command>) {
        let pool = self.pool_index;
        match action {
            Action::StartAttempt { job, worker, .. } => self.start_attempt(job, worker, now, commands),
            Action::CancelAttempt { job, attempt } => {
                commands.push(Command::CancelAttempt { request: RequestId { pool, job }, attempt });
            }
            Action::Reject { job, retry_after } => {
                let Some(request) = self.mark_answered(job) else { return };
                if let Some(proposed) = request.proposed.take() {
                    self.sessions.withdraw_proposal(proposed);
                }
                let retry_after = retry_after as f64 / 1e3;
                commands.push(Command::Reject { request: RequestId { pool, job }, retry_after });
            }
            Action::Fail { job } => {
                if self.mark_answered(job).is_some() {
                    commands.push(Command::Fail { request: RequestId { pool, job } });
                }
            }
            Action::SetTimer { after, timer, job } => {
                self.timers.set_for_job(now + millis_from_micros(after), timer, job);
            }
            Action::CancelTimers { job } => self.timers.cancel_of_job(job),
            // Workers of a pool receive no health checks, their endpoint list comes from the setup, and the
            // event loop closes idle connections when their keep-alive time has passed.
            Action::CheckHealth { .. } | Action::WatchEndpoints | Action::CloseIdleConnections { .. } => {}
        }
    }

    fn start_attempt(&mut self, job: JobId, worker: WorkerId, now: Millis, commands: &mut Vec<Command>) {
        let Some(index) = self.workers.iter().position(|candidate| candidate.id == worker) else { return };
        let Some(request) = self.open_requests.get_mut(&job) else { return };
        let attempt = AttemptId(request.attempts.len() as u8);
        request.attempts.push(Attempt { worker: Some(index), sent_at: now, is_pending: true });
        if let Some(proposed) = request.proposed.take() {
            if attempt == AttemptId(0) {
                self.sessions.record_sent(proposed, index);
            }
        }
        let chosen = &mut self.workers[index];
        chosen.in_flight += 1;
        chosen.counters.sent += 1;
        commands.push(Command::StartAttempt {
            request: RequestId { pool: self.pool_index, job },
            attempt,
            worker,
            address: chosen.address,
        });
    }

    /// Removes requests that are answered and have no pending attempt.
    fn remove_finished_requests(&mut self) {
        for job in std::mem::take(&mut self.possibly_finished) {
            if self.open_requests.get(&job).is_some_and(OpenRequest::is_finished) {
                self.open_requests.remove(&job);
            }
        }
    }

    /// Returns whether the dispatcher has events to handle.
    pub(super) fn has_events(&self) -> bool {
        !self.events.is_empty()
    }

    /// Returns the time at which [`PoolScheduler::decide`] must run next even if there are no events: when a
    /// timer expires or a worker's backoff ends.
    pub(super) fn next_due(&self) -> Option<Millis> {
        let next_expiry = self.timers.next_expiry();
        next_expiry.into_iter().chain(self.sessions.next_retry_at()).reduce(f64::min)
    }

    /// Returns the number of pending timers.
    pub(super) fn timer_count(&self) -> usize {
        self.timers.len()
    }

    /// Returns the metrics of the pool and its workers.
    pub(super) fn stats(&self) -> Value {
        let listings = self.sessions.listings();
        let mut workers = Map::new();
        for (index, worker) in self.workers.iter().enumerate() {
            let state = match self.setup.workers[index].state {
                State::Live => "live",
                State::Draining => "draining",
                State::Stopped => "stopped",
            };
            let stats = json!({
                "state": state,
                "listing": format!("{:?}", listings[index]).to_lowercase(),
                "in_flight": worker.in_flight,
                "sent": worker.counters.sent,
                "answered": worker.counters.answered,
                "failed": worker.counters.failed,
                "avoided": self.dispatcher.is_disabled_or_ejected(worker.id),
            });
            workers.insert(worker.name.clone(), stats);
        }
        json!({"in_flight": self.open_requests.len(), "workers": workers})
    }
}
