//! Long random but legal sequences of events: the service rules hold and tokens are conserved throughout.

mod common;
use common::*;
use postusher_decision::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const WORKERS: u32 = 5;
/// More tokens than a worker of the few slots that are reported may ever have.
const MAX_TOKENS: usize = 40;
const RESULTS: [AttemptResult; 8] = [
    AttemptResult::Success,
    AttemptResult::Success,
    AttemptResult::Error,
    AttemptResult::Overloaded,
    AttemptResult::TimedOut,
    AttemptResult::Reset,
    AttemptResult::ConnectFailed,
    AttemptResult::Cancelled,
];

/// One step of a script: what happens, a choice within that, and the time until then in units of 100 µs.
type Step = (u8, u8, u16);

/// A pending attempt, as the test saw it.
struct Pending {
    worker: u32,
    slots: usize,
}

/// A dispatcher and what a legal host knows about its jobs.
struct Run {
    host: TestHost,
    hedging_allowed: bool,
    /// By job and number of the attempt.
    pending: BTreeMap<(u32, u8), Pending>,
    /// Number of attempts by job.
    attempts: BTreeMap<u32, u8>,
    /// Slots of the jobs that are owed an answer.
    unanswered: BTreeMap<u32, usize>,
    draining: Vec<u32>,
    latest_job: u32,
}

impl Run {
    fn new(settings: Settings) -> Run {
        Run {
            hedging_allowed: settings.hedging_allowed,
            host: TestHost::new(settings, WORKERS),
            pending: BTreeMap::new(),
            attempts: BTreeMap::new(),
            unanswered: BTreeMap::new(),
            draining: Vec::new(),
            latest_job: 0,
        }
    }

    /// Plays one step and checks what came of it.
    fn step(&mut self, (event, choice, pause): Step) {
        self.host.now += Micros::from(pause) * 100;
        self.host.actions.clear();
        match event % 8 {
            0..=2 => self.submit(choice),
            3 | 4 => {
                let index = usize::from(choice) % self.pending.len().max(1);
                let Some(attempt) = self.pending.keys().nth(index).copied() else { return };
                self.end(attempt, choice, Micros::from(pause) * 100);
            }
            5 => self.host.tick(),
            6 => self.change_state(choice),
            _ => {
                let worker = 1 + u32::from(choice) % WORKERS;
                self.host.health_checked(worker, AttemptResult::Success, &[f64::from(choice % 4), 0.0]);
            }
        }
        self.check_actions();
        self.check_tokens();
    }

    fn submit(&mut self, choice: u8) {
        self.latest_job += 1;
        let slots = 1 + u32::from(choice % 2);
        self.unanswered.insert(self.latest_job, slots as usize);
        self.host.submit(self.latest_job, u16::from(choice % 5), slots);
    }

    fn end(&mut self, (job, attempt): (u32, u8), choice: u8, latency: Micros) {
        self.pending.remove(&(job, attempt));
        let result = RESULTS[usize::from(choice) % RESULTS.len()];
        if result == AttemptResult::Success {
            self.unanswered.remove(&job);
        }
        self.host.handle(Event::AttemptEnded(AttemptOutcome {
            job: JobId(job),
            attempt: AttemptId(attempt),
            result,
            latency,
            job_answered: !self.unanswered.contains_key(&job),
            report: vec![f64::from(choice % 3), f64::NAN],
        }));
    }

    /// A worker drains, or is ready again.
    fn change_state(&mut self, choice: u8) {
        let worker = 1 + u32::from(choice) % WORKERS;
        self.draining.retain(|draining| *draining != worker);
        let state = if choice.is_multiple_of(2) {
            EndpointState::Ready
        } else {
            self.draining.push(worker);
            EndpointState::Draining
        };
        self.host.update_list(ListUpdate::Changes, vec![Endpoint { state, ..endpoint(worker) }]);
    }

    /// Checks the latest actions against what is legal, and remembers them.
    fn check_actions(&mut self) {
        for action in &self.host.actions {
            match action {
                Action::StartAttempt { job, worker, .. } => {
                    assert!(self.unanswered.contains_key(&job.0), "sent after its answer");
                    assert!(!self.draining.contains(&worker.0), "sent to a draining worker");
                    let is_pending = self.pending.keys().any(|(pending, _)| *pending == job.0);
                    assert!(self.hedging_allowed || !is_pending, "two attempts at once");
                    let attempt = self.attempts.entry(job.0).or_default();
                    let pending = Pending { worker: worker.0, slots: self.unanswered[&job.0] };
                    self.pending.insert((job.0, *attempt), pending);
                    *attempt += 1;
                }
                Action::Reject { job, .. } | Action::Fail { job } => {
                    assert!(self.unanswered.remove(&job.0).is_some(), "answered twice");
                }
                _ => {}
            }
        }
    }

    fn check_tokens(&self) {
        for worker in 1..=WORKERS {
            let at_worker = self.pending.values().filter(|pending| pending.worker == worker);
            let expected: usize = at_worker.map(|pending| pending.slots).sum();
            let (free, held) = self.host.dispatcher.tokens(WorkerId(worker));
            assert_eq!(held, expected, "worker {worker}: tokens lost or made up");
            assert!(free + held <= MAX_TOKENS, "worker {worker}: the number of tokens is not bounded");
            assert!(free == 0 || !self.draining.contains(&worker));
        }
    }

    /// Lets all deadlines pass.
    fn finish(&mut self) {
        self.host.now += 10 * SECOND;
        let unanswered: Vec<u32> = self.unanswered.keys().copied().collect();
        for job in unanswered {
            self.host.actions.clear();
            self.host.handle(Event::TimerExpired(DEADLINE + u64::from(job)));
            self.check_actions();
        }
        assert!(self.unanswered.is_empty(), "a job got no answer");
    }
}

/// Plays a script and returns all actions.
fn run(script: &[Step], settings: Settings) -> Vec<Action> {
    let mut run = Run::new(settings);
    let mut actions = Vec::new();
    for step in script {
        run.step(*step);
        actions.extend_from_slice(&run.host.actions);
    }
    run.finish();
    actions
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::with_cases(64)
    })]

    #[test]
    fn rules_hold_and_tokens_are_conserved(
        script in prop::collection::vec(any::<Step>(), 1..400),
        hedging_allowed: bool,
    ) {
        let settings = Settings { hedging_allowed, reports_start: hedging_allowed, ..settings() };
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
    assert!(host.rejected(5), "its deadline has passed, and still it is answered");
    host.actions.clear();
    let deadline = host.now + SECOND;
    host.handle(Event::JobArrived(Job { id: JobId(6), deadline, slots: u32::MAX, ..job }));
    assert!(host.rejected(6));
}
