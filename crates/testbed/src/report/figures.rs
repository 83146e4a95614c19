//! Computes the figures of a run.

use super::{Report, Series, ViewInterval, STEP_MS};
use crate::journal::Observation;
use crate::plan::Job;
use crate::rules::{Breach, JobHistory, RunIndex};
use crate::runner::Run;
use anyhow::Result;
use hdrhistogram::Histogram;
use std::collections::BTreeMap;

/// Largest value of a histogram, in microseconds: an hour.
const MAX_MICROS: u64 = 3_600_000_000;
/// Number of significant digits that a histogram keeps.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The reported quantiles of a class.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.99, 0.999];
/// The quantiles of a latency curve.
const CURVE_QUANTILES: [f64; 12] = [0.0, 0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 1.0];

/// The distribution of durations, in milliseconds.
#[derive(Default)]
struct Distribution {
    /// The values at [`QUANTILES`].
    percentiles: [f64; 4],
    /// Quantiles from 0 to 1, and their values.
    curve: Vec<(f64, f64)>,
}

impl Distribution {
    fn of(values: &[f64]) -> Result<Distribution> {
        let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)?;
        if values.is_empty() {
            return Ok(Distribution::default());
        }
        for millis in values {
            histogram.saturating_record((millis * 1e3).max(1.0) as u64);
        }
        let at = |quantile: f64| histogram.value_at_quantile(quantile) as f64 / 1e3;
        Ok(Distribution {
            percentiles: QUANTILES.map(at),
            curve: CURVE_QUANTILES.map(|quantile| (quantile, at(quantile))).to_vec(),
        })
    }
}

/// Collected durations of jobs in milliseconds, and the count of rejected jobs.
#[derive(Default)]
struct JobTimings {
    /// From the submission or the readiness of served jobs to their answers, by class.
    latencies: BTreeMap<String, Vec<f64>>,
    /// From the readiness of deferred jobs to their first arrival at a worker or, if they reached none, to
    /// their answers.
    waits: Vec<f64>,
    /// The number of rejected jobs that are not deferred.
    immediate_rejected: usize,
}

/// Computes the report of a run.
///
/// # Errors
/// Returns an error if a histogram cannot be created.
pub fn report(run: &Run, seed: u64, breaches: Vec<Breach>) -> Result<Report> {
    let index = RunIndex::new(run);
    let mut report = Report {
        about: run.scenario.about.clone(),
        seed,
        seconds: run.scenario.seconds,
        breaches,
        answers: [usize::MAX, 0],
        ..Report::default()
    };
    let mut timings = JobTimings::default();
    for (job, history) in index.jobs() {
        let Some(sent) = history.sent else { continue };
        add_job(&mut report, &mut timings, &run.scenario.class[job.class].name, job, history);
        let ready = index.ready_at(job, history);
        if history.status() == Some(200) {
            let from = if job.is_deferred() { ready.unwrap_or(sent) } else { sent };
            let latency = history.answered_at().unwrap_or(from) - from;
            let class = &run.scenario.class[job.class].name;
            timings.latencies.entry(class.clone()).or_default().push(latency.max(0.0));
        }
        if job.is_deferred() {
            add_deferred_job(&mut report, &mut timings, history, ready);
        }
    }
    if report.answers[0] == usize::MAX {
        report.answers[0] = 0;
    }
    report.immediate_rejected_fraction =
        timings.immediate_rejected as f64 / report.immediate_jobs.max(1) as f64;
    for (class, values) in timings.latencies {
        let distribution = Distribution::of(&values)?;
        let class = report.classes.entry(class).or_default();
        class.latency = distribution.percentiles;
        class.curve = distribution.curve;
    }
    let [median, _, p99, _] = Distribution::of(&timings.waits)?.percentiles;
    report.waiting.wait = [median, p99, timings.waits.iter().copied().fold(0.0, f64::max)];
    add_series(run, &mut report);
    report.member_views = view_intervals(run);
    Ok(report)
}

/// Adds a sent job to the figures.
fn add_job(report: &mut Report, timings: &mut JobTimings, class: &str, job: &Job, history: &JobHistory) {
    let status = history.status();
    let is_rejected = matches!(status, Some(429 | 503));
    let class = report.classes.entry(class.to_string()).or_default();
    report.jobs += 1;
    class.sent += 1;
    match status {
        Some(200) => class.served += 1,
        Some(429 | 503) => class.rejected += 1,
        Some(_) => class.failed += 1,
        None => class.other += 1,
    }
    if let Some(status) = status {
        *class.statuses.entry(status).or_default() += 1;
    }
    let client_stayed = !history
        .outcomes
        .iter()
        .any(|(_, end)| matches!(end, Observation::ClientLeft { .. } | Observation::ConnectionLost { .. }));
    if client_stayed {
        let is_answer = |end: &&(f64, &Observation)| matches!(end.1, Observation::Answered { .. });
        let answers = history.outcomes.iter().filter(is_answer).count();
        report.answers = [report.answers[0].min(answers), report.answers[1].max(answers)];
    }
    if !job.is_deferred() {
        report.immediate_jobs += 1;
        timings.immediate_rejected += usize::from(is_rejected);
    }
}

