//! The rule that draining workers get no new jobs.

use super::{Rule, RunIndex};
use crate::journal::Observation;
use std::collections::HashMap;

/// Time after which a notified scheduler must not send jobs to a draining worker, in milliseconds: 750 ms of
/// drain grace and 50 ms for transmission.
const MAX_DRAIN_DELAY_MS: f64 = 800.0;

/// Checks that no job reaches a worker after the drain grace of the scheduler that sent it.
pub(super) fn check_drains(index: &RunIndex, add: &mut impl FnMut(Rule, String)) {
    // When each scheduler was notified of each draining worker, by worker and scheduler.
    let mut draining_since = HashMap::<(usize, usize), f64>::new();
    for entry in &index.run.entries {
        match &entry.observation {
            Observation::DrainNotified { worker, scheduler, drains: true } => {
                draining_since.entry((*worker, *scheduler)).or_insert(entry.at);
            }
            Observation::DrainNotified { worker, scheduler, drains: false } => {
                draining_since.remove(&(*worker, *scheduler));
            }
            // A new process of the scheduler has not been notified yet.
            Observation::SchedulerKilled { scheduler } | Observation::SchedulerExited { scheduler, .. } => {
                draining_since.retain(|(_, s), _| s != scheduler)
            }
            Observation::JobReceived { job, worker, scheduler, .. } => {
                let since = draining_since.get(&(*worker, *scheduler));
                let since =
                    since.filter(|at| entry.at - **at > MAX_DRAIN_DELAY_MS && !index.is_near_stall(entry.at));
                if let Some(since) = since {
                    add(
                        Rule::DrainGrace,
                        format!(
                            "{job} reached worker {worker} at {:.0} ms, draining since {since:.0} ms",
                            entry.at
                        ),
                    );
                }
            }
            _ => {}
        }
    }
}
