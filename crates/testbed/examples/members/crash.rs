//! Time until all members detect a crash.

use crate::parallel::map_parallel;
use crate::plot::{Line, Plot};
use crate::{false_removals, CLUSTER_SIZES, PROBE_INTERVAL, ZONES};
use anyhow::Result;
use postusher_membership::{Mechanisms, MemberStatus, Millis};
use postusher_testbed::virtual_net::{LinkConditions, VirtualNetwork};
use std::fmt::Write as _;
use std::path::Path;

/// Fractions of the datagrams that are lost.
const LOSS_RATES: [f64; 4] = [0.0, 0.1, 0.3, 0.5];
/// Clusters of this size or more are measured at fewer loss rates, as each measurement takes a minute.
const LARGE_CLUSTER_SIZE: usize = 1_000;
const LARGE_CLUSTER_LOSS_RATES: [f64; 2] = [0.0, 0.3];
const FIRST_SEED: u64 = 1_000;
/// Time for which the cluster runs after the crash.
const TIME_AFTER_CRASH: Millis = 25_000.0;
const SIMULATIONS_AT_ONCE: usize = 6;

struct CrashCase {
    members: usize,
    loss: f64,
}

struct CrashResult {
    /// Times from the crash until each remaining member detected it, in probe intervals, in ascending order.
    detection_times: Vec<f64>,
    /// Number of members that did not detect the crash within `TIME_AFTER_CRASH`.
    undetected: usize,
    /// Number of removals of members other than the crashed one.
    false_removals: usize,
}

/// Writes the table of detection times and its plot.
pub fn write_section(page: &mut String, out: &Path) -> Result<()> {
    writeln!(
        page,
        "## Time to detect a crash\n\n| members | loss | p50 | p99 | max | not detected | false removals |"
    )?;
    writeln!(page, "| --- | --- | --- | --- | --- | --- | --- |")?;
    let mut lines = Vec::new();
    for loss in LOSS_RATES {
        lines.push(Line { label: format!("loss {loss}, p99"), points: Vec::new() });
    }
    for cases in crash_cases().chunks(SIMULATIONS_AT_ONCE) {
        let results = map_parallel(cases, measure_crash);
        for (CrashCase { members, loss }, result) in cases.iter().zip(results) {
            let p50 = quantile(&result.detection_times, 0.5);
            let p99 = quantile(&result.detection_times, 0.99);
            let max = quantile(&result.detection_times, 1.0);
            let CrashResult { undetected, false_removals, .. } = result;
            writeln!(
                page,
                "| {members} | {loss} | {p50:.1} | {p99:.1} | {max:.1} | {undetected} | {false_removals} |"
            )?;
            if let Some(line) = LOSS_RATES.iter().position(|line_loss| line_loss == loss) {
                lines[line].points.push((*members as f64, p99));
            }
        }
    }
    let plot = Plot {
        title: "Time to detect a crash, p99",
        x_label: "members",
        y_label: "probe intervals",
        lines: &lines,
    };
    plot.write(&out.join("crash.svg"))?;
    writeln!(page, "\n![Time to detect a crash](crash.svg)\n")?;
    Ok(())
}

/// Returns the measured combinations of cluster size and loss rate.
fn crash_cases() -> Vec<CrashCase> {
    let mut cases = Vec::new();
    for members in CLUSTER_SIZES {
        for loss in LOSS_RATES {
            if members < LARGE_CLUSTER_SIZE || LARGE_CLUSTER_LOSS_RATES.contains(&loss) {
                cases.push(CrashCase { members, loss });
            }
        }
    }
    cases
}

/// Crashes one member under each seed and returns the results over all seeds.
fn measure_crash(case: &CrashCase) -> CrashResult {
    // Small clusters have few observers, so they are simulated with more seeds.
    let seeds = (60 / case.members as u64).clamp(1, 10);
    let crashed = case.members / 2;
    let mut result = CrashResult { detection_times: Vec::new(), undetected: 0, false_removals: 0 };
    for seed in 0..seeds {
        let mut network =
            VirtualNetwork::settled(case.members, ZONES, FIRST_SEED + seed, Mechanisms::default());
        network.set_link_conditions(LinkConditions { loss: case.loss, ..LinkConditions::default() });
        let crashed_at = network.now();
        network.crash(crashed);
        network.run_for(TIME_AFTER_CRASH);
        for observer in (0..case.members).filter(|observer| *observer != crashed) {
            let removal = network.status_changes.iter().find(|change| {
                change.observer == observer
                    && change.subject == crashed
                    && change.status == MemberStatus::Removed
            });
            match removal {
                Some(removal) => result.detection_times.push((removal.at - crashed_at) / PROBE_INTERVAL),
                None => result.undetected += 1,
            }
        }
        result.false_removals += false_removals(&network, &[crashed]).count();
    }
    result.detection_times.sort_by(f64::total_cmp);
    result
}

/// Returns the value below which a fraction of the values lies; NaN if there are no values. The values must
/// be in ascending order.
pub fn quantile(sorted: &[f64], fraction: f64) -> f64 {
    let rank = (sorted.len() as f64 * fraction) as usize;
    let index = rank.min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(f64::NAN)
}
