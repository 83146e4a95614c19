//! Whether jobs may go by the list that is held, and what becomes of those that may not.

mod common;
use common::*;
use postusher_decision::*;

/// A dispatcher that starts with a list of two workers which discovery has not confirmed.
fn unconfirmed() -> Rig {
    let now = 100 * S;
    let dispatcher = Dispatcher::new(settings(), 1, now).with_unconfirmed_list();
    let mut rig = Rig { dispatcher, now, actions: Vec::new() };
    rig.members(ListUpdate::Cached, (1..=2).map(member).collect());
    rig
}

/// Plays the timers that are due once this time has gone by, a microsecond early as a host may.
fn wait(rig: &mut Rig, time: Micros) {
    let timers: Vec<(Micros, u64)> = rig
        .actions
        .drain(..)
        .filter_map(|a| if let Action::SetTimer { after, timer } = a { Some((after, timer)) } else { None })
        .collect();
    let start = rig.now;
    for (after, timer) in timers.into_iter().filter(|(after, _)| *after <= time) {
        rig.now = start + after - 1;
        rig.play(Event::TimerExpired(timer));
    }
    rig.now = start + time;
}

fn drained(worker: u32) -> Endpoint {
    Endpoint { state: EndpointState::Draining, ..member(worker) }
}

fn begin(worker: u32) -> AttemptContext {
    AttemptContext {
        worker: WorkerId(worker),
        job_open: true,
        attempt_pending: true,
        time_left: S,
        address_current: true,
    }
}

#[test]
fn jobs_before_the_first_list_wait_for_it_in_order_and_go_by_it() {
    let mut rig = unconfirmed();
    assert!(rig.job(1, 0, 1).is_none() && !rig.refused(1));
    assert!(rig.job(2, 0, 1).is_none() && !rig.refused(2));
    rig.actions.clear();
    rig.members(ListUpdate::Changes, vec![drained(1)]);
    assert_eq!((rig.sent(1), rig.sent(2)), (Some(2), Some(2)));
    assert!(rig.job(3, 0, 1).is_some());
}

#[test]
fn a_job_that_cannot_wait_for_the_list_any_longer_is_refused_and_others_go_after_five_seconds() {
    let mut rig = unconfirmed();
    assert!(rig.job(1, 0, 1).is_none());
    wait(&mut rig, S);
    assert!(rig.refused(1) && rig.sent(1).is_none());
    rig.now += 5 * S;
    assert!(rig.job(2, 0, 1).is_some());
}

#[test]
fn a_list_that_discovery_has_begun_to_replace_is_good_for_half_of_the_grace() {
    let mut rig = Rig::new(settings(), 2);
    let (at, grace) = (rig.now, settings().drain_grace);
    // The module may hear of it late: the time counts from when the answer began.
    rig.now += grace / 4;
    rig.members(ListUpdate::AnswerStarted { at }, Vec::new());
    assert!(rig.job(1, 0, 1).is_some() && rig.dispatcher.check_send(&begin(1), rig.now).is_ok());
    // More of it does not give more time.
    rig.members(ListUpdate::AnswerStarted { at: rig.now }, Vec::new());
    rig.now = at + grace / 2;
    assert_eq!(rig.dispatcher.check_send(&begin(1), rig.now), Err(SendDenial::ListNotCurrent));
    assert!(rig.job(2, 0, 1).is_none() && !rig.refused(2));
    // That a call fails changes nothing; a list that comes whole does.
    rig.members(ListUpdate::Failed, Vec::new());
    assert!(!rig.dispatcher.is_list_current(rig.now));
    rig.actions.clear();
    rig.members(ListUpdate::Complete, vec![member(1), drained(2)]);
    assert_eq!(rig.sent(2), Some(1));
    assert_eq!(rig.dispatcher.check_send(&begin(2), rig.now), Err(SendDenial::WorkerUnavailable));
}

#[test]
fn a_call_that_fails_without_an_answer_leaves_the_list_in_force() {
    let mut rig = Rig::new(settings(), 2);
    for id in 1..20 {
        rig.members(ListUpdate::Failed, Vec::new());
        rig.now += S;
        assert!(rig.job(id, 0, 1).is_some());
        rig.settle(id, 0, AttemptResult::Success);
    }
}

/// Every reason on its own is enough, in the order in which they are named.
#[test]
fn an_attempt_begins_only_if_everything_allows_it() {
    let rig = Rig::new(settings(), 1);
    let denied = |begin: AttemptContext| rig.dispatcher.check_send(&begin, rig.now).err();
    assert_eq!(denied(begin(1)), None);
    assert_eq!(denied(AttemptContext { job_open: false, ..begin(1) }), Some(SendDenial::JobEnded));
    assert_eq!(denied(AttemptContext { attempt_pending: false, ..begin(1) }), Some(SendDenial::AttemptEnded));
    assert_eq!(denied(AttemptContext { time_left: 0, ..begin(1) }), Some(SendDenial::DeadlinePassed));
    assert_eq!(denied(begin(9)), Some(SendDenial::WorkerUnavailable));
    assert_eq!(denied(AttemptContext { address_current: false, ..begin(1) }), Some(SendDenial::WorkerMoved));
}
