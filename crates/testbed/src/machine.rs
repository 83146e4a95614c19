//! A worker's inside, without sockets or clock: slots, a queue served in order, jobs that share nothing, and a start
//! from cold.

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
    /// What is left of it, in milliseconds at speed 1.
    pub left: f64,
}

/// What a worker does with a job that is brought to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is in the queue or at work.
    Accepted,
    /// It is here already.
    Duplicate,
    /// There is no room.
    Full,
}

/// The inside of a worker.
#[derive(Clone, Debug)]
pub struct Machine {
    slots: u32,
    queue_limit: usize,
    speed: f64,
    cold_from: f64,
    warm_ms: f64,
    running: Vec<Work>,
    queue: VecDeque<Work>,
    /// When it last started cold; `None`: long ago.
    started: Option<f64>,
    now: f64,
    /// Divides its speed.
    pub slower: f64,
    /// It does nothing with what it has.
    pub hangs: bool,
}

impl Machine {
    /// A warm one that has nothing to do.
    pub fn new(slots: u32, queue_limit: usize, speed: f64, cold_from: f64, warm_ms: f64) -> Machine {
        let (running, queue, started, now, slower, hangs) =
            (Vec::new(), VecDeque::new(), None, 0.0, 1.0, false);
        Machine { slots, queue_limit, speed, cold_from, warm_ms, running, queue, started, now, slower, hangs }
    }

    /// The part of its capacity that it has by now.
    pub fn warmth(&self, now: f64) -> f64 {
        let age = self.started.map_or(f64::INFINITY, |at| now - at);
        (self.cold_from + (1.0 - self.cold_from) * age / self.warm_ms).min(1.0)
    }

    /// Lets time pass, in steps short against its jobs; gives what has begun and what is done since, in order.
    pub fn advance(&mut self, now: f64) -> (Vec<String>, Vec<String>) {
        let (mut begun, mut done) = (Vec::new(), Vec::new());
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
        // The first waits until it fits.
        while let Some(first) = self.queue.front() {
            if self.in_use() + first.slots > self.slots && !self.running.is_empty() {
                return;
            }
            begun.push(first.id.clone());
            self.running.extend(self.queue.pop_front());
        }
    }

    /// A job is brought. It begins with the next step, if it fits.
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

    /// A job is given up: what waits is dropped, what runs goes on.
    pub fn cancel(&mut self, id: &str) {
        self.queue.retain(|w| w.id != id);
    }

    /// It dies, and starts cold at this time with nothing; gives what is lost.
    pub fn crash(&mut self, now: f64) -> Vec<String> {
        let lost = self.running.drain(..).chain(self.queue.drain(..)).map(|w| w.id).collect();
        (self.started, self.now, self.slower, self.hangs) = (Some(now), now, 1.0, false);
        lost
    }

    /// Slots in use.
    pub fn in_use(&self) -> u32 {
        self.running.iter().map(|w| w.slots).sum()
    }

    /// Slots that are free, as it reports them.
    pub fn free(&self) -> u32 {
        let waiting: u32 = self.queue.iter().map(|w| w.slots).sum();
        self.slots.saturating_sub(self.in_use() + waiting)
    }

    /// Jobs here, and those of them that wait.
    pub fn jobs(&self) -> (usize, usize) {
        (self.running.len() + self.queue.len(), self.queue.len())
    }

    /// Whether a job is here.
    pub fn has(&self, id: &str) -> bool {
        self.running.iter().chain(&self.queue).any(|w| w.id == id)
    }
}
