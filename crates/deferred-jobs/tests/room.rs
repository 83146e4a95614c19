//! What the room must do in the cases that hurt, one by one.

use postusher_deferred_jobs::*;
use std::collections::BTreeSet;

const ALL: FreeCapacity = FreeCapacity { free: 1_000_000, total: 1_000_000, largest_free: 1_000 };

fn after(names: &[&str]) -> Wish {
    Wish { after: names.iter().map(|n| After::served(n)).collect(), start: None }
}

fn at(start: Millis) -> Wish {
    Wish { after: Vec::new(), start: Some(start) }
}

struct Host(Room);

impl Host {
    fn new() -> Host {
        Host(Room::new(Limits::default()))
    }

    fn hold(&mut self, id: u32, wish: Wish, now: Millis) -> Result<(), No> {
        let new = Newcomer::new(JobId(id), &format!("j{id}"), 1e6, wish);
        self.0.hold(Newcomer { client: id.into(), ..new }, now)
    }

    /// Turns of the loop, until nothing more happens at this time.
    fn turn(&mut self, now: Millis) -> Vec<Decision> {
        let mut all = Vec::new();
        loop {
            self.0.release(ALL, now);
            let some = self.0.decisions();
            if some.is_empty() {
                return all;
            }
            all.extend(some);
        }
    }
}

fn released(decisions: &[Decision]) -> BTreeSet<u32> {
    let id = |v: &Decision| if let Decision::Release(id) = v { Some(id.0) } else { None };
    decisions.iter().filter_map(id).collect()
}

fn failed(decisions: &[Decision]) -> BTreeSet<u32> {
    let id = |v: &Decision| if let Decision::Fail(id) = v { Some(id.0) } else { None };
    decisions.iter().filter_map(id).collect()
}

#[test]
fn hundreds_that_wait_for_a_job_that_fails_get_their_verdicts_at_once_and_never_go_on() {
    let mut host = Host::new();
    host.0.opened("hub");
    (0..500).for_each(|n| host.hold(n, after(&["hub"]), 0.0).unwrap());
    // Those that wait for one of them end with it; who takes any answer goes on.
    (500..1000).for_each(|n| host.hold(n, after(&[&format!("j{}", n - 500)]), 0.0).unwrap());
    host.hold(1000, Wish { after: vec![After::any("j7")], start: None }, 0.0).unwrap();
    host.0.ended("hub", JobEndStatus::Failed, 5.0);
    let decisions = host.turn(5.0);
    assert_eq!(failed(&decisions), (0..1000).collect());
    assert_eq!(released(&decisions), [1000].into());
    // One that comes later and names any of them is told at once, too.
    assert_eq!(host.hold(1001, after(&["j999"]), 6.0), Err(No::Doomed));
    assert_eq!(host.0.kept().2, 0);
}

#[test]
fn a_chain_of_a_thousand_goes_on_one_by_one_in_whichever_order_it_came() {
    for backwards in [false, true] {
        let mut host = Host::new();
        host.0.opened("j0");
        let add = |n: u32, host: &mut Host| host.hold(n, after(&[&format!("j{}", n - 1)]), 0.0).unwrap();
        match backwards {
            true => (1..=1000).rev().for_each(|n| add(n, &mut host)),
            false => (1..=1000).for_each(|n| add(n, &mut host)),
        }
        for n in 0..1000u32 {
            assert_eq!(host.turn(n.into()), []);
            host.0.ended(&format!("j{n}"), JobEndStatus::Served, n.into());
            assert_eq!(host.turn(n.into()), [Decision::Release(JobId(n + 1))]);
        }
    }
}

#[test]
fn a_chain_of_a_thousand_breaks_as_a_whole() {
    let mut host = Host::new();
    host.0.opened("j0");
    (1..=1000).for_each(|n| host.hold(n, after(&[&format!("j{}", n - 1)]), 0.0).unwrap());
    // The client of the middle leaves: what comes before it is not touched.
    host.0.ended("j500", JobEndStatus::Disconnected, 1.0);
    assert_eq!(failed(&host.turn(1.0)), (501..=1000).collect());
    host.0.ended("j0", JobEndStatus::Rejected, 2.0);
    assert_eq!(failed(&host.turn(2.0)), (1..500).collect());
    assert_eq!((host.0.count(2.0).held, host.0.kept().0), (0, 0));
}

