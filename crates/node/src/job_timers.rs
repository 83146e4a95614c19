//! The timers of a host of the decision module, some of which end with a job.

use crate::clock::Millis;
use crate::timers::{TimerId, Timers};
use postusher_decision::JobId;
use std::collections::HashMap;

/// Timers, each with a value. Those that the decision module sets for a job are cancelled together when it
/// holds the job no longer.
pub struct JobTimers<T> {
    timers: Timers<T>,
    /// Timers by the job that they concern, including those that have expired while the decision module holds
    /// the job.
    by_job: HashMap<JobId, Vec<TimerId>>,
}

impl<T> JobTimers<T> {
    /// Creates an empty set of timers.
    pub fn new() -> Self {
        JobTimers { timers: Timers::new(), by_job: HashMap::new() }
    }

    /// Sets a timer that expires at a given time unless it is cancelled by its id.
    pub fn set(&mut self, at: Millis, value: T) -> TimerId {
        self.timers.set(at, value)
    }

    /// Sets a timer of the decision module. If it concerns a job, [`JobTimers::cancel_of_job`] cancels it.
    pub fn set_for_job(&mut self, at: Millis, value: T, job: Option<JobId>) {
        let id = self.timers.set(at, value);
        if let Some(job) = job {
            self.by_job.entry(job).or_default().push(id);
        }
    }

    /// Cancels a timer. Has no effect if it has expired or been cancelled.
    pub fn cancel(&mut self, id: TimerId) {
        self.timers.cancel(id);
    }

    /// Cancels the timers that the decision module has set for a job.
    pub fn cancel_of_job(&mut self, job: JobId) {
        for id in self.by_job.remove(&job).unwrap_or_default() {
            self.timers.cancel(id);
        }
    }

    /// Returns the number of timers that have neither expired nor been cancelled.
    pub fn len(&self) -> usize {
        self.timers.len()
    }

    /// Returns the time at which the next timer expires.
    pub fn next_expiry(&self) -> Option<Millis> {
        self.timers.next_expiry()
    }

    /// Removes the next expired timer and returns its value; `None` if no timer has expired.
    pub fn pop_expired(&mut self, now: Millis) -> Option<T> {
        self.timers.pop_expired(now)
    }
}
