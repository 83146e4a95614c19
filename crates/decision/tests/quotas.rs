//! Quotas: a customer within its quota is served whatever others send; what is left is lent.

mod common;

use common::*;
use postusher_decision::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

const RUNNING_TIME: Micros = SECOND;
const SLOTS: usize = 4;
/// Jobs that a worker queues at most.
const QUEUE_LENGTH: usize = 2;

/// An attempt that will end.
struct PendingAttempt {
    dispatcher: usize,
    job: JobId,
    attempt: AttemptId,
    worker: u32,
    sent_at: Micros,
}

/// A job as its client sees it.
struct SubmittedJob {
    customer: u16,
    attempts: u8,
}

/// What became of a customer's jobs.
#[derive(Default)]
struct CustomerCounts {
    submitted: u32,
    /// Sent at least once.
    sent: u32,
    /// Served within two running times.
    served: u32,
}

/// A fleet of workers between several dispatchers, in virtual time. It shares no code with the module: a worker starts
/// what fits, queues two jobs, and rejects the rest.
struct Fleet {
    dispatchers: Vec<Dispatcher>,
    /// By worker: when each of its jobs, running or queued, will end.
    ends_by_worker: Vec<Vec<Micros>>,
    now: Micros,
    /// Actions so far: attempts and timers of the same time keep their order.
    serial: u32,
    pending: BTreeMap<(Micros, u32), PendingAttempt>,
    /// Dispatcher and timer.
    timers: BTreeMap<(Micros, u32), (usize, u64)>,
    jobs: BTreeMap<u32, SubmittedJob>,
    counts: BTreeMap<u16, CustomerCounts>,
}

impl Fleet {
    fn new(workers: u32, dispatchers: u32, quotas: &[f64]) -> Fleet {
        let class = Class { objective_stretch: 1.0, ..Class::new(Idempotency::NotIdempotent, RUNNING_TIME) };
        let settings = Settings {
            classes: vec![class],
            customers: quotas.iter().map(|quota| Customer { quota_per_second: *quota }).collect(),
            scheduler_count: dispatchers,
            health_checks_allowed: true,
            reports_start: true,
            ..settings()
        };
        let now = 100 * SECOND;
        let new_dispatcher = |seed| Dispatcher::new(settings.clone(), u64::from(seed), now);
        let mut fleet = Fleet {
            dispatchers: (0..dispatchers).map(new_dispatcher).collect(),
            ends_by_worker: vec![Vec::new(); workers as usize],
            now,
            serial: 0,
            pending: BTreeMap::new(),
            timers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            counts: BTreeMap::new(),
        };
        for dispatcher in 0..fleet.dispatchers.len() {
            let endpoints = (0..workers).map(endpoint).collect();
            fleet.handle(dispatcher, Event::EndpointList { update: ListUpdate::Cached, endpoints });
        }
        fleet
    }

    fn report(&self, worker: u32) -> Vec<f64> {
        let jobs = self.ends_by_worker[worker as usize].len();
        vec![SLOTS.saturating_sub(jobs) as f64, jobs.saturating_sub(SLOTS) as f64]
    }

    /// Hands a dispatcher an event and does what it wants.
    fn handle(&mut self, dispatcher: usize, event: Event) {
        let mut actions = Vec::new();
        self.dispatchers[dispatcher].handle(event, self.now, &mut actions);
        for action in actions {
            self.serial += 1;
            match action {
                Action::SetTimer { after, timer } => {
                    self.timers.insert((self.now + after.max(1), self.serial), (dispatcher, timer));
                }
                Action::CheckHealth { worker } => {
                    let report = self.report(worker.0);
                    let result = AttemptResult::Success;
                    self.handle(dispatcher, Event::HealthCheckEnded { worker, result, report });
                }
                Action::StartAttempt { job, worker, .. } => self.send(dispatcher, job, worker.0),
                _ => {}
            }
        }
    }