#[test]
fn a_diamond_goes_on_once_both_sides_are_served_and_only_once() {
    let mut host = Host::new();
    host.0.opened("top");
    host.hold(1, after(&["top"]), 0.0).unwrap();
    host.hold(2, after(&["top"]), 0.0).unwrap();
    host.hold(3, after(&["j1", "j2", "j1"]), 0.0).unwrap();
    host.0.ended("top", JobEndStatus::Served, 1.0);
    assert_eq!(released(&host.turn(1.0)), [1, 2].into());
    host.0.ended("j1", JobEndStatus::Served, 2.0);
    assert_eq!(host.turn(2.0), []);
    host.0.ended("j2", JobEndStatus::Served, 3.0);
    assert_eq!(host.turn(3.0), [Decision::Release(JobId(3))]);
    host.0.ended("j2", JobEndStatus::Served, 4.0); // told twice
    assert_eq!(host.turn(4.0), []);
}

#[test]
fn whoever_closes_a_circle_is_told_and_takes_those_along_that_wait_for_it() {
    let mut host = Host::new();
    assert_eq!(host.hold(1, after(&["j1"]), 0.0), Err(No::Circle));
    host.hold(2, after(&["j4"]), 0.0).unwrap();
    host.hold(3, after(&["j2"]), 0.0).unwrap();
    assert_eq!(host.hold(4, after(&["j9", "j3"]), 0.0), Err(No::Circle));
    assert_eq!(failed(&host.turn(0.0)), [2, 3].into());
    assert_eq!(host.0.kept().0, 0);
}

#[test]
fn a_named_job_may_arrive_after_its_dependant_but_only_within_the_grace() {
    let mut host = Host::new();
    host.hold(2, after(&["j1"]), 0.0).unwrap();
    host.hold(3, after(&["never"]), 1_000.0).unwrap();
    assert_eq!(host.turn(4_999.0), []);
    host.0.opened("j1");
    assert_eq!(host.turn(5_000.0), []);
    assert_eq!(host.0.next_due(5_000.0), Some(6_000.0));
    assert_eq!(host.turn(6_000.0), [Decision::Fail(JobId(3))]);
    host.0.ended("j1", JobEndStatus::Served, 6_001.0);
    assert_eq!(released(&host.turn(6_001.0)), [2].into());
}

#[test]
fn an_id_that_is_used_again_stands_for_the_later_job() {
    let mut host = Host::new();
    host.0.opened("x");
    host.0.ended("x", JobEndStatus::Failed, 0.0);
    assert_eq!(host.hold(1, after(&["x"]), 1.0), Err(No::Doomed));
    host.0.opened("x");
    host.hold(2, after(&["x"]), 2.0).unwrap();
    // The memory of the first use runs out while the second is under way.
    assert_eq!(host.turn(600_500.0), []);
    host.0.ended("x", JobEndStatus::Served, 600_600.0);
    assert_eq!(released(&host.turn(600_600.0)), [2].into());
}

#[test]
fn what_ended_is_remembered_within_both_bounds() {
    let set = Limits { remembered: 3, remember_for: 100.0, ..Limits::default() };
    let mut room = Room::new(set);
    for n in 0..5 {
        room.opened(&format!("j{n}"));
        room.ended(&format!("j{n}"), JobEndStatus::Served, n.into());
    }
    let names = |room: &Room| room.remembered(10.0).map(|(n, ..)| n.to_string()).collect::<Vec<_>>();
    assert_eq!(names(&room), ["j2", "j3", "j4"]);
    room.release(ALL, 103.5);
    assert_eq!((names(&room), room.kept().1), (vec!["j4".to_string()], 1));
}

#[test]
fn a_set_hour_comes_for_all_and_they_go_on_as_fast_as_there_is_room_and_no_faster() {
    let mut host = Host::new();
    (0..5_000).for_each(|n| host.hold(n, at(60_000.0), f64::from(n) / 100.0).unwrap());
    host.0.release(ALL, 59_999.0);
    assert_eq!(host.0.decisions(), []);
    let (mut now, mut total, mut running) = (60_000.0, 0, 0u32);
    while total < 5_000 {
        // A fleet of 40 slots of which jobs of others take 4; every 50 ms all end.
        let free = 36 - running;
        host.0.release(FreeCapacity { free, total: 40, largest_free: 5 }, now);
        let out = released(&host.0.decisions()).len() as u32;
        (running, total) = (running + out, total + out);
        assert!(running <= 34, "{running} slots taken, 6 of 40 are to stay free");
        now += 10.0;
        if now % 50.0 == 0.0 {
            running = 0;
        }
    }
    // 34 in 50 ms: no faster, and not much slower for the slow start.
    assert!((now - 60_000.0) < 1.3 * 5_000.0 / 34.0 * 50.0, "{now}");
}

