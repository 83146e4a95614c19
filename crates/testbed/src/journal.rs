//! The observations of the mock components and the test bed, in one sequence. Rules and reports use no other
//! record of a run.

use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// An event that a mock component or the test bed observed or caused. Schedulers and workers are identified
/// by number.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Observation {
    /// A client has sent a complete job.
    Sent {
        /// The job's trace id.
        job: String,
    },
    /// A client has received an answer.
    Answered {
        /// The job's trace id.
        job: String,
        /// The status code.
        status: u16,
        /// Whether the body is the result that a worker makes for this job.
        #[serde(rename = "own")]
        is_own_result: bool,
        /// The `Retry-After` header, in seconds.
        retry_after: Option<f64>,
    },
    /// A client's connection ended without an answer, or could not be opened.
    #[serde(rename = "broken")]
    ConnectionLost {
        /// The job's trace id.
        job: String,
        /// The scheduler.
        scheduler: usize,
        /// Whether it was a reused connection that had ended before the request, and no new one could be
        /// opened.
        #[serde(rename = "unheard")]
        stale: bool,
    },
    /// A client has disconnected.
    #[serde(rename = "left")]
    ClientLeft {
        /// The job's trace id.
        job: String,
    },
    /// Bytes arrived on a client's connection that do not belong to an answer.
    #[serde(rename = "surplus")]
    UnexpectedBytes {
        /// The scheduler.
        scheduler: usize,
        /// The number of bytes.
        bytes: usize,
    },
    /// A client timed out without an answer.
    #[serde(rename = "unanswered")]
    TimedOut {
        /// The job's trace id.
        job: String,
    },
    /// A worker has read a complete job and answered.
    #[serde(rename = "got")]
    JobReceived {
        /// The job's trace id.
        job: String,
        /// The worker.
        worker: usize,
        /// The scheduler that sent it.
        scheduler: usize,
        /// The status of the worker's answer; 0 if it closed the connection instead.
        status: u16,
        /// Whether the worker has accepted the job, so that it may run.
        may_run: bool,
        /// The time left by the `X-Expires-In` header of the request, in milliseconds; `None` without a valid
        /// header.
        #[serde(rename = "left")]
        time_left: Option<f64>,
    },
    /// A worker has started a job.
    #[serde(rename = "begun")]
    JobStarted {
        /// The job's trace id.
        job: String,
        /// The worker.
        worker: usize,
    },
    /// A worker has finished a job and has not reported it yet.
    #[serde(rename = "done")]
    JobDone {
        /// The job's trace id.
        job: String,
        /// The worker.
        worker: usize,
    },
    /// A worker is about to report the end of an attempt, with a result or as failed.
    AttemptEnded {
        /// The job's trace id.
        job: String,
        /// The worker.
        worker: usize,
    },
    /// A worker was told to cancel an attempt.
    AttemptCancelled {
        /// The job's trace id.
        job: String,
        /// The worker.
        worker: usize,
    },
    /// A scheduler was sent an endpoint list that says whether a worker is draining.
    #[serde(rename = "told")]
    DrainNotified {
        /// The worker.
        worker: usize,
        /// The scheduler.
        scheduler: usize,
        /// Whether the worker is draining.
        drains: bool,
    },
    /// A worker has started, in slow start.
    #[serde(rename = "started")]
    WorkerStarted {
        /// The worker.
        worker: usize,
    },
    /// A worker's process has ended.
    #[serde(rename = "died")]
    WorkerDied {
        /// The worker.
        worker: usize,
    },
    /// A scheduler accepts clients.
    #[serde(rename = "up")]
    SchedulerUp {
        /// The scheduler.
        scheduler: usize,
    },
    /// A scheduler was sent SIGKILL.
    #[serde(rename = "killed")]
    SchedulerKilled {
        /// The scheduler.
        scheduler: usize,
    },
    /// A scheduler was sent SIGTERM.
    #[serde(rename = "terminated")]
    SchedulerTerminated {
        /// The scheduler.
        scheduler: usize,
    },
    /// A scheduler has exited without SIGKILL.
    #[serde(rename = "exited")]
    SchedulerExited {
        /// The scheduler.
        scheduler: usize,
        /// The exit code; `None` if a signal ended the process.
        code: Option<i32>,
    },
    /// Statistics of a scheduler.
    #[serde(rename = "figures")]
    SchedulerStats {
        /// The scheduler.
        scheduler: usize,
        /// The deferred jobs that it holds.
        held: u64,
        /// The jobs that it has accepted and not answered yet, including the deferred ones.
        in_flight: u64,
        /// The number of deferred jobs that it has released.
        released: u64,
        /// The longest wait of a ready deferred job, in milliseconds.
        longest_wait_ms: u64,
        /// The resident memory, in KiB.
        resident_kib: u64,
    },
    /// The membership view of a scheduler, recorded when it has changed.
    View {
        /// The scheduler.
        scheduler: usize,
        /// The initial letter of each member's state, by number: alive, suspect, gone, left, or `-` for
        /// unknown.
        states: String,
        /// Whether the scheduler has detected that it is in the minority.
        minority: bool,
    },
    /// The load of a worker.
    #[serde(rename = "load")]
    WorkerLoad {
        /// The worker.
        worker: usize,
        /// The slots in use.
        slots: u32,
        /// The number of jobs in its queue.
        queue: usize,
    },
    /// The test bed itself has stalled until the time of this entry. Events during the stall were recorded
    /// late.
    #[serde(rename = "stalled")]
    TestBedStalled {
        /// The length of the stall, in milliseconds.
        ms: f64,
    },
    /// A thread of the test bed waited for a processor, in the interval that ends at the time of this entry.
    TestBedWaited {
        /// The longest wait of a thread, in milliseconds.
        ms: f64,
    },
    /// The process of a scheduler waited for a processor, in the interval that ends at the time of this entry.
    SchedulerWaited {
        /// The scheduler.
        scheduler: usize,
        /// The length of the wait, in milliseconds.
        ms: f64,
    },
    /// The peak of a scheduler's resident memory has grown.
    #[serde(rename = "memory")]
    SchedulerMemory {
        /// The scheduler.
        scheduler: usize,
        /// The peak, in KiB.
        peak_kib: u64,
    },
    /// A fault of the scenario begins.
    Fault {
        /// The kind and the targets of the fault.
        #[serde(rename = "what")]
        description: String,
    },
}

/// An observation and its time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The time in milliseconds since the start of the journal.
    pub at: f64,
    /// The observation.
    #[serde(rename = "seen")]
    pub observation: Observation,
}

/// The journal of a run. Clones share the same entries.
#[derive(Clone)]
pub struct Journal {
    start: Instant,
    entries: Arc<Mutex<Vec<Entry>>>,
}

impl Default for Journal {
    fn default() -> Self {
        Journal { start: Instant::now(), entries: Arc::default() }
    }
}

impl Journal {
    /// Returns the time in milliseconds since the start of the journal.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    /// Returns the moment that is `at` milliseconds after the start of the journal.
    pub fn moment(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(at.max(0.0) / 1e3)
    }

    /// Appends an observation with the current time.
    pub fn record(&self, observation: Observation) {
        let mut entries = match self.entries.lock() {
            Ok(entries) => entries,
            Err(poisoned) => poisoned.into_inner(), // entries are appended whole, so the list is intact
        };
        // The time is taken under the lock so that entries are ordered by time.
        let at = self.now();
        entries.push(Entry { at, observation });
    }

    /// Returns all entries so far.
    pub fn entries(&self) -> Vec<Entry> {
        match self.entries.lock() {
            Ok(entries) => entries.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }
}