    fn send(&mut self, dispatcher: usize, job: JobId, worker: u32) {
        let submitted = self.jobs.get_mut(&job.0).expect("a submitted job");
        let attempt = AttemptId(submitted.attempts);
        submitted.attempts += 1;
        if attempt.0 == 0 {
            self.counts.entry(submitted.customer).or_default().sent += 1;
        }
        let ends = &mut self.ends_by_worker[worker as usize];
        if ends.len() >= SLOTS + QUEUE_LENGTH {
            let result = AttemptResult::Overloaded;
            return self.end_attempt(dispatcher, job, attempt, result, MILLISECOND);
        }
        ends.sort_unstable();
        let start = if ends.len() < SLOTS { self.now } else { ends[ends.len() - SLOTS] };
        ends.push(start + RUNNING_TIME);
        let pending = PendingAttempt { dispatcher, job, attempt, worker, sent_at: self.now };
        self.pending.insert((start + RUNNING_TIME, self.serial), pending);
        if start == self.now {
            self.handle(dispatcher, Event::JobStarted { job, attempt });
        }
    }

    fn end_attempt(
        &mut self,
        dispatcher: usize,
        job: JobId,
        attempt: AttemptId,
        result: AttemptResult,
        latency: Micros,
    ) {
        let outcome = AttemptOutcome {
            job,
            attempt,
            result,
            latency,
            job_answered: result == AttemptResult::Success,
            report: Vec::new(),
        };
        self.handle(dispatcher, Event::AttemptEnded(outcome));
    }

    /// Plays all that is due until `end`.
    fn play_until(&mut self, end: Micros) {
        loop {
            let next_end = self.pending.keys().next().copied();
            let next_timer = self.timers.keys().next().copied();
            let Some(next) = next_end.into_iter().chain(next_timer).min() else { break };
            if next.0 > end {
                break;
            }
            self.now = next.0.max(self.now);
            if let Some(attempt) = self.pending.remove(&next) {
                self.complete(&attempt, next.0);
            } else if let Some((dispatcher, timer)) = self.timers.remove(&next) {
                self.handle(dispatcher, Event::TimerExpired(timer));
            }
        }
        self.now = end;
    }

    fn complete(&mut self, attempt: &PendingAttempt, ended_at: Micros) {
        let ends = &mut self.ends_by_worker[attempt.worker as usize];
        if let Some(index) = ends.iter().position(|end| *end == ended_at) {
            ends.remove(index);
        }
        let latency = self.now - attempt.sent_at;
        if latency <= 2 * RUNNING_TIME {
            let customer = self.jobs[&attempt.job.0].customer;
            self.counts.entry(customer).or_default().served += 1;
        }
        self.end_attempt(attempt.dispatcher, attempt.job, attempt.attempt, AttemptResult::Success, latency);
    }

    fn submit(&mut self, dispatcher: usize, customer: u16) {
        let id = JobId(self.jobs.len() as u32 + 1);
        self.jobs.insert(id.0, SubmittedJob { customer, attempts: 0 });
        self.counts.entry(customer).or_default().submitted += 1;
        let deadline = self.now + 8 * SECOND;
        let job = Job { id, class: 0, deadline, size_hint: None, slots: 1, key: 0, customer };
        self.handle(dispatcher, Event::JobArrived(job));
    }

    /// Jobs of each customer at a steady rate per second, from a fixed seed, over all dispatchers. The first dispatcher
    /// gets `skew` more than an even part of the traffic.
    fn run(&mut self, seconds: u64, rates: &[f64], skew: f64, seed: u64) {
        let mut random = ModelRandom::new(seed);
        let total: f64 = rates.iter().sum();
        let end = self.now + seconds * SECOND;
        let mut at = self.now;
        loop {
            at += (-(1.0 - random.next_fraction()).ln() / total * SECOND as f64) as Micros;
            if at >= end {
                break;
            }
            self.play_until(at);
            let mut remaining = random.next_fraction() * total;
            let customer = rates.iter().position(|rate| {
                remaining -= rate;
                remaining < 0.0
            });
            let count = self.dispatchers.len() as f64;
            let to_first = random.next_fraction() < (1.0 + skew) / count;
            let dispatcher = if to_first || count < 2.0 {
                0
            } else {
                1 + (random.next_fraction() * (count - 1.0)) as usize
            };
            self.submit(dispatcher, customer.unwrap_or(0) as u16);
        }
        self.play_until(end + 4 * RUNNING_TIME);
    }

    /// Forgets which jobs were submitted and served so far; those sent are still counted.
    fn restart_counts(&mut self) {
        for counts in self.counts.values_mut() {
            counts.submitted = 0;
            counts.served = 0;
        }
    }