#[test]
fn a_job_that_the_module_turns_away_comes_back_while_its_time_allows() {
    let mut host = Host::new();
    host.0.hold(Newcomer::new(JobId(1), "a", 500.0, at(0.0)), 0.0).unwrap();
    let (mut now, mut tries) = (0.0, 0);
    loop {
        host.0.release(ALL, now);
        match host.0.decisions()[..] {
            [] => now = host.0.next_due(now).unwrap(),
            [Decision::Release(JobId(1))] => {
                tries += 1;
                if !host.0.turned_away(JobId(1), now) {
                    break;
                }
            }
            ref other => panic!("{other:?}"),
        }
    }
    assert!((4..=8).contains(&tries) && now < 500.0, "{tries} tries until {now}");
    assert_eq!(host.0.count(now).released, 1);
    host.0.ended("a", JobEndStatus::Rejected, now);
    assert_eq!(host.0.kept().0, 0);
}

#[test]
fn a_job_that_cannot_start_in_time_is_refused_before_its_client_gives_up() {
    let mut room = Room::new(Limits { longest: 1_000.0, ..Limits::default() });
    room.hold(Newcomer::new(JobId(1), "a", 700.0, after(&["b"])), 0.0).unwrap();
    room.hold(Newcomer::new(JobId(2), "b", 1e6, at(0.0)), 0.0).unwrap();
    room.release(FreeCapacity::default(), 649.0);
    assert_eq!(room.decisions(), []);
    room.release(FreeCapacity::default(), 650.0);
    assert!(
        matches!(room.decisions()[..], [Decision::Reject { id: JobId(1), retry_after }] if retry_after >= 1_000.0)
    );
    // One without room for longer than is ever allowed goes, too, long before its own time.
    room.release(FreeCapacity::default(), 1_000.0);
    assert!(matches!(room.decisions()[..], [Decision::Reject { id: JobId(2), .. }]));
    assert_eq!(room.count(1_000.0).longest_wait, 1_000.0);
}

#[test]
fn bounds_are_kept_and_what_is_refused_takes_its_dependants_along() {
    let set = Limits { jobs: 3, bytes: 100, per_client: 2, ..Limits::default() };
    let mut room = Room::new(set);
    let new = |id, client, bytes| {
        let name = format!("j{id}");
        Newcomer { client, bytes, ..Newcomer::new(JobId(id), &name, 1e6, at(1e5)) }
    };
    let bound = |r: Result<(), No>| if let Err(No::Full { bound, .. }) = r { Some(bound) } else { None };
    assert_eq!(bound(room.hold(new(1, 7, 40), 0.0)), None);
    assert_eq!(bound(room.hold(new(2, 7, 40), 0.0)), None);
    assert_eq!(bound(room.hold(new(3, 7, 1), 0.0)), Some(Bound::Client));
    assert_eq!(bound(room.hold(new(4, 8, 40), 0.0)), Some(Bound::Bytes));
    assert_eq!(bound(room.hold(new(5, 8, 20), 0.0)), None);
    assert_eq!(bound(room.hold(new(6, 9, 0), 0.0)), Some(Bound::Jobs));
    room.ended("j1", JobEndStatus::Disconnected, 1.0);
    assert_eq!(bound(room.hold(new(7, 7, 40), 1.0)), None);
    let wish = after(&["j9"]);
    room.ended("j5", JobEndStatus::Disconnected, 1.0);
    room.hold(Newcomer { client: 3, ..Newcomer::new(JobId(8), "j8", 1e6, wish) }, 1.0).unwrap();
    assert!(room.hold(new(9, 9, 0), 1.0).is_err());
    assert_eq!(room.decisions(), [Decision::Fail(JobId(8))]);
}

#[test]
fn weights_let_classes_pass_each_other_but_not_for_ever() {
    let mut room = Room::new(Limits { weights: vec![1.0, 20.0], ..Limits::default() });
    let one = FreeCapacity { free: 1, total: 1, largest_free: 1 };
    room.hold(Newcomer::new(JobId(0), "old", 1e9, at(0.0)), 0.0).unwrap();
    // Heavier ones come all the time, each before the one before has gone on.
    let mut gone_on = None;
    for n in 1..100 {
        let now = f64::from(n) * 50.0;
        let new = Newcomer { class: 1, ..Newcomer::new(JobId(n), &format!("j{n}"), 1e9, at(0.0)) };
        room.hold(new, now).unwrap();
        room.release(one, now);
        if room.decisions().contains(&Decision::Release(JobId(0))) {
            gone_on = Some(now);
        }
    }
    // It gives way for its 2 s, less the 0.1 s for which those others give way.
    assert_eq!(gone_on, Some(1_900.0));
}

