//! Model-based test of jobs in [`Dispatch`]: each job gets one final answer, and its attempts end as their
//! workers report.

use super::config_with_fixed_seed;
use super::job_inputs::{complete_list, done_update, sending_failure, status, worker_answer};
use crate::clock::Millis;
use crate::config::tests::config;
use crate::connection_id::ConnectionId;
use crate::dispatch::Dispatch;
use crate::endpoint_list::EndpointList;
use crate::intake::tests::job_of;
use crate::job_status::{JobStatus, JobStatusUpdate};
use crate::upgrade_protocol::MigratedJob;
use crate::upstream::TaskOutcome;
use postusher_decision::{AttemptId, JobId, ListUpdate, WorkerId};
use postusher_settings::{micros_from_millis, SiteSettings};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::rc::Rc;

mod commands;

/// Drain grace of the test configuration.
const DRAIN_GRACE: Millis = 500.0;
/// Time from a job's arrival to its deadline.
const JOB_WAIT: Millis = 5_000.0;
/// Time after the deadline from which the only possible answer is that the deadline was exceeded.
const ANSWER_SLACK: Millis = 1_000.0;
/// Time at which a model starts.
const START: Millis = 1e6;
/// Number of workers on the initial endpoint list.
const WORKER_COUNT: u32 = 4;
/// Worker that never gets an attempt.
const UNUSED_WORKER: &str = "s-other";

proptest! {
    #![proptest_config(config_with_fixed_seed(256))]

    /// For any order of events: each job has one final answer, and none after its client has disconnected; an
    /// answer more than [`ANSWER_SLACK`] after the deadline says that the deadline was exceeded; attempts
    /// start only at listed workers; an attempt is abandoned before its worker has acknowledged it and
    /// cancelled afterwards; and no job remains open.
    #[test]
    fn every_job_gets_one_final_answer(
        steps in prop::collection::vec((0u8..13, any::<u8>(), 0u16..700), 1..160)
    ) {
        Model::new(true).run(&steps);
    }

    /// The same where the settings allow no hedged requests; a job then never has two attempts at once, even if
    /// an update that its worker sent about an earlier attempt arrives during a later one.
    #[test]
    fn no_job_has_two_attempts_without_hedging(
        steps in prop::collection::vec((0u8..13, any::<u8>(), 0u16..700), 1..160)
    ) {
        Model::new(false).run(&steps);
    }
}

/// A worker has accepted an attempt, but its acknowledgement was lost because the connection broke. The
/// client must still receive the worker's result.
#[test]
fn result_of_unacknowledged_attempt_is_delivered() {
    let mut model = Model::new(true);
    model.step(0, 1, 0.0);
    model.decide();
    let (&(id, attempt_id), attempt) = model.attempts.iter().next().unwrap();
    let worker = attempt.worker_name.clone();
    model.end_sending(id, attempt_id, TaskOutcome::Broken);
    model.decide();
    model.dispatch.job_status(done_update("t0", UNUSED_WORKER), model.now);
    model.decide();
    assert!(!model.jobs[&0].is_finished);
    model.dispatch.job_status(done_update("t0", &worker), model.now);
    model.decide();
    assert!(model.jobs[&0].is_finished);
}

/// The model's state of a job.
struct ModelJob {
    client: ConnectionId,
    deadline: Millis,
    /// The job has its final answer, or its client has disconnected.
    is_finished: bool,
}

/// The model's state of an attempt.
#[derive(Clone)]
struct ModelAttempt {
    worker: WorkerId,
    worker_name: String,
    is_accepted: bool,
    is_pending: bool,
    /// The connection is established and the request has been written.
    is_written: bool,
    /// The attempt ended with its connection, and the worker may run it nevertheless.
    hit_stale_connection: bool,
}

/// [`Dispatch`] and its expected state.
struct Model {
    site: Rc<SiteSettings>,
    dispatch: Dispatch,
    endpoints: EndpointList,
    now: Millis,
    /// All jobs, by the number in the trace id.
    jobs: BTreeMap<u64, ModelJob>,
    /// Number in the trace id of each job of `dispatch`.
    job_numbers: BTreeMap<JobId, u64>,
    /// The attempt for which an outcome or a job status update was reported last.
    last_reported: Option<(JobId, AttemptId)>,
    attempts: BTreeMap<(JobId, AttemptId), ModelAttempt>,
    /// Attempts that end once their cancellation is answered.
    awaited_cancellations: Vec<(JobId, AttemptId)>,
    /// Time at which discovery began an answer that has not been applied yet.
    answer_started_at: Option<Millis>,
}

