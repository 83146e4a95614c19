//! Starts, crashes and departures of single members.

use crate::{false_removals, intervals_until_known};
use postusher_membership::{Mechanisms, MemberStatus};
use postusher_testbed::virtual_net::VirtualNetwork;

#[test]
fn members_of_a_new_cluster_find_each_other_and_stay() {
    for n in [1, 2, 3, 10, 40] {
        let mut network = VirtualNetwork::settled(n, 3, 1, Mechanisms::default());
        assert!(network.all_agree(), "{n} members");
        network.run_for(60_000.0);
        assert_eq!(network.status_changes, vec![], "{n} members");
        assert!((0..n).all(|i| !network.member(i).is_minority()));
    }
}

#[test]
fn crash_is_known_to_all_within_eight_intervals() {
    for (n, bound) in [(3, 8.0), (10, 8.0), (40, 9.0)] {
        for seed in 0..5 {
            let mut network = VirtualNetwork::settled(n, 3, seed, Mechanisms::default());
            let at = network.now();
            network.crash(1);
            network.run_for(20_000.0);
            let rest: Vec<usize> = (0..n).filter(|index| *index != 1).collect();
            let known = intervals_until_known(&network, 1, at, &rest).expect("all know");
            assert!(known <= bound && network.all_agree(), "{n} members, seed {seed}: {known:.1} intervals");
            assert_eq!(false_removals(&network, &[1]), vec![]);
        }
    }
}

#[test]
fn restarted_member_is_back_under_a_higher_incarnation() {
    let mut network = VirtualNetwork::settled(5, 3, 3, Mechanisms::default());
    let before = network.member(0).record("m0002").unwrap().incarnation;
    // At once, while all believe that the previous process lives; and after its removal.
    for pause in [0.0, 20_000.0] {
        network.crash(2);
        network.run_for(pause);
        network.start(2);
        network.run_for(10_000.0);
        assert!(network.all_agree(), "after {pause}");
    }
    assert!(network.member(0).record("m0002").unwrap().incarnation >= before + 2);
    assert_eq!(network.member(0).metrics().false_removals, 0, "the removed process had ended");
}

#[test]
fn leaving_member_is_not_accused() {
    let mut network = VirtualNetwork::settled(10, 3, 4, Mechanisms::default());
    network.leave(4);
    network.run_for(3_000.0);
    assert!(network.all_agree());
    assert!(
        network.status_changes.iter().all(|change| change.status == MemberStatus::Left),
        "{:?}",
        network.status_changes
    );
    network.start(4);
    network.run_for(5_000.0);
    assert!(network.all_agree(), "and may come back");
}

#[test]
fn cluster_survives_the_loss_of_seeds() {
    let mut network = VirtualNetwork::settled(8, 3, 19, Mechanisms::default());
    network.crash(0);
    network.run_for(60_000.0);
    network.crash(1);
    network.run_for(120_000.0);
    network.crash(7);
    network.run_for(20_000.0);
    network.start(7);
    network.run_for(30_000.0);
    assert!(network.all_agree(), "one seed of three is left");
}
