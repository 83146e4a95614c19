//! Customers and their shares: whoever keeps to its share is served, whatever others send; what is left is lent.

mod common;

use common::*;
use postusher_decision::*;
use proptest::prelude::*;
use std::collections::BTreeMap;

/// Running time of every job.
const RUN: Micros = SECOND;

/// An attempt that will end.
struct End {
    dispatcher: usize,
    job: JobId,
    attempt: AttemptId,
    worker: u32,
    sent: Micros,
}

/// A fleet of workers of four slots, with two places to wait each, between several dispatchers, in virtual time. It
/// shares no code with the module: a worker starts what fits, keeps two, and turns away the rest.
struct Fleet {
    dispatchers: Vec<Dispatcher>,
    /// Of each worker: when each of its jobs, running or waiting, will be over.
    busy: Vec<Vec<Micros>>,
    now: Micros,
    jobs: u32,
    /// Ends to come, by time and in order.
    ends: BTreeMap<(Micros, u32), End>,
    timers: BTreeMap<(Micros, u32), (usize, u64)>,
    count: u32,
    owner: BTreeMap<u32, u16>,
    /// The number of each job's latest attempt.
    attempts: BTreeMap<u32, u8>,
    /// Jobs sent, asked for, and served within two running times, by customer.
    sent: BTreeMap<u16, u32>,
    asked: BTreeMap<u16, u32>,
    served: BTreeMap<u16, u32>,
}

const SLOTS: usize = 4;

impl Fleet {
    fn new(workers: u32, dispatchers: u32, quotas: &[f64]) -> Fleet {
        let customers = quotas.iter().map(|quota| Customer { quota_per_second: *quota }).collect();
        let set = Settings {
            classes: vec![Class { objective_stretch: 1.0, ..Class::new(Idempotency::NotIdempotent, RUN) }],
            customers,
            scheduler_count: dispatchers,
            health_checks_allowed: true,
            reports_start: true,
            ..settings()
        };
        let now = 100 * SECOND;
        let mut fleet = Fleet {
            dispatchers: (0..dispatchers).map(|n| Dispatcher::new(set.clone(), u64::from(n), now)).collect(),
            busy: vec![Vec::new(); workers as usize],
            now,
            jobs: 0,
            ends: BTreeMap::new(),
            timers: BTreeMap::new(),
            count: 0,
            owner: BTreeMap::new(),
            attempts: BTreeMap::new(),
            sent: BTreeMap::new(),
            asked: BTreeMap::new(),
            served: BTreeMap::new(),
        };
        for d in 0..fleet.dispatchers.len() {
            let endpoints = (0..workers).map(endpoint).collect();
            fleet.play(d, Event::EndpointList { update: ListUpdate::Cached, endpoints });
        }
        fleet
    }

    fn report(&self, worker: u32) -> Vec<f64> {
        let held = self.busy[worker as usize].len();
        vec![SLOTS.saturating_sub(held) as f64, held.saturating_sub(SLOTS) as f64]
    }

    fn play(&mut self, d: usize, event: Event) {
        let mut actions = Vec::new();
        self.dispatchers[d].handle(event, self.now, &mut actions);
        for action in actions {
            self.count += 1;
            match action {
                Action::SetTimer { after, timer } => {
                    self.timers.insert((self.now + after.max(1), self.count), (d, timer));
                }
                Action::CheckHealth { worker } => {
                    let report = self.report(worker.0);
                    self.play(d, Event::HealthCheckEnded { worker, result: AttemptResult::Success, report });
                }
                Action::StartAttempt { job, worker, .. } => self.send(d, job, worker.0),
                _ => {}
            }
        }
    }

    fn send(&mut self, d: usize, job: JobId, worker: u32) {
        let attempt = self.attempts.entry(job.0).and_modify(|attempt| *attempt += 1).or_default();
        *self.sent.entry(self.owner[&job.0]).or_default() += u32::from(*attempt == 0);
        let (attempt, busy) = (AttemptId(*attempt), &mut self.busy[worker as usize]);
        if busy.len() >= SLOTS + 2 {
            let o = AttemptOutcome {
                job,
                attempt,
                result: AttemptResult::Overloaded,
                latency: MILLISECOND,
                job_answered: false,
                report: Vec::new(),
            };
            return self.play(d, Event::AttemptEnded(o));
        }
        busy.sort_unstable();
        let start = if busy.len() < SLOTS { self.now } else { busy[busy.len() - SLOTS] };
        busy.push(start + RUN);
        self.ends
            .insert((start + RUN, self.count), End { dispatcher: d, job, attempt, worker, sent: self.now });
        if start == self.now {
            self.play(d, Event::JobStarted { job, attempt });
        }
    }