impl Model {
    fn new(hedging_allowed: bool) -> Model {
        let mut site = config().site;
        site.settings.hedging_allowed = hedging_allowed;
        let site = Rc::new(site);
        let mut model = Model {
            site: site.clone(),
            dispatch: Dispatch::new(site.clone(), 7, START),
            endpoints: EndpointList::new(&site),
            now: START,
            jobs: BTreeMap::new(),
            job_numbers: BTreeMap::new(),
            last_reported: None,
            attempts: BTreeMap::new(),
            awaited_cancellations: Vec::new(),
            answer_started_at: None,
        };
        let endpoints = model.endpoints.apply(complete_list(WORKER_COUNT, "up")).endpoints;
        model.dispatch.endpoint_list_updated(ListUpdate::Cached, endpoints);
        // Discovery confirms the list.
        model.dispatch.endpoint_list_updated(ListUpdate::Changes, Vec::new());
        model.decide();
        model
    }

    /// Performs random operations, and then lets all deadlines pass.
    fn run(mut self, steps: &[(u8, u8, u16)]) {
        for (operation, choice, wait) in steps {
            self.step(*operation, *choice, f64::from(*wait));
        }
        for _ in 0..200 {
            self.wait(200.0);
        }
        assert!(self.jobs.values().all(|job| job.is_finished), "a job has no final answer");
        assert_eq!((self.dispatch.open_job_count(), self.dispatch.unanswered_jobs()), (0, 0));
    }

    /// Performs a random operation, and then usually lets time pass.
    fn step(&mut self, operation: u8, choice: u8, wait: Millis) {
        self.end_cancellations(choice);
        match (operation, self.chosen_attempt(choice)) {
            (0..=3, _) => self.submit_job(choice),
            (4, Some((id, attempt))) => self.end_sending(id, attempt, worker_answer(202, choice)),
            (5, Some((id, attempt))) => self.end_sending(id, attempt, sending_failure(choice)),
            (6..=8, Some((id, attempt))) => self.send_status(id, attempt, status(choice)),
            (9, _) => self.disconnect_client(),
            (10, _) => self.replace_list(choice),
            (11, _) => self.begin_list_answer(),
            (12, _) => self.upgrade(),
            _ => {}
        }
        // Without this wait, the next step is in the same batch of events.
        if !choice.is_multiple_of(5) {
            self.wait(wait);
        }
    }

    /// Returns a pending attempt whose request has been written, selected by `choice`.
    fn chosen_attempt(&self, choice: u8) -> Option<(JobId, AttemptId)> {
        let candidates = self.attempts.iter().filter(|(_, attempt)| attempt.is_pending && attempt.is_written);
        let order =
            |(job, attempt): &(JobId, AttemptId)| (job.0 + u32::from(attempt.0)) % (u32::from(choice) + 1);
        candidates.map(|(key, _)| *key).min_by_key(order)
    }

    /// Submits a job. A second submission with the same trace id must be rejected.
    fn submit_job(&mut self, choice: u8) {
        let number = self.jobs.len() as u64;
        let class = if choice.is_multiple_of(3) { "fund" } else { "render" };
        let request = format!(
            "POST /{class} HTTP/1.1\r\nX-Trace-Id: t{number}\r\nIdempotency-Key: k\r\n\
             X-Expires-In: 5000m\r\n\r\n"
        );
        let client = ConnectionId::test(number);
        let id = self.dispatch.job_arrived(client, job_of(&request).unwrap(), self.now).unwrap();
        self.job_numbers.insert(id, number);
        self.jobs.insert(number, ModelJob { client, deadline: self.now + JOB_WAIT, is_finished: false });
        let duplicate = self.dispatch.job_arrived(client, job_of(&request).unwrap(), self.now);
        assert!(duplicate.is_err(), "duplicate trace id accepted");
    }

