//! Traffic and memory of a member of an idle cluster.

use crate::parallel::map_parallel;
use crate::plot::{Line, Plot};
use crate::{CLUSTER_SIZES, ZONES};
use anyhow::{Context, Result};
use postusher_membership::{Mechanisms, Millis};
use postusher_testbed::schedulers::resident_kib;
use postusher_testbed::virtual_net::VirtualNetwork;
use std::fmt::Write as _;
use std::path::Path;

const TRAFFIC_SEED: u64 = 4_000;
/// Time until the first state exchanges have ended.
const SETTLING_TIME: Millis = 100_000.0;
const MEASURED_SECONDS: f64 = 30.0;
const MILLIS_PER_SECOND: f64 = 1_000.0;

const FIRST_MEMORY_SEED: u64 = 6_000;
const BYTES_PER_KIB: f64 = 1_024.0;

/// Traffic per second, as the mean over the members of a cluster.
struct TrafficRate {
    datagrams: f64,
    /// Bytes in datagrams.
    bytes: f64,
}

/// A number of clusters of the same size whose memory is measured together.
struct MemoryCase {
    members: usize,
    clusters: u64,
}

/// Memory is allocated in pages, so many small clusters are measured together.
const MEMORY_CASES: [MemoryCase; 4] = [
    MemoryCase { members: 10, clusters: 100 },
    MemoryCase { members: 100, clusters: 5 },
    MemoryCase { members: 300, clusters: 2 },
    MemoryCase { members: 1_000, clusters: 1 },
];

/// Writes the table of a member's traffic and its plot.
pub fn write_traffic(page: &mut String, out: &Path) -> Result<()> {
    writeln!(
        page,
        "\n## Cost of a member of an idle cluster\n\n| members | datagrams per second | bytes per second | \
         all-to-all heartbeats, datagrams per second |"
    )?;
    writeln!(page, "| --- | --- | --- | --- |")?;
    let rates = map_parallel(&CLUSTER_SIZES, |members| measure_traffic(*members));
    let mut points = Vec::new();
    for (members, TrafficRate { datagrams, bytes }) in CLUSTER_SIZES.into_iter().zip(rates) {
        writeln!(page, "| {members} | {datagrams:.1} | {bytes:.0} | {} |", members - 1)?;
        points.push((members as f64, bytes));
    }
    let plot = Plot {
        title: "Bytes per second of a member of an idle cluster",
        x_label: "members",
        y_label: "bytes per second",
        lines: &[Line { label: "bytes".to_owned(), points }],
    };
    plot.write(&out.join("cost.svg"))?;
    writeln!(page, "\n![Cost](cost.svg)")?;
    Ok(())
}

/// Measures the traffic of an idle cluster with this number of members.
fn measure_traffic(members: usize) -> TrafficRate {
    let mut network = VirtualNetwork::settled(members, ZONES, TRAFFIC_SEED, Mechanisms::default());
    network.run_for(SETTLING_TIME);
    let before: Vec<_> = (0..members).map(|index| network.traffic(index)).collect();
    network.run_for(MEASURED_SECONDS * MILLIS_PER_SECOND);
    let mut datagrams = 0;
    let mut bytes = 0;
    for (index, traffic_before) in before.iter().enumerate() {
        let after = network.traffic(index);
        datagrams += after.datagrams - traffic_before.datagrams;
        bytes += after.bytes - traffic_before.bytes;
    }
    let rate = |total: u64| total as f64 / members as f64 / MEASURED_SECONDS;
    TrafficRate { datagrams: rate(datagrams), bytes: rate(bytes) }
}

/// Writes the table of a member's memory: the growth of the process per idle cluster, divided by its members.
pub fn write_memory(page: &mut String) -> Result<()> {
    writeln!(
        page,
        "\n## Memory of a member\n\nGrowth of the process for an idle cluster, divided by the number of \
         members.\n"
    )?;
    writeln!(page, "| members | KiB per member | bytes per known member |\n| --- | --- | --- |")?;
    // All clusters stay allocated, so that none reuses the memory of another.
    let mut kept = Vec::new();
    for MemoryCase { members, clusters } in MEMORY_CASES {
        let kib_before = current_process_resident_kib()?;
        for seed in 0..clusters {
            let seed = FIRST_MEMORY_SEED + seed;
            kept.push(VirtualNetwork::settled(members, ZONES, seed, Mechanisms::default()));
        }
        let growth_kib = current_process_resident_kib()? - kib_before;
        let kib_per_member = growth_kib as f64 / (members as f64 * clusters as f64);
        let bytes_per_known = BYTES_PER_KIB * kib_per_member / members as f64;
        writeln!(page, "| {members} | {kib_per_member:.0} | {bytes_per_known:.0} |")?;
    }
    Ok(())
}

fn current_process_resident_kib() -> Result<u64> {
    resident_kib(std::process::id()).context("VmRSS missing in /proc/PID/status")
}