#[test]
fn a_large_job_is_not_passed_by_small_ones_and_one_larger_than_the_fleet_still_goes_on() {
    let mut room = Room::new(Limits::default());
    let new = |id, slots| Newcomer { slots, ..Newcomer::new(JobId(id), &format!("j{id}"), 1e9, at(0.0)) };
    room.hold(new(1, 4), 0.0).unwrap();
    room.hold(new(2, 1), 1.0).unwrap();
    // Three of the twenty are kept: three are free for it, and it needs four.
    room.release(FreeCapacity { free: 6, total: 20, largest_free: 3 }, 2.0);
    assert_eq!(room.decisions(), []);
    let roomy = FreeCapacity { free: 9, total: 20, largest_free: 3 };
    room.release(roomy, 3.0);
    assert_eq!(room.decisions(), [Decision::Release(JobId(1))]);
    // No single worker has room for it: while it rests, others go on at their pace, and then it is the first again.
    assert!(room.turned_away(JobId(1), 3.0));
    room.release(roomy, 3.5);
    assert_eq!(room.decisions(), [Decision::Release(JobId(2))]);
    room.hold(new(4, 1), 4.0).unwrap();
    room.release(roomy, 23.0);
    assert_eq!(room.decisions()[0], Decision::Release(JobId(1)));
    let mut room = Room::new(Limits::default());
    room.hold(new(3, 64), 5.0).unwrap();
    room.release(FreeCapacity { free: 2, total: 2, largest_free: 2 }, 6.0);
    assert_eq!(room.decisions(), [Decision::Release(JobId(3))]);
}

#[test]
fn a_process_hands_on_what_it_holds_with_its_place_and_its_grace() {
    let (mut old, mut new) = (Host::new(), Host::new());
    old.0.opened("done");
    old.0.ended("done", JobEndStatus::Served, 0.0);
    old.0.opened("runs");
    old.hold(1, after(&["runs"]), 0.0).unwrap();
    old.hold(2, at(9_000.0), 0.0).unwrap();
    old.hold(3, after(&["unknown"]), 0.0).unwrap();
    old.hold(4, at(0.0), 100.0).unwrap();
    for (name, end, _age) in old.0.remembered(2_000.0) {
        new.0.opened(&name);
        new.0.ended(&name, end, 2_000.0);
    }
    new.0.opened("runs");
    for id in 1..=4 {
        let (wish, carried) = old.0.parcel(JobId(id), 2_000.0).unwrap();
        let job = Newcomer::new(JobId(id + 10), &format!("j{id}"), 1e6, wish);
        new.0.hold(Newcomer { carried: Some(carried), ..job }, 2_000.0).unwrap();
        old.0.moved(&format!("j{id}"));
    }
    assert_eq!((old.turn(99_000.0), old.0.kept().0), (vec![], 0));
    assert_eq!(new.0.count(2_000.0).longest_wait, 1_900.0);
    assert_eq!(released(&new.turn(2_000.0)), [14].into());
    assert_eq!(new.turn(4_999.0), []);
    assert_eq!(new.turn(5_000.0), [Decision::Fail(JobId(13))]);
    assert_eq!(released(&new.turn(9_000.0)), [12].into());
    new.0.ended("runs", JobEndStatus::Served, 9_500.0);
    assert_eq!(released(&new.turn(9_500.0)), [11].into());
    assert_eq!(new.hold(20, after(&["done"]), 9_500.0), Ok(()));
}

#[test]
fn the_end_of_the_host_refuses_all_that_is_held_and_what_still_comes() {
    let mut host = Host::new();
    host.hold(1, at(0.0), 0.0).unwrap();
    assert_eq!(released(&host.turn(0.0)), [1].into());
    host.hold(2, after(&["j1"]), 0.0).unwrap();
    host.hold(3, at(9e5), 0.0).unwrap();
    host.0.close();
    let refused = |id| Decision::Reject { id: JobId(id), retry_after: 0.0 };
    assert_eq!(host.0.decisions(), [refused(2), refused(3)]);
    assert_eq!(host.hold(4, at(0.0), 1.0), Err(No::Closed));
    assert!(!host.0.turned_away(JobId(1), 1.0)); // what was sent on is not taken back
}
