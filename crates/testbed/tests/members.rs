//! Member over a modelled network in virtual time: pauses, lost messages, cuts of every kind, mass events. Seeds are
//! fixed, and so is everything that happens.

use postusher_membership::{Mechanisms, MemberStatus};
use postusher_testbed::virtual_net::{LinkConditions, StatusChange, VirtualNetwork};

/// The probe interval.
const INTERVAL: f64 = 1_000.0;

fn all(n: usize) -> Vec<usize> {
    (0..n).collect()
}

/// Removals of members that ran.
fn wrong(network: &VirtualNetwork, right: &[usize]) -> Vec<StatusChange> {
    let gone = |s: &&StatusChange| s.status == MemberStatus::Removed && !right.contains(&s.subject);
    network.status_changes.iter().filter(gone).cloned().collect()
}

/// When the last of those that run knew that one is gone, in intervals from then.
fn known_after(network: &VirtualNetwork, of: usize, from: f64, by: &[usize]) -> Option<f64> {
    let first = |n: &usize| {
        network
            .status_changes
            .iter()
            .find(|s| s.observer == *n && s.subject == of && s.status == MemberStatus::Removed)
    };
    let all: Option<Vec<f64>> = by.iter().map(|n| first(n).map(|s| s.at)).collect();
    all.map(|all| (all.into_iter().fold(0.0, f64::max) - from) / INTERVAL)
}

#[test]
fn a_cluster_comes_together_and_stays_so() {
    for n in [1, 2, 3, 10, 40] {
        let mut network = VirtualNetwork::settled(n, 3, 1, Mechanisms::default());
        assert!(network.all_agree(), "{n} members");
        network.run_for(60_000.0);
        assert_eq!(network.status_changes, vec![], "{n} members");
        assert!((0..n).all(|i| !network.member(i).is_minority()));
    }
}

#[test]
fn a_crash_is_known_everywhere_within_eight_intervals() {
    for (n, bound) in [(3, 8.0), (10, 8.0), (40, 9.0)] {
        for seed in 0..5 {
            let mut network = VirtualNetwork::settled(n, 3, seed, Mechanisms::default());
            let at = network.now();
            network.crash(1);
            network.run_for(20_000.0);
            let rest: Vec<usize> = all(n).into_iter().filter(|i| *i != 1).collect();
            let known = known_after(&network, 1, at, &rest).expect("all know");
            assert!(known <= bound && network.all_agree(), "{n} members, seed {seed}: {known:.1} intervals");
            assert_eq!(wrong(&network, &[1]), vec![]);
        }
    }
}

#[test]
fn who_starts_again_is_back_under_a_higher_incarnation() {
    let mut network = VirtualNetwork::settled(5, 3, 3, Mechanisms::default());
    let before = network.member(0).record("m0002").unwrap().incarnation;
    // At once, while all believe in the process before it; and after it was found to be gone.
    for pause in [0.0, 20_000.0] {
        network.crash(2);
        network.run_for(pause);
        network.start(2);
        network.run_for(10_000.0);
        assert!(network.all_agree(), "after {pause}");
    }
    assert!(network.member(0).record("m0002").unwrap().incarnation >= before + 2);
    assert_eq!(network.member(0).metrics().false_removals, 0, "the one that was gone had ended");
}

#[test]
fn who_leaves_says_so_and_nobody_accuses_it() {
    let mut network = VirtualNetwork::settled(10, 3, 4, Mechanisms::default());
    network.leave(4);
    network.run_for(3_000.0);
    assert!(network.all_agree());
    assert!(
        network.status_changes.iter().all(|s| s.status == MemberStatus::Left),
        "{:?}",
        network.status_changes
    );
    network.start(4);
    network.run_for(5_000.0);
    assert!(network.all_agree(), "and may come back");
}

