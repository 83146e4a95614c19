//! Names that two members use, and addresses that change.

use postusher_membership::{Mechanisms, MemberStatus};
use postusher_testbed::virtual_net::{address_of, VirtualNetwork};

#[test]
fn second_member_of_a_name_terminates_with_the_reason() {
    let mut network = VirtualNetwork::new(6, 3, 16, Mechanisms::default());
    for index in 0..5 {
        network.start(index);
    }
    network.run_for(20_000.0);
    network.start_under_name_of(5, 2);
    network.run_for(10_000.0);
    let reason = network.termination_reason(5).expect("it has ended").to_string();
    assert!(reason.contains("m0002") && network.termination_reason(2).is_none(), "{reason}");
    assert_eq!(network.member(0).record("m0002").unwrap().addr, address_of(2));
}

#[test]
fn one_of_two_members_of_a_name_terminates_after_a_partition() {
    let mut network = VirtualNetwork::new(7, 3, 17, Mechanisms::default());
    for index in 0..6 {
        network.start(index);
    }
    network.run_for(20_000.0);
    network.partition(&[0], &[1, 2, 3, 4, 5, 6]);
    network.run_for(20_000.0);
    network.start_under_name_of(6, 0);
    network.run_for(20_000.0);
    assert!(network.has_joined(6), "the other member of the name is unreachable");
    network.heal_links();
    network.run_for(60_000.0);
    assert!(
        network.termination_reason(0).is_some() != network.termination_reason(6).is_some(),
        "{:?} {:?}",
        network.termination_reason(0),
        network.termination_reason(6)
    );
    let views: Vec<_> =
        (1..6).map(|n| network.member(n).record("m0000").map(|r| (r.addr, r.status))).collect();
    assert!(views.windows(2).all(|two| two[0] == two[1]), "{views:?}");
}

#[test]
fn member_restarted_at_another_address_is_found_there() {
    let mut network = VirtualNetwork::new(6, 3, 18, Mechanisms::default());
    for index in 0..5 {
        network.start(index);
    }
    network.run_for(20_000.0);
    network.crash(2);
    network.start_under_name_of(5, 2);
    network.run_for(20_000.0);
    assert!(
        network.has_joined(5) && network.termination_reason(5).is_none(),
        "nobody answered under the old address"
    );
    let at = |n: usize| network.member(n).record("m0002").map(|r| (r.addr, r.status));
    assert!([0, 1, 3, 4].iter().all(|n| at(*n) == Some((address_of(5), MemberStatus::Alive))));
}
