//! What the peers have seen, in one order: the only thing that rules and reports go by.

use serde::{Deserialize, Serialize};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Something that a peer has seen or done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Observation {
    /// A client has sent a job whole.
    Sent { job: String },
    /// A client has had an answer: its status, and whether the body is what a worker made for this job.
    Answered { job: String, status: u16, own: bool, retry_after: Option<f64> },
    /// A client's connection ended without an answer; `unheard`: it was a kept one that had ended as the client sent, and nobody
    /// listens for another.
    Broken { job: String, scheduler: usize, unheard: bool },
    /// A client left.
    Left { job: String },
    /// Bytes came on a client's connection that nobody had asked for.
    Surplus { scheduler: usize, bytes: usize },
    /// A client's time was over and nothing had come.
    Unanswered { job: String },
    /// A worker has read a job whole; what it said, and whether it took it.
    Got {
        job: String,
        worker: usize,
        scheduler: usize,
        status: u16,
        may_run: bool,
        /// The time that it was told is left, in milliseconds.
        left: Option<f64>,
    },
    /// A worker has begun a job.
    Begun { job: String, worker: usize },
    /// A worker has done a job, before anyone was told.
    Done { job: String, worker: usize },
    /// A scheduler has read that a worker drains, or that it is back.
    Told { worker: usize, scheduler: usize, drains: bool },
    /// A worker has started, cold.
    Started { worker: usize },
    /// A worker has ended.
    Died { worker: usize },
    /// A scheduler takes clients.
    Up { scheduler: usize },
    /// A scheduler was killed outright.
    Killed { scheduler: usize },
    /// A scheduler was told to end.
    Terminated { scheduler: usize },
    /// A scheduler has ended by itself, with this exit code.
    Exited { scheduler: usize, code: Option<i32> },
    /// Figures of a scheduler.
    Figures {
        scheduler: usize,
        held: u64,
        in_flight: u64,
        released: u64,
        longest_wait_ms: u64,
        resident_kib: u64,
    },
    /// What a scheduler believes of all: the state of each by its number, in a letter (alive, suspect, gone, left, or
    /// unknown: `-`); told when it has changed.
    View { scheduler: usize, states: String, minority: bool },
    /// Slots in use at a worker, and jobs that wait there.
    Load { worker: usize, slots: u32, queue: usize },
    /// The test bed itself stalled for so long until now, in milliseconds: what it saw then, it saw late.
    Stalled { ms: f64 },
    /// A fault of the script begins.
    Fault { what: String },
}

/// Something seen at a time, in milliseconds from the start.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When.
    pub at: f64,
    /// What.
    pub seen: Observation,
}

/// The journal, shared by all peers.
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
    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    /// The moment that lies so many milliseconds after the start.
    pub fn moment(&self, at: f64) -> Instant {
        self.start + Duration::from_secs_f64(at.max(0.0) / 1e3)
    }

    /// Writes down what was seen just now.
    pub fn write(&self, seen: Observation) {
        let mut entries = match self.entries.lock() {
            Ok(entries) => entries,
            Err(poisoned) => poisoned.into_inner(), // whole entries only are ever written
        };
        // Under the lock, so that the order of the entries is that of their times.
        let at = self.now();
        entries.push(Entry { at, seen });
    }

    /// All that was seen so far.
    pub fn entries(&self) -> Vec<Entry> {
        match self.entries.lock() {
            Ok(entries) => entries.clone(),
            Err(poisoned) => poisoned.into_inner().clone(),
        }
    }
}