#[test]
fn a_pause_shorter_than_the_suspicion_changes_nothing_and_a_longer_one_only_its_own_standing() {
    for (pause, removed) in [(500.0, false), (4_500.0, false), (12_000.0, true), (30_000.0, true)] {
        for seed in 0..4 {
            let mut network = VirtualNetwork::settled(8, 3, seed, Mechanisms::default());
            let before = network.member(0).record("m0003").unwrap().incarnation;
            network.pause(3);
            network.run_for(pause);
            network.resume(3);
            network.run_for(15_000.0);
            assert_eq!(wrong(&network, &[3]), vec![], "{pause} ms: a sleeper throws out nobody");
            let gone =
                network.status_changes.iter().any(|s| s.subject == 3 && s.status == MemberStatus::Removed);
            assert_eq!(gone, removed, "{pause} ms, seed {seed}");
            assert!(network.all_agree(), "{pause} ms, seed {seed}");
            let after = network.member(0).record("m0003").unwrap().incarnation;
            assert!(!removed || after > before, "back under a higher incarnation");
        }
    }
}

#[test]
fn a_machine_with_a_part_of_a_core_is_not_removed_and_removes_nobody() {
    let mut network = VirtualNetwork::settled(8, 3, 5, Mechanisms::default());
    network.set_max_processing_delay(2, 900.0);
    network.run_for(60_000.0);
    assert_eq!(network.status_changes, vec![]);
}

#[test]
fn loss_delay_doubling_and_reordering_remove_nobody() {
    let bad = LinkConditions { loss: 0.3, duplication: 0.1, min_delay: 150.0, max_delay: 450.0 };
    for (n, seed, minutes) in [(3, 1, 60.0), (5, 2, 40.0), (10, 3, 30.0), (30, 4, 5.0)] {
        let mut network = VirtualNetwork::settled(n, 3, seed, Mechanisms::default());
        network.set_link_conditions(bad);
        network.run_for(minutes * 60_000.0);
        assert_eq!(wrong(&network, &[]), vec![], "{n} members");
        let at = network.now();
        network.crash(1);
        network.run_for(30_000.0);
        let rest: Vec<usize> = all(n).into_iter().filter(|i| *i != 1).collect();
        let known = known_after(&network, 1, at, &rest).expect("a real crash is known all the same");
        assert!(known <= 14.0, "{n} members: {known:.1} intervals");
    }
}

#[test]
fn a_link_cut_one_way_or_both_between_two_changes_nothing() {
    for both in [false, true] {
        let mut network = VirtualNetwork::settled(6, 3, 6, Mechanisms::default());
        network.cut_link(0, 1);
        if both {
            network.cut_link(1, 0);
        }
        network.run_for(120_000.0);
        assert_eq!(network.status_changes, vec![], "both ways: {both}");
    }
}

#[test]
fn a_ring_in_which_each_lacks_one_other_changes_nothing() {
    let mut network = VirtualNetwork::settled(6, 3, 7, Mechanisms::default());
    for i in 0..6 {
        network.cut_link(i, (i + 1) % 6);
        network.cut_link((i + 1) % 6, i);
    }
    network.run_for(120_000.0);
    assert_eq!(network.status_changes, vec![]);
}

#[test]
fn a_member_that_only_sends_or_only_hears_is_removed_and_removes_nobody() {
    for deaf in [true, false] {
        let mut network = VirtualNetwork::settled(7, 3, 8, Mechanisms::default());
        let others: Vec<usize> = (1..7).collect();
        if deaf {
            network.cut_links(&others, &[0]);
        } else {
            network.cut_links(&[0], &others);
        }
        network.run_for(120_000.0);
        assert_eq!(wrong(&network, &[0]), vec![]);
        assert!(others.iter().all(|n| !network.alive_in_view_of(*n).contains(&0)), "deaf: {deaf}");
        assert!(network.member(0).is_minority(), "and it knows that it is alone");
        assert!(
            network.count_changes(|by| by != 0) <= 6,
            "one change of view for each, no flapping: {:?}",
            network.status_changes
        );
        network.heal_links();
        network.run_for(60_000.0);
        assert!(network.all_agree(), "deaf: {deaf}");
    }
}

