//! The jobs of a run, generated in advance. A scenario and a seed determine all jobs and their times.

#[cfg(test)]
mod tests;

use crate::scenario::{Backlog, ReadyBy, Scenario};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::HashMap;
use std::ops::RangeInclusive;

/// A job that a client will submit.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The client's trace id.
    pub id: String,
    /// When the client submits it, in milliseconds from the start of the run.
    pub submit_at: f64,
    /// The index of its class.
    pub class: usize,
    /// The running time on a worker of speed 1, in milliseconds.
    pub running_time: f64,
    /// The slots that it occupies.
    pub slots: u32,
    /// The size hint, in milliseconds.
    pub size_hint: f64,
    /// The timeout of its client, in milliseconds.
    pub client_timeout: f64,
    /// Its dependencies, each with whether any answer satisfies it.
    pub dependencies: Vec<(String, bool)>,
    /// The start time that it waits for, in milliseconds from the start of the run.
    pub start_at: Option<f64>,
    /// How long after the submission its client disconnects, in milliseconds; `None` if it stays.
    pub disconnects_after: Option<f64>,
    /// Whether it belongs to a backlog.
    pub in_backlog: bool,
    /// The number of the scheduler that it is sent to; a job goes to the scheduler of its dependencies.
    pub scheduler: usize,
}

impl Job {
    /// Returns whether it is a deferred job.
    pub fn is_deferred(&self) -> bool {
        !self.dependencies.is_empty() || self.start_at.is_some()
    }
}

/// All jobs of a run, in the order of their submission.
pub struct Plan {
    /// The jobs.
    pub jobs: Vec<Job>,
    /// The position of each job in `jobs`, by trace id.
    index: HashMap<String, usize>,
}

/// Number of latest jobs from which dependencies are drawn.
const RECENT_JOBS: usize = 40;
/// Maximum number of dependencies of a job.
const MAX_DEPENDENCIES: usize = 16;
/// Range of running times, in multiples of the mean of the class.
const RUNNING_TIMES: RangeInclusive<f64> = 0.2..=4.0;
/// Fraction of its timeout within which a disconnecting client disconnects.
const DISCONNECT_WITHIN: f64 = 0.2;
/// Fraction of the time before a backlog is ready over which its jobs are submitted.
const BACKLOG_SPREAD: f64 = 0.9;
/// Minimum time that the client of a backlog's shared dependency still waits when the backlog becomes ready,
/// in milliseconds.
const SHARED_DEPENDENCY_TIMEOUT_MS: f64 = 60e3;

/// A job that later jobs may depend on.
#[derive(Clone)]
struct RecentJob {
    id: String,
    scheduler: usize,
}

/// Generates a plan. The order in which random numbers are drawn determines the plan of a seed.
struct PlanGenerator<'a> {
    scenario: &'a Scenario,
    rng: ChaCha8Rng,
    /// The number of jobs drawn so far.
    job_count: u64,
}

