//! Measures membership in virtual time and writes a page with plots: `cargo run --release
//! -p postusher-testbed --example members -- OUT [hours]`. The output depends on the seeds only.

mod comparison;
mod cost;
mod crash;
mod false_removals;
mod fault_cases;
mod mass_events;
mod parallel;
mod pauses;
mod plot;

use anyhow::{Context, Result};
use postusher_membership::{MemberStatus, Millis};
use postusher_testbed::virtual_net::{StatusChange, VirtualNetwork};
use std::path::Path;

/// The unit of the times on the page.
const PROBE_INTERVAL: Millis = 1_000.0;
/// Number of zones of all measured clusters.
const ZONES: usize = 3;
/// Numbers of members of the measured clusters.
const CLUSTER_SIZES: [usize; 6] = [3, 10, 30, 100, 300, 1_000];
/// Default duration of the false-removal measurement, in virtual hours per loss rate.
const DEFAULT_HOURS: f64 = 2.0;

/// Returns the removals of members other than the `expected` ones.
fn false_removals<'a>(
    network: &'a VirtualNetwork,
    expected: &'a [usize],
) -> impl Iterator<Item = &'a StatusChange> {
    network
        .status_changes
        .iter()
        .filter(|change| change.status == MemberStatus::Removed && !expected.contains(&change.subject))
}

fn main() -> Result<()> {
    let mut args = std::env::args().skip(1);
    let out = args.next().context("missing argument: output directory")?;
    let hours: f64 = match args.next() {
        Some(text) => text.parse()?,
        None => DEFAULT_HOURS,
    };
    let out = Path::new(&out);
    std::fs::create_dir_all(out)?;

    // Memory is measured first, while there is no freed memory that the clusters could reuse.
    let mut memory_section = String::new();
    cost::write_memory(&mut memory_section)?;

    let mut page =
        String::from("# Membership, measured in virtual time\n\nTimes are in probe intervals.\n\n");
    crash::write_section(&mut page, out)?;
    false_removals::write_section(&mut page, hours)?;
    pauses::write_section(&mut page)?;
    cost::write_traffic(&mut page, out)?;
    mass_events::write_section(&mut page)?;
    comparison::write_detectors(&mut page)?;
    comparison::write_mechanisms(&mut page)?;
    page += &memory_section;
    std::fs::write(out.join("members.md"), &page)?;
    println!("{page}");
    Ok(())
}