#[test]
fn a_member_cut_off_from_one_zone_only_stays() {
    let mut network = VirtualNetwork::settled(9, 3, 9, Mechanisms::default());
    network.partition(&[0], &[1, 4, 7]);
    network.run_for(120_000.0);
    assert_eq!(network.status_changes, vec![]);
}

#[test]
fn a_zone_cut_off_whole_is_removed_by_the_larger_side_and_the_smaller_knows_that_it_is() {
    let zone = [0, 3, 6];
    let rest = [1, 2, 4, 5, 7, 8];
    for (out, back) in [(true, true), (true, false), (false, true)] {
        let mut network = VirtualNetwork::settled(9, 3, 10, Mechanisms::default());
        if out {
            network.cut_links(&zone, &rest);
        }
        if back {
            network.cut_links(&rest, &zone);
        }
        network.run_for(120_000.0);
        assert_eq!(wrong(&network, &zone), vec![], "the smaller side removes nobody");
        for n in rest {
            assert_eq!(
                network.alive_in_view_of(n).into_iter().collect::<Vec<_>>(),
                rest,
                "those who hear each other agree"
            );
            assert!(!network.member(n).is_minority());
            assert!(network.count_changes(|by| by == n) <= zone.len(), "one change for each that went");
        }
        assert!(zone.iter().all(|n| network.member(*n).is_minority()), "out {out}, back {back}");
        network.heal_links();
        network.run_for(90_000.0);
        assert!(
            network.all_agree() && zone.iter().all(|n| !network.member(*n).is_minority()),
            "out {out}, back {back}"
        );
    }
}

#[test]
fn of_two_halves_neither_removes_the_other_and_they_come_together_after_an_hour() {
    let mut network = VirtualNetwork::settled(8, 2, 11, Mechanisms::default());
    let (a, b) = ([0, 2, 4, 6], [1, 3, 5, 7]);
    network.partition(&a, &b);
    network.run_for(3_600_000.0);
    assert_eq!(network.status_changes, vec![]);
    assert!((0..8).all(|n| network.member(n).is_minority()));
    network.heal_links();
    network.run_for(60_000.0);
    assert!(network.all_agree() && (0..8).all(|n| !network.member(n).is_minority()));
}

#[test]
fn a_split_in_which_one_side_went_on_heals_after_an_hour() {
    let mut network = VirtualNetwork::settled(9, 3, 12, Mechanisms::default());
    let (zone, rest) = ([0, 3, 6], [1, 2, 4, 5, 7, 8]);
    network.partition(&zone, &rest);
    network.run_for(3_600_000.0);
    network.heal_links();
    network.run_for(90_000.0);
    assert!(network.all_agree());
    assert!(network.member(1).metrics().false_removals >= 3, "known to have been wrong");
}

#[test]
fn most_started_in_one_moment_come_together() {
    let mut network = VirtualNetwork::new(60, 3, 13, Mechanisms::default());
    (0..6).for_each(|n| network.start(n));
    network.run_for(10_000.0);
    (6..60).for_each(|n| network.start(n));
    network.run_for(30_000.0);
    assert!(network.all_agree());
    assert_eq!(wrong(&network, &[]), vec![]);
}

#[test]
fn seven_in_ten_killed_at_once_are_missed_by_the_rest_and_come_back() {
    let mut network = VirtualNetwork::settled(20, 3, 14, Mechanisms::default());
    (0..14).for_each(|n| network.crash(n));
    network.run_for(60_000.0);
    assert!((14..20).all(|n| network.member(n).is_minority()), "they cannot know that they were not cut off");
    assert_eq!(wrong(&network, &[]), vec![]);
    (0..14).for_each(|n| network.start(n));
    network.run_for(60_000.0);
    assert!(network.all_agree() && (0..20).all(|n| !network.member(n).is_minority()));
}

#[test]
fn a_rolling_restart_removes_nobody_that_runs() {
    let mut network = VirtualNetwork::settled(20, 3, 15, Mechanisms::default());
    for tenth in 0..10 {
        let these = [2 * tenth, 2 * tenth + 1];
        these.iter().for_each(|n| network.leave(*n));
        network.run_for(1_500.0);
        these.iter().for_each(|n| network.start(*n));
        network.run_for(3_000.0);
    }
    network.run_for(20_000.0);
    assert!(network.all_agree());
    assert_eq!(wrong(&network, &[]), vec![]);
}