impl PlanGenerator<'_> {
    /// Draws a uniformly distributed number from 0 to 1.
    fn uniform(&mut self) -> f64 {
        self.rng.random()
    }

    /// Draws an exponentially distributed number with mean 1.
    fn exponential(&mut self) -> f64 {
        -(1.0 - self.uniform()).ln()
    }

    /// Draws the index of a class.
    fn class(&mut self) -> usize {
        let classes = &self.scenario.class;
        let total: f64 = classes.iter().map(|class| class.share).sum();
        let mut remaining = self.uniform() * total;
        for (number, class) in classes.iter().enumerate() {
            remaining -= class.share;
            if remaining < 0.0 {
                return number;
            }
        }
        classes.len() - 1
    }

    /// Draws a job that is not deferred.
    fn job(&mut self, submit_at: f64) -> Job {
        let number = self.class();
        let class = &self.scenario.class[number];
        let running_time =
            class.mean_ms * self.exponential().clamp(*RUNNING_TIMES.start(), *RUNNING_TIMES.end());
        let size_hint = running_time * (self.uniform() * 2.0 - 1.0).exp();
        self.job_count += 1;
        Job {
            id: format!("{:08x}{:08x}", self.rng.random::<u32>(), self.job_count),
            submit_at,
            class: number,
            running_time,
            slots: class.slots,
            size_hint,
            client_timeout: class.client_timeout_ms,
            dependencies: Vec::new(),
            start_at: None,
            disconnects_after: None,
            in_backlog: false,
            scheduler: self.rng.random_range(0..self.scenario.schedulers),
        }
    }

    /// Makes a job wait for other jobs or for a start time.
    fn defer(&mut self, job: &mut Job, recent: &[RecentJob]) {
        let waiting = &self.scenario.waiting;
        if self.uniform() < waiting.dependent_fraction && !recent.is_empty() {
            let dependencies = self.rng.random_range(1..=waiting.max_dependencies.clamp(1, MAX_DEPENDENCIES));
            for _ in 0..dependencies {
                self.add_dependency(job, recent);
            }
        } else {
            let [from, to] = waiting.delay_ms;
            job.start_at = Some(job.submit_at + from + (to - from) * self.uniform());
        }
        job.client_timeout += waiting.extra_timeout_ms;
    }

    /// Adds a dependency, unless it was sent to another scheduler or is already one.
    fn add_dependency(&mut self, job: &mut Job, recent: &[RecentJob]) {
        let RecentJob { id, scheduler } = recent[self.rng.random_range(0..recent.len())].clone();
        if job.dependencies.is_empty() {
            job.scheduler = scheduler;
        } else if job.scheduler != scheduler {
            return;
        }
        let takes_any_answer = self.uniform() < self.scenario.waiting.any_answer_fraction;
        if job.dependencies.iter().all(|(dependency, _)| *dependency != id) {
            job.dependencies.push((id, takes_any_answer));
        }
    }

    /// Draws the jobs that arrive throughout the run.
    fn steady_jobs(&mut self) -> Vec<Job> {
        let scenario = self.scenario;
        let rate = scenario.capacity() * scenario.load / 1e3;
        let end = scenario.seconds * 1e3;
        let mut jobs = Vec::new();
        let mut recent = Vec::new();
        let mut at = 0.0;
        loop {
            // At zero load the first interval is infinite, so there are no jobs.
            at += self.exponential() / rate;
            if at >= end {
                return jobs;
            }
            let mut job = self.job(at);
            if self.uniform() < scenario.waiting.share {
                self.defer(&mut job, &recent);
            }
            if self.uniform() < scenario.disconnect_fraction {
                job.disconnects_after = Some(job.client_timeout * DISCONNECT_WITHIN * self.uniform());
            }
            recent.push(RecentJob { id: job.id.clone(), scheduler: job.scheduler });
            if recent.len() > RECENT_JOBS {
                recent.remove(0);
            }
            jobs.push(job);
        }
    }

    /// Adds the jobs of a backlog.
    fn add_backlog(&mut self, backlog: &Backlog, jobs: &mut Vec<Job>) {
        let ready = backlog.at_s * 1e3;
        let lead_time = backlog.before_s * 1e3;
        // If a job makes the backlog ready, all others depend on this one. It ends close to the time at which
        // they should become ready.
        let mut shared_dependency = self.job(ready - lead_time);
        shared_dependency.running_time = lead_time;
        shared_dependency.size_hint = lead_time;
        shared_dependency.slots = 1;
        shared_dependency.client_timeout = ready + SHARED_DEPENDENCY_TIMEOUT_MS;
        shared_dependency.in_backlog = true;
        for number in 0..backlog.jobs {
            let remaining_fraction = 1.0 - number as f64 / backlog.jobs as f64;
            let mut job = self.job(ready - lead_time * BACKLOG_SPREAD * remaining_fraction - 1.0);
            job.client_timeout = ready - job.submit_at + backlog.client_timeout_s * 1e3;
            job.in_backlog = true;
            match backlog.ready_by {
                ReadyBy::Time => job.start_at = Some(ready),
                ReadyBy::Job => {
                    job.dependencies.push((shared_dependency.id.clone(), false));
                    job.scheduler = shared_dependency.scheduler;
                }
            }
            jobs.push(job);
        }
        if backlog.ready_by == ReadyBy::Job {
            jobs.push(shared_dependency);
        }
    }
}

impl Plan {
    /// Generates the jobs of a run.
    pub fn generate(scenario: &Scenario, seed: u64) -> Plan {
        let mut generator = PlanGenerator { scenario, rng: ChaCha8Rng::seed_from_u64(seed), job_count: 0 };
        let mut jobs = generator.steady_jobs();
        for backlog in &scenario.backlog {
            generator.add_backlog(backlog, &mut jobs);
        }
        jobs.sort_by(|a, b| a.submit_at.total_cmp(&b.submit_at));
        Plan::of(jobs)
    }

    /// Returns a job by its trace id.
    pub fn get(&self, id: &str) -> Option<&Job> {
        self.index.get(id).map(|position| &self.jobs[*position])
    }

    /// Creates a plan of the given jobs, which must be in the order of their submission.
    pub fn of(jobs: Vec<Job>) -> Plan {
        let index = jobs.iter().enumerate().map(|(position, job)| (job.id.clone(), position)).collect();
        Plan { jobs, index }
    }
}
