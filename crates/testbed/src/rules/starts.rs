//! Rules about the start of jobs: no overload of workers in slow start, and no deferred job before it is
//! ready.

use super::{JobHistory, Rule, RunIndex};
use crate::journal::Observation;
use crate::scenario::{OVERLOAD_FACTOR, OVERLOAD_WINDOW_MS};
use std::collections::HashMap;

/// Maximum time by which the answer to a dependency may reach its client after the dependent job has reached
/// a worker, in milliseconds.
const MAX_ANSWER_DELAY_MS: f64 = 1_000.0;

/// Checks that workers in slow start are not overloaded.
pub(super) fn check_slow_start(index: &RunIndex, add: &mut impl FnMut(Rule, String)) {
    let (scenario, plan) = (&index.run.scenario, &index.run.plan);
    let fleet = &scenario.fleet;
    let mut started = HashMap::<usize, f64>::new();
    let mut recent_work = HashMap::<usize, Vec<(f64, f64)>>::new();
    for entry in &index.run.entries {
        match &entry.observation {
            Observation::WorkerStarted { worker } => {
                started.insert(*worker, entry.at);
                recent_work.remove(worker);
            }
            Observation::JobReceived { job, worker, may_run: true, .. } => {
                let Some(start) = started.get(worker).filter(|at| entry.at - **at < fleet.slow_start_ms)
                else {
                    continue;
                };
                let Some(job) = plan.get(job) else { continue };
                let work = job.running_time * f64::from(job.slots);
                let recent_work = recent_work.entry(*worker).or_default();
                recent_work.push((entry.at, work));
                recent_work.retain(|(at, _)| entry.at - at <= OVERLOAD_WINDOW_MS);
                let capacity_fraction = fleet.slow_start_capacity
                    + (1.0 - fleet.slow_start_capacity) * (entry.at - start) / fleet.slow_start_ms;
                let capacity = f64::from(fleet.slots) * scenario.speed_of(*worker) * capacity_fraction;
                let total: f64 = recent_work.iter().map(|(_, work)| work).sum();
                let largest = recent_work.iter().map(|(_, work)| *work).fold(0.0, f64::max);
                // A single job is no overload, whatever its size.
                if total - largest > OVERLOAD_FACTOR * capacity * OVERLOAD_WINDOW_MS {
                    add(
                        Rule::SlowStartLoad,
                        format!(
                            "worker {worker}, started at {start:.0} ms, got {total:.0} ms of work by \
                             {:.0} ms, but has a capacity of {:.0} ms",
                            entry.at,
                            capacity * OVERLOAD_WINDOW_MS
                        ),
                    );
                }
            }
            _ => {}
        }
    }
}

/// Checks that deferred jobs do not reach a worker before their start times and dependencies.
pub(super) fn check_deferred_starts(index: &RunIndex, add: &mut impl FnMut(Rule, String)) {
    if index.run.scenario.setup.is_none() {
        return;
    }
    for (job, history) in index.jobs().filter(|(job, _)| job.is_deferred()) {
        let Some((arrived_at, ..)) = history.arrivals.first() else { continue };
        let id = &job.id;
        if let Some(start) = job.start_at.filter(|start| arrived_at + 1.0 < *start) {
            add(
                Rule::StartWhenReady,
                format!("{id} reached a worker at {arrived_at:.0} ms, before its start time {start:.0} ms"),
            );
        }
        for (dependency_id, takes_any_answer) in &job.dependencies {
            let Some(dependency) = index.histories.get(dependency_id.as_str()) else {
                add(
                    Rule::StartWhenReady,
                    format!("{id} reached a worker, but its dependency {dependency_id} was never sent"),
                );
                continue;
            };
            // An answer may be lost with a killed scheduler; a job that a worker finished counts as served
            // then.
            let served = dependency.status() == Some(200)
                || dependency.status().is_none() && !dependency.done.is_empty();
            if !takes_any_answer && !served {
                add(
                    Rule::DependencyServed,
                    format!(
                        "{id} reached a worker though its dependency {dependency_id} got status {:?}",
                        dependency.status()
                    ),
                );
            } else if !takes_any_answer && dependency.done.iter().all(|done| done > arrived_at) {
                add(
                    Rule::StartWhenReady,
                    format!("{id} reached a worker at {arrived_at:.0} ms, before {dependency_id} was done"),
                );
            } else if *takes_any_answer
                && answer_time(dependency).is_none_or(|at| at > arrived_at + MAX_ANSWER_DELAY_MS)
            {
                add(
                    Rule::StartWhenReady,
                    format!(
                        "{id} reached a worker at {arrived_at:.0} ms, before {dependency_id} had an answer"
                    ),
                );
            }
        }
    }
}

/// Returns when a dependency had an answer, in milliseconds: when its client received it or, if the client left
/// after a worker had finished the job, when the worker had. The answer was then on its way as the client left.
fn answer_time(dependency: &JobHistory) -> Option<f64> {
    let is_departure =
        |(_, outcome): &&(f64, &Observation)| matches!(outcome, Observation::ClientLeft { .. });
    let left_at = || dependency.outcomes.iter().find(is_departure).map(|(at, _)| *at);
    let done_before = |left_at: f64| dependency.done.iter().copied().find(|done| *done < left_at);
    dependency.answered_at().or_else(|| left_at().and_then(done_before))
}
