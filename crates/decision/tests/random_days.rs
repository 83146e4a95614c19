//! Random days against an independent model of the rules: order, placement, 'full' is no proof, effects, drains.

mod common;
use common::*;
use postusher_decision::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;

const WORKERS: u32 = 6;
const PAUSE: Micros = 300 * MILLISECOND;

/// How an attempt ended and when; `None` while it is out.
type Ended = Option<(AttemptResult, Micros)>;

#[derive(Default)]
struct Told {
    class: u16,
    key: u64,
    over: bool,
    /// Worker, when sent, how it ended and when.
    attempts: Vec<(u32, Micros, Ended)>,
}

impl Told {
    /// The first attempt that may have run: its worker and when it was sent.
    fn first_run(&self) -> Option<(u32, Micros)> {
        let never = |e: &Ended| {
            e.is_some_and(|(e, _)| matches!(e, AttemptResult::ConnectFailed | AttemptResult::NotSent))
        };
        self.attempts.iter().find(|(_, _, ended)| !never(ended)).map(|(w, sent, _)| (*w, *sent))
    }

    /// Whether the next of its key may be sent.
    fn lets_go(&self, now: Micros) -> bool {
        let rested = |(e, at): (AttemptResult, Micros)| {
            now >= at
                + if matches!(e, AttemptResult::TimedOut | AttemptResult::Reset | AttemptResult::Cancelled) {
                    PAUSE
                } else {
                    0
                }
        };
        self.over && self.attempts.iter().all(|(_, _, ended)| ended.is_some_and(rested))
    }
}

struct Day {
    host: TestHost,
    jobs: BTreeMap<u32, Told>,
    draining: Vec<u32>,
    timers: BTreeMap<(Micros, usize), u64>,
    set: usize,
}

impl Day {
    fn new(scheduler_count: u32, copies: bool) -> Day {
        let mut s = settings();
        s.classes = vec![
            Class { ordered_by_key: true, ..class(Idempotency::Idempotent) },
            class(by_key(DeduplicationScope::Cell)),
            class(Idempotency::NotIdempotent),
            Class { allowed_kinds: Some(vec![1]), ..class(Idempotency::Idempotent) },
        ];
        s = Settings {
            scheduler_count,
            hedging_allowed: copies,
            reports_start: copies,
            key_order_pause: PAUSE,
            ..s
        };
        let s = Settings { overloaded_may_have_run: true, fetch_cost: 0.05, ..s };
        let mut host = TestHost::new(s, 0);
        host.update_list(
            ListUpdate::Complete,
            (1..=WORKERS).map(|w| Self::endpoint(w, EndpointState::Ready)).collect(),
        );
        (1..=WORKERS).for_each(|w| host.health_checked(w, AttemptResult::Success, &[2.0, 0.0]));
        Day { host, jobs: BTreeMap::new(), draining: Vec::new(), timers: BTreeMap::new(), set: 0 }
    }

    fn endpoint(w: u32, state: EndpointState) -> Endpoint {
        Endpoint { kind: (w % 2) as u16, cell: (w % 3) as u16, state, ..endpoint(w) }
    }

    /// Plays an event and checks what came out.
    fn play(&mut self, event: Event) {
        self.host.actions.clear();
        self.host.handle(event);
        let now = self.host.now;
        for action in std::mem::take(&mut self.host.actions) {
            match action {
                Action::SetTimer { after, timer } => {
                    self.set += 1;
                    self.timers.insert((now + after.max(1), self.set), timer);
                }
                Action::StartAttempt { job, worker, .. } => self.sent(job.0, worker.0, now),
                Action::Reject { job, .. } => {
                    let told = &self.jobs[&job.0];
                    let ran = told.first_run().is_some();
                    assert!(!(ran && matches!(told.class, 1 | 2)), "rejected though it may have run");
                    self.answered(job.0);
                }
                Action::Fail { job } => self.answered(job.0),
                _ => {}
            }
        }
    }

    fn answered(&mut self, job: u32) {
        let told = self.jobs.get_mut(&job).expect("a job that came");
        assert!(!told.over, "answered twice");
        told.over = true;
    }

    fn sent(&mut self, job: u32, worker: u32, now: Micros) {
        let told = &self.jobs[&job];
        assert!(!told.over && told.attempts.len() < 5, "sent after its end, or too often");
        assert!(!self.draining.contains(&worker), "sent to a draining worker");
        assert!(told.class != 3 || worker % 2 == 1, "placement");
        match (told.class, told.first_run()) {
            (2, ran) => assert!(ran.is_none(), "once, and sent again"),
            (1, Some((first, sent))) => {
                assert!(worker % 3 == first % 3 && now <= sent + 4 * SECOND, "outside its cell or window");
            }
            _ => {}
        }
        let (class, key) = (told.class, told.key);
        let mut before = self.jobs.range(..job).filter(|(_, t)| t.class == 0 && t.key == key);
        assert!(class != 0 || key == 0 || before.all(|(_, t)| t.lets_go(now)), "out of turn");
        self.jobs.entry(job).and_modify(|t| t.attempts.push((worker, now, None)));
    }

