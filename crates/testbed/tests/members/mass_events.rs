//! Events that concern many members at once.

use crate::false_removals;
use postusher_membership::Mechanisms;
use postusher_testbed::virtual_net::VirtualNetwork;

#[test]
fn members_started_at_once_join() {
    let mut network = VirtualNetwork::new(60, 3, 13, Mechanisms::default());
    for index in 0..6 {
        network.start(index);
    }
    network.run_for(10_000.0);
    for index in 6..60 {
        network.start(index);
    }
    network.run_for(30_000.0);
    assert!(network.all_agree());
    assert_eq!(false_removals(&network, &[]), vec![]);
}

#[test]
fn minority_left_by_a_mass_crash_removes_nobody_and_recovers() {
    let mut network = VirtualNetwork::settled(20, 3, 14, Mechanisms::default());
    for index in 0..14 {
        network.crash(index);
    }
    network.run_for(60_000.0);
    assert!((14..20).all(|n| network.member(n).is_minority()), "they cannot tell the crash from a partition");
    assert_eq!(false_removals(&network, &[]), vec![]);
    for index in 0..14 {
        network.start(index);
    }
    network.run_for(60_000.0);
    assert!(network.all_agree() && (0..20).all(|n| !network.member(n).is_minority()));
}

#[test]
fn rolling_restart_removes_no_running_member() {
    let mut network = VirtualNetwork::settled(20, 3, 15, Mechanisms::default());
    for tenth in 0..10 {
        let restarted = [2 * tenth, 2 * tenth + 1];
        for index in restarted {
            network.leave(index);
        }
        network.run_for(1_500.0);
        for index in restarted {
            network.start(index);
        }
        network.run_for(3_000.0);
    }
    network.run_for(20_000.0);
    assert!(network.all_agree());
    assert_eq!(false_removals(&network, &[]), vec![]);
}

#[test]
fn two_protocol_versions_coexist_in_a_rolling_upgrade() {
    let mut network = VirtualNetwork::settled(10, 3, 31, Mechanisms::default());
    for n in 0..10 {
        network.leave(n);
        network.run_for(1_500.0);
        network.use_newer_version(n);
        network.start(n);
        network.run_for(4_000.0);
        assert!(network.all_agree(), "{} of ten are of the later version", n + 1);
        // Half way, one member of each version crashes, which all detect.
        if n == 4 {
            for crashed in [2, 7] {
                network.crash(crashed);
                network.run_for(10_000.0);
                assert!(network.all_agree(), "{crashed} has crashed");
                network.start(crashed);
                network.run_for(10_000.0);
            }
        }
    }
    assert_eq!(false_removals(&network, &[2, 7]), vec![], "nobody is removed for its version");
    assert!((0..10).all(|n| network.member(n).metrics().decode_errors == 0));
}
