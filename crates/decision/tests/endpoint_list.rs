//! Whether jobs may be placed by the endpoint list, and what becomes of those that may not.

mod common;
use common::*;
use postusher_decision::*;

/// A dispatcher that starts with a list of two workers which discovery has not confirmed.
fn unconfirmed() -> TestHost {
    let now = 100 * SECOND;
    let dispatcher = Dispatcher::new(settings(), 1, now).with_unconfirmed_list();
    let mut host = TestHost { dispatcher, now, actions: Vec::new() };
    host.update_list(ListUpdate::Cached, (1..=2).map(endpoint).collect());
    host
}

/// Plays the timers that are due once this time has gone by, a microsecond early as a host may.
fn wait(host: &mut TestHost, time: Micros) {
    let timers: Vec<(Micros, u64)> = host
        .actions
        .drain(..)
        .filter_map(|a| if let Action::SetTimer { after, timer } = a { Some((after, timer)) } else { None })
        .collect();
    let start = host.now;
    for (after, timer) in timers.into_iter().filter(|(after, _)| *after <= time) {
        host.now = start + after - 1;
        host.handle(Event::TimerExpired(timer));
    }
    host.now = start + time;
}

fn draining(worker: u32) -> Endpoint {
    Endpoint { state: EndpointState::Draining, ..endpoint(worker) }
}

fn attempt_context(worker: u32) -> AttemptContext {
    AttemptContext {
        worker: WorkerId(worker),
        job_open: true,
        attempt_pending: true,
        time_left: SECOND,
        address_current: true,
    }
}

#[test]
fn jobs_wait_in_order_for_the_first_list() {
    let mut host = unconfirmed();
    assert!(host.submit(1, 0, 1).is_none() && !host.rejected(1));
    assert!(host.submit(2, 0, 1).is_none() && !host.rejected(2));
    host.actions.clear();
    host.update_list(ListUpdate::Changes, vec![draining(1)]);
    assert_eq!((host.worker_of(1), host.worker_of(2)), (Some(2), Some(2)));
    assert!(host.submit(3, 0, 1).is_some());
}

#[test]
fn wait_for_the_list_is_bounded_and_the_cached_list_is_used_after_five_seconds() {
    let mut host = unconfirmed();
    assert!(host.submit(1, 0, 1).is_none());
    wait(&mut host, SECOND);
    assert!(host.rejected(1) && host.worker_of(1).is_none());
    host.now += 5 * SECOND;
    assert!(host.submit(2, 0, 1).is_some());
}

#[test]
fn replaced_list_is_used_for_half_of_the_drain_grace() {
    let mut host = TestHost::new(settings(), 2);
    let (at, grace) = (host.now, settings().drain_grace);
    // The dispatcher may be told late: the time counts from when the answer started.
    host.now += grace / 4;
    host.update_list(ListUpdate::AnswerStarted { at }, Vec::new());
    assert!(
        host.submit(1, 0, 1).is_some() && host.dispatcher.check_send(&attempt_context(1), host.now).is_ok()
    );
    // More of it does not give more time.
    host.update_list(ListUpdate::AnswerStarted { at: host.now }, Vec::new());
    host.now = at + grace / 2;
    assert_eq!(host.dispatcher.check_send(&attempt_context(1), host.now), Err(SendDenial::ListNotCurrent));
    assert!(host.submit(2, 0, 1).is_none() && !host.rejected(2));
    // That a call fails changes nothing; a list that comes whole does.
    host.update_list(ListUpdate::Failed, Vec::new());
    assert!(!host.dispatcher.is_list_current(host.now));
    host.actions.clear();
    host.update_list(ListUpdate::Complete, vec![endpoint(1), draining(2)]);
    assert_eq!(host.worker_of(2), Some(1));
    assert_eq!(host.dispatcher.check_send(&attempt_context(2), host.now), Err(SendDenial::WorkerUnavailable));
}

#[test]
fn failed_call_without_an_answer_keeps_the_list_current() {
    let mut host = TestHost::new(settings(), 2);
    for id in 1..20 {
        host.update_list(ListUpdate::Failed, Vec::new());
        host.now += SECOND;
        assert!(host.submit(id, 0, 1).is_some());
        host.end_attempt(id, 0, AttemptResult::Success);
    }
}

/// Every reason on its own is enough, in the order in which they are named.
#[test]
fn each_send_denial_has_its_own_reason() {
    let host = TestHost::new(settings(), 1);
    let denied = |context: AttemptContext| host.dispatcher.check_send(&context, host.now).err();
    assert_eq!(denied(attempt_context(1)), None);
    assert_eq!(denied(AttemptContext { job_open: false, ..attempt_context(1) }), Some(SendDenial::JobEnded));
    assert_eq!(
        denied(AttemptContext { attempt_pending: false, ..attempt_context(1) }),
        Some(SendDenial::AttemptEnded)
    );
    assert_eq!(
        denied(AttemptContext { time_left: 0, ..attempt_context(1) }),
        Some(SendDenial::DeadlinePassed)
    );
    assert_eq!(denied(attempt_context(9)), Some(SendDenial::WorkerUnavailable));
    assert_eq!(
        denied(AttemptContext { address_current: false, ..attempt_context(1) }),
        Some(SendDenial::WorkerMoved)
    );
}
