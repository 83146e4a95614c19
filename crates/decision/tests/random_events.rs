//! Long random but legal sequences of events: rules and token conservation hold throughout.

mod common;
use common::*;
use postusher_decision::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const WORKERS: u32 = 5;

#[derive(Default)]
struct Seen {
    /// Attempts out, with their worker and slots.
    out: BTreeMap<(u32, u8), (u32, usize)>,
    attempts: BTreeMap<u32, u8>,
    open: BTreeMap<u32, usize>,
    told_not: Vec<u32>,
}

/// Checks what came out against what is legal, and remembers it.
fn account(seen: &mut Seen, actions: &[Action], copies: bool) {
    for a in actions {
        match a {
            Action::StartAttempt { job, worker, .. } => {
                assert!(seen.open.contains_key(&job.0), "sent after its answer");
                assert!(!seen.told_not.contains(&worker.0), "sent to a draining worker");
                let attempt = seen.attempts.entry(job.0).or_default();
                assert!(copies || !seen.out.keys().any(|(j, _)| *j == job.0), "two at once");
                seen.out.insert((job.0, *attempt), (worker.0, seen.open[&job.0]));
                *attempt += 1;
            }
            Action::Reject { job, .. } | Action::Fail { job } => {
                assert!(seen.open.remove(&job.0).is_some(), "answered twice");
            }
            _ => {}
        }
    }
}

fn run(script: &[(u8, u8, u16)], settings: Settings) -> Vec<Action> {
    let copies = settings.hedging_allowed;
    let mut host = TestHost::new(settings, WORKERS);
    let (mut seen, mut all, mut id) = (Seen::default(), Vec::new(), 0);
    for (what, which, step) in script {
        host.now += Micros::from(*step) * 100;
        host.actions.clear();
        match what % 8 {
            0..=2 => {
                id += 1;
                let slots = 1 + u32::from(which % 2);
                seen.open.insert(id, slots as usize);
                host.submit(id, u16::from(which % 5), slots);
            }
            3 | 4 => {
                let Some((job, attempt)) =
                    seen.out.keys().nth(usize::from(*which) % seen.out.len().max(1)).copied()
                else {
                    continue;
                };
                seen.out.remove(&(job, attempt));
                let endings = [
                    AttemptResult::Success,
                    AttemptResult::Success,
                    AttemptResult::Error,
                    AttemptResult::Overloaded,
                    AttemptResult::TimedOut,
                    AttemptResult::Reset,
                    AttemptResult::ConnectFailed,
                    AttemptResult::Cancelled,
                ];
                let result = endings[usize::from(*which) % 8];
                if result == AttemptResult::Success {
                    seen.open.remove(&job);
                }
                let done = !seen.open.contains_key(&job);
                let report = vec![f64::from(*which % 3), f64::NAN];
                let latency = Micros::from(*step) * 100;
                host.handle(Event::AttemptEnded(AttemptOutcome {
                    job: JobId(job),
                    attempt: AttemptId(attempt),
                    result,
                    latency,
                    job_answered: done,
                    report,
                }));
            }
            5 => host.tick(),
            6 => {
                let ready = which % 2 == 0;
                let worker = 1 + u32::from(*which) % WORKERS;
                seen.told_not.retain(|w| *w != worker);
                let state = if ready { EndpointState::Ready } else { EndpointState::Draining };
                if !ready {
                    seen.told_not.push(worker);
                }
                host.update_list(ListUpdate::Changes, vec![Endpoint { state, ..endpoint(worker) }]);
            }
            _ => host.health_checked(
                1 + u32::from(*which) % WORKERS,
                AttemptResult::Success,
                &[f64::from(*which % 4), 0.0],
            ),
        }
        account(&mut seen, &host.actions, copies);
        for w in 1..=WORKERS {
            let held: usize = seen.out.values().filter(|o| o.0 == w).map(|o| o.1).sum();
            let (free, holds) = host.dispatcher.tokens(WorkerId(w));
            assert_eq!(holds, held, "worker {w}: tokens lost or made up");
            assert!(free + holds <= 40, "worker {w}: the count is not bounded");
            assert!(free == 0 || !seen.told_not.contains(&w));
        }
        all.append(&mut host.actions.clone());
    }
    host.now += 10 * SECOND;
    for job in seen.open.keys().copied().collect::<Vec<_>>() {
        host.actions.clear();
        host.handle(Event::TimerExpired(DEADLINE + u64::from(job)));
        account(&mut seen, &host.actions, copies);
    }
    assert!(seen.open.is_empty(), "a job got no answer");
    all
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::with_cases(64) })]

    #[test]
    fn rules_hold_and_tokens_are_conserved(script in prop::collection::vec(any::<(u8, u8, u16)>(), 1..400), copies: bool) {
        let settings = Settings { hedging_allowed: copies, reports_start: copies, ..settings() };
        let first = run(&script, settings.clone());
        prop_assert_eq!(first, run(&script, settings), "the same events give the same actions");
    }
}

#[test]
fn unexpected_events_are_survived() {
    let mut host = TestHost::new(Settings { health_checks_allowed: true, ..settings() }, 1);
    host.end_attempt(77, 3, AttemptResult::Success);
    host.handle(Event::JobStarted { job: JobId(77), attempt: AttemptId(9) });
    host.handle(Event::ClientDisconnected(JobId(77)));
    host.handle(Event::TimerExpired(u64::MAX));
    host.health_checked(99, AttemptResult::TimedOut, &[-1.0, f64::INFINITY]);
    host.health_checked(1, AttemptResult::Success, &[f64::NAN]);
    let job =
        Job { id: JobId(5), class: 900, deadline: 0, size_hint: Some(0), slots: 0, key: 0, customer: 0 };
    host.actions.clear();
    host.handle(Event::JobArrived(job.clone()));
    assert!(host.rejected(5), "past its time already, and still answered");
    host.actions.clear();
    host.handle(Event::JobArrived(Job { id: JobId(6), deadline: host.now + SECOND, slots: u32::MAX, ..job }));
    assert!(host.rejected(6));
}