#[test]
fn a_name_used_twice_ends_the_second_which_says_so() {
    let mut network = VirtualNetwork::new(6, 3, 16, Mechanisms::default());
    (0..5).for_each(|n| network.start(n));
    network.run_for(20_000.0);
    network.start_under_name_of(5, 2);
    network.run_for(10_000.0);
    let why = network.termination_reason(5).expect("it has ended").to_string();
    assert!(why.contains("m0002") && network.termination_reason(2).is_none(), "{why}");
    assert_eq!(
        network.member(0).record("m0002").unwrap().addr,
        postusher_testbed::virtual_net::address_of(2)
    );
}

#[test]
fn of_two_under_one_name_that_began_on_two_sides_of_a_cut_one_ends_and_they_never_take_turns() {
    let mut network = VirtualNetwork::new(7, 3, 17, Mechanisms::default());
    (0..6).for_each(|n| network.start(n));
    network.run_for(20_000.0);
    network.partition(&[0], &[1, 2, 3, 4, 5, 6]);
    network.run_for(20_000.0);
    network.start_under_name_of(6, 0);
    network.run_for(20_000.0);
    assert!(network.has_joined(6), "the one before is gone as far as can be known");
    network.heal_links();
    network.run_for(60_000.0);
    assert!(
        network.termination_reason(0).is_some() != network.termination_reason(6).is_some(),
        "{:?} {:?}",
        network.termination_reason(0),
        network.termination_reason(6)
    );
    let there: Vec<_> =
        (1..6).map(|n| network.member(n).record("m0000").map(|r| (r.addr, r.status))).collect();
    assert!(there.windows(2).all(|two| two[0] == two[1]), "{there:?}");
}

#[test]
fn a_member_back_at_another_address_is_found_there() {
    let mut network = VirtualNetwork::new(6, 3, 18, Mechanisms::default());
    (0..5).for_each(|n| network.start(n));
    network.run_for(20_000.0);
    network.crash(2);
    network.start_under_name_of(5, 2);
    network.run_for(20_000.0);
    assert!(
        network.has_joined(5) && network.termination_reason(5).is_none(),
        "nobody answered under the old address"
    );
    let at = |n: usize| network.member(n).record("m0002").map(|r| (r.addr, r.status));
    assert!([0, 1, 3, 4]
        .iter()
        .all(|n| at(*n) == Some((postusher_testbed::virtual_net::address_of(5), MemberStatus::Alive))));
}

