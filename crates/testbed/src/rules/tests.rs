use super::*;
use crate::plan::Plan;
use crate::scenario::{Fault, FaultKind, Scenario};
use std::sync::Arc;

fn job(id: &str, dependencies: &[(&str, bool)], start_at: Option<f64>) -> Job {
    Job {
        id: id.into(),
        submit_at: 0.0,
        class: 0,
        running_time: 1_000.0,
        slots: 1,
        size_hint: 1.0,
        client_timeout: 1e4,
        dependencies: dependencies
            .iter()
            .map(|(id, takes_any_answer)| (id.to_string(), *takes_any_answer))
            .collect(),
        start_at,
        disconnects_after: None,
        in_backlog: false,
        scheduler: 0,
    }
}

fn run(effect: Effect, jobs: Vec<Job>, entries: Vec<(f64, Observation)>) -> Run {
    let mut scenario = Scenario::parse(crate::test_scenario::SMALL).unwrap();
    scenario.class[0].effect = effect;
    let entries = entries.into_iter().map(|(at, observation)| Entry { at, observation }).collect();
    Run { scenario, plan: Arc::new(Plan::of(jobs)), entries }
}

fn sent(job: &str) -> Observation {
    Observation::Sent { job: job.into() }
}

fn answered(job: &str, status: u16, is_own_result: bool) -> Observation {
    Observation::Answered { job: job.into(), status, is_own_result, retry_after: None }
}

fn received(job: &str, worker: usize, may_run: bool) -> Observation {
    let status = if may_run { 202 } else { 503 };
    Observation::JobReceived { job: job.into(), worker, scheduler: 0, status, may_run, time_left: None }
}

fn done(job: &str) -> Observation {
    Observation::JobDone { job: job.into(), worker: 0 }
}

fn broken_rules(run: &Run) -> Vec<Rule> {
    check(run).into_iter().map(|breach| breach.rule).collect()
}

fn served(extra: Vec<(f64, Observation)>) -> Vec<(f64, Observation)> {
    let mut all = vec![
        (1.0, sent("a")),
        (2.0, received("a", 0, true)),
        (3.0, done("a")),
        (4.0, answered("a", 200, true)),
    ];
    all.extend(extra);
    all
}

#[test]
fn answer_and_result_breaches_are_found() {
    let with = |extra| broken_rules(&run(Effect::Once, vec![job("a", &[], None)], served(extra)));
    assert_eq!(with(vec![]), []);
    assert_eq!(with(vec![(5.0, answered("a", 503, false))]), [Rule::OneAnswer]);
    assert_eq!(with(vec![(5.0, Observation::UnexpectedBytes { scheduler: 0, bytes: 9 })]), [Rule::OneAnswer]);
    assert_eq!(with(vec![(5.0, received("a", 1, false))]), [Rule::RetryPolicy]);
    let from_entries = |entries| broken_rules(&run(Effect::Repeatable, vec![job("a", &[], None)], entries));
    assert_eq!(from_entries(vec![(1.0, sent("a"))]), [Rule::OneAnswer]);
    assert_eq!(
        from_entries(vec![(1.0, sent("a")), (9.0, Observation::TimedOut { job: "a".into() })]),
        [Rule::OneAnswer]
    );
    let lost = || Observation::ConnectionLost { job: "a".into(), scheduler: 0, stale: false };
    assert_eq!(from_entries(vec![(1.0, sent("a")), (9.0, lost())]), [Rule::OneAnswer]);
    assert_eq!(
        from_entries(vec![
            (1.0, sent("a")),
            (8.0, Observation::SchedulerKilled { scheduler: 0 }),
            (9.0, lost())
        ]),
        []
    );
    let up = || (0.7, Observation::SchedulerUp { scheduler: 0 });
    let before =
        vec![(0.5, Observation::SchedulerKilled { scheduler: 0 }), up(), (1.0, sent("a")), (9.0, lost())];
    assert_eq!(from_entries(before), [Rule::OneAnswer]); // the scheduler was up again
    assert_eq!(from_entries(vec![(9.0, lost())]), []); // the job was never accepted
    assert_eq!(from_entries(vec![(1.0, sent("a")), (4.0, answered("a", 200, true))]), [Rule::OwnResult]);
    assert_eq!(
        from_entries(vec![(1.0, sent("a")), (2.0, done("a")), (4.0, answered("a", 200, false))]),
        [Rule::OwnResult]
    );
}

