//! Rules that hold only where the settings state them: restricted classes and key order.

mod common;
use common::*;
use postusher_decision::*;

/// Class 0 may only run on machine kind 1 in zone 0.
fn restricted_settings() -> Settings {
    let mut settings = settings();
    settings.classes[0].allowed_kinds = Some(vec![1]);
    settings.classes[0].allowed_zones = Some(vec![0]);
    settings
}

/// A thousand workers, of which 7 and 900 are of kind 1, and 900 stands in zone 1.
fn fleet(state: EndpointState) -> Vec<Endpoint> {
    let kind = |w| u16::from(w == 7 || w == 900);
    let all = (1..=1000).map(|w| Endpoint { kind: kind(w), zone: u16::from(w == 900), ..endpoint(w) });
    all.map(|m| if m.worker.0 == 7 { Endpoint { state, ..m } } else { m }).collect()
}

#[test]
fn restricted_class_finds_its_only_worker_in_a_large_fleet() {
    // A look at the first few of a thousand workers would find none that the class may use.
    let mut host = TestHost::new(restricted_settings(), 0);
    host.update_list(ListUpdate::Complete, fleet(EndpointState::Ready));
    assert_eq!(host.submit(1, 0, 1), Some(7));
}

#[test]
fn restricted_class_never_goes_to_other_workers() {
    let mut host = TestHost::new(restricted_settings(), 0);
    host.update_list(ListUpdate::Complete, fleet(EndpointState::Ready));
    host.submit(1, 0, 1).expect("its worker");
    host.end_attempt(1, 0, AttemptResult::Overloaded);
    assert!(host.worker_of(1).is_none() && host.rejected(1), "no further attempt elsewhere");
    for id in 2..100 {
        assert!(host.submit(id, 0, 1).is_none_or(|w| w == 7), "full up, it goes nowhere else");
    }
    host.update_list(ListUpdate::Changes, vec![fleet(EndpointState::Draining)[6].clone()]);
    assert!(host.submit(200, 0, 1).is_none() && host.rejected(200), "nor when it drains");
    assert!(host.submit(201, 1, 1).is_some_and(|w| w != 7), "other classes are not restricted");
}

#[test]
fn empty_list_of_allowed_zones_allows_no_worker() {
    let mut settings = restricted_settings();
    settings.classes[0].allowed_zones = Some(Vec::new());
    let mut host = TestHost::new(settings, 0);
    host.update_list(ListUpdate::Complete, fleet(EndpointState::Ready));
    assert!(host.submit(1, 0, 1).is_none() && host.rejected(1));
}

#[test]
fn hedged_request_of_a_restricted_class_is_restricted_too() {
    let settings = Settings { reports_start: true, hedging_allowed: true, ..restricted_settings() };
    let mut host = TestHost::new(settings, 0);
    host.update_list(ListUpdate::Complete, fleet(EndpointState::Ready));
    host.submit(1, 0, 1).expect("its worker");
    host.now += 25 * MILLISECOND;
    host.actions.clear();
    host.handle(Event::TimerExpired(START_OVERDUE + 1));
    assert_eq!(host.worker_of(1), None);
}

#[test]
fn retry_within_a_cell_finds_the_cell_in_a_large_fleet() {
    // A job must not fail because its cell is not among the first workers in release order.
    let mut host = TestHost::new(settings(), 0);
    let cells = (1..=1000).map(|w| Endpoint { cell: ((w - 1) / 2) as u16, ..endpoint(w) });
    host.update_list(ListUpdate::Complete, cells.collect());
    let first = host.submit(1, 3, 1).expect("any worker");
    host.end_attempt(1, 0, AttemptResult::Error);
    assert_eq!(host.worker_of(1), Some(((first - 1) ^ 1) + 1), "its one neighbour");
}

/// Class 0 keeps the order of a key, which pauses for `pause` after an uncertain end.
fn settings_with_key_order(pause: Micros) -> Settings {
    let mut settings = Settings {
        key_order_pause: pause,
        sends_retry_after: true,
        max_retry_after: 2 * SECOND,
        ..settings()
    };
    settings.classes[0].ordered_by_key = true;
    settings
}