#[test]
fn the_seeds_may_be_gone_for_good() {
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

#[test]
fn the_same_seed_plays_the_same_to_the_byte() {
    let play = |seed| {
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
    assert_eq!(play(20), play(20));
    assert_ne!(play(20), play(21));
}

#[test]
fn messages_of_a_member_do_not_grow_with_their_number() {
    let rate = |n: usize| {
        let mut network = VirtualNetwork::settled(n, 3, 21, Mechanisms::default());
        network.run_for(60_000.0); // the first exchanges are over
        let before: Vec<_> = (0..n).map(|i| network.traffic(i)).collect();
        network.run_for(30_000.0);
        let most = (0..n).map(|i| network.traffic(i).datagrams - before[i].datagrams).max().unwrap_or(0);
        let bytes =
            (0..n).map(|i| network.traffic(i).bytes - before[i].bytes).sum::<u64>() as f64 / n as f64 / 30.0;
        (most as f64 / 30.0, bytes)
    };
    let (few, many) = (rate(12), rate(60));
    assert!(many.0 <= 1.5 * few.0 && many.1 <= 1.5 * few.1, "{few:?} {many:?}");
    assert!(many.1 < 2_000.0, "{many:?} bytes a second");
}

/// Each mistake that could be made in the protocol is one that the checks above find.
#[test]
fn planted_mistakes_are_found() {
    let bad = LinkConditions { loss: 0.5, duplication: 0.0, min_delay: 150.0, max_delay: 450.0 };
    let removals = |mechanisms: Mechanisms| {
        let mut network = VirtualNetwork::settled(8, 3, 22, mechanisms);
        network.set_link_conditions(bad);
        network.run_for(10.0 * 60_000.0);
        wrong(&network, &[]).len()
    };
    assert_eq!(removals(Mechanisms::default()), 0);
    assert!(
        removals(Mechanisms { quorum: false, refutation: false, ..Mechanisms::default() }) > 0,
        "one accuser is enough"
    );

    let mut network =
        VirtualNetwork::settled(6, 3, 23, Mechanisms { indirect_pings: false, ..Mechanisms::default() });
    network.cut_link(0, 1);
    network.cut_link(0, 2);
    network.cut_link(0, 3);
    network.run_for(60_000.0);
    assert!(
        !wrong(&network, &[]).is_empty(),
        "without indirect pings a member that lacks some links is removed"
    );

    let mut network =
        VirtualNetwork::settled(6, 3, 24, Mechanisms { refutation: false, ..Mechanisms::default() });
    network.pause(2);
    network.run_for(15_000.0);
    network.resume(2);
    network.run_for(30_000.0);
    assert!(!network.all_agree(), "who does not refute never comes back");

    let mut network =
        VirtualNetwork::settled(6, 3, 24, Mechanisms { raised_incarnation: false, ..Mechanisms::default() });
    network.pause(2);
    network.run_for(15_000.0);
    network.resume(2);
    network.run_for(30_000.0);
    assert!(!network.all_agree(), "nor who does so under the old incarnation");

    let mut network =
        VirtualNetwork::settled(9, 3, 25, Mechanisms { majority: false, ..Mechanisms::default() });
    let (zone, rest) = ([0, 3, 6], [1, 2, 4, 5, 7, 8]);
    network.partition(&zone, &rest);
    network.run_for(60_000.0);
    assert!(!wrong(&network, &zone).is_empty(), "the smaller side removes the larger");
}

/// Guards against: a member's own sleep taken for the silence of all others.
#[test]
fn a_sleeper_that_forgets_that_it_slept_believes_itself_alone() {
    let alone = |pauses: bool| {
        let mut network = VirtualNetwork::settled(
            3,
            3,
            26,
            Mechanisms { pause_compensation: pauses, ..Mechanisms::default() },
        );
        network.pause(0);
        network.run_for(20_000.0);
        network.resume(0);
        network.run_for(0.4); // nothing has come since
        network.member(0).is_minority()
    };
    assert!(!alone(true));
    assert!(alone(false), "it takes the others for cut off");
}

#[test]
fn two_versions_live_together_through_a_rolling_upgrade() {
    let mut network = VirtualNetwork::settled(10, 3, 31, Mechanisms::default());
    for n in 0..10 {
        network.leave(n);
        network.run_for(1_500.0);
        network.use_newer_version(n);
        network.start(n);
        network.run_for(4_000.0);
        assert!(network.all_agree(), "{} of ten are of the later version", n + 1);
        // Half way, one of either version crashes, and is found out by all.
        if n == 4 {
            for of in [2, 7] {
                network.crash(of);
                network.run_for(10_000.0);
                assert!(network.all_agree(), "{of} has crashed");
                network.start(of);
                network.run_for(10_000.0);
            }
        }
    }
    assert_eq!(wrong(&network, &[2, 7]), vec![], "nobody is removed for its version");
    assert!((0..10).all(|n| network.member(n).metrics().decode_errors == 0));
}

/// A process reads the day's clock once, at its start; from then on its time only moves forward. So a jump of the clock is a
/// process that is an hour off when it starts again.
#[test]
fn clocks_that_are_hours_apart_make_no_difference() {
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
    let known = known_after(&network, 5, at, &[0, 1, 2, 3, 4]).expect("all know");
    assert!(known <= 8.0 && wrong(&network, &[1, 4, 5]).is_empty(), "{known:.1} intervals");
}
