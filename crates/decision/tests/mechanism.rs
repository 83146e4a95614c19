//! The bucket: longest-free first, several tokens from one worker, prompt refusal.

mod common;
use common::*;
use postusher_decision::*;

#[test]
fn tokens_are_seized_in_the_order_of_release() {
    let mut rig = Rig::new(settings(), 3);
    let mut place = vec![0];
    place.extend((1..=12).map(|id| rig.job(id, 2, 1).expect("two slots and two waiting at each of three")));
    let mut ids: Vec<usize> = (1..=3).map(|w| place.iter().rposition(|p| *p == w).unwrap()).collect();
    ids.reverse();
    let released: Vec<u32> = ids.iter().map(|id| place[*id]).collect();
    ids.iter().for_each(|id| rig.settle(*id as u32, 0, AttemptResult::Success));
    let seized: Vec<u32> = (20..23).map(|id| rig.job(id, 2, 1).unwrap()).collect();
    assert_eq!(seized, released);
}

#[test]
fn several_slots_come_from_the_first_worker_that_has_them() {
    let mut rig = Rig::new(settings(), 3);
    let busy = rig.job(1, 0, 1).unwrap();
    let wide = rig.job(2, 0, 2).unwrap();
    assert_ne!(wide, busy, "a worker with one slot left does not fit two");
    assert_eq!(rig.dispatcher.tokens(WorkerId(wide)).1, 2);
    rig.settle(2, 0, AttemptResult::Success);
    assert_eq!(rig.dispatcher.tokens(WorkerId(wide)).1, 0, "both return together");
}

#[test]
fn a_job_that_fits_nowhere_is_refused_at_once() {
    let mut rig = Rig::new(settings(), 1);
    let mut id = 0;
    while id < 50 {
        id += 1;
        if rig.job(id, 0, 1).is_none() {
            break;
        }
    }
    assert!(rig.refused(id), "the count is bounded");
    assert!(id > 2, "free slots are used before anything is refused");
}

#[test]
fn a_wide_job_waits_for_slots_rather_than_be_refused() {
    // Guards against: wide jobs refused at low load because one slot is always taken.
    let mut rig = Rig::new(settings(), 1);
    rig.job(1, 0, 1).unwrap();
    assert_eq!(rig.job(2, 0, 2), Some(1));
}

#[test]
fn no_workers_or_an_empty_list_means_refusal() {
    let mut rig = Rig::new(settings(), 2);
    rig.members(ListUpdate::Complete, Vec::new());
    assert_eq!(rig.job(1, 0, 1), None);
    assert!(rig.refused(1));
}

#[test]
fn siblings_load_is_smoothed_not_believed_at_once() {
    // Guards against: many peers that turn to the same worker upon one late report.
    let mut rig = Rig::new(Settings { scheduler_count: 8, ..settings() }, 1);
    rig.now += 100 * MS;
    rig.probed(1, AttemptResult::Success, &[0.0, 6.0]);
    assert!(rig.job(1, 0, 1).is_some(), "one busy report out of many does not close a worker");
}

#[test]
fn a_full_answer_closes_a_worker_that_reports_called_free() {
    // Guards against: sending on and on to a worker whose late report says that it has room.
    let mut rig = Rig::new(settings(), 3);
    let full = rig.job(1, 2, 1).unwrap();
    rig.settle(1, 0, AttemptResult::Overloaded);
    let later: Vec<_> = (2..6).filter_map(|id| rig.job(id, 0, 1)).collect();
    assert!(!later.contains(&full), "{later:?}");
}

#[test]
fn a_worker_that_never_reported_a_free_slot_is_not_taken_for_unknown() {
    // Guards against: a worker met in overload keeps the 8 tokens of an unknown one and draws what it refuses.
    let mut rig = Rig::new(settings(), 1);
    rig.members(ListUpdate::Changes, vec![member(2)]);
    rig.probed(2, AttemptResult::Success, &[0.0, 9.0]);
    let to_busy = (1..=4).filter(|id| rig.job(*id, 2, 1) == Some(2)).count();
    assert!(to_busy <= 1, "{to_busy} jobs to a worker with nine waiting");
}
