//! Reaction of a large cluster to events that affect many of its members.

use crate::{false_removals, ZONES};
use anyhow::Result;
use postusher_membership::{Mechanisms, Millis};
use postusher_testbed::virtual_net::VirtualNetwork;
use std::collections::BTreeSet;
use std::fmt::Write as _;

const MEMBERS: usize = 300;
const SEED: u64 = 13;
/// Number of members that run before the mass start.
const EARLY_MEMBERS: usize = 30;
/// Time for which they run before the mass start.
const EARLY_MEMBERS_TIME: Millis = 20_000.0;
/// Number of members that crash at once.
const CRASHED_MEMBERS: usize = 210;
/// Time between two events.
const EVENT_INTERVAL: Millis = 60_000.0;
const MILLIS_PER_SECOND: Millis = 1_000.0;

/// Writes the table of mass events, which happen to the same cluster one after another.
pub fn write_section(page: &mut String) -> Result<()> {
    let mut network = VirtualNetwork::new(MEMBERS, ZONES, SEED, Mechanisms::default());
    writeln!(page, "\n## 300 members\n\n| event | result |\n| --- | --- |")?;
    write_mass_start(page, &mut network)?;
    write_mass_crash(page, &mut network)?;
    write_zone_partition(page, &mut network)
}

fn write_mass_start(page: &mut String, network: &mut VirtualNetwork) -> Result<()> {
    start_members(network, 0, EARLY_MEMBERS);
    network.run_for(EARLY_MEMBERS_TIME);
    start_members(network, EARLY_MEMBERS, MEMBERS);
    let agreement_time = time_to_agree(network, 60);
    writeln!(page, "| 270 of 300 members start within one millisecond | all agree after {agreement_time} |")?;
    Ok(())
}

fn write_mass_crash(page: &mut String, network: &mut VirtualNetwork) -> Result<()> {
    network.run_for(EVENT_INTERVAL);
    network.status_changes.clear();
    for index in 0..CRASHED_MEMBERS {
        network.crash(index);
    }
    network.run_for(EVENT_INTERVAL);
    let minority_members =
        (CRASHED_MEMBERS..MEMBERS).filter(|index| network.member(*index).is_minority()).count();
    let removals = false_removals(network, &[]).count();
    writeln!(
        page,
        "| 210 members crash at once | {minority_members} of 90 detect that they are in the minority; \
         removals {removals} |"
    )?;
    start_members(network, 0, CRASHED_MEMBERS);
    let agreement_time = time_to_agree(network, 120);
    writeln!(page, "| the crashed members restart | all agree after {agreement_time} |")?;
    Ok(())
}

fn write_zone_partition(page: &mut String, network: &mut VirtualNetwork) -> Result<()> {
    network.run_for(EVENT_INTERVAL);
    network.status_changes.clear();
    let (zone, rest): (Vec<usize>, Vec<usize>) = (0..MEMBERS).partition(|index| index % ZONES == 0);
    network.partition(&zone, &rest);
    network.run_for(EVENT_INTERVAL);
    let minority_members = zone.iter().filter(|index| network.member(**index).is_minority()).count();
    let rest_set: BTreeSet<usize> = rest.iter().copied().collect();
    let agreeing = rest.iter().filter(|index| network.alive_in_view_of(**index) == rest_set).count();
    let removals = false_removals(network, &zone).count();
    writeln!(
        page,
        "| partition of a zone of 100 members in both directions | {minority_members} of 100 detect that \
         they are in the minority; {agreeing} of the other 200 consider exactly those 200 alive; the \
         smaller side removes {removals} |"
    )?;
    network.heal_links();
    let agreement_time = time_to_agree(network, 200);
    writeln!(page, "| the partition heals | all agree after {agreement_time} |")?;
    Ok(())
}

/// Starts the members with the indices from `first` up to, but not including, `end`.
fn start_members(network: &mut VirtualNetwork, first: usize, end: usize) {
    for index in first..end {
        network.start(index);
    }
}

/// Runs the cluster until all members agree and none is in the minority. Returns the time that this took,
/// or that it took more than `max_seconds`, as text.
fn time_to_agree(network: &mut VirtualNetwork, max_seconds: usize) -> String {
    for second in 1..=max_seconds {
        network.run_for(MILLIS_PER_SECOND);
        let has_minority = (0..MEMBERS).any(|index| network.member(index).is_minority());
        if network.all_agree() && !has_minority {
            return format!("{second} s");
        }
    }
    format!("not within {max_seconds} s")
}
