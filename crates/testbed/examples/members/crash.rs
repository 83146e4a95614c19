//! Time until all members know of a crash.

use crate::parallel::map_parallel;
use crate::plot::{Line, Plot};
use crate::{false_removals, CLUSTER_SIZES, PROBE_INTERVAL, ZONES};
use anyhow::Result;
use postusher_membership::{Mechanisms, MemberStatus, Millis};
use postusher_testbed::virtual_net::{LinkConditions, VirtualNetwork};
use std::fmt::Write as _;
use std::path::Path;

const LOSSES: [f64; 4] = [0.0, 0.1, 0.3, 0.5];
/// Clusters of this size are measured at fewer losses, as each takes a minute.
const LARGE_CLUSTER: usize = 1_000;
const LOSSES_OF_LARGE_CLUSTER: [f64; 2] = [0.0, 0.3];
const FIRST_SEED: u64 = 1_000;
const TIME_AFTER_CRASH: Millis = 25_000.0;
const SIMULATIONS_AT_ONCE: usize = 6;

struct CrashCase {
    members: usize,
    loss: f64,
}

struct CrashResult {
    /// When each member that is left knew, in probe intervals, in ascending order.
    known_after: Vec<f64>,
    /// Members that did not know in time.
    unknown: usize,
    false_removals: usize,
}

/// Writes the table of detection times and its plot.
pub fn write_section(page: &mut String, out: &Path) -> Result<()> {
    writeln!(
        page,
        "## Time to know of a crash\n\n| members | loss | p50 | p99 | last | not known | removed wrongly |"
    )?;
    writeln!(page, "| --- | --- | --- | --- | --- | --- | --- |")?;
    let mut lines = Vec::new();
    for loss in LOSSES {
        lines.push(Line { label: format!("loss {loss}, p99"), points: Vec::new() });
    }
    for cases in crash_cases().chunks(SIMULATIONS_AT_ONCE) {
        let results = map_parallel(cases, measure_crash);
        for (CrashCase { members, loss }, result) in cases.iter().zip(results) {
            let p50 = quantile(&result.known_after, 0.5);
            let p99 = quantile(&result.known_after, 0.99);
            let last = quantile(&result.known_after, 1.0);
            let CrashResult { unknown, false_removals, .. } = result;
            writeln!(
                page,
                "| {members} | {loss} | {p50:.1} | {p99:.1} | {last:.1} | {unknown} | {false_removals} |"
            )?;
            if let Some(line) = LOSSES.iter().position(|of_line| of_line == loss) {
                lines[line].points.push((*members as f64, p99));
            }
        }
    }
    let plot = Plot {
        title: "Time to know of a crash, p99",
        x_label: "members",
        y_label: "probe intervals",
        lines: &lines,
    };
    plot.write(&out.join("crash.svg"))?;
    writeln!(page, "\n![Time to know of a crash](crash.svg)\n")?;
    Ok(())
}

fn crash_cases() -> Vec<CrashCase> {
    let mut cases = Vec::new();
    for members in CLUSTER_SIZES {
        for loss in LOSSES {
            if members < LARGE_CLUSTER || LOSSES_OF_LARGE_CLUSTER.contains(&loss) {
                cases.push(CrashCase { members, loss });
            }
        }
    }
    cases
}

fn measure_crash(case: &CrashCase) -> CrashResult {
    let seeds = (60 / case.members as u64).clamp(1, 10);
    let crashed = case.members / 2;
    let mut result = CrashResult { known_after: Vec::new(), unknown: 0, false_removals: 0 };
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
                Some(removal) => result.known_after.push((removal.at - crashed_at) / PROBE_INTERVAL),
                None => result.unknown += 1,
            }
        }
        result.false_removals += false_removals(&network, &[crashed]).count();
    }
    result.known_after.sort_by(f64::total_cmp);
    result
}

/// The value below which a part of the values lies, of values in ascending order; NaN if there are none.
pub fn quantile(sorted: &[f64], part: f64) -> f64 {
    let rank = (sorted.len() as f64 * part) as usize;
    let index = rank.min(sorted.len().saturating_sub(1));
    sorted.get(index).copied().unwrap_or(f64::NAN)
}
