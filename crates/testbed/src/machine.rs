//! A model of a worker without sockets or a clock: slots, a FIFO queue, and slow start.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

/// A job at a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerJob {
    /// The trace id.
    pub id: String,
    /// The slots that it occupies.
    pub slots: u32,
    /// The remaining running time, in milliseconds at speed 1.
    pub remaining_ms: f64,
}

/// The result of submitting a job to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The job is queued or running.
    Accepted,
    /// The job is queued or running already.
    Duplicate,
    /// The queue is full.
    Full,
}

/// The slots and the queue of a worker.
#[derive(Clone, Debug)]
pub struct Machine {
    slots: u32,
    queue_limit: usize,
    speed: f64,
    slow_start_capacity: f64,
    slow_start_ms: f64,
    running: Vec<WorkerJob>,
    queue: VecDeque<WorkerJob>,
    /// When its slow start began, in milliseconds; `None` if it never had one.
    slow_start_began_at: Option<f64>,
    /// The time of the last step, in milliseconds.
    now: f64,
    /// The number by which its speed is divided; 1 is full speed.
    pub slowdown: f64,
    /// Whether its jobs make no progress.
    pub is_hung: bool,
}

impl Machine {
    /// Creates a machine without jobs, not in slow start.
    pub fn new(
        slots: u32,
        queue_limit: usize,
        speed: f64,
        slow_start_capacity: f64,
        slow_start_ms: f64,
    ) -> Machine {
        Machine {
            slots,
            queue_limit,
            speed,
            slow_start_capacity,
            slow_start_ms,
            running: Vec::new(),
            queue: VecDeque::new(),
            slow_start_began_at: None,
            now: 0.0,
            slowdown: 1.0,
            is_hung: false,
        }
    }

    /// Returns the fraction of its full capacity that the machine has at `now`, a time in milliseconds.
    pub fn capacity_fraction(&self, now: f64) -> f64 {
        let age = self.slow_start_began_at.map_or(f64::INFINITY, |at| now - at);
        (self.slow_start_capacity + (1.0 - self.slow_start_capacity) * age / self.slow_start_ms).min(1.0)
    }

    /// Advances the time to `now`, in milliseconds. Returns the jobs that have started and those that are
    /// done since the last call, each in order. Steps should be short compared to the jobs, as queued jobs
    /// start only at the end of a step.
    pub fn advance(&mut self, now: f64) -> (Vec<String>, Vec<String>) {
        let mut started_jobs = Vec::new();
        let mut done = Vec::new();
        let elapsed = (now - self.now).max(0.0);
        self.now = now;
        if self.is_hung {
            return (started_jobs, done);
        }
        let done_ms = elapsed * self.speed * self.capacity_fraction(now) / self.slowdown;
        for job in &mut self.running {
            job.remaining_ms -= done_ms;
        }
        self.running.retain(|job| {
            if job.remaining_ms <= 0.0 {
                done.push(job.id.clone());
            }
            job.remaining_ms > 0.0
        });
        self.start_queued_jobs(&mut started_jobs);
        (started_jobs, done)
    }

    fn start_queued_jobs(&mut self, started_jobs: &mut Vec<String>) {
        // The first job waits until it fits, and no later job overtakes it. A job with more slots than the
        // machine runs alone.
        while let Some(first) = self.queue.front() {
            if self.slots_in_use() + first.slots > self.slots && !self.running.is_empty() {
                return;
            }
            started_jobs.push(first.id.clone());
            self.running.extend(self.queue.pop_front());
        }
    }

    /// Submits a job. If it fits, it starts with the next step.
    pub fn submit(&mut self, job: WorkerJob) -> Admission {
        if self.running.iter().chain(&self.queue).any(|other| other.id == job.id) {
            return Admission::Duplicate;
        }
        if self.queue.len() >= self.queue_limit {
            return Admission::Full;
        }
        self.queue.push_back(job);
        Admission::Accepted
    }

    /// Cancels a job: a queued one is dropped, a running one continues.
    pub fn cancel(&mut self, id: &str) {
        self.queue.retain(|job| job.id != id);
    }

    /// Drops all jobs and begins a slow start. Returns the lost jobs.
    pub fn crash(&mut self, now: f64) -> Vec<String> {
        let lost = self.running.drain(..).chain(self.queue.drain(..)).map(|job| job.id).collect();
        self.slow_start_began_at = Some(now);
        self.now = now;
        self.slowdown = 1.0;
        self.is_hung = false;
        lost
    }

    /// Returns the number of slots in use.
    pub fn slots_in_use(&self) -> u32 {
        self.running.iter().map(|job| job.slots).sum()
    }

    /// Returns the number of slots that neither running nor queued jobs need, for the load report.
    pub fn free_slots(&self) -> u32 {
        let queued_slots: u32 = self.queue.iter().map(|job| job.slots).sum();
        self.slots.saturating_sub(self.slots_in_use() + queued_slots)
    }

    /// Returns the number of all jobs, and of the queued ones among them.
    pub fn jobs(&self) -> (usize, usize) {
        (self.running.len() + self.queue.len(), self.queue.len())
    }

    /// Returns whether a job is queued or running.
    pub fn contains(&self, id: &str) -> bool {
        self.running.iter().chain(&self.queue).any(|job| job.id == id)
    }
}
