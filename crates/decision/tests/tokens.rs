//! The token bucket: longest-free tokens first, several tokens from one worker, prompt rejection.

mod common;
use common::*;
use postusher_decision::*;

#[test]
fn tokens_are_acquired_in_release_order() {
    let mut host = TestHost::new(settings(), 3);
    let mut place = vec![0];
    place.extend(
        (1..=12).map(|id| host.submit(id, 2, 1).expect("two slots and two waiting at each of three")),
    );
    let mut ids: Vec<usize> = (1..=3).map(|w| place.iter().rposition(|p| *p == w).unwrap()).collect();
    ids.reverse();
    let released: Vec<u32> = ids.iter().map(|id| place[*id]).collect();
    ids.iter().for_each(|id| host.end_attempt(*id as u32, 0, AttemptResult::Success));
    let acquired: Vec<u32> = (20..23).map(|id| host.submit(id, 2, 1).unwrap()).collect();
    assert_eq!(acquired, released);
}

#[test]
fn wide_job_gets_all_slots_from_one_worker() {
    let mut host = TestHost::new(settings(), 3);
    let busy = host.submit(1, 0, 1).unwrap();
    let wide = host.submit(2, 0, 2).unwrap();
    assert_ne!(wide, busy, "a worker with one slot left does not fit two");
    assert_eq!(host.dispatcher.tokens(WorkerId(wide)).1, 2);
    host.end_attempt(2, 0, AttemptResult::Success);
    assert_eq!(host.dispatcher.tokens(WorkerId(wide)).1, 0, "both return together");
}

#[test]
fn job_that_fits_nowhere_is_rejected_at_once() {
    let mut host = TestHost::new(settings(), 1);
    let mut id = 0;
    while id < 50 {
        id += 1;
        if host.submit(id, 0, 1).is_none() {
            break;
        }
    }
    assert!(host.rejected(id), "the count is bounded");
    assert!(id > 2, "free slots are used before anything is rejected");
}

#[test]
fn wide_job_queues_for_slots_instead_of_being_rejected() {
    // At low load one slot is nearly always taken, which is no reason to reject wide jobs.
    let mut host = TestHost::new(settings(), 1);
    host.submit(1, 0, 1).unwrap();
    assert_eq!(host.submit(2, 0, 2), Some(1));
}

#[test]
fn without_workers_jobs_are_rejected() {
    let mut host = TestHost::new(settings(), 2);
    host.update_list(ListUpdate::Complete, Vec::new());
    assert_eq!(host.submit(1, 0, 1), None);
    assert!(host.rejected(1));
}

#[test]
fn foreign_load_is_smoothed() {
    // Many schedulers would turn to the same worker upon one late report.
    let mut host = TestHost::new(Settings { scheduler_count: 8, ..settings() }, 1);
    host.now += 100 * MILLISECOND;
    host.health_checked(1, AttemptResult::Success, &[0.0, 6.0]);
    assert!(host.submit(1, 0, 1).is_some(), "one busy report out of many does not close a worker");
}

#[test]
fn rejection_overrides_an_old_load_report() {
    // A late report may say that a full worker has free slots.
    let mut host = TestHost::new(settings(), 3);
    let full = host.submit(1, 2, 1).unwrap();
    host.end_attempt(1, 0, AttemptResult::Overloaded);
    let later: Vec<_> = (2..6).filter_map(|id| host.submit(id, 0, 1)).collect();
    assert!(!later.contains(&full), "{later:?}");
}

#[test]
fn worker_that_never_reported_a_free_slot_is_not_unknown() {
    // A worker first seen in overload must not keep the default tokens of an unknown one.
    let mut host = TestHost::new(settings(), 1);
    host.update_list(ListUpdate::Changes, vec![endpoint(2)]);
    host.health_checked(2, AttemptResult::Success, &[0.0, 9.0]);
    let to_busy = (1..=4).filter(|id| host.submit(*id, 2, 1) == Some(2)).count();
    assert!(to_busy <= 1, "{to_busy} jobs to a worker with nine waiting");
}