#[test]
fn retries_are_judged_by_class_and_cell() {
    let again = |effect, worker: usize, at: f64| {
        let twice = vec![(at, received("a", worker, true))];
        broken_rules(&run(effect, vec![job("a", &[], None)], served(twice)))
    };
    assert_eq!(again(Effect::Repeatable, 3, 90.0), []);
    assert_eq!(again(Effect::Once, 0, 90.0), [Rule::RetryPolicy]);
    assert_eq!(again(Effect::ByKey, 1, 90.0), []); // 0 and 1 are one cell
    assert_eq!(again(Effect::ByKey, 2, 90.0), [Rule::RetryPolicy]);
    assert_eq!(again(Effect::ByKey, 1, 30_003.0), [Rule::RetryPolicy]);
}

#[test]
fn drain_and_slow_start_breaches_are_found() {
    let notified = |drains| Observation::DrainNotified { worker: 0, scheduler: 0, drains };
    let check_entries = |entries| {
        let jobs = (0..40).map(|number| job(&number.to_string(), &[], None)).collect();
        broken_rules(&run(Effect::Repeatable, jobs, entries))
    };
    let job_entries =
        |at, id: &str| vec![(at, sent(id)), (at, received(id, 0, true)), (at, answered(id, 503, false))];
    let mut all = vec![(0.0, notified(true))];
    all.extend(job_entries(790.0, "1"));
    assert_eq!(check_entries(all.clone()), []);
    all.extend(job_entries(810.0, "2"));
    assert_eq!(check_entries(all.clone()), [Rule::DrainGrace]);
    all.insert(4, (800.0, notified(false)));
    assert_eq!(check_entries(all), []);
    // 4 slots at a capacity of 0.4 do 1.6 s of work per second, 2.4 s in 1.5 s. Three times that may arrive
    // within 1.5 s, and one job more.
    let overload = |count: usize| {
        let mut all = vec![(0.0, Observation::WorkerStarted { worker: 0 })];
        (0..count).for_each(|number| all.extend(job_entries(10.0, &number.to_string())));
        check_entries(all)
    };
    assert_eq!((overload(8), overload(9)), (vec![], vec![Rule::SlowStartLoad]));
}

#[test]
fn removal_without_a_fault_is_found() {
    let mut run = run(Effect::Repeatable, Vec::new(), Vec::new());
    run.scenario.schedulers = 3;
    run.scenario.members =
        Some(crate::scenario::Members { zones: 3, probe_ms: 500.0, suspicion_ms: 3_000.0 });
    let cut = |at_s, allowed_removals: &[usize]| Fault {
        at_s,
        kind: FaultKind::Cut,
        targets: vec![2],
        peers: vec![0, 1],
        allowed_removals: allowed_removals.to_vec(),
        duration_s: 5.0,
        factor: 1.0,
    };
    let mut broken = |faults: Vec<Fault>, views: &[(f64, &str)]| {
        run.scenario.fault = faults;
        let view = |(at, states): &(f64, &str)| {
            let (states, minority) = (states.to_string(), false);
            Entry { at: *at, observation: Observation::View { scheduler: 0, states, minority } }
        };
        run.entries = views.iter().map(view).collect();
        for scheduler in [1, 2] {
            let observation = Observation::View { scheduler, states: "aaa".into(), minority: false };
            run.entries.push(Entry { at: 99.0, observation });
        }
        check(&run).into_iter().flat_map(|breach| breach.examples).collect::<Vec<String>>()
    };
    let once = [(1.0, "aaa"), (9_000.0, "aas"), (10_000.0, "aag"), (16_000.0, "aaa")];
    assert_eq!(broken(vec![cut(5.0, &[2])], &once), Vec::<String>::new());
    assert_eq!(broken(vec![cut(5.0, &[])], &once), ["s0 removed s2 at 10000 ms without a fault"]);
    assert_eq!(broken(vec![cut(12.0, &[2])], &once), ["s0 removed s2 at 10000 ms without a fault"]);
    // Two faults allow two removals, but not both before the second fault, and no third one.
    let two = |second| vec![cut(5.0, &[2]), cut(second, &[2])];
    let again = [&once[..], &[(17_000.0, "aag"), (18_000.0, "aaa")]].concat();
    assert_eq!(broken(two(16.0), &again), Vec::<String>::new());
    assert_eq!(broken(two(30.0), &again), ["s0 removed s2 at 17000 ms without a fault"]);
    let third = [&again[..], &[(40_000.0, "aag"), (41_000.0, "aaa")]].concat();
    assert_eq!(broken(two(16.0), &third), ["s0 removed s2 at 40000 ms without a fault"]);
    // The view of a restarted process, which does not contain the others yet, is no removal. But at the end
    // of the run the view must contain them.
    let restarted = [(1.0, "aaa"), (5_000.0, "a--"), (9_000.0, "aaa")];
    assert_eq!(broken(vec![], &restarted), Vec::<String>::new());
    assert_eq!(broken(vec![], &restarted[..2]).len(), 1);
}

