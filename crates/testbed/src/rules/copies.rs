//! The rule that no job has two attempts at once where the settings do not allow it.

use super::{Rule, RunIndex};
use crate::journal::Observation;
use std::collections::HashMap;

/// An attempt that its worker has accepted, and that has neither ended nor been cancelled.
struct OpenAttempt {
    worker: usize,
    since: f64,
}

/// Checks each arrival of a job at a worker against the open attempts of that job.
pub(super) fn check_copies(index: &RunIndex, add: &mut impl FnMut(Rule, String)) {
    if index.run.scenario.second_copies {
        return;
    }
    let mut open = HashMap::<&str, Vec<OpenAttempt>>::new();
    for entry in &index.run.entries {
        match &entry.observation {
            Observation::JobReceived { job, worker, status: 202, .. } => {
                let attempts = open.entry(job).or_default();
                if let Some(other) =
                    attempts.iter().find(|other| !may_overlap(index, job, other.since, entry.at))
                {
                    add(
                        Rule::SecondCopies,
                        format!(
                            "{job} reached worker {worker} at {:.0} ms while its attempt at worker {} of {:.0} ms is open",
                            entry.at, other.worker, other.since
                        ),
                    );
                }
                attempts.push(OpenAttempt { worker: *worker, since: entry.at });
            }
            Observation::AttemptEnded { job, worker } | Observation::AttemptCancelled { job, worker } => {
                if let Some(attempts) = open.get_mut(job.as_str()) {
                    attempts.retain(|attempt| attempt.worker != *worker);
                }
            }
            Observation::WorkerDied { worker } => {
                for attempts in open.values_mut() {
                    attempts.retain(|attempt| attempt.worker != *worker);
                }
            }
            _ => {}
        }
    }
}

/// Returns whether a further attempt may begin while one that began at `since` is open: the client has sent the
/// job again because its scheduler was killed, or the test bed stalled, so that a connection that the scheduler
/// had closed may have been read later.
fn may_overlap(index: &RunIndex, id: &str, since: f64, at: f64) -> bool {
    let Some(job) = index.run.plan.get(id) else { return false };
    let is_sent_again = index.histories.get(id).is_some_and(|history| history.send_count > 1);
    is_sent_again && index.was_killed(job.scheduler, since, at) || index.is_near_stall(at)
}
