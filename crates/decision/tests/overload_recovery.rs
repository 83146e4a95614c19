//! Three hundred dispatchers without talk before workers whose queues drop nothing: a burst has to pass.
//!
//! A whole fleet in virtual time, from fixed seeds. Jobs that were sent to a full worker wait there in line, and what is
//! given up runs to its end; a crowd that outlives its cause (a metastable failure) shows as jobs that go on
//! being late at 0.6 of what the fleet can carry.

mod common;
use common::*;
use postusher_decision::*;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

const DISPATCHERS: usize = 300;
const WORKERS: u32 = 60;
const SLOTS: usize = 2;
const RUN: Micros = 400 * MILLISECOND; // in the mean
const NET: Micros = MILLISECOND; // one way
const AGAIN: Micros = 100 * MILLISECOND; // after a rejection, and so many times
const TRIES: u32 = 3;
const BURST: std::ops::Range<u64> = 4..7; // seconds; at 1.5 of what the fleet can carry, and at 0.6 else
const OVER: u64 = 7 + 5;
const END: u64 = 18;

/// How workers tell of themselves.
#[derive(Clone, Copy, PartialEq)]
enum Reports {
    /// Free slots of the moment, by probes alone; starts are told.
    Probes,
    /// Jobs and free slots of half a second before or more, with answers.
    Answers,
}

/// A try on its way: whose, which job, which attempt, how long it runs.
type Try = (usize, JobId, AttemptId, Micros);

enum What {
    Asks,
    Comes { dispatcher: usize, first: Micros, tries: u32, run: Micros },
    Reaches(u32, Try),
    Ends(u32, Try),
    Told(usize, Event),
}

struct Due(Micros, u64, What);

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Due {}
impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

#[derive(Default)]
struct Queue {
    running: usize,
    waiting: VecDeque<Try>,
    /// Jobs and free slots as told, and as of when.
    told: (Micros, f64, f64),
}

/// A client's job as long as it is not answered: its first try's time, how many it has had, its running time, and of
/// this one when it was last sent, in how many attempts.
struct Open {
    sent: Micros,
    first: Micros,
    tries: u32,
    run: Micros,
    attempts: u8,
}

/// What became of the jobs first asked for in one second.
#[derive(Default, Clone, Copy, Debug, PartialEq)]
struct Second {
    asked: u32,
    in_time: u32,
}

struct Fleet {
    set: Settings,
    reports: Reports,
    now: Micros,
    serial: u64,
    due: BinaryHeap<Reverse<Due>>,
    dispatchers: Vec<Dispatcher>,
    queues: BTreeMap<u32, Queue>,
    open: BTreeMap<(usize, JobId), Open>,
    chance: u64,
    seconds: Vec<Second>,
}

impl Fleet {
    fn play(reports: Reports, set: Settings, seed: u64) -> Vec<Second> {
        let mut fleet = Fleet {
            reports,
            now: 0,
            serial: 0,
            due: BinaryHeap::new(),
            dispatchers: (0..DISPATCHERS as u64)
                .map(|n| Dispatcher::new(set.clone(), seed * 1_000 + n, 0))
                .collect(),
            set,
            queues: (1..=WORKERS).map(|w| (w, Queue::default())).collect(),
            open: BTreeMap::new(),
            chance: seed,
            seconds: vec![Second::default(); END as usize],
        };
        for n in 0..DISPATCHERS {
            fleet.tell(
                n,
                Event::EndpointList {
                    update: ListUpdate::Cached,
                    endpoints: (1..=WORKERS).map(endpoint).collect(),
                },
            );
        }
        fleet.after(0, What::Asks);
        while let Some(Reverse(Due(at, _, what))) = fleet.due.pop() {
            if at >= (END + 2) * SECOND {
                break;
            }
            fleet.now = at;
            fleet.happen(what);
        }
        fleet.seconds
    }

    fn after(&mut self, wait: Micros, what: What) {
        self.serial += 1;
        self.due.push(Reverse(Due(self.now + wait, self.serial, what)));
    }