    fn end_attempt(&mut self, job: u32, attempt: usize, result: AttemptResult) {
        let now = self.host.now;
        let told = self.jobs.get_mut(&job).expect("a job that came");
        let latency = now - told.attempts[attempt].1;
        told.attempts[attempt].2 = Some((result, now));
        told.over |= result == AttemptResult::Success;
        let done = told.over;
        let report = vec![2.0, 0.0];
        self.play(Event::AttemptEnded(AttemptOutcome {
            job: JobId(job),
            attempt: AttemptId(attempt as u8),
            result,
            latency,
            job_answered: done,
            report,
        }));
    }

    /// Moves the clock, with the timers that come due, in order.
    fn wait(&mut self, time: Micros) {
        let until = self.host.now + time;
        while let Some(((at, n), timer)) = self.timers.first_key_value().map(|(k, c)| (*k, *c)) {
            if at > until {
                break;
            }
            self.timers.remove(&(at, n));
            self.host.now = at;
            self.play(Event::TimerExpired(timer));
        }
        self.host.now = until;
    }

    fn out(&self) -> Vec<(u32, usize)> {
        let attempts = self.jobs.iter().flat_map(|(job, t)| (0..t.attempts.len()).map(move |l| (*job, l)));
        attempts.filter(|(job, attempt)| self.jobs[job].attempts[*attempt].2.is_none()).collect()
    }
}

fn day(script: &[(u8, u8, u16)], scheduler_count: u32, copies: bool) {
    const ENDINGS: [AttemptResult; 8] = [
        AttemptResult::Success,
        AttemptResult::Success,
        AttemptResult::Overloaded,
        AttemptResult::Error,
        AttemptResult::TimedOut,
        AttemptResult::Reset,
        AttemptResult::ConnectFailed,
        AttemptResult::Cancelled,
    ];
    let mut d = Day::new(scheduler_count, copies);
    for (n, (what, which, step)) in script.iter().enumerate() {
        d.wait(Micros::from(*step) * 3);
        let out = d.out();
        let one = out.get(usize::from(*which) % out.len().max(1)).copied();
        match (what % 8, one) {
            (0..=3, _) => {
                let (id, class) = (n as u32, u16::from(what / 8 % 4));
                let key = u64::from(which % 4);
                d.jobs.insert(id, Told { class, key, ..Told::default() });
                let (deadline, size_hint) = (d.host.now + 5 * SECOND, None);
                d.play(Event::JobArrived(Job {
                    id: JobId(id),
                    class,
                    deadline,
                    size_hint,
                    slots: 1,
                    key,
                    customer: 0,
                }));
            }
            (4 | 5, Some((job, attempt))) => d.end_attempt(job, attempt, ENDINGS[usize::from(which / 8 % 8)]),
            (6, Some((job, attempt))) if which % 4 > 0 => {
                d.play(Event::JobStarted { job: JobId(job), attempt: AttemptId(attempt as u8) });
            }
            (6, Some((job, _))) if !d.jobs[&job].over => {
                d.jobs.entry(job).and_modify(|t| t.over = true);
                d.play(Event::ClientDisconnected(JobId(job)));
            }
            (7, _) => {
                let worker = 1 + u32::from(*which) % WORKERS;
                let ready = d.draining.contains(&worker);
                d.draining.retain(|w| *w != worker);
                d.draining.extend((!ready).then_some(worker));
                let state = if ready { EndpointState::Ready } else { EndpointState::Draining };
                let endpoints = vec![Day::endpoint(worker, state)];
                d.play(Event::EndpointList { update: ListUpdate::Changes, endpoints });
            }
            _ => {}
        }
    }
    d.wait(6 * SECOND);
    assert!(d.jobs.values().all(|t| t.over), "no final answer by the deadline");
    for (job, attempt) in d.out() {
        d.end_attempt(job, attempt, AttemptResult::TimedOut);
    }
    assert!((1..=WORKERS).all(|w| d.host.dispatcher.tokens(WorkerId(w)).1 == 0), "tokens still held");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..ProptestConfig::with_cases(96) })]

    #[test]
    fn all_rules_hold_on_random_days(
        script in prop::collection::vec(any::<(u8, u8, u16)>(), 1..300),
        many: bool,
        copies: bool,
    ) {
        day(&script, if many { 300 } else { 1 }, copies);
    }
}
