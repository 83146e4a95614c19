//! Rules about clients: no attempt for a disconnected client, and no time left sent to a worker that exceeds
//! the time left of the client.

use super::{Rule, RunIndex};
use crate::journal::Observation;
use crate::scenario::{Fault, FaultKind};

/// Time after a client's disconnect within which attempts may still reach a worker, in milliseconds: 100 ms
/// and 50 ms for transmission.
const MAX_DISCONNECT_DELAY_MS: f64 = 150.0;
/// Tolerance for the time left that is sent to a worker, in milliseconds.
const TIME_LEFT_TOLERANCE_MS: f64 = 150.0;

/// Longest pause of a scheduler that the limits above cover, in seconds.
const MAX_PAUSE_S: f64 = 0.15;

/// Returns whether a fault of the scenario throttles a scheduler or pauses it for longer than
/// [`MAX_PAUSE_S`], so that it reads the requests and disconnects of clients late.
fn is_slowed_by_fault(index: &RunIndex, scheduler: usize) -> bool {
    let delays = |fault: &Fault| {
        fault.kind == FaultKind::Throttle || fault.kind == FaultKind::Pause && fault.duration_s > MAX_PAUSE_S
    };
    index.run.scenario.fault.iter().any(|fault| delays(fault) && fault.targets.contains(&scheduler))
}

/// Checks that no attempt is started for a client that has disconnected.
pub(super) fn check_disconnects(index: &RunIndex, add: &mut impl FnMut(Rule, String)) {
    for (job, history) in index.jobs() {
        let disconnected_at = history
            .outcomes
            .iter()
            .find(|(_, outcome)| matches!(outcome, Observation::ClientLeft { .. }))
            .map(|(at, _)| *at);
        let Some(disconnected_at) = disconnected_at else { continue };
        let limit_applies = !is_slowed_by_fault(index, job.scheduler);
        let is_late = |at: f64| {
            limit_applies && at > disconnected_at + MAX_DISCONNECT_DELAY_MS && !index.is_near_stall(at)
        };
        for (at, worker, ..) in history.arrivals.iter().filter(|(at, ..)| is_late(*at)) {
            add(
                Rule::ClientConnected,
                format!(
                    "{} reached worker {worker} at {at:.0} ms, its client disconnected at {:.0} ms",
                    job.id, disconnected_at
                ),
            );
        }
    }
}

/// Checks that no time left that was sent to a worker exceeds that of the client.
pub(super) fn check_time_left(index: &RunIndex, add: &mut impl FnMut(Rule, String)) {
    for entry in &index.run.entries {
        let Observation::JobReceived { job: id, time_left: Some(sent_time_left), .. } = &entry.observation
        else {
            continue;
        };
        let Some(job) = index.run.plan.get(id) else { continue };
        let Some(sent) = index.histories.get(id.as_str()).and_then(|history| history.sent) else { continue };
        let time_left = sent + job.client_timeout - entry.at;
        let limit_applies = !is_slowed_by_fault(index, job.scheduler) && !index.is_near_stall(entry.at);
        if limit_applies && *sent_time_left > time_left + TIME_LEFT_TOLERANCE_MS {
            add(
                Rule::TimeLeft,
                format!(
                    "{id} at {:.0} ms: the worker got a time left of {sent_time_left:.0} ms, \
                     the client has {time_left:.0} ms left",
                    entry.at
                ),
            );
        }
    }
}
