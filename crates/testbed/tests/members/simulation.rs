//! Repeatability, traffic and clocks.

use crate::{false_removals, intervals_until_known};
use postusher_membership::Mechanisms;
use postusher_testbed::virtual_net::{LinkConditions, VirtualNetwork};

#[test]
fn same_seed_gives_the_same_run() {
    let run = |seed| {
        let mut network = VirtualNetwork::settled(12, 3, seed, Mechanisms::default());
        network.set_link_conditions(LinkConditions {
            loss: 0.2,
            duplication: 0.1,
            min_delay: 10.0,
            max_delay: 300.0,
        });
        network.crash(3);
        network.pause(4);
        network.run_for(30_000.0);
        (network.status_changes.clone(), (0..12).map(|n| network.traffic(n)).collect::<Vec<_>>())
    };
    assert_eq!(run(20), run(20));
    assert_ne!(run(20), run(21));
}

const MEASURED_SECONDS: f64 = 30.0;

/// What members of a cluster at rest send per second.
#[derive(Debug)]
struct TrafficRate {
    /// Datagrams of the member that sends most of them.
    max_datagrams: f64,
    /// Bytes, the mean of all members.
    mean_bytes: f64,
}

fn traffic_at_rest(members: usize) -> TrafficRate {
    let mut network = VirtualNetwork::settled(members, 3, 21, Mechanisms::default());
    network.run_for(60_000.0); // the first exchanges are over
    let before: Vec<_> = (0..members).map(|index| network.traffic(index)).collect();
    network.run_for(MEASURED_SECONDS * 1_000.0);
    let mut max_datagrams = 0;
    let mut bytes = 0;
    for (index, before) in before.iter().enumerate() {
        let after = network.traffic(index);
        max_datagrams = max_datagrams.max(after.datagrams - before.datagrams);
        bytes += after.bytes - before.bytes;
    }
    TrafficRate {
        max_datagrams: max_datagrams as f64 / MEASURED_SECONDS,
        mean_bytes: bytes as f64 / members as f64 / MEASURED_SECONDS,
    }
}

#[test]
fn traffic_of_a_member_does_not_grow_with_the_cluster() {
    let small = traffic_at_rest(12);
    let large = traffic_at_rest(60);
    assert!(large.max_datagrams <= 1.5 * small.max_datagrams, "{small:?} {large:?}");
    assert!(large.mean_bytes <= 1.5 * small.mean_bytes, "{small:?} {large:?}");
    assert!(large.mean_bytes < 2_000.0, "{large:?}, bytes a second");
}

/// A process reads the wall clock once, at its start; from then on its time only moves forward. So a jump of the clock
/// shows as an offset of the next process.
#[test]
fn clocks_hours_apart_make_no_difference() {
    let mut network = VirtualNetwork::new(6, 3, 32, Mechanisms::default());
    for n in 0..6 {
        network.set_clock_offset(n, 3_600_000.0 * n as f64);
        network.start(n);
    }
    network.run_for(30_000.0);
    assert!(network.all_agree());
    network.status_changes.clear();
    network.run_for(120_000.0);
    assert_eq!(network.status_changes, vec![]);
    // One ends and starts an hour ahead, one an hour behind, of where they were.
    for (n, hours) in [(1, 2.0), (4, 3.0)] {
        network.crash(n);
        network.set_clock_offset(n, 3_600_000.0 * hours);
        network.start(n);
        network.run_for(10_000.0);
        assert!(network.all_agree(), "{n} is {hours} h off");
    }
    let at = network.now();
    network.crash(5);
    network.run_for(20_000.0);
    let known = intervals_until_known(&network, 5, at, &[0, 1, 2, 3, 4]).expect("all know");
    assert!(known <= 8.0 && false_removals(&network, &[1, 4, 5]).is_empty(), "{known:.1} intervals");
}
