//! All jobs of a run, drawn ahead from the seed alone: the same seed brings the same jobs at the same times.

#[cfg(test)]
mod tests;

use crate::scenario::{ReadyBy, Scenario};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;

/// A job that a client will bring.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The client's id.
    pub id: String,
    /// When it is sent, in milliseconds from the start.
    pub at: f64,
    /// Its class, by number.
    pub class: usize,
    /// Running time at speed 1, in milliseconds.
    pub work: f64,
    /// Slots that it takes.
    pub slots: u32,
    /// What the client says of its work, in milliseconds.
    pub hint: f64,
    /// For how long its client waits, in milliseconds.
    pub patience: f64,
    /// Jobs that it waits for, and whether any answer will do.
    pub after: Vec<(String, bool)>,
    /// It waits for this time, in milliseconds from the start.
    pub start: Option<f64>,
    /// Its client leaves so long after it sent it, in milliseconds.
    pub leaves: Option<f64>,
    /// It belongs to a backlog.
    pub backlog: bool,
    /// The scheduler that it is brought to, by number: jobs that name each other must meet.
    pub home: usize,
}

impl Job {
    /// Whether it waits for anything.
    pub fn waits(&self) -> bool {
        !self.after.is_empty() || self.start.is_some()
    }
}

/// All jobs, by when they are sent.
pub struct Plan {
    /// The jobs.
    pub jobs: Vec<Job>,
    index: HashMap<String, usize>,
}

/// Names are drawn from so many of the latest jobs.
const RECENT: usize = 40;

struct Draw<'a> {
    scenario: &'a Scenario,
    rng: ChaCha8Rng,
    count: u64,
}

impl Draw<'_> {
    /// A job of a class that is drawn by the shares.
    fn job(&mut self, at: f64) -> Job {
        let total: f64 = self.scenario.class.iter().map(|c| c.share).sum();
        let mut left = self.rng.random::<f64>() * total;
        let class = self.scenario.class.iter().position(|c| {
            left -= c.share;
            left < 0.0
        });
        let class = class.unwrap_or(self.scenario.class.len() - 1);
        let c = &self.scenario.class[class];
        // From a fifth of the mean to four times it, mostly below it.
        let work = c.mean_ms * (-(1.0 - self.rng.random::<f64>()).ln()).clamp(0.2, 4.0);
        let hint = work * (self.rng.random::<f64>() * 2.0 - 1.0).exp();
        self.count += 1;
        Job {
            id: format!("{:08x}{:08x}", self.rng.random::<u32>(), self.count),
            at,
            class,
            work,
            slots: c.slots,
            hint,
            patience: c.give_up_ms,
            after: Vec::new(),
            start: None,
            leaves: None,
            backlog: false,
            home: self.rng.random_range(0..self.scenario.schedulers),
        }
    }

    /// Has a job wait for others or for a time.
    fn wait(&mut self, job: &mut Job, recent: &[(String, usize)]) {
        let w = &self.scenario.waiting;
        if self.rng.random::<f64>() < w.after && !recent.is_empty() {
            let names = self.rng.random_range(1..=w.names.clamp(1, 16));
            for _ in 0..names {
                let (name, home) = recent[self.rng.random_range(0..recent.len())].clone();
                if job.after.is_empty() {
                    job.home = home;
                } else if job.home != home {
                    continue;
                }
                let any = self.rng.random::<f64>() < w.any;
                if job.after.iter().all(|(n, _)| *n != name) {
                    job.after.push((name, any));
                }
            }
        } else {
            let [from, to] = w.delay_ms;
            job.start = Some(job.at + from + (to - from) * self.rng.random::<f64>());
        }
        job.patience += w.patience_ms;
    }
}

impl Plan {
    /// Draws a run.
    pub fn draw(scenario: &Scenario, seed: u64) -> Plan {
        let mut draw = Draw { scenario, rng: ChaCha8Rng::seed_from_u64(seed), count: 0 };
        let (rate, end) = (scenario.capacity() * scenario.load / 1e3, scenario.seconds * 1e3);
        let (mut jobs, mut recent, mut at) = (Vec::<Job>::new(), Vec::new(), 0.0);
        loop {
            // At no load the first job lies beyond all time.
            at += -(1.0 - draw.rng.random::<f64>()).ln() / rate;
            if at >= end {
                break;
            }
            let mut job = draw.job(at);
            if draw.rng.random::<f64>() < scenario.waiting.share {
                draw.wait(&mut job, &recent);
            }
            if draw.rng.random::<f64>() < scenario.leaving {
                job.leaves = Some(job.patience * 0.2 * draw.rng.random::<f64>());
            }
            recent.push((job.id.clone(), job.home));
            if recent.len() > RECENT {
                recent.remove(0);
            }
            jobs.push(job);
        }
        for b in &scenario.backlog {
            let ready = b.at_s * 1e3;
            let mut hub = draw.job(ready - b.before_s * 1e3);
            // It ends near the moment at which the others are to come ready.
            (hub.work, hub.hint, hub.slots, hub.patience) =
                (b.before_s * 1e3, b.before_s * 1e3, 1, ready + 60e3);
            hub.backlog = true;
            for n in 0..b.jobs {
                let mut job =
                    draw.job(ready - b.before_s * 1e3 * 0.9 * (1.0 - n as f64 / b.jobs as f64) - 1.0);
                job.patience = ready - job.at + b.patience_s * 1e3;
                job.backlog = true;
                match b.by {
                    ReadyBy::Hour => job.start = Some(ready),
                    ReadyBy::Job => {
                        job.after.push((hub.id.clone(), false));
                        job.home = hub.home;
                    }
                }
                jobs.push(job);
            }
            if b.by == ReadyBy::Job {
                jobs.push(hub);
            }
        }
        jobs.sort_by(|a, b| a.at.total_cmp(&b.at));
        let index = jobs.iter().enumerate().map(|(n, j)| (j.id.clone(), n)).collect();
        Plan { jobs, index }
    }

    /// A job by its client's id.
    pub fn get(&self, id: &str) -> Option<&Job> {
        self.index.get(id).map(|n| &self.jobs[*n])
    }

    /// A plan of these jobs.
    pub fn of(jobs: Vec<Job>) -> Plan {
        let index = jobs.iter().enumerate().map(|(n, j)| (j.id.clone(), n)).collect();
        Plan { jobs, index }
    }
}