#[test]
fn deferred_jobs_started_too_early_are_found() {
    let jobs = |any| vec![job("a", &[], None), job("b", &[("a", any)], None), job("c", &[], Some(50.0))];
    let b = |at: f64| {
        vec![
            (1.5, sent("b")),
            (at, received("b", 1, true)),
            (60.0, done("b")),
            (61.0, answered("b", 200, true)),
        ]
    };
    let with = |any, extra| broken_rules(&run(Effect::Repeatable, jobs(any), served(extra)));
    assert_eq!(with(false, b(3.5)), []);
    assert_eq!(with(false, b(2.5)), [Rule::StartWhenReady]);
    let failed = |any| {
        let mut all = vec![(1.0, sent("a")), (4.0, answered("a", 502, false))];
        all.extend(b(5.0));
        broken_rules(&run(Effect::Repeatable, jobs(any), all))
    };
    assert_eq!((failed(false), failed(true)), (vec![Rule::DependencyServed], vec![]));
    // The client of the dependency left without its answer, after or before a worker had finished the job.
    let left = |at: f64| {
        let left = Observation::ClientLeft { job: "a".into() };
        let mut all = vec![(1.0, sent("a")), (2.0, received("a", 0, true)), (3.0, done("a")), (at, left)];
        all.extend(b(5.0));
        broken_rules(&run(Effect::Repeatable, jobs(true), all))
    };
    assert_eq!((left(3.1), left(2.9)), (vec![], vec![Rule::StartWhenReady]));
    let c =
        |at: f64| vec![(1.0, sent("c")), (at, received("c", 1, false)), (61.0, answered("c", 503, false))];
    assert_eq!((with(false, c(50.0)), with(false, c(48.0))), (vec![], vec![Rule::StartWhenReady]));
}

#[test]
fn disconnect_time_left_and_loss_breaches_are_found() {
    let leaves = |at: f64| {
        vec![
            (1.0, sent("a")),
            (50.0, Observation::ClientLeft { job: "a".into() }),
            (at, received("a", 0, true)),
        ]
    };
    let left = |at| broken_rules(&run(Effect::Repeatable, vec![job("a", &[], None)], leaves(at)));
    assert_eq!((left(190.0), left(210.0)), (vec![], vec![Rule::ClientConnected]));
    let with_time_left = |time_left: f64| {
        let got = Observation::JobReceived {
            job: "a".into(),
            worker: 0,
            scheduler: 0,
            status: 202,
            may_run: true,
            time_left: Some(time_left),
        };
        let all =
            vec![(0.0, sent("a")), (1_000.0, got), (1_001.0, done("a")), (1_002.0, answered("a", 200, true))];
        broken_rules(&run(Effect::Repeatable, vec![job("a", &[], None)], all))
    };
    assert_eq!((with_time_left(9_100.0), with_time_left(9_200.0)), (vec![], vec![Rule::TimeLeft]));
    let refused = |at: f64| {
        let all = vec![
            (30.0, Observation::SchedulerExited { scheduler: 0, code: Some(0) }),
            (at, sent("a")),
            (40.0, Observation::ConnectionLost { job: "a".into(), scheduler: 0, stale: true }),
        ];
        broken_rules(&run(Effect::Repeatable, vec![job("a", &[], None)], all))
    };
    assert_eq!((refused(31.0), refused(25.0), refused(15.0)), (vec![], vec![], vec![Rule::OneAnswer]));
    let lost = |at: f64| {
        let end = Observation::ConnectionLost { job: "a".into(), scheduler: 0, stale: false };
        let all = vec![
            (0.0, Observation::SchedulerTerminated { scheduler: 0 }),
            (at, sent("a")),
            (3_700.0, Observation::SchedulerKilled { scheduler: 0 }),
            (3_701.0, end),
        ];
        broken_rules(&run(Effect::Repeatable, vec![job("a", &[], None)], all))
    };
    assert_eq!((lost(600.0), lost(800.0)), (vec![], vec![Rule::OneAnswer]));
}

