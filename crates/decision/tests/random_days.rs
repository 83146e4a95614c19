//! Random days against an independent model of the rules: key order, restricted classes, idempotency, results that do not
//! prove that a job did not run, draining workers.

mod common;
use common::*;
use postusher_decision::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const WORKERS: u32 = 6;
const CELLS: u32 = 3;
const KEY_ORDER_PAUSE: Micros = 300 * MILLISECOND;
const DEDUPLICATION_WINDOW: Micros = 4 * SECOND;
const MAX_ATTEMPTS: usize = 5;

/// The classes of a day.
const ORDERED_BY_KEY: u16 = 0;
const BY_KEY_IN_A_CELL: u16 = 1;
const NOT_IDEMPOTENT: u16 = 2;
const ODD_WORKERS_ONLY: u16 = 3;

const RESULTS: [AttemptResult; 8] = [
    AttemptResult::Success,
    AttemptResult::Success,
    AttemptResult::Overloaded,
    AttemptResult::Error,
    AttemptResult::TimedOut,
    AttemptResult::Reset,
    AttemptResult::ConnectFailed,
    AttemptResult::Cancelled,
];

/// One step of a script: what happens, a choice within that, and the time until then in units of 3 µs.
type Step = (u8, u8, u16);

/// An attempt as the model knows it.
struct ModelAttempt {
    worker: u32,
    sent_at: Micros,
    /// How it ended and when; `None` while it is pending.
    end: Option<(AttemptResult, Micros)>,
}

impl ModelAttempt {
    fn may_have_run(&self) -> bool {
        let never_ran = |result| matches!(result, AttemptResult::ConnectFailed | AttemptResult::NotSent);
        !self.end.is_some_and(|(result, _)| never_ran(result))
    }

    /// Whether it has ended and its work cannot go on any more.
    fn is_over(&self, now: Micros) -> bool {
        let Some((result, ended_at)) = self.end else { return false };
        let is_uncertain =
            matches!(result, AttemptResult::TimedOut | AttemptResult::Reset | AttemptResult::Cancelled);
        now >= ended_at + if is_uncertain { KEY_ORDER_PAUSE } else { 0 }
    }
}

/// A job as the model knows it.
#[derive(Default)]
struct ModelJob {
    class: u16,
    key: u64,
    /// It has its final answer, or its client has disconnected.
    answered: bool,
    attempts: Vec<ModelAttempt>,
}

impl ModelJob {
    fn first_possible_run(&self) -> Option<&ModelAttempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }

    /// Whether the next job of its key may be sent.
    fn frees_its_key(&self, now: Micros) -> bool {
        self.answered && self.attempts.iter().all(|attempt| attempt.is_over(now))
    }
}

/// A dispatcher on a day, with the model beside it.
struct Day {
    host: TestHost,
    jobs: BTreeMap<u32, ModelJob>,
    draining: Vec<u32>,
    /// Timers by time and serial number.
    timers: BTreeMap<(Micros, usize), u64>,
    timers_set: usize,
}

impl Day {
    fn new(scheduler_count: u32, hedging_allowed: bool) -> Day {
        let settings = Settings {
            classes: vec![
                Class { ordered_by_key: true, ..class(Idempotency::Idempotent) },
                class(by_key(DeduplicationScope::Cell)),
                class(Idempotency::NotIdempotent),
                Class { allowed_kinds: Some(vec![1]), ..class(Idempotency::Idempotent) },
            ],
            scheduler_count,
            hedging_allowed,
            reports_start: hedging_allowed,
            key_order_pause: KEY_ORDER_PAUSE,
            overloaded_may_have_run: true,
            fetch_cost: 0.05,
            ..settings()
        };
        let mut host = TestHost::new(settings, 0);
        let endpoints = (1..=WORKERS).map(|worker| Self::endpoint(worker, EndpointState::Ready)).collect();
        host.update_list(ListUpdate::Complete, endpoints);
        host.report_loads(1..=WORKERS, &[2.0, 0.0]);
        Day { host, jobs: BTreeMap::new(), draining: Vec::new(), timers: BTreeMap::new(), timers_set: 0 }
    }

    fn endpoint(worker: u32, state: EndpointState) -> Endpoint {
        Endpoint { kind: (worker % 2) as u16, cell: (worker % CELLS) as u16, state, ..endpoint(worker) }
    }

    /// Hands the dispatcher an event and checks what it answers with.
    fn handle(&mut self, event: Event) {
        self.host.actions.clear();
        self.host.handle(event);
        let now = self.host.now;
        for action in std::mem::take(&mut self.host.actions) {
            match action {
                Action::SetTimer { after, timer } => {
                    self.timers_set += 1;
                    self.timers.insert((now + after.max(1), self.timers_set), timer);
                }
                Action::StartAttempt { job, worker, .. } => self.check_attempt(job.0, worker.0, now),
                Action::Reject { job, .. } => {
                    let rejected = &self.jobs[&job.0];
                    let may_have_run = rejected.first_possible_run().is_some();
                    let retry_may_harm = matches!(rejected.class, BY_KEY_IN_A_CELL | NOT_IDEMPOTENT);
                    assert!(!(may_have_run && retry_may_harm), "rejected though it may have run");
                    self.record_answer(job.0);
                }
                Action::Fail { job } => self.record_answer(job.0),
                _ => {}
            }
        }
    }

    fn record_answer(&mut self, id: u32) {
        let job = self.jobs.get_mut(&id).expect("a submitted job");
        assert!(!job.answered, "answered twice");
        job.answered = true;
    }

