//! The protocol without one of its mechanisms: the checks must notice.

use crate::false_removals;
use postusher_membership::Mechanisms;
use postusher_testbed::virtual_net::{LinkConditions, VirtualNetwork};

/// Each mechanism is needed: without it, one of the checks of the other modules fails.
#[test]
fn each_left_out_mechanism_causes_a_fault_that_the_checks_find() {
    let lossy = LinkConditions { loss: 0.5, duplication: 0.0, min_delay: 150.0, max_delay: 450.0 };
    let removals = |mechanisms: Mechanisms| {
        let mut network = VirtualNetwork::settled(8, 3, 22, mechanisms);
        network.set_link_conditions(lossy);
        network.run_for(10.0 * 60_000.0);
        false_removals(&network, &[]).len()
    };
    assert_eq!(removals(Mechanisms::default()), 0);
    assert!(
        removals(Mechanisms { quorum: false, refutation: false, ..Mechanisms::default() }) > 0,
        "without quorum and refutation one accuser is enough"
    );

    let mut network =
        VirtualNetwork::settled(6, 3, 23, Mechanisms { indirect_pings: false, ..Mechanisms::default() });
    network.cut_link(0, 1);
    network.cut_link(0, 2);
    network.cut_link(0, 3);
    network.run_for(60_000.0);
    assert!(
        !false_removals(&network, &[]).is_empty(),
        "without indirect pings a member that lacks some links is removed"
    );

    let mut network =
        VirtualNetwork::settled(6, 3, 24, Mechanisms { refutation: false, ..Mechanisms::default() });
    network.pause(2);
    network.run_for(15_000.0);
    network.resume(2);
    network.run_for(30_000.0);
    assert!(!network.all_agree(), "a member that does not refute never comes back");

    let mut network =
        VirtualNetwork::settled(6, 3, 24, Mechanisms { raised_incarnation: false, ..Mechanisms::default() });
    network.pause(2);
    network.run_for(15_000.0);
    network.resume(2);
    network.run_for(30_000.0);
    assert!(!network.all_agree(), "nor does one that refutes under its old incarnation");

    let mut network =
        VirtualNetwork::settled(9, 3, 25, Mechanisms { majority: false, ..Mechanisms::default() });
    let zone = [0, 3, 6];
    let rest = [1, 2, 4, 5, 7, 8];
    network.partition(&zone, &rest);
    network.run_for(60_000.0);
    assert!(!false_removals(&network, &zone).is_empty(), "the smaller side removes the larger");
}

/// After a pause a member must not take its own silence for that of all others.
#[test]
fn member_without_pause_compensation_believes_itself_cut_off_after_a_pause() {
    let believes_itself_cut_off = |pause_compensation: bool| {
        let mut network =
            VirtualNetwork::settled(3, 3, 26, Mechanisms { pause_compensation, ..Mechanisms::default() });
        network.pause(0);
        network.run_for(20_000.0);
        network.resume(0);
        network.run_for(0.4); // nothing has come since
        network.member(0).is_minority()
    };
    assert!(!believes_itself_cut_off(true));
    assert!(believes_itself_cut_off(false));
}