    /// Disconnects a client that waits for its answer, preferably that of the attempt that was reported last.
    /// If no time has passed since the report, both events are in the same batch.
    fn disconnect_client(&mut self) {
        let last_job = self.last_reported.map(|(job, _)| job);
        let open = self.job_numbers.iter().filter(|(_, number)| !self.jobs[number].is_finished);
        let chosen = open.max_by_key(|(id, _)| (Some(**id) == last_job, **id));
        if let Some((&id, &number)) = chosen {
            self.jobs.entry(number).and_modify(|job| job.is_finished = true);
            self.dispatch.client_disconnected(id, self.now);
        }
    }

    /// Applies a complete list of one to five workers, the last of which may be draining.
    fn replace_list(&mut self, choice: u8) {
        let count = 1 + u32::from(choice) % 5;
        let state = if choice.is_multiple_of(2) { "draining" } else { "up" };
        let change = self.endpoints.apply(complete_list(count, state));
        self.dispatch.endpoint_list_updated(change.update, change.endpoints);
        self.answer_started_at = None;
    }

    /// Begins an answer of discovery, without its remaining bytes.
    fn begin_list_answer(&mut self) {
        let update = ListUpdate::AnswerStarted { at: micros_from_millis(self.now) };
        self.dispatch.endpoint_list_updated(update, Vec::new());
        self.answer_started_at.get_or_insert(self.now);
    }

    /// Migrates all open jobs to another process, unless one of them cannot migrate now.
    fn upgrade(&mut self) {
        self.write_attempts();
        self.decide();
        let Some(migrated) = self.migrated_jobs() else { return };
        let mut successor = Dispatch::new(self.site.clone(), 9, self.now);
        let endpoints = self.endpoints.apply(complete_list(WORKER_COUNT, "up")).endpoints;
        successor.endpoint_list_updated(ListUpdate::Cached, endpoints);
        successor.endpoint_list_updated(ListUpdate::Changes, Vec::new());
        self.answer_started_at = None;
        successor.learned_state_received(self.dispatch.learned_state());
        let attempts_before = std::mem::take(&mut self.attempts);
        self.job_numbers.clear();
        self.last_reported = None;
        self.awaited_cancellations.clear();
        for (old_id, number, job) in migrated {
            let mut attempts = Vec::new();
            for attempt in job.attempts {
                attempts.push((self.endpoints.id(&attempt.worker), attempt));
            }
            let request = job_of(std::str::from_utf8(&job.request).unwrap()).unwrap();
            let client = self.jobs[&number].client;
            let id = successor.adopt_job(client, request, attempts, job.deferral, self.now).unwrap();
            self.job_numbers.insert(id, number);
            for ((job, attempt_id), attempt) in &attempts_before {
                if *job == old_id {
                    self.attempts.insert((id, *attempt_id), attempt.clone());
                }
            }
        }
        self.dispatch = successor;
        self.decide();
    }

    /// Returns the id, the number and the migrated form of each job without a final answer, or `None` if one
    /// of them cannot migrate now.
    fn migrated_jobs(&self) -> Option<Vec<(JobId, u64, MigratedJob)>> {
        let mut migrated = Vec::new();
        for (&id, &number) in &self.job_numbers {
            if !self.jobs[&number].is_finished {
                migrated.push((id, number, self.dispatch.migrated_job(id, self.now)?));
            }
        }
        Some(migrated)
    }

    /// Establishes the connections of all attempts that have no connection yet, possibly several steps after
    /// they were started. Nothing may be sent for a client that has disconnected or has its answer, or by a
    /// list that discovery began to replace at least the drain grace ago.
    fn write_attempts(&mut self) {
        let unwritten = self.attempts.iter().filter(|(_, attempt)| attempt.is_pending && !attempt.is_written);
        let keys: Vec<(JobId, AttemptId)> = unwritten.map(|(key, _)| *key).collect();
        for key in keys {
            let (id, attempt_id) = key;
            let is_listed = self.endpoints.get(self.attempts[&key].worker).is_some();
            let request = self.dispatch.begin_attempt(id, attempt_id, is_listed, self.now);
            let is_finished = self.jobs[&self.job_numbers[&id]].is_finished;
            let attempt = self.attempts.get_mut(&key).unwrap();
            if let Some(request) = request {
                assert!(!is_finished, "attempt sent for a finished job");
                let is_current = self.answer_started_at.is_none_or(|since| self.now < since + DRAIN_GRACE);
                assert!(is_current, "attempt sent after the drain grace of a newer list");
                assert!(request.starts_with(b"POST /"));
                attempt.is_written = true;
            } else {
                attempt.is_pending = false;
                self.dispatch.attempt_sent(id, attempt_id, TaskOutcome::Withheld, self.now);
            }
        }
    }