    /// Plays all that is due until then.
    fn until(&mut self, end: Micros) {
        loop {
            let (due, timer) = (self.ends.keys().next().copied(), self.timers.keys().next().copied());
            let next = due.into_iter().chain(timer).min().filter(|at| at.0 <= end);
            let Some(at) = next else { break };
            self.now = at.0.max(self.now);
            if let Some(End { dispatcher, job, attempt, worker, sent }) = self.ends.remove(&at) {
                let busy = &mut self.busy[worker as usize];
                let gone = busy.iter().position(|over| *over == at.0);
                gone.map(|n| busy.remove(n));
                let (latency, report) = (self.now - sent, Vec::new());
                if latency <= 2 * RUN {
                    *self.served.entry(self.owner[&job.0]).or_default() += 1;
                }
                let o = AttemptOutcome {
                    job,
                    attempt,
                    result: AttemptResult::Success,
                    latency,
                    job_answered: true,
                    report,
                };
                self.play(dispatcher, Event::AttemptEnded(o));
            } else if let Some((d, timer)) = self.timers.remove(&at) {
                self.play(d, Event::TimerExpired(timer));
            }
        }
        self.now = end;
    }

    fn job(&mut self, d: usize, customer: u16) {
        self.jobs += 1;
        let (id, deadline) = (JobId(self.jobs), self.now + 8 * SECOND);
        self.owner.insert(id.0, customer);
        *self.asked.entry(customer).or_default() += 1;
        self.play(
            d,
            Event::JobArrived(Job { id, class: 0, deadline, size_hint: None, slots: 1, key: 0, customer }),
        );
    }

    /// Jobs of each customer at a steady rate for so many seconds, from a fixed seed, over all dispatchers.
    fn run(&mut self, seconds: u64, rates: &[f64], skew: f64, seed: u64) {
        let mut rng = Lcg(seed);
        let total: f64 = rates.iter().sum();
        let end = self.now + seconds * SECOND;
        let mut at = self.now;
        loop {
            at += (-(1.0 - rng.next()).ln() / total * SECOND as f64) as Micros;
            if at >= end {
                break;
            }
            self.until(at);
            let mut left = rng.next() * total;
            let of = rates.iter().position(|r| {
                left -= r;
                left < 0.0
            });
            // The first dispatcher has so much more of the traffic than the others.
            let n = self.dispatchers.len() as f64;
            let first = rng.next() < (1.0 + skew) / n;
            let d = if first || n < 2.0 { 0 } else { 1 + (rng.next() * (n - 1.0)) as usize };
            self.job(d, of.unwrap_or(0) as u16);
        }
        self.until(end + 4 * RUN);
    }

    /// Jobs of a customer that all dispatchers together have sent as within its share.
    fn granted(&self, customer: u16) -> f64 {
        let n = usize::from(customer);
        let lent = |d: &Dispatcher| {
            let owed = d.learned_state().quota_balances.get(n).map_or(0.0, |left| -left.min(0.0));
            d.over_quota().nth(n).unwrap_or(0) as f64 + owed
        };
        let lent = self.dispatchers.iter().map(lent).sum::<f64>();
        f64::from(self.sent.get(&customer).copied().unwrap_or(0)) - lent
    }

    fn part(&self, customer: u16) -> f64 {
        let served = self.served.get(&customer).copied().unwrap_or(0);
        f64::from(served) / f64::from(self.asked.get(&customer).copied().unwrap_or(0).max(1))
    }
}

/// Numbers by chance, the same on every machine.
struct Lcg(u64);