#[test]
fn keyed_retry_after_the_window_is_found() {
    let with_retry_at = |at| {
        let entries = served(vec![(at, received("a", 1, true))]);
        let mut run = run(Effect::ByKey, vec![job("a", &[], None)], entries);
        run.scenario.fleet.cell = 2;
        run.scenario.class[0].deduplication_window_ms = 1_000.0;
        broken_rules(&run)
    };
    assert_eq!(with_retry_at(1_001.0), []);
    assert_eq!(with_retry_at(1_003.0), [Rule::RetryPolicy]);
}

#[test]
fn memory_over_the_limit_is_found() {
    let with_peak = |peak_kib| {
        let memory = (5.0, Observation::SchedulerMemory { scheduler: 0, peak_kib });
        let mut run = run(Effect::Once, vec![job("a", &[], None)], served(vec![memory]));
        run.scenario.memory_mib = 32.0;
        broken_rules(&run)
    };
    assert_eq!(with_peak(32 * 1024), []);
    assert_eq!(with_peak(32 * 1024 + 1), [Rule::MemoryLimit]);
}

/// The journal of soak seed 3 beside a compiler: a job was sent on a connection whose scheduler was exiting. The
/// exit was recorded 10.9 ms later, as the process had waited 9.5 ms for a processor and the test bed 29 ms.
#[test]
fn exit_that_is_recorded_late_explains_a_refused_connection() {
    let exit_recorded_at = |at: f64, waits: Vec<Observation>| {
        let mut all = vec![(31.5, sent("a"))];
        all.extend(waits.into_iter().map(|wait| (40.0, wait)));
        all.push((41.0, Observation::ConnectionLost { job: "a".into(), scheduler: 0, stale: true }));
        all.push((at, Observation::SchedulerExited { scheduler: 0, code: Some(0) }));
        broken_rules(&run(Effect::Repeatable, vec![job("a", &[], None)], all))
    };
    let process_wait = Observation::SchedulerWaited { scheduler: 0, ms: 9.5 };
    let other_process_wait = Observation::SchedulerWaited { scheduler: 1, ms: 9.5 };
    let own_wait = Observation::TestBedWaited { ms: 29.0 };
    assert_eq!(exit_recorded_at(42.4, vec![]), [Rule::OneAnswer]);
    assert_eq!(exit_recorded_at(42.4, vec![other_process_wait]), [Rule::OneAnswer]);
    assert_eq!(exit_recorded_at(42.4, vec![process_wait.clone()]), []);
    assert_eq!(exit_recorded_at(42.4, vec![own_wait.clone()]), []);
    assert_eq!(exit_recorded_at(85.0, vec![process_wait, own_wait]), [Rule::OneAnswer]);
}

#[test]
fn second_attempt_while_the_first_is_open_is_found() {
    let with_first_attempt_until = |end: Option<Observation>, second_copies| {
        let mut entries = vec![(1.0, sent("a")), (2.0, received("a", 0, true))];
        entries.extend(end.map(|end| (3.0, end)));
        entries.extend([(4.0, received("a", 1, true)), (5.0, done("a")), (6.0, answered("a", 200, true))]);
        let mut run = run(Effect::Repeatable, vec![job("a", &[], None)], entries);
        run.scenario.second_copies = second_copies;
        broken_rules(&run)
    };
    let ended = |worker| Some(Observation::AttemptEnded { job: "a".into(), worker });
    assert_eq!(with_first_attempt_until(None, false), [Rule::SecondCopies]);
    assert_eq!(with_first_attempt_until(ended(1), false), [Rule::SecondCopies]);
    assert_eq!(with_first_attempt_until(ended(0), false), []);
    let cancelled = Observation::AttemptCancelled { job: "a".into(), worker: 0 };
    assert_eq!(with_first_attempt_until(Some(cancelled), false), []);
    assert_eq!(with_first_attempt_until(Some(Observation::WorkerDied { worker: 0 }), false), []);
    assert_eq!(with_first_attempt_until(None, true), []);
}