    /// Jobs of a customer that all dispatchers together have sent as within its quota.
    fn granted(&self, customer: u16) -> f64 {
        let index = usize::from(customer);
        let lent = |dispatcher: &Dispatcher| {
            let balances = dispatcher.learned_state().quota_balances;
            let owed = balances.get(index).map_or(0.0, |balance| -balance.min(0.0));
            dispatcher.over_quota().nth(index).unwrap_or(0) as f64 + owed
        };
        let lent = self.dispatchers.iter().map(lent).sum::<f64>();
        f64::from(self.counts.get(&customer).map_or(0, |counts| counts.sent)) - lent
    }

    /// The share of a customer's jobs that were served.
    fn share_served(&self, customer: u16) -> f64 {
        let Some(counts) = self.counts.get(&customer) else { return 0.0 };
        f64::from(counts.served) / f64::from(counts.submitted.max(1))
    }
}

/// In jobs per second. Ten workers of four slots run 40 jobs a second; the quotas of 3 customers are 60% of that.
const QUOTAS: [f64; 3] = [10.0, 7.0, 7.0];

/// Plays ten seconds in which all is learned, then thirty that count.
fn after_a_start(scheduler_count: u32, quotas: &[f64], rates: &[f64], skew: f64, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(10, scheduler_count, quotas);
    fleet.run(10, rates, skew, seed);
    fleet.restart_counts();
    fleet.run(30, rates, skew, seed + 100);
    fleet
}

#[test]
fn customers_within_quota_are_served_beside_a_flooding_customer() {
    for (scheduler_count, seed) in [(1, 1), (3, 2), (3, 3)] {
        let fleet = after_a_start(scheduler_count, &QUOTAS, &[60.0, 6.0, 6.0], 0.0, seed);
        let [flood, one, other] = [0, 1, 2].map(|c| fleet.share_served(c));
        assert!(
            one > 0.97 && other > 0.97,
            "{scheduler_count} dispatchers: {flood:.2}, {one:.2}, {other:.2}"
        );
        let rate = f64::from(fleet.counts[&0].served) / 30.0;
        assert!(rate > 1.5 * QUOTAS[0], "its quota and what is left go to the one that floods: {rate:.1}");
    }
}

#[test]
fn without_quotas_a_flooding_customer_crowds_out_the_others() {
    let fleet = after_a_start(3, &[], &[60.0, 6.0, 6.0], 0.0, 2);
    let [flood, one, other] = [0, 1, 2].map(|c| fleet.share_served(c));
    assert!(one < 0.8 && other < 0.8 && (flood - one).abs() < 0.15, "{flood:.2}, {one:.2}, {other:.2}");
}

#[test]
fn unused_capacity_is_lent() {
    let fleet = after_a_start(3, &QUOTAS, &[24.0, 0.5, 0.5], 0.0, 4);
    assert!(
        fleet.share_served(0) > 0.9,
        "2.4 times its quota, of an idle fleet: {:.2}",
        fleet.share_served(0)
    );
}

#[test]
fn unknown_customer_takes_no_capacity_from_the_others() {
    let fleet = after_a_start(3, &QUOTAS, &[0.0, 6.0, 6.0, 0.0, 60.0], 0.0, 5);
    assert!(
        fleet.share_served(1) > 0.97 && fleet.share_served(2) > 0.97,
        "{:.2}, {:.2}",
        fleet.share_served(1),
        fleet.share_served(2)
    );
    assert!(fleet.share_served(4) > 0.2, "and is lent what is left: {:.2}", fleet.share_served(4));
}

/// An even part of each quota is too little at a dispatcher with more than an even part of the traffic.
#[test]
fn dispatcher_with_more_traffic_grants_larger_quota_parts() {
    for seed in [6, 7] {
        let fleet = after_a_start(3, &QUOTAS, &[60.0, 6.0, 6.0], 0.8, seed);
        assert!(
            fleet.share_served(1) > 0.95 && fleet.share_served(2) > 0.95,
            "{:.2}, {:.2}",
            fleet.share_served(1),
            fleet.share_served(2)
        );
    }
}

