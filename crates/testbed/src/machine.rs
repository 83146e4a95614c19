//! The model of a worker, without sockets or clock: slots, a queue in order of arrival, and slow start.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;

/// A job at a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The client's id.
    pub id: String,
    /// Slots that it takes.
    pub slots: u32,
    /// The running time that is left, in milliseconds at speed 1.
    pub left: f64,
}

/// Whether a worker accepts a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is in the queue or running.
    Accepted,
    /// It was here already.
    Duplicate,
    /// The queue is full.
    Full,
}

/// A worker's slots and queue.
#[derive(Clone, Debug)]
pub struct Machine {
    slots: u32,
    queue_limit: usize,
    speed: f64,
    cold_from: f64,
    warm_ms: f64,
    running: Vec<Work>,
    queue: VecDeque<Work>,
    /// When its slow start began; `None`: it has had none.
    started: Option<f64>,
    now: f64,
    /// Divides its speed.
    pub slower: f64,
    /// It makes no progress.
    pub hangs: bool,
}

impl Machine {
    /// A machine without jobs, not in slow start.
    pub fn new(slots: u32, queue_limit: usize, speed: f64, cold_from: f64, warm_ms: f64) -> Machine {
        Machine {
            slots,
            queue_limit,
            speed,
            cold_from,
            warm_ms,
            running: Vec::new(),
            queue: VecDeque::new(),
            started: None,
            now: 0.0,
            slower: 1.0,
            hangs: false,
        }
    }

    /// The fraction of its capacity that it has at a time.
    pub fn warmth(&self, now: f64) -> f64 {
        let age = self.started.map_or(f64::INFINITY, |at| now - at);
        (self.cold_from + (1.0 - self.cold_from) * age / self.warm_ms).min(1.0)
    }

    /// Lets time pass, in steps that are short compared to its jobs; gives the jobs that have begun and those that are
    /// done since, in order.
    pub fn advance(&mut self, now: f64) -> (Vec<String>, Vec<String>) {
        let mut begun = Vec::new();
        let mut done = Vec::new();
        let passed = (now - self.now).max(0.0);
        self.now = now;
        if self.hangs {
            return (begun, done);
        }
        let worked = passed * self.speed * self.warmth(now) / self.slower;
        for work in &mut self.running {
            work.left -= worked;
        }
        self.running.retain(|work| {
            if work.left <= 0.0 {
                done.push(work.id.clone());
            }
            work.left > 0.0
        });
        self.begin(&mut begun);
        (begun, done)
    }

    fn begin(&mut self, begun: &mut Vec<String>) {
        // No job passes the first one, which waits until it fits.
        while let Some(first) = self.queue.front() {
            if self.in_use() + first.slots > self.slots && !self.running.is_empty() {
                return;
            }
            begun.push(first.id.clone());
            self.running.extend(self.queue.pop_front());
        }
    }

    /// Adds a job. It begins with the next step, if it fits.
    pub fn submit(&mut self, work: Work) -> Admission {
        if self.running.iter().chain(&self.queue).any(|w| w.id == work.id) {
            return Admission::Duplicate;
        }
        if self.queue.len() >= self.queue_limit {
            return Admission::Full;
        }
        self.queue.push_back(work);
        Admission::Accepted
    }

    /// Cancels a job: one in the queue is dropped, one that runs goes on.
    pub fn cancel(&mut self, id: &str) {
        self.queue.retain(|w| w.id != id);
    }

    /// Loses all jobs and begins a slow start; gives the lost jobs.
    pub fn crash(&mut self, now: f64) -> Vec<String> {
        let lost = self.running.drain(..).chain(self.queue.drain(..)).map(|w| w.id).collect();
        self.started = Some(now);
        self.now = now;
        self.slower = 1.0;
        self.hangs = false;
        lost
    }

    /// Slots in use.
    pub fn in_use(&self) -> u32 {
        self.running.iter().map(|w| w.slots).sum()
    }

    /// Free slots as in its load report.
    pub fn free(&self) -> u32 {
        let waiting: u32 = self.queue.iter().map(|w| w.slots).sum();
        self.slots.saturating_sub(self.in_use() + waiting)
    }

    /// All jobs, and those of them in the queue.
    pub fn jobs(&self) -> (usize, usize) {
        (self.running.len() + self.queue.len(), self.queue.len())
    }

    /// Whether a job is here.
    pub fn has(&self, id: &str) -> bool {
        self.running.iter().chain(&self.queue).any(|w| w.id == id)
    }
}
