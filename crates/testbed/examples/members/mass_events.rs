//! What a large cluster makes of events that concern most of its members.

use crate::{false_removals, ZONES};
use anyhow::Result;
use postusher_membership::{Mechanisms, Millis};
use postusher_testbed::virtual_net::VirtualNetwork;
use std::collections::BTreeSet;
use std::fmt::Write as _;

const MEMBERS: usize = 300;
const SEED: u64 = 13;
/// Members that run before the mass start.
const EARLY_MEMBERS: usize = 30;
const EARLY_TIME: Millis = 20_000.0;
/// Members that crash at once.
const CRASHED_MEMBERS: usize = 210;
/// Time between two events.
const PAUSE_BETWEEN: Millis = 60_000.0;
const MILLIS_PER_SECOND: Millis = 1_000.0;

/// Writes the table of mass events, which befall one cluster in turn.
pub fn write_section(page: &mut String) -> Result<()> {
    let mut network = VirtualNetwork::new(MEMBERS, ZONES, SEED, Mechanisms::default());
    writeln!(page, "\n## 300 members\n\n| what | comes about |\n| --- | --- |")?;
    write_mass_start(page, &mut network)?;
    write_mass_crash(page, &mut network)?;
    write_zone_cut(page, &mut network)
}

fn write_mass_start(page: &mut String, network: &mut VirtualNetwork) -> Result<()> {
    start_all(network, 0, EARLY_MEMBERS);
    network.run_for(EARLY_TIME);
    start_all(network, EARLY_MEMBERS, MEMBERS);
    let agreed = time_to_agree(network, 60);
    writeln!(page, "| 270 of 300 start in one millisecond | all agree after {agreed} |")?;
    Ok(())
}

fn write_mass_crash(page: &mut String, network: &mut VirtualNetwork) -> Result<()> {
    network.run_for(PAUSE_BETWEEN);
    network.status_changes.clear();
    for index in 0..CRASHED_MEMBERS {
        network.crash(index);
    }
    network.run_for(PAUSE_BETWEEN);
    let aware = (CRASHED_MEMBERS..MEMBERS).filter(|index| network.member(*index).is_minority()).count();
    let removals = false_removals(network, &[]).count();
    writeln!(
        page,
        "| 210 killed at once | {aware} of 90 know that they are the smaller side; removals {removals} |"
    )?;
    start_all(network, 0, CRASHED_MEMBERS);
    let agreed = time_to_agree(network, 120);
    writeln!(page, "| they start again | all agree after {agreed} |")?;
    Ok(())
}

fn write_zone_cut(page: &mut String, network: &mut VirtualNetwork) -> Result<()> {
    network.run_for(PAUSE_BETWEEN);
    network.status_changes.clear();
    let (zone, rest): (Vec<usize>, Vec<usize>) = (0..MEMBERS).partition(|index| index % ZONES == 0);
    network.partition(&zone, &rest);
    network.run_for(PAUSE_BETWEEN);
    let aware = zone.iter().filter(|index| network.member(**index).is_minority()).count();
    let rest_set: BTreeSet<usize> = rest.iter().copied().collect();
    let agreed = rest.iter().filter(|index| network.alive_in_view_of(**index) == rest_set).count();
    let removals = false_removals(network, &zone).count();
    writeln!(page, "| a zone of 100 cut off both ways | {aware} of 100 know it; {agreed} of the other 200 believe in just those 200; the smaller side removes {removals} |")?;
    network.heal_links();
    let agreed = time_to_agree(network, 200);
    writeln!(page, "| the cut heals | all agree after {agreed} |")?;
    Ok(())
}

fn start_all(network: &mut VirtualNetwork, first: usize, end: usize) {
    for index in first..end {
        network.start(index);
    }
}

/// Lets the cluster run until all members agree and none believes itself cut off; the time as text.
fn time_to_agree(network: &mut VirtualNetwork, max_seconds: usize) -> String {
    for second in 1..=max_seconds {
        network.run_for(MILLIS_PER_SECOND);
        let is_minority = (0..MEMBERS).any(|index| network.member(index).is_minority());
        if network.all_agree() && !is_minority {
            return format!("{second} s");
        }
    }
    format!("not in {max_seconds} s")
}