/// Adds a deferred job to the figures.
fn add_deferred_job(report: &mut Report, timings: &mut JobTimings, history: &JobHistory, ready: Option<f64>) {
    let waiting = &mut report.waiting;
    waiting.sent += 1;
    match history.status() {
        Some(200) => waiting.served += 1,
        Some(424) => {
            waiting.dependency_failed += 1;
            // A job never becomes ready if a dependency is not served.
            return;
        }
        Some(503) => waiting.rejected += 1,
        Some(_) | None => {}
    }
    let first_arrival = history.arrivals.first().map(|(at, ..)| *at);
    let Some(wait_end) = first_arrival.or(history.answered_at()) else { return };
    let Some(ready) = ready else { return };
    // A job that was rejected before it became ready has not waited for a worker.
    if wait_end >= ready || first_arrival.is_some() {
        waiting.ready += 1;
        timings.waits.push((wait_end - ready).max(0.0));
    }
}

/// The view of a member from a time on.
struct View<'a> {
    at: f64,
    /// One letter for each member, as in [`Observation::View`].
    states: &'a str,
    minority: bool,
}

/// Returns the views that members had of each other and of themselves, as intervals.
fn view_intervals(run: &Run) -> Vec<ViewInterval> {
    let members = run.scenario.schedulers;
    let end = run.entries.last().map_or(0.0, |entry| entry.at);
    let mut all = Vec::<ViewInterval>::new();
    for by in 0..members {
        let views = views_of(run, by);
        for of in 0..members {
            for (number, view) in views.iter().enumerate() {
                let to = views.get(number + 1).map_or(end, |next| next.at);
                let state = state_in_view(view, by, of);
                match all.last_mut() {
                    Some(last) if last.by == by && last.of == of && last.state == state => last.to = to,
                    _ => all.push(ViewInterval { by, of, from: view.at, to, state }),
                }
            }
        }
    }
    all
}

/// Returns all views of a member, in order.
fn views_of(run: &Run, member: usize) -> Vec<View<'_>> {
    let mut views = Vec::new();
    for entry in &run.entries {
        if let Observation::View { scheduler, states, minority } = &entry.observation {
            if *scheduler == member {
                views.push(View { at: entry.at, states, minority: *minority });
            }
        }
    }
    views
}

/// Returns the letter for the state of the member `of` in a view of the member `by`.
fn state_in_view(view: &View, by: usize, of: usize) -> char {
    if by != of {
        return view.states.chars().nth(of).unwrap_or('-');
    }
    if view.minority {
        'm'
    } else {
        'a'
    }
}

/// Returns the index of the step that contains a time.
fn step(at: f64) -> usize {
    (at / STEP_MS).max(0.0) as usize
}

/// The slots in use at a worker since a time.
#[derive(Clone, Copy, Default)]
struct Usage {
    since: f64,
    slots: u32,
}

/// Accumulates the mean load of workers over time.
struct LoadSeries {
    usage: Vec<Usage>,
}

impl LoadSeries {
    /// Adds the load of a worker up to a time; after it, the worker uses the given number of slots.
    fn change(&mut self, load: &mut [Vec<f64>], worker: usize, until: f64, slots: u32) {
        let Usage { mut since, slots: used } = self.usage[worker];
        while since < until {
            let step_end = (step(since) + 1) as f64 * STEP_MS;
            let end = step_end.min(until);
            if let Some(mean) = load[worker].get_mut(step(since)) {
                *mean += f64::from(used) * (end - since) / STEP_MS;
            }
            since = end;
        }
        self.usage[worker] = Usage { since: until, slots };
    }
}

/// The jobs at a scheduler, by its latest statistics.
#[derive(Clone, Copy, Default)]
struct JobsAtScheduler {
    held: f64,
    in_flight: f64,
}

/// Computes the time series, and the figures that depend on the order of the entries.
fn add_series(run: &Run, report: &mut Report) {
    let end = run.entries.last().map_or(0.0, |entry| entry.at);
    let steps = step(end) + 1;
    let workers = run.scenario.fleet.workers;
    let mut series = Series {
        answers: vec![[0.0; 3]; steps],
        held: vec![0.0; steps],
        in_flight: vec![0.0; steps],
        load: vec![vec![0.0; steps]; workers],
    };
    let mut latest = vec![JobsAtScheduler::default(); run.scenario.schedulers];
    let mut loads = LoadSeries { usage: vec![Usage::default(); workers] };
    let mut last_step = 0;
    for entry in &run.entries {
        let now = step(entry.at);
        while last_step < now {
            last_step += 1;
            series.held[last_step] = latest.iter().fold(0.0, |sum, jobs| sum + jobs.held);
            series.in_flight[last_step] = latest.iter().fold(0.0, |sum, jobs| sum + jobs.in_flight);
        }
        match &entry.observation {
            Observation::Answered { status: 200, .. } => series.answers[now][0] += 1.0,
            Observation::Answered { status: 429 | 503, .. } => series.answers[now][1] += 1.0,
            Observation::Answered { .. } => series.answers[now][2] += 1.0,
            Observation::SchedulerStats { scheduler, held, in_flight, resident_kib, .. } => {
                latest[*scheduler] = JobsAtScheduler { held: *held as f64, in_flight: *in_flight as f64 };
                report.max_held = report.max_held.max(*held);
                report.max_resident_kib = report.max_resident_kib.max(*resident_kib);
            }
            Observation::WorkerLoad { worker, slots, .. } => {
                loads.change(&mut series.load, *worker, entry.at, *slots);
            }
            Observation::WorkerDied { worker } => loads.change(&mut series.load, *worker, entry.at, 0),
            Observation::Fault { description } => report.faults.push((entry.at, description.clone())),
            _ => {}
        }
    }
    for worker in 0..workers {
        loads.change(&mut series.load, worker, end, 0);
    }
    report.series = series;
}