impl Lcg {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

// Ten workers of four slots run 40 jobs a second; the shares of 3 customers are 60% of that.
const QUOTAS: [f64; 3] = [10.0, 7.0, 7.0];

/// Plays ten seconds in which all is learned, then so many that count.
fn after_a_start(scheduler_count: u32, quotas: &[f64], rates: &[f64], skew: f64, seed: u64) -> Fleet {
    let mut fleet = Fleet::new(10, scheduler_count, quotas);
    fleet.run(10, rates, skew, seed);
    (fleet.asked, fleet.served) = Default::default();
    fleet.run(30, rates, skew, seed + 100);
    fleet
}

#[test]
fn customers_within_quota_are_served_beside_a_flooding_customer() {
    for (scheduler_count, seed) in [(1, 1), (3, 2), (3, 3)] {
        let fleet = after_a_start(scheduler_count, &QUOTAS, &[60.0, 6.0, 6.0], 0.0, seed);
        let [flood, one, other] = [0, 1, 2].map(|c| fleet.part(c));
        assert!(
            one > 0.97 && other > 0.97,
            "{scheduler_count} dispatchers: {flood:.2}, {one:.2}, {other:.2}"
        );
        let rate = f64::from(fleet.served[&0]) / 30.0;
        assert!(rate > 1.5 * QUOTAS[0], "its share and what is left go to the one that floods: {rate:.1}");
    }
}

#[test]
fn without_quotas_a_flooding_customer_crowds_out_the_others() {
    let fleet = after_a_start(3, &[], &[60.0, 6.0, 6.0], 0.0, 2);
    let [flood, one, other] = [0, 1, 2].map(|c| fleet.part(c));
    assert!(one < 0.8 && other < 0.8 && (flood - one).abs() < 0.15, "{flood:.2}, {one:.2}, {other:.2}");
}

#[test]
fn unused_capacity_is_lent() {
    let fleet = after_a_start(3, &QUOTAS, &[24.0, 0.5, 0.5], 0.0, 4);
    assert!(fleet.part(0) > 0.9, "2.4 times its share, of an idle fleet: {:.2}", fleet.part(0));
}

#[test]
fn unknown_customer_takes_no_capacity_from_the_others() {
    let fleet = after_a_start(3, &QUOTAS, &[0.0, 6.0, 6.0, 0.0, 60.0], 0.0, 5);
    assert!(fleet.part(1) > 0.97 && fleet.part(2) > 0.97, "{:.2}, {:.2}", fleet.part(1), fleet.part(2));
    assert!(fleet.part(4) > 0.2, "and is lent what is left: {:.2}", fleet.part(4));
}

/// An even part of each quota is too little at a dispatcher with more than an even part of the traffic.
#[test]
fn dispatcher_with_more_traffic_grants_larger_quota_parts() {
    for seed in [6, 7] {
        let fleet = after_a_start(3, &QUOTAS, &[60.0, 6.0, 6.0], 0.8, seed);
        assert!(fleet.part(1) > 0.95 && fleet.part(2) > 0.95, "{:.2}, {:.2}", fleet.part(1), fleet.part(2));
    }
}

/// What dispatchers grant a flood as within its share, all together, in times of its quota. They share nothing and
/// traffic is not spread alike, so it may be more than one; `1 + use` bounds it, with the use that the customer in the
/// middle makes of its share over the whole fleet, and what was saved up at the start comes on top.
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
        assert!(times > 0.7, "its share is granted: {times:.2}");
        assert!(fleet.dispatchers.iter().any(|d| d.over_quota().next() > Some(0)), "what is over it is lent");
    }
}

#[test]
fn adopted_job_is_not_charged_twice() {
    let set = Settings { customers: vec![Customer { quota_per_second: 1.0 }; 2], ..settings() };
    let mut host = TestHost::new(set, 4);
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
        "the account came over with this job taken off"
    );
    // One that has gone nowhere yet is sent from here, and taken off its own customer's account.
    host.handle(Event::JobAdopted { job: job(2, 1), attempts: Vec::new() });
    assert!(host.worker_of(2).is_some());
    let after = host.dispatcher.learned_state().quota_balances;
    assert!(after[0] == before[0] && after[1] > 0.0 && after[1] < 3.0, "{before:?}, {after:?}");
}

#[test]
fn quota_debt_is_bounded_in_time() {
    let mut fleet = Fleet::new(10, 1, &QUOTAS);
    fleet.run(30, &[60.0, 6.0, 6.0], 0.0, 7);
    // It keeps to its share now; 16 s later nothing is held against it.
    fleet.run(12, &[5.0, 6.0, 6.0], 0.0, 8);
    (fleet.asked, fleet.served) = Default::default();
    fleet.run(20, &[9.0, 6.0, 60.0], 0.0, 9);
    assert!(fleet.part(0) > 0.95 && fleet.part(1) > 0.97, "{:.2}, {:.2}", fleet.part(0), fleet.part(1));
}

#[test]
fn quota_debt_is_handed_to_the_next_process() {
    let set = Settings { customers: vec![Customer { quota_per_second: 1.0 }; 2], ..settings() };
    let mut old = TestHost::new(set.clone(), 4);
    for id in 1..=6 {
        assert!(old.submit(id, 0, 1).is_some(), "nobody else needs the room");
        old.end_attempt(id, 0, AttemptResult::Success);
    }
    let mut new = TestHost::new(set, 4);
    new.handle(Event::Learned(old.dispatcher.learned_state()));
    assert_eq!(new.dispatcher.learned_state().quota_balances, old.dispatcher.learned_state().quota_balances);
    assert!(new.dispatcher.learned_state().quota_balances[0] < 0.0);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, ..ProptestConfig::default() })]

    /// Whatever one customer sends, the others are served within their shares.
    #[test]
    fn customers_within_quota_are_served_at_any_flood(
        flood in 0.0f64..120.0, one in 0.2f64..0.9, other in 0.2f64..0.9, seed in 0u64..1 << 40
    ) {
        let fleet = after_a_start(2, &QUOTAS, &[flood, one * QUOTAS[1], other * QUOTAS[2]], 0.0, seed);
        for c in [1, 2] {
            prop_assert!(fleet.part(c) > 0.9, "{c} beside {flood:.0} a second: {:.2}", fleet.part(c));
        }
    }
}