/// What dispatchers grant a flood as within its quota, all together, in times of its quota. They exchange nothing and
/// traffic is not spread alike, so it may be more than one; `1 + use` bounds it, with the use that the customer in the
/// middle makes of its quota over the whole fleet, and what was saved up at the start comes on top.
#[test]
fn sum_of_granted_quotas_is_bounded_over_all_dispatchers() {
    let seconds = 60.0;
    for (scheduler_count, skew, seed) in [(3, 0.0, 1), (3, 0.8, 2), (3, 1.9, 3), (6, 4.5, 4)] {
        let mut fleet = Fleet::new(10, scheduler_count, &QUOTAS);
        fleet.run(seconds as u64, &[60.0, 6.0, 6.0], skew, seed);
        let saved = 3.0 * QUOTAS[0] + 2.0 * f64::from(scheduler_count);
        let times = (fleet.granted(0) - saved) / (seconds * QUOTAS[0]);
        assert!(
            times < 1.0 + 6.0 / 7.0,
            "{scheduler_count} dispatchers, skew {skew}: {times:.2} of its quota"
        );
        assert!(times > 0.7, "its quota is granted: {times:.2}");
        assert!(fleet.dispatchers.iter().any(|d| d.over_quota().next() > Some(0)), "what is over it is lent");
    }
}

#[test]
fn adopted_job_is_not_charged_twice() {
    let settings = Settings { customers: vec![Customer { quota_per_second: 1.0 }; 2], ..settings() };
    let mut host = TestHost::new(settings, 4);
    let before = host.dispatcher.learned_state().quota_balances;
    let job = |id, customer| Job {
        id: JobId(id),
        class: 2,
        deadline: 200 * SECOND,
        size_hint: None,
        slots: 1,
        key: 0,
        customer,
    };
    let out = PriorAttempt { worker: WorkerId(1), age: 10 * MILLISECOND, pending: true, may_have_run: true };
    host.handle(Event::JobAdopted { job: job(1, 1), attempts: vec![out] });
    assert_eq!(
        host.dispatcher.learned_state().quota_balances,
        before,
        "the quota balance was handed over with this job charged"
    );
    // One that was not sent yet is sent from here, and charged to its own customer.
    host.handle(Event::JobAdopted { job: job(2, 1), attempts: Vec::new() });
    assert!(host.worker_of(2).is_some());
    let after = host.dispatcher.learned_state().quota_balances;
    assert!(after[0] == before[0] && after[1] > 0.0 && after[1] < 3.0, "{before:?}, {after:?}");
}

#[test]
fn quota_debt_is_bounded_in_time() {
    let mut fleet = Fleet::new(10, 1, &QUOTAS);
    fleet.run(30, &[60.0, 6.0, 6.0], 0.0, 7);
    // It keeps to its quota now; 16 s later nothing is held against it.
    fleet.run(12, &[5.0, 6.0, 6.0], 0.0, 8);
    fleet.restart_counts();
    fleet.run(20, &[9.0, 6.0, 60.0], 0.0, 9);
    assert!(
        fleet.share_served(0) > 0.95 && fleet.share_served(1) > 0.97,
        "{:.2}, {:.2}",
        fleet.share_served(0),
        fleet.share_served(1)
    );
}

#[test]
fn quota_debt_is_handed_to_the_next_process() {
    let settings = Settings { customers: vec![Customer { quota_per_second: 1.0 }; 2], ..settings() };
    let mut old = TestHost::new(settings.clone(), 4);
    for id in 1..=6 {
        assert!(old.submit(id, 0, 1).is_some(), "nobody else needs the room");
        old.end_attempt(id, 0, AttemptResult::Success);
    }
    let mut new = TestHost::new(settings, 4);
    new.handle(Event::Learned(old.dispatcher.learned_state()));
    assert_eq!(new.dispatcher.learned_state().quota_balances, old.dispatcher.learned_state().quota_balances);
    assert!(new.dispatcher.learned_state().quota_balances[0] < 0.0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Whatever one customer sends, the others are served within their quotas.
    #[test]
    fn customers_within_quota_are_served_at_any_flood(
        flood in 0.0f64..120.0, one in 0.2f64..0.9, other in 0.2f64..0.9, seed in 0u64..1 << 40
    ) {
        let fleet = after_a_start(2, &QUOTAS, &[flood, one * QUOTAS[1], other * QUOTAS[2]], 0.0, seed);
        for c in [1, 2] {
            prop_assert!(fleet.share_served(c) > 0.9, "{c} beside {flood:.0} a second: {:.2}", fleet.share_served(c));
        }
    }
}