/// Expires those timers among `actions`, which were set at time `from`, that are due.
fn expire_timers(host: &mut TestHost, actions: &[Action], from: Micros) {
    for a in actions {
        if let Action::SetTimer { after, timer } = a {
            if *timer != 0 && from + after <= host.now {
                host.handle(Event::TimerExpired(*timer));
            }
        }
    }
}

#[test]
fn jobs_of_one_key_run_in_order() {
    let mut host = TestHost::new(settings_with_key_order(0), 9);
    // Running times are known to be short, so that the slack covers the jobs before.
    (1..9).for_each(|id| {
        host.submit_with_key(id, 0, 1, 0).expect("a job without a key has no order");
        host.end_attempt(id, 0, AttemptResult::Success);
    });
    host.submit_with_key(21, 0, 1, 5).expect("the first has its turn at once");
    assert_eq!(host.submit_with_key(22, 0, 1, 5), None);
    assert_eq!(host.submit_with_key(23, 0, 1, 5), None);
    assert!(!host.rejected(23) && host.submit_with_key(24, 0, 1, 6).is_some(), "another key's turn");
    host.end_attempt(21, 0, AttemptResult::Error);
    assert!(host.worker_of(21).is_some() && host.worker_of(22).is_none(), "the first of its key is retried");
    host.end_attempt(21, 1, AttemptResult::Success);
    assert!(host.worker_of(22).is_some() && host.worker_of(23).is_none());
    host.actions.clear();
    host.handle(Event::ClientDisconnected(JobId(22)));
    assert!(host.worker_of(23).is_none(), "its client has disconnected, but its attempt is pending");
    host.end_attempt(22, 0, AttemptResult::Cancelled);
    assert!(host.worker_of(23).is_some());
}

#[test]
fn key_pauses_after_an_attempt_with_an_uncertain_end() {
    let mut host =
        TestHost::new(Settings { max_attempts: 1, ..settings_with_key_order(300 * MILLISECOND) }, 9);
    for (n, result) in
        [AttemptResult::TimedOut, AttemptResult::Reset, AttemptResult::Cancelled].into_iter().enumerate()
    {
        let id = 100 * n as u32;
        (id..id + 8).for_each(|id| {
            host.submit_with_key(id, 0, 1, 0);
            host.end_attempt(id, 0, AttemptResult::Success);
        });
        host.submit_with_key(id + 10, 0, 1, 5).expect("a turn");
        host.end_attempt(id + 10, 0, result);
        assert!(host.rejected(id + 10));
        let actions = host.actions.clone();
        let at = host.now;
        assert_eq!(host.submit_with_key(id + 11, 0, 1, 5), None, "{result:?}: the key pauses");
        host.now = at + 299 * MILLISECOND;
        expire_timers(&mut host, &actions, at);
        assert_eq!(host.worker_of(id + 11), None, "{result:?}: still");
        host.now = at + 300 * MILLISECOND;
        expire_timers(&mut host, &actions, at);
        assert!(host.worker_of(id + 11).is_some() || host.rejected(id + 11), "{result:?}: no more");
        host.end_attempt(id + 11, 0, AttemptResult::Success);
    }
}

#[test]
fn job_that_would_wait_too_long_for_its_turn_is_rejected() {
    // A turn may come too late or never.
    let mut host = TestHost::new(settings_with_key_order(0), 9);
    let sent = host.submit_with_key(1, 0, 1, 5);
    assert!(sent.is_some());
    let mut waiting = Vec::new();
    let rejected = (2..50).find(|id| {
        host.submit_with_key(*id, 0, 1, 5);
        let all = host.actions.clone();
        let now = all
            .iter()
            .any(|a| matches!(a, Action::Reject { job, retry_after } if job.0 == *id && *retry_after > 0));
        waiting.extend(all);
        now
    });
    assert!(rejected.is_some(), "at once, with advice");
    let at = host.now;
    host.now += 450 * MILLISECOND;
    host.actions.clear();
    expire_timers(&mut host, &waiting, at);
    let owed = (2..rejected.unwrap()).all(|id| host.rejected(id));
    assert!(owed, "the turn did not come in time");
    assert!(host.submit_with_key(99, 0, 1, 5).is_none(), "the first is not over yet");
}
