//! Comparison of the protocol with other failure detectors and with variants of itself that each have one
//! mechanism disabled, under the same faults.

use crate::crash::quantile;
use crate::fault_cases::{fault_cases, NamedCase, MEMBERS};
use crate::parallel::map_parallel;
use crate::{PROBE_INTERVAL, ZONES};
use anyhow::Result;
use postusher_membership::{Mechanisms, MemberStatus};
use postusher_testbed::detectors::{simulate, Detections, Detector, FalseRemoval, FaultCase};
use postusher_testbed::virtual_net::VirtualNetwork;
use std::fmt::Write as _;

/// Number of simulations of each case.
const SEEDS: usize = 10;
const FIRST_SEED: u64 = 5_000;

/// A failure detector under comparison.
#[derive(Clone, Copy)]
enum Candidate {
    /// The scheduler's membership protocol.
    Protocol(Mechanisms),
    /// A model of another failure detector.
    Model(Detector),
}

/// Writes the table of the protocol with one mechanism disabled at a time.
pub fn write_mechanisms(page: &mut String) -> Result<()> {
    let full_protocol = Mechanisms::default();
    let variants = [
        ("quorum", Mechanisms { quorum: false, ..full_protocol }),
        ("indirect pings", Mechanisms { indirect_pings: false, ..full_protocol }),
        ("refutation", Mechanisms { refutation: false, ..full_protocol }),
        ("raised incarnation", Mechanisms { raised_incarnation: false, ..full_protocol }),
        ("pause compensation", Mechanisms { pause_compensation: false, ..full_protocol }),
        ("majority", Mechanisms { majority: false, ..full_protocol }),
    ];
    let names = variants.map(|(name, _)| name);
    writeln!(
        page,
        "\n## Protocol without each mechanism\n\nFalse removals under the same faults and seeds; for all \
         mechanisms enabled, see the column `postusher` above.\n"
    )?;
    writeln!(page, "| fault | {} |\n| ---{} |", names.join(" | "), " | ---".repeat(names.len()))?;
    for NamedCase { name, case, expected_removals } in fault_cases() {
        let counts = variants.map(|(_, mechanisms)| {
            let detections = run_all_seeds(Candidate::Protocol(mechanisms), &case);
            count_false_removals(&detections, expected_removals).to_string()
        });
        writeln!(page, "| {name} | {} |", counts.join(" | "))?;
    }
    Ok(())
}

/// Writes the table that compares the protocol with the other detectors.
pub fn write_detectors(page: &mut String) -> Result<()> {
    writeln!(
        page,
        "\n## Comparison with other failure detectors\n\nTen members, ten seeds, timeouts of five intervals \
         each; the models are in `crates/testbed/src/detectors`. Crashes: detection time in intervals (p50, \
         max, and the number of observers that did not detect the crash, if any); then, as for all other \
         faults, the false removals over all observers and seeds.\n"
    )?;
    writeln!(page, "| fault | postusher | SWIM with suspicion | phi accrual |\n| --- | --- | --- | --- |")?;
    let candidates = [
        Candidate::Protocol(Mechanisms::default()),
        Candidate::Model(Detector::Swim),
        Candidate::Model(Detector::PhiAccrual),
    ];
    for NamedCase { name, case, expected_removals } in fault_cases() {
        let cells = candidates.map(|candidate| {
            let detections = run_all_seeds(candidate, &case);
            let false_removals = count_false_removals(&detections, expected_removals);
            if case.crashed.is_some() {
                format!("{}; {false_removals}", describe_detection_times(&detections))
            } else {
                false_removals.to_string()
            }
        });
        writeln!(page, "| {name} | {} |", cells.join(" | "))?;
    }
    Ok(())
}

/// Returns the median and the maximum of the detection times of a crash, and the number of observers that did
/// not detect it, as text.
fn describe_detection_times(detections: &[Detections]) -> String {
    let mut detection_times: Vec<f64> = detections
        .iter()
        .flat_map(|detections| &detections.crash_detection_times)
        .map(|millis| millis / PROBE_INTERVAL)
        .collect();
    detection_times.sort_by(f64::total_cmp);
    let p50 = quantile(&detection_times, 0.5);
    let max = quantile(&detection_times, 1.0);
    let observers = (MEMBERS - 1) * SEEDS;
    let undetected = observers.saturating_sub(detection_times.len());
    if undetected > 0 {
        format!("{p50:.1}, {max:.1}, {undetected} undetected")
    } else {
        format!("{p50:.1}, {max:.1}")
    }
}

fn count_false_removals(detections: &[Detections], expected: &[usize]) -> usize {
    detections
        .iter()
        .flat_map(|detections| &detections.false_removals)
        .filter(|removal| !expected.contains(&removal.subject))
        .count()
}

/// Simulates a case under all seeds and returns the detections of each simulation.
fn run_all_seeds(candidate: Candidate, case: &FaultCase) -> Vec<Detections> {
    let seeds: Vec<u64> = (0..SEEDS as u64).map(|seed| FIRST_SEED + seed).collect();
    map_parallel(&seeds, |seed| match candidate {
        Candidate::Protocol(mechanisms) => run_protocol(case, *seed, mechanisms),
        Candidate::Model(detector) => simulate(detector, case, *seed),
    })
}

/// Runs the scheduler's membership protocol under a fault case of the detector models. Returns all removals
/// of members that have not crashed as false removals.
fn run_protocol(case: &FaultCase, seed: u64, mechanisms: Mechanisms) -> Detections {
    let mut network = VirtualNetwork::settled(case.members, ZONES, seed, mechanisms);
    network.set_link_conditions(case.link_conditions);
    for (from, to) in &case.cut_links {
        network.cut_link(*from, *to);
    }
    if let Some(crashed) = case.crashed {
        network.crash(crashed);
    }
    let faults_begin = network.now();
    if let Some(pause) = case.paused {
        network.pause(pause.member);
        network.run_for(pause.duration);
        network.resume(pause.member);
    }
    network.run_for(faults_begin + case.duration - network.now());

    let mut detections = Detections::default();
    for change in &network.status_changes {
        if change.status != MemberStatus::Removed {
            continue;
        }
        if case.crashed == Some(change.subject) {
            detections.crash_detection_times.push(change.at - faults_begin);
        } else {
            let removal = FalseRemoval { observer: change.observer, subject: change.subject };
            detections.false_removals.push(removal);
        }
    }
    detections
}