    /// From 0 up to 1 (a generator of its own, so that what dispatchers draw does not change what clients ask).
    fn draw(&mut self) -> f64 {
        self.chance =
            self.chance.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.chance >> 11) as f64 / (1u64 << 53) as f64
    }

    fn happen(&mut self, what: What) {
        match what {
            What::Asks => {
                let load = if BURST.contains(&(self.now / SECOND)) { 1.5 } else { 0.6 };
                let rate = load * (WORKERS as usize * SLOTS) as f64 / RUN as f64;
                let gap = (-(1.0 - self.draw()).ln() / rate) as Micros;
                let dispatcher = (self.draw() * DISPATCHERS as f64) as usize;
                let run = (RUN as f64 * -(1.0 - self.draw()).ln()) as Micros + 1;
                if let Some(s) = self.seconds.get_mut((self.now / SECOND) as usize) {
                    s.asked += 1;
                }
                self.after(gap.max(1), What::Asks);
                self.happen(What::Comes { dispatcher, first: self.now, tries: 0, run });
            }
            What::Comes { dispatcher, first, tries, run } => {
                self.serial += 1;
                let id = JobId(self.serial as u32);
                self.open.insert((dispatcher, id), Open { sent: 0, first, tries, run, attempts: 0 });
                let deadline = self.now + 6 * SECOND;
                let job = Job { id, class: 0, deadline, size_hint: None, slots: 1, key: 0, customer: 0 };
                self.tell(dispatcher, Event::JobArrived(job));
            }
            What::Reaches(w, attempt) => {
                self.queues.entry(w).or_default().waiting.push_back(attempt);
                self.start(w);
            }
            What::Ends(w, (d, job, attempt, run)) => {
                self.queues.entry(w).or_default().running -= 1;
                self.start(w);
                let (latency, done, result) = (run, true, AttemptResult::Success);
                let report = if self.reports == Reports::Answers { self.report(w) } else { Vec::new() };
                self.after(
                    NET,
                    What::Told(
                        d,
                        Event::AttemptEnded(AttemptOutcome {
                            job,
                            attempt,
                            result,
                            latency,
                            job_answered: done,
                            report,
                        }),
                    ),
                );
            }
            What::Told(d, event) => self.tell(d, event),
        }
    }

    fn start(&mut self, w: u32) {
        let Some(q) = self.queues.get_mut(&w) else { return };
        if q.running < SLOTS {
            let Some(next) = q.waiting.pop_front() else { return };
            q.running += 1;
            let (d, job, attempt, run) = next;
            self.after(run, What::Ends(w, next));
            if self.set.reports_start {
                self.after(NET, What::Told(d, Event::JobStarted { job, attempt }));
            }
        }
    }

    fn report(&mut self, w: u32) -> Vec<f64> {
        let (now, reports) = (self.now, self.reports);
        let q = self.queues.entry(w).or_default();
        let is = (now, (q.running + q.waiting.len()) as f64, (SLOTS - q.running) as f64);
        if reports == Reports::Probes {
            return vec![0.0, is.2];
        }
        let told = q.told;
        if now >= told.0 + 500 * MILLISECOND {
            q.told = is;
        }
        vec![told.1, if told.0 == 0 { SLOTS as f64 } else { told.2 }]
    }

    /// Hands a dispatcher an event and does what it wants.
    fn tell(&mut self, d: usize, event: Event) {
        let latency = match &event {
            Event::AttemptEnded(o) => self.over(d, o),
            _ => None,
        };
        let event = match (event, latency) {
            (Event::AttemptEnded(o), Some(latency)) => Event::AttemptEnded(AttemptOutcome { latency, ..o }),
            (event, _) => event,
        };
        let mut out = Vec::new();
        self.dispatchers[d].handle(event, self.now, &mut out);
        for action in out {
            match action {
                Action::SetTimer { after, timer } => {
                    self.after(after, What::Told(d, Event::TimerExpired(timer)))
                }
                Action::CheckHealth { worker } => {
                    let report = self.report(worker.0);
                    let told = Event::HealthCheckEnded { worker, result: AttemptResult::Success, report };
                    self.after(2 * NET, What::Told(d, told));
                }
                Action::StartAttempt { job, worker, .. } => {
                    let Some(open) = self.open.get_mut(&(d, job)) else { continue };
                    let (attempt, run) = (AttemptId(open.attempts), open.run);
                    (open.sent, open.attempts) = (self.now, open.attempts + 1);
                    self.after(NET, What::Reaches(worker.0, (d, job, attempt, run)));
                }
                // Nothing can be called off: it runs to its end, which the dispatcher does not hear of.
                Action::CancelAttempt { job, attempt } => {
                    let (latency, done, result, report) = (0, false, AttemptResult::Cancelled, Vec::new());
                    self.after(
                        0,
                        What::Told(
                            d,
                            Event::AttemptEnded(AttemptOutcome {
                                job,
                                attempt,
                                result,
                                latency,
                                job_answered: done,
                                report,
                            }),
                        ),
                    );
                }
                Action::Reject { job, .. } | Action::Fail { job } => self.rejected(d, job),
                Action::WatchEndpoints | Action::CloseIdleConnections { .. } => {}
            }
        }
    }

    /// An attempt has ended; how long it was out, as the dispatcher saw it, where that is this job's first end.
    fn over(&mut self, d: usize, o: &AttemptOutcome) -> Option<Micros> {
        let open = self.open.get(&(d, o.job)).filter(|_| o.result == AttemptResult::Success)?;
        let took = self.now - open.first;
        let in_time = took <= self.set.classes[0].latency_objective + (2.0 * open.run as f64) as Micros;
        self.seconds
            .get_mut((open.first / SECOND) as usize)
            .into_iter()
            .for_each(|s| s.in_time += u32::from(in_time));
        Some(self.now - self.open.remove(&(d, o.job))?.sent)
    }

    fn rejected(&mut self, d: usize, job: JobId) {
        let Some(open) = self.open.remove(&(d, job)) else { return };
        if open.tries + 1 < TRIES {
            let dispatcher = (self.draw() * DISPATCHERS as f64) as usize;
            let Open { first, tries, run, .. } = open;
            self.after(AGAIN, What::Comes { dispatcher, first, tries: tries + 1, run });
        }
    }
}

