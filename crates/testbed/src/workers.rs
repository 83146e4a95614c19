//! Mock workers. Each has a [`Machine`] behind one listener for each scheduler, and accepts jobs with 202.
//! Job status updates go to the scheduler that sent the job.

use crate::journal::{Journal, Observation};
use crate::machine::{Admission, Machine, WorkerJob};
use crate::plan::Plan;
use crate::scenario::Scenario;
use crate::wire;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

mod connections;
mod updates;

/// Interval between the steps of a machine, in milliseconds.
const STEP_INTERVAL_MS: f64 = 2.0;
/// Interval between the progress updates of a running or queued job, in milliseconds.
const PROGRESS_INTERVAL_MS: f64 = 1_000.0;

/// End of the machine's id of an attempt whose connection the worker has closed. A further attempt of the same job
/// has an id of its own and runs beside it.
const BROKEN_ATTEMPT_SUFFIX: &str = "+broken";
/// Share of the running time of a job after which an attempt whose connection was closed fails, so that a further
/// one still runs.
const BROKEN_ATTEMPT_SHARE: f64 = 0.5;

/// The faults that are active at a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ActiveFaults {
    /// The process does not run.
    pub is_down: bool,
    /// The worker rejects all jobs without running them.
    pub rejects_jobs: bool,
    /// The worker closes connections after accepting a job and before answering.
    pub drops_connections: bool,
    /// The worker sends each job status update twice.
    pub duplicates_updates: bool,
    /// The worker sends each job status update one second late.
    pub delays_updates: bool,
    /// The worker runs jobs and reports each as failed.
    pub fails_jobs: bool,
    /// The worker closes the connection under the first attempt of each job, runs it and reports it as failed.
    pub breaks_first_attempts: bool,
    /// The worker reports more free slots than any machine has.
    pub reports_invalid_load: bool,
    /// The worker closes each connection after an answer.
    pub closes_connections: bool,
}

struct State {
    machine: Machine,
    faults: ActiveFaults,
    /// The scheduler that sent each job, by the machine's id of the attempt.
    senders: HashMap<String, usize>,
    /// The jobs under whose first attempt the worker has closed the connection, by trace id.
    broken_jobs: HashSet<String>,
    /// The number of the process, incremented by each crash. Jobs and connections of earlier processes are
    /// lost.
    process: u64,
}

/// A job and the scheduler that sent it.
struct SentJob {
    scheduler: usize,
    id: String,
}

/// The load of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Load {
    slots: u32,
    queue: usize,
}

/// The result of a step of the machine.
struct Step {
    started: Vec<SentJob>,
    done: Vec<SentJob>,
    /// Jobs for which a progress update is due, including queued ones.
    running: Vec<SentJob>,
    load: Load,
}

/// A mock worker.
pub struct Worker {
    /// The number of the worker.
    pub number: usize,
    state: Mutex<State>,
    /// The number of the current process; connections of earlier ones are closed.
    processes: watch::Sender<u64>,
    /// Whether no connection is accepted for now.
    holds: watch::Sender<bool>,
    /// The addresses for job status updates, by scheduler.
    schedulers: Vec<SocketAddr>,
    /// The worker's address for each scheduler.
    pub addrs: Vec<SocketAddr>,
    plan: Arc<Plan>,
    journal: Journal,
}

/// Returns the name of a worker on the endpoint list and in job status updates.
pub fn worker_name(number: usize) -> String {
    format!("w-{number:04}")
}

impl Worker {
    /// Starts a worker with a listener for each scheduler.
    ///
    /// # Errors
    /// Returns an error if the operating system has no free address.
    pub async fn start(
        number: usize,
        scenario: &Scenario,
        schedulers: Vec<SocketAddr>,
        plan: Arc<Plan>,
        journal: Journal,
    ) -> std::io::Result<Arc<Worker>> {
        let fleet = &scenario.fleet;
        let speed = scenario.speed_of(number);
        let machine =
            Machine::new(fleet.slots, fleet.queue, speed, fleet.slow_start_capacity, fleet.slow_start_ms);
        let state = State {
            machine,
            faults: ActiveFaults::default(),
            senders: HashMap::new(),
            broken_jobs: HashSet::new(),
            process: 0,
        };
        let mut addrs = Vec::new();
        let mut listeners = Vec::new();
        for _ in &schedulers {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addrs.push(listener.local_addr()?);
            listeners.push(listener);
        }
        let (processes, _) = watch::channel(0);
        let (holds, _) = watch::channel(false);
        let worker = Arc::new(Worker {
            number,
            state: Mutex::new(state),
            processes,
            holds,
            schedulers,
            addrs,
            plan,
            journal,
        });
        for (scheduler, listener) in listeners.into_iter().enumerate() {
            tokio::spawn(worker.clone().listen(scheduler, listener));
        }
        tokio::spawn(worker.clone().run());
        Ok(worker)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        match self.state.lock() {
            Ok(state) => state,
            Err(poisoned) => poisoned.into_inner(), // the panic of the other task fails the run
        }
    }

    /// Changes the active faults and the machine.
    pub fn set_faults(&self, change: impl FnOnce(&mut ActiveFaults, &mut Machine)) {
        let State { faults, machine, .. } = &mut *self.state();
        change(faults, machine);
    }