    /// Checks an attempt that the dispatcher starts, and records it.
    fn check_attempt(&mut self, id: u32, worker: u32, now: Micros) {
        let job = &self.jobs[&id];
        assert!(!job.answered && job.attempts.len() < MAX_ATTEMPTS, "sent after its end, or too often");
        assert!(!self.draining.contains(&worker), "sent to a draining worker");
        assert!(job.class != ODD_WORKERS_ONLY || worker % 2 == 1, "sent to a worker that is not allowed");
        match (job.class, job.first_possible_run()) {
            (NOT_IDEMPOTENT, first) => assert!(first.is_none(), "not idempotent, and sent again"),
            (BY_KEY_IN_A_CELL, Some(first)) => {
                let same_cell = worker % CELLS == first.worker % CELLS;
                let in_window = now <= first.sent_at + DEDUPLICATION_WINDOW;
                assert!(same_cell && in_window, "outside its cell or window");
            }
            _ => {}
        }
        if job.class == ORDERED_BY_KEY && job.key != 0 {
            let key = job.key;
            let same_key = |job: &ModelJob| job.class == ORDERED_BY_KEY && job.key == key;
            let mut before = self.jobs.range(..id).filter(|(_, job)| same_key(job));
            assert!(before.all(|(_, job)| job.frees_its_key(now)), "out of turn");
        }
        let attempt = ModelAttempt { worker, sent_at: now, end: None };
        self.jobs.entry(id).and_modify(|job| job.attempts.push(attempt));
    }

    fn submit(&mut self, id: u32, class: u16, key: u64) {
        self.jobs.insert(id, ModelJob { class, key, ..ModelJob::default() });
        self.handle(Event::JobArrived(Job {
            id: JobId(id),
            class,
            deadline: self.host.now + 5 * SECOND,
            size_hint: None,
            slots: 1,
            key,
            customer: 0,
        }));
    }

    fn end_attempt(&mut self, id: u32, index: usize, result: AttemptResult) {
        let now = self.host.now;
        let job = self.jobs.get_mut(&id).expect("a submitted job");
        let attempt = &mut job.attempts[index];
        let latency = now - attempt.sent_at;
        attempt.end = Some((result, now));
        job.answered |= result == AttemptResult::Success;
        let job_answered = job.answered;
        self.handle(Event::AttemptEnded(AttemptOutcome {
            job: JobId(id),
            attempt: AttemptId(index as u8),
            result,
            latency,
            job_answered,
            report: vec![2.0, 0.0],
        }));
    }

    fn disconnect(&mut self, id: u32) {
        self.jobs.entry(id).and_modify(|job| job.answered = true);
        self.handle(Event::ClientDisconnected(JobId(id)));
    }

    /// A ready worker drains, or a draining one is ready again.
    fn change_state(&mut self, worker: u32) {
        let was_draining = self.draining.contains(&worker);
        self.draining.retain(|draining| *draining != worker);
        let state = if was_draining {
            EndpointState::Ready
        } else {
            self.draining.push(worker);
            EndpointState::Draining
        };
        let endpoints = vec![Day::endpoint(worker, state)];
        self.handle(Event::EndpointList { update: ListUpdate::Changes, endpoints });
    }

    /// Moves the clock and plays the timers that are due, in order.
    fn wait(&mut self, time: Micros) {
        let until = self.host.now + time;
        while let Some((&(at, serial), &timer)) = self.timers.first_key_value() {
            if at > until {
                break;
            }
            self.timers.remove(&(at, serial));
            self.host.now = at;
            self.handle(Event::TimerExpired(timer));
        }
        self.host.now = until;
    }

    /// Job and index of each pending attempt.
    fn pending_attempts(&self) -> Vec<(u32, usize)> {
        let mut pending = Vec::new();
        for (id, job) in &self.jobs {
            for (index, attempt) in job.attempts.iter().enumerate() {
                if attempt.end.is_none() {
                    pending.push((*id, index));
                }
            }
        }
        pending
    }

    fn play(&mut self, number: u32, (event, choice, pause): Step) {
        self.wait(Micros::from(pause) * 3);
        let pending = self.pending_attempts();
        let chosen = pending.get(usize::from(choice) % pending.len().max(1)).copied();
        match (event % 8, chosen) {
            (0..=3, _) => self.submit(number, u16::from(event / 8 % 4), u64::from(choice % 4)),
            (4 | 5, Some((job, attempt))) => {
                self.end_attempt(job, attempt, RESULTS[usize::from(choice / 8 % 8)]);
            }
            (6, Some((job, attempt))) if choice % 4 > 0 => {
                self.handle(Event::JobStarted { job: JobId(job), attempt: AttemptId(attempt as u8) });
            }
            (6, Some((job, _))) if !self.jobs[&job].answered => self.disconnect(job),
            (7, _) => self.change_state(1 + u32::from(choice) % WORKERS),
            _ => {}
        }
    }

    /// Lets all deadlines pass and ends all attempts.
    fn finish(&mut self) {
        self.wait(6 * SECOND);
        assert!(self.jobs.values().all(|job| job.answered), "no final answer by the deadline");
        for (job, attempt) in self.pending_attempts() {
            self.end_attempt(job, attempt, AttemptResult::TimedOut);
        }
        for worker in 1..=WORKERS {
            assert_eq!(self.host.dispatcher.tokens(WorkerId(worker)).1, 0, "tokens still held");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::with_cases(96)
    })]

    #[test]
    fn all_rules_hold_on_random_days(
        script in prop::collection::vec(any::<Step>(), 1..300),
        many: bool,
        hedging_allowed: bool,
    ) {
        let mut day = Day::new(if many { 300 } else { 1 }, hedging_allowed);
        for (number, step) in (0..).zip(&script) {
            day.play(number, *step);
        }
        day.finish();
    }
}
