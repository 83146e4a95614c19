//! Effect of a pause of one member on its own membership and on that of the other members.

use crate::parallel::map_parallel;
use crate::{false_removals, PROBE_INTERVAL, ZONES};
use anyhow::Result;
use postusher_membership::{Mechanisms, MemberStatus, Millis};
use postusher_testbed::virtual_net::VirtualNetwork;
use std::fmt::Write as _;

const MEMBERS: usize = 10;
const PAUSED_MEMBER: usize = 4;
const SEEDS: u64 = 20;
const FIRST_SEED: u64 = 3_000;
/// Durations of the pauses, in probe intervals.
const PAUSES: [f64; 9] = [0.5, 2.0, 4.0, 5.0, 6.0, 7.0, 8.0, 10.0, 30.0];
/// Time for which the cluster runs after the pause.
const TIME_AFTER_PAUSE: Millis = 20_000.0;

struct PauseResult {
    /// Number of seeds in which the paused member was removed.
    removals: usize,
    /// Number of removals of other members.
    false_removals: usize,
}

/// Writes the table of pauses.
pub fn write_section(page: &mut String) -> Result<()> {
    writeln!(
        page,
        "\n## Pauses\n\nOne of 10 members paused: seeds of 20 in which it was removed, and removals of \
         other members.\n"
    )?;
    writeln!(
        page,
        "| pause, intervals | paused member removed | other members removed |\n| --- | --- | --- |"
    )?;
    let results = map_parallel(&PAUSES, |pause| measure_pause(*pause));
    for (pause, PauseResult { removals, false_removals }) in PAUSES.iter().zip(results) {
        writeln!(page, "| {pause} | {removals} | {false_removals} |")?;
    }
    Ok(())
}

/// Pauses one member under each seed and returns the results over all seeds.
fn measure_pause(intervals: f64) -> PauseResult {
    let mut result = PauseResult { removals: 0, false_removals: 0 };
    for seed in 0..SEEDS {
        let mut network = VirtualNetwork::settled(MEMBERS, ZONES, FIRST_SEED + seed, Mechanisms::default());
        network.pause(PAUSED_MEMBER);
        network.run_for(intervals * PROBE_INTERVAL);
        network.resume(PAUSED_MEMBER);
        network.run_for(TIME_AFTER_PAUSE);
        let is_removed = network
            .status_changes
            .iter()
            .any(|change| change.subject == PAUSED_MEMBER && change.status == MemberStatus::Removed);
        if is_removed {
            result.removals += 1;
        }
        result.false_removals += false_removals(&network, &[PAUSED_MEMBER]).count();
    }
    result
}