fn told_by(reports: Reports) -> Settings {
    let one = Class { objective_stretch: 2.0, ..Class::new(Idempotency::Idempotent, 600 * MILLISECOND) };
    let probes = reports == Reports::Probes;
    let fields = if probes {
        vec![ReportField::Unused, ReportField::FreeSlots]
    } else {
        vec![ReportField::Jobs, ReportField::FreeSlots]
    };
    Settings {
        classes: vec![one],
        scheduler_count: DISPATCHERS as u32,
        health_checks_allowed: true,
        reports_by_health_check_only: probes,
        reports_start: probes,
        report_fields: fields,
        ..settings()
    }
}

/// Part of the jobs asked for in these seconds that ended in time.
fn in_time(seconds: &[Second], of: std::ops::Range<u64>) -> f64 {
    let of = &seconds[of.start as usize..of.end as usize];
    let sum = |f: fn(&Second) -> u32| of.iter().map(f).sum::<u32>() as f64;
    sum(|s| s.in_time) / sum(|s| s.asked)
}

#[test]
fn fleet_recovers_from_a_burst_with_load_probes_only() {
    // Jobs placed by old estimates could keep a standing queue at all workers for ever.
    for seed in 1..=2 {
        let seconds = Fleet::play(Reports::Probes, told_by(Reports::Probes), seed);
        let [before, burst, after] = [1..BURST.start, BURST, OVER..END].map(|of| in_time(&seconds, of));
        assert!(before > 0.95 && after > 0.95, "seed {seed}: in time {before:.2} before, {after:.2} after");
        assert!(burst > 0.6, "seed {seed}: two thirds of a burst of 1.5 can be served, not {burst:.2}");
    }
}

#[test]
fn model_shows_a_metastable_overload() {
    // The model can fail: dispatchers that wait for no probe, as answers seem to bring reports, stay crowded.
    let blind = Settings { reports_by_health_check_only: false, ..told_by(Reports::Probes) };
    let after = in_time(&Fleet::play(Reports::Probes, blind, 1), OVER..END);
    assert!(after < 0.5, "in time {after:.2} after the burst");
}

#[test]
fn fleet_recovers_from_a_burst_with_late_load_reports() {
    for seed in 1..=2 {
        let seconds = Fleet::play(Reports::Answers, told_by(Reports::Answers), seed);
        let [before, after] = [1..BURST.start, OVER..END].map(|of| in_time(&seconds, of));
        assert!(before > 0.9 && after > 0.8, "seed {seed}: in time {before:.2} before, {after:.2} after");
    }
}