    /// Writes the requests of started attempts, lets time pass and runs the timers.
    fn wait(&mut self, duration: Millis) {
        self.write_attempts();
        self.now += duration;
        self.dispatch.run_timers(self.now);
        self.decide();
    }

    /// Ends the request that sent an attempt to its worker.
    fn end_sending(&mut self, id: JobId, attempt_id: AttemptId, outcome: TaskOutcome) {
        self.last_reported = Some((id, attempt_id));
        let attempt = self.attempts.get_mut(&(id, attempt_id)).unwrap();
        match &outcome {
            TaskOutcome::Broken | TaskOutcome::Stale { .. } if attempt.is_accepted => {}
            TaskOutcome::Answer(answer) if answer.line.status == 202 => attempt.is_accepted = true,
            _ => {
                attempt.is_pending = false;
                attempt.hit_stale_connection = matches!(outcome, TaskOutcome::Stale { sent: true });
            }
        }
        self.dispatch.attempt_sent(id, attempt_id, outcome, self.now);
    }

    /// Sends a job status update of a worker. If it says that the job is done, the client must get its
    /// result.
    fn send_status(&mut self, id: JobId, attempt_id: AttemptId, status: JobStatus) {
        self.last_reported = Some((id, attempt_id));
        let number = self.job_numbers[&id];
        let trace_id = format!("t{number}");
        let is_uncertain = self.is_status_uncertain(id, attempt_id);
        let attempt = self.attempts.get_mut(&(id, attempt_id)).unwrap();
        match status {
            JobStatus::Started | JobStatus::Running(_) => attempt.is_accepted |= !is_uncertain,
            JobStatus::Done(_) => attempt.is_pending = false,
            // If the update is of the earlier attempt, this one is still running.
            JobStatus::Failed | JobStatus::Returned | JobStatus::Lost => attempt.is_pending = is_uncertain,
        }
        let completes_job = matches!(status, JobStatus::Done(_)) && !self.jobs[&number].is_finished;
        let update = JobStatusUpdate {
            trace_id: trace_id.clone(),
            worker: attempt.worker_name.clone(),
            status,
            report: Ok(vec![1.0, 1.0, 2.0]),
        };
        self.dispatch.job_status(update, self.now);
        // An update from a worker that never had the job has no effect.
        self.dispatch.job_status(done_update(&trace_id, UNUSED_WORKER), self.now);
        if completes_job {
            self.decide();
            assert!(self.jobs[&number].is_finished, "result not delivered to its client");
        }
    }

    /// Returns whether a status update of an attempt's worker may be of an earlier attempt there.
    fn is_status_uncertain(&self, id: JobId, attempt_id: AttemptId) -> bool {
        let worker = self.attempts[&(id, attempt_id)].worker;
        let mut earlier = self.attempts.range((id, AttemptId(0))..(id, attempt_id));
        earlier.any(|(_, attempt)| attempt.worker == worker && attempt.hit_stale_connection)
    }

    /// Ends the cancellations that attempts wait for; one in four is not answered, and its attempt may go on.
    fn end_cancellations(&mut self, choice: u8) {
        for (id, attempt_id) in std::mem::take(&mut self.awaited_cancellations) {
            let is_answered = !choice.is_multiple_of(4);
            let outcome = if is_answered { worker_answer(200, choice) } else { TaskOutcome::NotSent };
            if is_answered {
                self.attempts.entry((id, attempt_id)).and_modify(|attempt| attempt.is_pending = false);
            }
            self.dispatch.cancellation_ended(id, attempt_id, &outcome, self.now);
        }
    }
}
