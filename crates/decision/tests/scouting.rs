//! Where load reports come by probes alone, and every scheduler sees too little of the fleet to remember it.

mod common;
use common::*;
use postusher_decision::*;
use std::cmp::Reverse;

/// A scheduler of many: reports are old before its next job comes.
fn asking() -> Settings {
    Settings {
        reports_by_health_check_only: true,
        health_checks_allowed: true,
        reports_start: true,
        scheduler_count: 300,
        report_fields: vec![ReportField::Unused, ReportField::FreeSlots],
        ..settings()
    }
}

/// A rig of workers that were heard of long ago.
fn rig(workers: u32) -> Rig {
    let now = 100 * S;
    let mut rig = Rig { dispatcher: Dispatcher::new(asking(), 1, now), now, actions: Vec::new() };
    rig.members(ListUpdate::Cached, (1..=workers).map(member).collect());
    rig.now += 60 * S;
    rig.actions.clear();
    rig
}

/// The workers asked since the actions were last looked at.
fn asked(rig: &mut Rig) -> Vec<u32> {
    let probe = |a: Action| if let Action::CheckHealth { worker } = a { Some(worker.0) } else { None };
    rig.actions.drain(..).filter_map(probe).collect()
}

fn timer(rig: &mut Rig, id: u32) {
    rig.play(Event::TimerExpired((5 << 32) + u64::from(id)));
}

#[test]
fn a_job_waits_for_what_workers_say_and_goes_where_there_is_room() {
    // Guards against: jobs sent by what was true a minute ago, to workers that are full by now.
    let mut rig = rig(40);
    assert_eq!(rig.job(1, 0, 1), None);
    let asked = asked(&mut rig);
    assert_eq!(asked.len(), 3, "{asked:?}");
    rig.probed(asked[0], AttemptResult::Success, &[0.0, 0.0]);
    rig.probed(asked[1], AttemptResult::Success, &[0.0, 2.0]);
    assert!(rig.actions.is_empty(), "one has not answered: {:?}", rig.actions);
    rig.probed(asked[2], AttemptResult::Success, &[0.0, 0.0]);
    assert_eq!(rig.sent(1), Some(asked[1]));
}

#[test]
fn a_job_is_refused_where_none_of_those_asked_has_room() {
    let mut rig = rig(40);
    rig.probed(40, AttemptResult::Success, &[0.0, 4.0]); // this kind has four slots, but that was long ago
    rig.now += 60 * S;
    assert_eq!(rig.job(1, 0, 1), None);
    let all = asked(&mut rig);
    all.iter().for_each(|w| rig.probed(*w, AttemptResult::Success, &[0.0, 0.0]));
    assert!(rig.refused(1), "{:?}", rig.actions);
}

#[test]
fn silence_is_no_room_once_others_have_answered() {
    // Guards against: probes that wait in a worker's queue, and jobs that are sent there by what was believed.
    let mut rig = rig(40);
    rig.probed(40, AttemptResult::Success, &[0.0, 4.0]);
    rig.now += 5 * S;
    assert_eq!(rig.job(1, 0, 1), None);
    rig.now += 30 * MS;
    rig.actions.clear();
    timer(&mut rig, 1);
    assert!(rig.refused(1), "{:?}", rig.actions);
}

#[test]
fn a_cold_worker_gets_what_it_may_without_being_asked() {
    // Guards against: a release after which the new workers lie idle beside queues at the old ones.
    let mut rig = rig(4);
    let new = (11..=40).map(|w| Endpoint { started_at: rig.now - 10 * S, ..member(w) }).collect();
    rig.members(ListUpdate::Changes, new);
    let mut cold = 0;
    for id in 1..=40 {
        rig.now += 400 * MS;
        cold += usize::from(rig.job(id, 0, 1).is_some());
    }
    assert!(cold > 0, "none of 40 jobs went to 30 cold workers");
}

#[test]
fn the_few_cold_workers_of_a_large_fleet_are_found() {
    // Guards against: a release that brings few workers at a time, which lie idle as jobs look at the next in the bucket.
    let mut rig = rig(400);
    rig.dispatcher = Dispatcher::new(Settings { scheduler_count: 1, ..asking() }, 1, rig.now);
    rig.members(ListUpdate::Cached, (1..=400).map(member).collect());
    let new = (501..=502).map(|w| Endpoint { started_at: rig.now - 15 * S, ..member(w) }).collect();
    rig.members(ListUpdate::Changes, new);
    rig.now += 3 * S;
    assert!(rig.job(1, 0, 1).is_some_and(|w| w > 500), "{:?}", rig.actions);
}

#[test]
fn a_worker_that_does_not_answer_holds_a_job_for_a_moment_only() {
    let mut rig = rig(40);
    rig.job(1, 0, 1);
    assert!(
        rig.actions.contains(&Action::SetTimer { after: 30 * MS, timer: (5 << 32) + 1 }),
        "{:?}",
        rig.actions
    );
    let asked = asked(&mut rig);
    rig.probed(asked[0], AttemptResult::Success, &[0.0, 1.0]);
    rig.now += 30 * MS;
    timer(&mut rig, 1);
    assert_eq!(rig.sent(1), Some(asked[0]));
    rig.actions.clear();
    rig.probed(asked[1], AttemptResult::Success, &[0.0, 3.0]);
    timer(&mut rig, 1);
    assert!(rig.sent(1).is_none(), "late answers send nothing twice");
}

