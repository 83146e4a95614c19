//! Membership rule: removals need a fault that explains them, and all views agree at the end of the run.

use super::Rule;
use crate::journal::{Entry, Observation};
use crate::runner::Run;
use crate::scenario::{Fault, FaultKind};

/// Checks the views that the schedulers publish on their admin interfaces. Removals are matched with faults
/// by the order of the views; how long a view lasts does not matter.
pub(super) fn check_membership(run: &Run, add: &mut impl FnMut(Rule, String)) {
    let (Some(members), n) = (&run.scenario.members, run.scenario.schedulers) else { return };
    let faults = &run.scenario.fault;
    let is_killed_by = |fault: &Fault, of: usize| {
        matches!(fault.kind, FaultKind::Down | FaultKind::Kill) && fault.targets.contains(&of)
    };
    let removal_causes = |of: usize| {
        faults.iter().filter(|fault| fault.allowed_removals.contains(&of) || is_killed_by(fault, of)).count()
    };
    let mut views: Vec<Vec<(f64, &str, bool)>> = vec![Vec::new(); n];
    let mut killed = vec![None; n];
    for Entry { at, observation } in &run.entries {
        match observation {
            Observation::View { scheduler, states, minority } => {
                views[*scheduler].push((*at, states, *minority))
            }
            Observation::SchedulerKilled { scheduler } => killed[*scheduler] = Some(*at),
            _ => {}
        }
    }
    let has_state = |states: &str, of: usize, letter: u8| states.as_bytes().get(of) == Some(&letter);
    for (by, views) in views.iter().enumerate() {
        for of in 0..n {
            // Each removal from a view needs a separate fault that allows it and that has begun by then. So
            // no member is removed after the last fault, except by the effect of that fault.
            let is_member = |states: &str| has_state(states, of, b'a') || has_state(states, of, b's');
            let is_removed = |states: &str| has_state(states, of, b'g') || has_state(states, of, b'l');
            let removal_times = views
                .windows(2)
                .filter(|pair| is_member(pair[0].1) && is_removed(pair[1].1))
                .map(|pair| pair[1].0);
            let ends_process = |fault: &Fault| {
                is_killed_by(fault, of) || fault.kind == FaultKind::Term && fault.targets.contains(&of)
            };
            let causes = faults.iter().filter(|f| f.allowed_removals.contains(&of) || ends_process(f));
            let mut causes: Vec<f64> = causes.map(|fault| fault.at_s * 1e3).collect();
            for at in removal_times {
                match causes.iter().position(|begun| *begun <= at) {
                    Some(cause) => drop(causes.remove(cause)),
                    None => {
                        add(Rule::Membership, format!("s{by} removed s{of} at {at:.0} ms without a fault"))
                    }
                }
            }
        }
        match views.last() {
            Some((_, states, false)) if states.bytes().all(|letter| letter == b'a') => {}
            last => add(
                Rule::Membership,
                format!("at the end of the run, s{by} misses a member or is in the minority: {last:?}"),
            ),
        }
    }
    // A member that is down for long enough must be removed by every other member, except by those that a
    // fault kills or allows others to remove.
    let min_downtime_s = (members.suspicion_ms + 8.0 * members.probe_ms) / 1e3;
    let down = faults.iter().filter(|f| f.kind == FaultKind::Down && f.duration_s >= min_downtime_s);
    for of in down.flat_map(|fault| fault.targets.iter().copied()) {
        let since = killed[of].unwrap_or(f64::INFINITY);
        for by in (0..n).filter(|by| *by != of && removal_causes(*by) == 0) {
            if !views[by].iter().any(|(at, states, _)| *at > since && has_state(states, of, b'g')) {
                add(Rule::Membership, format!("s{by} did not remove s{of} after it was killed"));
            }
        }
    }
}
