//! Workers that operators take out and back.

mod common;
use common::*;
use postusher_decision::*;

/// As in `settings`, but that a cold worker can do enough not to be spared.
fn lukewarm() -> Settings {
    Settings { initial_capacity: 0.5, ..settings() }
}

fn out(rig: &mut Rig, worker: u32) {
    rig.play(Event::WorkerDisabled(WorkerId(worker)));
}

fn back(rig: &mut Rig, worker: u32) {
    rig.play(Event::WorkerEnabled(WorkerId(worker)));
}

/// Whether any of so many jobs, each settled at once, goes to a worker.
fn gets_work(rig: &mut Rig, first: u32, worker: u32) -> bool {
    (first..first + 60).any(|id| {
        rig.now += 10 * MS;
        let sent = rig.job(id, 0, 1);
        rig.settle(id, 0, AttemptResult::Success);
        sent == Some(worker)
    })
}

#[test]
fn nothing_lifts_what_an_operator_has_taken_out_but_the_call_back() {
    // Guards against: a list, a restart or a return that sends jobs to a worker somebody works on.
    let mut rig = Rig::new(lukewarm(), 3);
    assert!(gets_work(&mut rig, 1, 2));
    out(&mut rig, 2);
    out(&mut rig, 2); // a second call changes nothing
    assert!(rig.dispatcher.avoids(WorkerId(2)) && !rig.dispatcher.avoids(WorkerId(1)));
    let started = Endpoint { started_at: rig.now, ..member(2) };
    let gone = Endpoint { state: EndpointState::Removed, ..member(2) };
    let lists = [
        (ListUpdate::Complete, (1..=3).map(member).collect()),
        (ListUpdate::Changes, vec![gone]),
        (ListUpdate::Changes, vec![started.clone()]),
        (ListUpdate::Complete, vec![member(1), member(3)]),
        (ListUpdate::Changes, vec![started]),
    ];
    for (n, (kind, members)) in (0..).zip(lists) {
        rig.members(kind, members);
        rig.probed(2, AttemptResult::Success, &[2.0, 0.0]);
        rig.now += S;
        rig.play(Event::TimerExpired(0)); // as each tick does
        assert!(!gets_work(&mut rig, 100 + 100 * n, 2), "after list {n}");
    }
    back(&mut rig, 2); // one call back undoes both
    assert!(!rig.dispatcher.avoids(WorkerId(2)));
    rig.now += S;
    assert!(gets_work(&mut rig, 1_000, 2));
}

#[test]
fn neither_a_copy_nor_a_further_attempt_nor_a_probe_goes_to_a_worker_taken_out() {
    let probing = Settings { health_checks_allowed: true, ..settings() };
    let mut rig = Rig::new(probing, 2);
    let first = rig.job(1, 0, 1).unwrap();
    out(&mut rig, 3 - first);
    rig.settle(1, 0, AttemptResult::Error);
    assert!(rig.refused(1)); // the only other worker is out
    rig.now += 10 * S;
    rig.job(2, 0, 1);
    rig.play(Event::TimerExpired(0));
    assert!(!rig.actions.contains(&Action::CheckHealth { worker: WorkerId(3 - first) }));
}

#[test]
fn a_worker_taken_back_has_its_failures_forgotten_and_counts_as_cold() {
    let mut rig = Rig::new(lukewarm(), 6);
    rig.sicken(2);
    let warm = rig.dispatcher.tokens(WorkerId(1)).0;
    out(&mut rig, 2);
    back(&mut rig, 2);
    assert!(!rig.dispatcher.is_ejected(WorkerId(2)));
    // Cold: some tokens, but fewer than a warm worker has; and warm after its time.
    let cold = rig.dispatcher.tokens(WorkerId(2)).0;
    assert!((1..warm).contains(&cold), "{cold} of {warm}");
    rig.now += S;
    assert!(gets_work(&mut rig, 1_000, 2));
    rig.now += 20 * S;
    rig.members(ListUpdate::Complete, (1..=6).map(member).collect());
    assert_eq!(rig.dispatcher.tokens(WorkerId(2)).0, rig.dispatcher.tokens(WorkerId(1)).0);
    // A call back for one that was never out changes nothing.
    back(&mut rig, 1);
    assert_eq!(rig.dispatcher.tokens(WorkerId(2)).0, rig.dispatcher.tokens(WorkerId(1)).0);
}
