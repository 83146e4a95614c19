//! Workers that operators take out and back.

mod common;
use common::*;
use postusher_decision::*;

/// As in `settings`, but that a cold worker can do enough not to be spared.
fn lukewarm() -> Settings {
    Settings { initial_capacity: 0.5, ..settings() }
}

fn out(host: &mut TestHost, worker: u32) {
    host.handle(Event::WorkerDisabled(WorkerId(worker)));
}

fn back(host: &mut TestHost, worker: u32) {
    host.handle(Event::WorkerEnabled(WorkerId(worker)));
}

/// Whether any of so many jobs, each settled at once, goes to a worker.
fn gets_work(host: &mut TestHost, first: u32, worker: u32) -> bool {
    (first..first + 60).any(|id| {
        host.now += 10 * MILLISECOND;
        let sent = host.submit(id, 0, 1);
        host.end_attempt(id, 0, AttemptResult::Success);
        sent == Some(worker)
    })
}

#[test]
fn disabled_worker_gets_no_jobs_until_it_is_enabled() {
    // Somebody may be working on the machine: no list, restart or return may send jobs to it.
    let mut host = TestHost::new(lukewarm(), 3);
    assert!(gets_work(&mut host, 1, 2));
    out(&mut host, 2);
    out(&mut host, 2); // a second call changes nothing
    assert!(host.dispatcher.avoids(WorkerId(2)) && !host.dispatcher.avoids(WorkerId(1)));
    let started = Endpoint { started_at: host.now, ..endpoint(2) };
    let gone = Endpoint { state: EndpointState::Removed, ..endpoint(2) };
    let lists = [
        (ListUpdate::Complete, (1..=3).map(endpoint).collect()),
        (ListUpdate::Changes, vec![gone]),
        (ListUpdate::Changes, vec![started.clone()]),
        (ListUpdate::Complete, vec![endpoint(1), endpoint(3)]),
        (ListUpdate::Changes, vec![started]),
    ];
    for (n, (kind, members)) in (0..).zip(lists) {
        host.update_list(kind, members);
        host.health_checked(2, AttemptResult::Success, &[2.0, 0.0]);
        host.now += SECOND;
        host.tick(); // as each tick does
        assert!(!gets_work(&mut host, 100 + 100 * n, 2), "after list {n}");
    }
    back(&mut host, 2); // one call back undoes both
    assert!(!host.dispatcher.avoids(WorkerId(2)));
    host.now += SECOND;
    assert!(gets_work(&mut host, 1_000, 2));
}

#[test]
fn disabled_worker_gets_no_retry_and_no_health_check() {
    let probing = Settings { health_checks_allowed: true, ..settings() };
    let mut host = TestHost::new(probing, 2);
    let first = host.submit(1, 0, 1).unwrap();
    out(&mut host, 3 - first);
    host.end_attempt(1, 0, AttemptResult::Error);
    assert!(host.rejected(1)); // the only other worker is out
    host.now += 10 * SECOND;
    host.submit(2, 0, 1);
    host.tick();
    assert!(!host.actions.contains(&Action::CheckHealth { worker: WorkerId(3 - first) }));
}

#[test]
fn enabled_worker_is_reset_and_in_slow_start() {
    let mut host = TestHost::new(lukewarm(), 6);
    host.fail_until_ejected(2);
    let warm = host.dispatcher.tokens(WorkerId(1)).0;
    out(&mut host, 2);
    back(&mut host, 2);
    assert!(!host.dispatcher.is_ejected(WorkerId(2)));
    // Cold: some tokens, but fewer than a warm worker has; and warm after its time.
    let cold = host.dispatcher.tokens(WorkerId(2)).0;
    assert!((1..warm).contains(&cold), "{cold} of {warm}");
    host.now += SECOND;
    assert!(gets_work(&mut host, 1_000, 2));
    host.now += 20 * SECOND;
    host.update_list(ListUpdate::Complete, (1..=6).map(endpoint).collect());
    assert_eq!(host.dispatcher.tokens(WorkerId(2)).0, host.dispatcher.tokens(WorkerId(1)).0);
    // A call back for one that was never out changes nothing.
    back(&mut host, 1);
    assert_eq!(host.dispatcher.tokens(WorkerId(2)).0, host.dispatcher.tokens(WorkerId(1)).0);
}