#[test]
fn where_no_worker_answers_jobs_go_by_what_is_believed() {
    // Guards against: a fleet that serves but whose probes are lost, and that would get nothing more.
    let mut rig = rig(40);
    rig.job(1, 0, 1);
    for worker in asked(&mut rig) {
        rig.probed(worker, AttemptResult::TimedOut, &[]);
    }
    assert!(rig.sent(1).is_some(), "{:?}", rig.actions);
}

#[test]
fn a_client_that_leaves_while_its_job_waits_is_owed_nothing() {
    let mut rig = rig(40);
    rig.job(1, 0, 1);
    let asked = asked(&mut rig);
    rig.play(Event::ClientDisconnected(JobId(1)));
    asked.iter().for_each(|w| rig.probed(*w, AttemptResult::Success, &[0.0, 2.0]));
    timer(&mut rig, 1);
    assert!(rig.actions.is_empty(), "{:?}", rig.actions);
}

#[test]
fn reports_that_outlived_what_ran_then_are_not_gone_by_though_all_workers_sent_one() {
    // Guards against: a scheduler with much traffic that has heard of most workers within half a minute, and takes that
    // for knowing where there is room.
    let mut rig = rig(8);
    (1..=8).for_each(|w| rig.probed(w, AttemptResult::Success, &[0.0, 3.0]));
    rig.now += 200 * MS;
    rig.play(Event::TimerExpired(0));
    assert!(rig.job(1, 0, 1).is_some(), "all were heard of just now");
    rig.settle(1, 0, AttemptResult::Success);
    rig.now += 10 * S;
    rig.play(Event::TimerExpired(0));
    assert_eq!(rig.job(2, 0, 1), None);
    assert!(!asked(&mut rig).is_empty() && !rig.refused(2), "it waits to hear of room");
}

#[test]
fn a_full_worker_is_full_however_few_slots_of_it_were_seen_free() {
    // Guards against: no free slot, and none ever seen, taken for one slot that others leave: each scheduler of many
    // hears of a worker first when it is full, and sends it one job.
    let mut rig = Rig::new(Settings { reports_by_health_check_only: false, ..asking() }, 0);
    rig.members(ListUpdate::Complete, (1..=2).map(member).collect());
    rig.probed(1, AttemptResult::Success, &[0.0, 4.0]);
    rig.probed(2, AttemptResult::Success, &[0.0, 0.0]);
    assert_eq!(rig.dispatcher.free_capacity().free, 4);
}

#[test]
fn jobs_of_one_key_go_to_its_keepers_though_a_fetch_has_no_price() {
    // Guards against: a fetch that costs a slot's time wherever the settings name no price for it.
    let met: std::collections::BTreeSet<Option<u32>> = (1..=30)
        .map(|seed| {
            let mut rig = Rig::new(settings(), 0);
            rig.dispatcher = Dispatcher::new(settings(), seed, rig.now);
            rig.members(ListUpdate::Cached, (1..=20).map(member).collect());
            let (id, deadline) = (JobId(1), rig.now + 5 * S);
            let job = Job { id, class: 0, deadline, size_hint: None, slots: 1, key: 7, customer: 0 };
            rig.play(Event::JobArrived(job));
            rig.sent(1)
        })
        .collect();
    assert!(met.len() <= 2, "thirty dispatchers, one key: {met:?}");
}

/// The workers asked for a job of this key.
fn asked_for(rig: &mut Rig, id: u32, key: u64) -> Vec<u32> {
    assert_eq!(rig.keyed_job(id, 0, 1, key), None);
    asked(rig)
}

#[test]
fn where_keepers_are_busy_all_schedulers_turn_to_the_same_next_worker() {
    // Guards against: each of hundreds that sends what its keepers have no room for to a worker by chance, where it is
    // fetched once more and takes the place of what others keep there.
    let mut met = std::collections::BTreeMap::new();
    for seed in 1..=30 {
        let mut rig = rig(40);
        rig.dispatcher = Dispatcher::new(asking(), seed, rig.now);
        rig.members(ListUpdate::Cached, (1..=40).map(member).collect());
        let asked = asked_for(&mut rig, 1, 7);
        assert_eq!(asked.len(), 3, "{asked:?}");
        asked.into_iter().for_each(|w| *met.entry(w).or_insert(0) += 1);
    }
    // Two keepers and one more; a scheduler that draws one of them too often asks one by chance.
    let mut counts: Vec<u32> = met.values().copied().collect();
    counts.sort_unstable_by_key(|n| Reverse(*n));
    assert!(counts[2] >= 20 && counts[3] <= 3, "{met:?}");
}

#[test]
fn a_job_whose_keepers_cannot_be_asked_asks_others() {
    // Guards against: a key that nobody serves while its few workers are silent.
    let mut rig = rig(40);
    let first = asked_for(&mut rig, 1, 7);
    let second = asked_for(&mut rig, 2, 7);
    assert!(!second.is_empty() && second.iter().all(|w| !first.contains(w)), "{first:?}, then {second:?}");
}
