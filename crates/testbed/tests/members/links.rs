//! Lossy links and single cut links.

use crate::{false_removals, intervals_until_known};
use postusher_membership::Mechanisms;
use postusher_testbed::virtual_net::{LinkConditions, VirtualNetwork};

#[test]
fn loss_delay_duplication_and_reordering_remove_nobody() {
    let lossy = LinkConditions { loss: 0.3, duplication: 0.1, min_delay: 150.0, max_delay: 450.0 };
    for (n, seed, minutes) in [(3, 1, 60.0), (5, 2, 40.0), (10, 3, 30.0), (30, 4, 5.0)] {
        let mut network = VirtualNetwork::settled(n, 3, seed, Mechanisms::default());
        network.set_link_conditions(lossy);
        network.run_for(minutes * 60_000.0);
        assert_eq!(false_removals(&network, &[]), vec![], "{n} members");
        let at = network.now();
        network.crash(1);
        network.run_for(30_000.0);
        let rest: Vec<usize> = (0..n).filter(|index| *index != 1).collect();
        let known = intervals_until_known(&network, 1, at, &rest).expect("all know of a real crash");
        assert!(known <= 14.0, "{n} members: {known:.1} intervals");
    }
}

#[test]
fn one_cut_link_changes_nothing() {
    for both_ways in [false, true] {
        let mut network = VirtualNetwork::settled(6, 3, 6, Mechanisms::default());
        network.cut_link(0, 1);
        if both_ways {
            network.cut_link(1, 0);
        }
        network.run_for(120_000.0);
        assert_eq!(network.status_changes, vec![], "both ways: {both_ways}");
    }
}

#[test]
fn cut_links_along_a_ring_change_nothing() {
    let mut network = VirtualNetwork::settled(6, 3, 7, Mechanisms::default());
    for i in 0..6 {
        network.cut_link(i, (i + 1) % 6);
        network.cut_link((i + 1) % 6, i);
    }
    network.run_for(120_000.0);
    assert_eq!(network.status_changes, vec![]);
}

#[test]
fn member_that_only_sends_or_only_receives_is_removed_and_removes_nobody() {
    for only_sends in [true, false] {
        let mut network = VirtualNetwork::settled(7, 3, 8, Mechanisms::default());
        let others: Vec<usize> = (1..7).collect();
        if only_sends {
            network.cut_links(&others, &[0]);
        } else {
            network.cut_links(&[0], &others);
        }
        network.run_for(120_000.0);
        assert_eq!(false_removals(&network, &[0]), vec![]);
        assert!(
            others.iter().all(|n| !network.alive_in_view_of(*n).contains(&0)),
            "only sends: {only_sends}"
        );
        assert!(network.member(0).is_minority(), "it knows that it is the minority");
        assert!(
            network.count_changes(|by| by != 0) <= 6,
            "one change of view at each member: {:?}",
            network.status_changes
        );
        network.heal_links();
        network.run_for(60_000.0);
        assert!(network.all_agree(), "only sends: {only_sends}");
    }
}