    /// Ends the process: its connections are closed and its jobs are lost.
    pub fn crash(&self) {
        self.journal.record(Observation::WorkerDied { worker: self.number });
        let mut state = self.state();
        state.machine.crash(self.journal.now());
        state.faults = ActiveFaults { is_down: true, ..ActiveFaults::default() };
        state.process += 1;
        // A supervisor on the worker's host would send these updates.
        let lost: Vec<(String, usize)> = state.senders.drain().collect();
        let process = state.process;
        drop(state);
        self.processes.send_replace(process);
        for (job, scheduler) in lost {
            self.notify(
                scheduler,
                format!(
                    r#"{{"id":"{}","from":"{}","state":"lost"}}"#,
                    trace_id(&job),
                    worker_name(self.number)
                ),
            );
        }
    }

    /// Starts a new process, in slow start.
    pub fn restart(&self) {
        self.journal.record(Observation::WorkerStarted { worker: self.number });
        let mut state = self.state();
        // Begins the slow start.
        state.machine.crash(self.journal.now());
        state.faults = ActiveFaults::default();
    }

    /// Handles a job from a scheduler. Returns the response, or `None` to close the connection without one.
    fn receive_job(&self, scheduler: usize, message: &wire::Message) -> Option<Vec<u8>> {
        let (number, id) = (self.number, message.header("X-Trace-Id").unwrap_or("").to_string());
        let time_left = message.header("X-Expires-In").and_then(parse_milliseconds);
        let record_arrival = |status, may_run| {
            let job = id.clone();
            self.journal.record(Observation::JobReceived {
                job,
                worker: number,
                scheduler,
                status,
                may_run,
                time_left,
            });
        };
        let Some(job) = self.plan.get(&id) else {
            record_arrival(404, false);
            return Some(wire::response(404, &[], b""));
        };
        let mut state = self.state();
        if state.faults.rejects_jobs {
            drop(state);
            record_arrival(503, false);
            return Some(wire::response(503, &[("X-Never-Ran", "1")], b""));
        }
        let mut worker_job = WorkerJob { id: id.clone(), slots: job.slots, remaining_ms: job.running_time };
        let breaks_first = state.faults.breaks_first_attempts && state.broken_jobs.insert(id.clone());
        if breaks_first {
            worker_job.id += BROKEN_ATTEMPT_SUFFIX;
            worker_job.remaining_ms *= BROKEN_ATTEMPT_SHARE;
        }
        let drops_connection = state.faults.drops_connections || breaks_first;
        let machine_id = worker_job.id.clone();
        let admission = state.machine.submit(worker_job);
        if admission == Admission::Accepted {
            state.senders.insert(machine_id, scheduler);
        }
        drop(state);
        match admission {
            Admission::Accepted if drops_connection => {
                record_arrival(0, true);
                None
            }
            // A job that is queued or running already is not submitted again.
            Admission::Accepted | Admission::Duplicate => {
                record_arrival(202, true);
                Some(wire::response(202, &[], b""))
            }
            Admission::Full => {
                record_arrival(503, false);
                Some(wire::response(503, &[("X-Never-Ran", "1")], b""))
            }
        }
    }

    /// Runs the machine for as long as the test bed runs.
    async fn run(self: Arc<Worker>) {
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(STEP_INTERVAL_MS / 1e3));
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        let mut last_progress_at = 0.0;
        let mut recorded_load = Load::default();
        loop {
            ticks.tick().await;
            let now = self.journal.now();
            let is_progress_due = now - last_progress_at >= PROGRESS_INTERVAL_MS;
            let Some(step) = self.step(now, is_progress_due) else { continue };
            if is_progress_due {
                last_progress_at = now;
            }
            if step.load != recorded_load {
                recorded_load = step.load;
                let Load { slots, queue } = step.load;
                self.journal.record(Observation::WorkerLoad { worker: self.number, slots, queue });
            }
            self.publish(step);
        }
    }

    /// Advances the machine. Returns `None` while the process does not run.
    fn step(&self, now: f64, is_progress_due: bool) -> Option<Step> {
        let mut guard = self.state();
        let state = &mut *guard;
        if state.faults.is_down {
            return None;
        }
        let (started_ids, done_ids) = state.machine.advance(now);
        let mut started = Vec::new();
        for id in started_ids {
            if let Some(scheduler) = state.senders.get(&id) {
                started.push(SentJob { scheduler: *scheduler, id });
            }
        }
        let mut done = Vec::new();
        for id in done_ids {
            if let Some(scheduler) = state.senders.remove(&id) {
                done.push(SentJob { scheduler, id });
            }
        }
        let mut running = Vec::new();
        if is_progress_due && !state.machine.is_hung {
            for (id, scheduler) in &state.senders {
                running.push(SentJob { scheduler: *scheduler, id: id.clone() });
            }
        }
        let (_, queue) = state.machine.jobs();
        Some(Step { started, done, running, load: Load { slots: state.machine.slots_in_use(), queue } })
    }
}

/// Parses a duration in a header into milliseconds: a number with the suffix `m` for milliseconds or `u` for
/// microseconds.
fn parse_milliseconds(text: &str) -> Option<f64> {
    let number = |unit: char| text.strip_suffix(unit).and_then(|number| number.parse::<f64>().ok());
    number('m').or_else(|| number('u').map(|micros| micros / 1e3))
}

/// Returns the result that workers make for a job.
pub fn result_of(id: &str) -> String {
    format!("made for {id}")
}

/// Returns the trace id of a job from the machine's id of an attempt.
fn trace_id(machine_id: &str) -> &str {
    machine_id.strip_suffix(BROKEN_ATTEMPT_SUFFIX).unwrap_or(machine_id)
}
