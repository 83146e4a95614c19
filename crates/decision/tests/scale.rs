//! Hundreds of dispatchers and workers, by hand-written events.

mod common;
use common::*;
use postusher_decision::*;

fn at_scale() -> Settings {
    Settings { scheduler_count: 300, health_checks_allowed: true, ..settings() }
}

/// A worker restarts; so many dispatchers with traffic are told. Gives the work that each second brought it, in seconds.
fn cold_start(seconds: u64, fleet: u64, dispatchers: u32) -> Vec<f64> {
    let mut sent = vec![0.0; seconds as usize];
    let n = u64::from(dispatchers);
    for seed in fleet * n..(fleet + 1) * n {
        let now = 100 * SECOND;
        let set = Settings { scheduler_count: dispatchers, ..at_scale() };
        let mut host = TestHost::with_seed(set, seed, now);
        host.update_list(ListUpdate::Cached, (1..=20).map(endpoint).collect());
        (1..=20).for_each(|w| host.health_checked(w, AttemptResult::Success, &[2.0, 0.0]));
        (1..=20).for_each(|id| {
            host.submit(id, 0, 1);
            host.end_attempt(id, 0, AttemptResult::Success);
        });
        host.update_list(ListUpdate::Changes, vec![Endpoint { started_at: host.now, ..endpoint(1) }]);
        for step in 0..seconds * 20 {
            host.now += 50 * MILLISECOND;
            host.actions.clear();
            host.tick();
            host.health_checked(1, AttemptResult::Success, &[2.0, 0.0]);
            // Five jobs a second, each of 0.1 s as all so far; the cold worker is the only one not full.
            if step % 4 == 0 {
                (2..=20).for_each(|w| host.health_checked(w, AttemptResult::Success, &[0.0, 9.0]));
                let id = 100 + step as u32;
                if host.submit(id, 0, 1) == Some(1) {
                    sent[(step / 20) as usize] += 0.1;
                    host.end_attempt(id, 0, AttemptResult::Success);
                }
            }
        }
    }
    sent
}

#[test]
fn rule_4_holds_for_the_sum_of_hundreds_of_dispatchers() {
    // Divided by 300 the budget must be neither nil, nor rounded up by each, nor saved up by all.
    let fullest = |fleet| {
        let sent = cold_start(9, fleet, 300);
        assert!(sent.iter().sum::<f64>() > 0.3, "not shut out: {sent:?}");
        let allowed = |at: usize| 3.0 * (0.1 + 0.9 * (at as f64 + 1.5) / 20.0) * 2.0 * 3.0;
        let used = sent.windows(3).enumerate().map(|(at, w)| w.iter().sum::<f64>() / allowed(at));
        used.fold(0.0, f64::max)
    };
    // Each keeps to its part by itself, so the sum is partly chance: a fleet may be a little over, not the mean.
    let used: Vec<f64> = (0..4).map(fullest).collect();
    assert!(used.iter().all(|part| *part < 1.1), "parts of the budget in the fullest windows: {used:?}");
    assert!(used.iter().sum::<f64>() < 4.0, "{used:?}");
}

#[test]
fn rule_4_excess_is_at_most_two_standard_deviations_and_two_jobs() {
    // Beyond its budget of N mean jobs a worker in slow start bears 2 square roots of N and 2 jobs more, from all dispatchers.
    for (dispatchers, fleets) in [(20, 12), (30, 8), (300, 1)] {
        for fleet in 0..fleets {
            let sent = cold_start(9, fleet, dispatchers);
            for (at, window) in sent.windows(3).enumerate() {
                let budget = 3.0 * (0.1 + 0.9 * (at as f64 + 1.5) / 20.0) * 2.0 * 3.0 / 0.1;
                let jobs = window.iter().sum::<f64>() / 0.1;
                let most = budget + 2.0 * budget.sqrt() + 2.0;
                assert!(
                    jobs <= most,
                    "{dispatchers} dispatchers, fleet {fleet}, second {at}: {jobs} of {most}"
                );
            }
        }
    }
}

#[test]
fn dispatchers_start_with_different_workers() {
    let first = |seed| {
        let mut host = TestHost::with_seed(at_scale(), seed, SECOND);
        host.update_list(ListUpdate::Cached, (1..=200).map(endpoint).collect());
        host.submit(1, 0, 1)
    };
    let picks: std::collections::BTreeSet<_> = (0..100).map(first).collect();
    assert!(picks.len() > 50, "{} workers for 100 dispatchers", picks.len());
}

#[test]
fn job_prefers_a_worker_with_a_recent_report() {
    // Where each worker is used once in half a minute, most estimates are too old.
    let mut host = TestHost::new(at_scale(), 50);
    host.now += 60 * SECOND;
    host.health_checked(33, AttemptResult::Success, &[2.0, 0.0]);
    assert_eq!(host.submit(1, 0, 1), Some(33));
}

#[test]
fn health_checks_are_bounded_by_arrivals() {
    // Health checks cost something and are useless while no jobs arrive.
    let mut host = TestHost::new(at_scale(), 50);
    let mut probes = 0;
    for id in 0..20 {
        host.submit(id, 0, 1);
        for _ in 0..100 {
            host.now += 50 * MILLISECOND;
            host.tick();
            let asked: Vec<u32> = host
                .actions
                .drain(..)
                .filter_map(|a| if let Action::CheckHealth { worker } = a { Some(worker.0) } else { None })
                .collect();
            probes += asked.len();
            asked.into_iter().for_each(|w| host.health_checked(w, AttemptResult::Success, &[2.0, 0.0]));
        }
    }
    assert!((10..=23).contains(&probes), "{probes} probes for 20 jobs");
}

#[test]
fn removed_workers_are_forgotten() {
    // Memory must not grow with every machine that was ever listed.
    let mut host = TestHost::new(at_scale(), 5);
    for old in 1..2_000 {
        let gone = Endpoint { state: EndpointState::Removed, ..endpoint(old) };
        host.update_list(ListUpdate::Changes, vec![gone, endpoint(old + 5)]);
        host.health_checked(old, AttemptResult::Success, &[2.0, 0.0]);
    }
    assert_eq!(host.dispatcher.known_workers(), 5);
}

#[test]
fn faster_machine_kinds_have_more_tokens() {
    // Round robin would give slow machines as much as fast ones.
    let mut host = TestHost::new(settings(), 0);
    let kind = |w| Endpoint { kind: (w % 2) as u16, ..endpoint(w) };
    host.update_list(ListUpdate::Complete, (1..=6).map(kind).collect());
    (1..=6).for_each(|w| host.health_checked(w, AttemptResult::Success, &[2.0, 0.0]));
    for id in 1..200 {
        host.now += 100 * MILLISECOND;
        let Some(worker) = host.submit(id, 0, 1) else { continue };
        let latency = if worker % 2 == 0 { 100 * MILLISECOND } else { 170 * MILLISECOND };
        let (job, done, report) = (JobId(id), true, vec![2.0, 0.0]);
        host.handle(Event::AttemptEnded(AttemptOutcome {
            job,
            attempt: AttemptId(0),
            result: AttemptResult::Success,
            latency,
            job_answered: done,
            report,
        }));
    }
    assert!(host.dispatcher.tokens(WorkerId(2)).0 > host.dispatcher.tokens(WorkerId(1)).0);
}

#[test]
fn cheapest_of_equally_free_workers_comes_first() {
    // Not every job needs a new connection or another zone.
    let priced =
        Settings { connection_cost: 0.03, keepalive: 5 * SECOND, cross_zone_cost: 0.01, ..settings() };
    let mut host = TestHost::new(priced, 0);
    host.update_list(
        ListUpdate::Complete,
        (1..=9).map(|w| Endpoint { zone: u16::from(w != 7), ..endpoint(w) }).collect(),
    );
    (1..=9).for_each(|w| host.health_checked(w, AttemptResult::Success, &[2.0, 0.0]));
    for id in 1..=5 {
        assert_eq!(host.submit(id, 0, 1), Some(7), "its own zone, then the connection it has there");
        host.end_attempt(id, 0, AttemptResult::Success);
    }
}

#[test]
fn first_list_calls_of_many_dispatchers_are_spread() {
    // Hundreds that restart together must not call a rationed service at the same moment.
    let wait = |seed| {
        let asking = Settings { list_is_polled: true, ..at_scale() };
        let mut host = TestHost::with_seed(asking, seed, SECOND);
        host.update_list(ListUpdate::Cached, vec![endpoint(1)]);
        assert!(!host.actions.contains(&Action::WatchEndpoints));
        let list = REQUEST_LIST;
        let after = host.actions.iter().find_map(|a| match a {
            Action::SetTimer { after, timer } if *timer == list => Some(*after),
            _ => None,
        });
        host.actions.clear();
        host.handle(Event::TimerExpired(list));
        assert_eq!(host.actions, vec![Action::WatchEndpoints]);
        after.expect("a timer for the list")
    };
    let mut waits: Vec<Micros> = (0..300).map(wait).collect();
    waits.sort_unstable();
    assert!(waits[299] < 3 * SECOND, "well inside the allowed time: {}", waits[299]);
    assert!(waits[200] - waits[100] > 300 * MILLISECOND, "spread out");
}

#[test]
fn new_worker_gets_jobs_before_all_old_tokens_are_used() {
    // Behind hundreds of tokens a new worker would wait for minutes.
    let first = |seed| {
        let now = 100 * SECOND;
        let mut host = TestHost::with_seed(at_scale(), seed, now);
        host.update_list(ListUpdate::Cached, (1..=40).map(endpoint).collect());
        (1..=40).for_each(|w| host.health_checked(w, AttemptResult::Success, &[4.0, 0.0]));
        host.update_list(ListUpdate::Changes, vec![endpoint(99)]);
        host.health_checked(99, AttemptResult::Success, &[4.0, 0.0]);
        host.now += 60 * SECOND;
        (1..=300).position(|id| {
            let worker = host.submit(id, 0, 1);
            host.end_attempt(id, 0, AttemptResult::Success);
            worker == Some(99)
        })
    };
    let mut jobs: Vec<usize> = (0..9).map(|seed| first(seed).unwrap_or(300)).collect();
    jobs.sort_unstable();
    assert!(jobs[4] < 160, "half of the dispatchers within half of 320 tokens: {jobs:?}");
}

#[test]
fn jobs_of_one_key_go_to_the_same_few_workers_at_all_dispatchers() {
    // Fetching the data of a job takes longer than running it.
    let went = |seed| {
        let priced = Settings { fetch_cost: 0.05, report_fields: Vec::new(), ..at_scale() };
        let mut host = TestHost::with_seed(priced, seed, SECOND);
        host.update_list(ListUpdate::Cached, (1..=200).map(endpoint).collect());
        let mut went = std::collections::BTreeSet::new();
        for id in 1..=99 {
            host.actions.clear();
            let (job, deadline) = (JobId(id), host.now + 5 * SECOND);
            let key = if id % 50 == 49 { 77 } else { 1_000 + u64::from(id) };
            let job = Job { id: job, class: 0, deadline, size_hint: None, slots: 1, key, customer: 0 };
            host.handle(Event::JobArrived(job));
            went.extend(host.worker_of(id).filter(|_| key == 77));
            host.end_attempt(id, 0, AttemptResult::Success);
        }
        went
    };
    let all: std::collections::BTreeSet<u32> = (0..20).flat_map(went).collect();
    // Of one in fifty jobs it is up to one in twenty workers, the same ones for all twenty dispatchers.
    assert!((1..=10).contains(&all.len()), "{all:?}");
}

#[test]
fn unrestricted_jobs_spare_workers_of_restricted_classes() {
    // Other classes must not fill the workers of a restricted class while the rest are idle.
    let mut s = settings();
    s.classes[1].allowed_kinds = Some(vec![1]);
    let mut host = TestHost::new(s, 0);
    host.update_list(
        ListUpdate::Complete,
        (1..=10).map(|w| Endpoint { kind: u16::from(w <= 5), ..endpoint(w) }).collect(),
    );
    (1..=10).for_each(|w| host.health_checked(w, AttemptResult::Success, &[2.0, 0.0]));
    assert!((1..=10).all(|id| host.submit(id, 0, 1).is_some_and(|w| w > 5)));
    assert!(host.submit(20, 1, 1).is_some_and(|w| w <= 5));
}

/// Where jobs of one key go, out of 60 workers and 100 dispatchers, if so many of ten jobs are of that key.
fn spread(hot: u32) -> std::collections::BTreeMap<u32, usize> {
    let priced = Settings { fetch_cost: 0.1, report_fields: Vec::new(), scheduler_count: 100, ..settings() };
    let mut went = std::collections::BTreeMap::new();
    for seed in 0..100 {
        let mut host = TestHost::with_seed(priced.clone(), seed, SECOND);
        host.update_list(ListUpdate::Cached, (1..=60).map(endpoint).collect());
        for id in 1..=100 {
            host.actions.clear();
            let key = if id % 10 < hot { 77 } else { 1_000 + u64::from(id) * 100 + seed };
            let job = Job {
                id: JobId(id),
                class: 0,
                deadline: host.now + 5 * SECOND,
                size_hint: None,
                slots: 1,
                key,
                customer: 0,
            };
            host.handle(Event::JobArrived(job));
            if let Some(worker) = host.worker_of(id).filter(|_| key == 77) {
                *went.entry(worker).or_default() += 1;
            }
            host.end_attempt(id, 0, AttemptResult::Success);
        }
    }
    went
}

#[test]
fn key_with_more_jobs_has_more_affinity_candidates() {
    // A fifth of all jobs must not go to two workers out of sixty, though each of 100 dispatchers sees few of them.
    let (hot, warm) = (spread(2), spread(1));
    let most = |went: &std::collections::BTreeMap<u32, usize>| {
        *went.values().max().unwrap() as f64 / went.values().sum::<usize>() as f64
    };
    assert!(most(&hot) < 0.2, "no worker has a fifth of them: {hot:?}");
    assert!(warm.len() < hot.len() && hot.len() <= 36, "but few have to fetch it: {warm:?} {hot:?}");
}

#[test]
fn job_may_queue_with_many_schedulers() {
    // A queueing time divided by 100 schedulers would reject wide jobs at a half-full fleet.
    let blind = Settings { scheduler_count: 100, report_fields: vec![ReportField::FreeSlots], ..settings() };
    let mut host = TestHost::with_seed(blind, 1, SECOND);
    host.update_list(ListUpdate::Cached, (1..=60).map(endpoint).collect());
    for step in 0..600 {
        host.now += 10 * MILLISECOND;
        host.health_checked(
            1 + step % 60,
            AttemptResult::Success,
            &[f64::from(4 * u8::from((step + step / 60) % 2 == 0))],
        );
    }
    for id in 1..=20 {
        host.submit(id, 0, 1);
        host.end_attempt(id, 0, AttemptResult::Success);
    }
    host.now += 10 * SECOND;
    assert!(
        host.submit(30, 0, 4).is_some(),
        "two of four slots are taken in the mean, which is no reason to reject"
    );
}

#[test]
fn queued_jobs_are_seen_when_only_the_job_count_is_reported() {
    // A wide job at the head of a queue keeps slots free, so that a worker with twenty queued jobs looks free.
    // The next report comes in ten seconds, so this must not be forgotten within one.
    let told = Settings {
        scheduler_count: 100,
        report_fields: vec![ReportField::Jobs, ReportField::FreeSlots],
        ..settings()
    };
    let mut host = TestHost::with_seed(told, 1, 100 * SECOND);
    host.update_list(ListUpdate::Cached, (1..=3).map(endpoint).collect());
    for id in 1..=20 {
        host.now += 100 * MILLISECOND;
        (1..=3).for_each(|w| {
            host.health_checked(w, AttemptResult::Success, if w == 2 { &[21.0, 3.0] } else { &[0.0, 4.0] })
        });
        host.submit(id, 0, 1);
        host.end_attempt(id, 0, AttemptResult::Success);
    }
    (1..=3).for_each(|w| {
        host.health_checked(w, AttemptResult::Success, if w == 2 { &[21.0, 3.0] } else { &[1.0, 3.0] })
    });
    for wait in [0, 3] {
        host.now += wait * SECOND;
        let went: Vec<_> = (30..36).filter_map(|id| host.submit(id + 10 * wait as u32, 0, 1)).collect();
        assert!(!went.is_empty() && !went.contains(&2), "after {wait} s: {went:?}");
        (30..36).for_each(|id| host.end_attempt(id + 10 * wait as u32, 0, AttemptResult::Success));
    }
}

#[test]
fn reports_of_a_few_crowded_workers_do_not_make_the_fleet_seem_full() {
    // Most reports come from the two crowded workers, which must not make an idle fleet seem full.
    let fields = vec![ReportField::Jobs, ReportField::FreeSlots];
    let told =
        Settings { scheduler_count: 100, health_checks_allowed: true, report_fields: fields, ..settings() };
    let mut host = TestHost::with_seed(told, 1, 100 * SECOND);
    host.update_list(ListUpdate::Cached, (1..=60).map(endpoint).collect());
    (1..=2).for_each(|w| host.health_checked(w, AttemptResult::Success, &[1.0, 4.0]));
    for step in 0..200 {
        host.now += 10 * MILLISECOND;
        let (id, worker) = (JobId(1_000 + step), WorkerId(1 + step % 2));
        host.handle(Event::PlacementOverride { job: id, worker, required: true });
        if host.submit(id.0, 0, 1).is_some() {
            let (result, latency, done, report) =
                (AttemptResult::Success, 100 * MILLISECOND, true, vec![40.0, 0.0]);
            host.handle(Event::AttemptEnded(AttemptOutcome {
                job: id,
                attempt: AttemptId(0),
                result,
                latency,
                job_answered: done,
                report,
            }));
        }
        if step % 20 == 0 {
            host.health_checked(3 + step / 20, AttemptResult::Success, &[1.0, 4.0]);
        }
    }
    host.tick();
    let unknown = (1..=30).filter_map(|id| host.submit(id, 0, 1)).filter(|w| *w > 12).count();
    assert!(unknown > 0, "workers that nothing was heard of are as most are: nearly idle");
}

#[test]
fn first_jobs_of_a_popular_key_are_spread_over_several_workers() {
    // A key may be popular in the fleet and new to each dispatcher.
    let mut went = std::collections::BTreeMap::new();
    for seed in 0..300 {
        let priced = Settings { fetch_cost: 0.1, scheduler_count: 300, ..settings() };
        let mut host = TestHost::with_seed(priced, seed, SECOND);
        host.update_list(ListUpdate::Cached, (1..=180).map(endpoint).collect());
        let job = Job {
            id: JobId(1),
            class: 0,
            deadline: 6 * SECOND,
            size_hint: None,
            slots: 1,
            key: 77,
            customer: 0,
        };
        host.handle(Event::JobArrived(job));
        host.worker_of(1).into_iter().for_each(|worker| *went.entry(worker).or_insert(0) += 1);
    }
    assert!(went.len() >= 12 && went.values().all(|jobs| *jobs < 45), "{went:?}");
    assert!(went.len() < 60, "nor does every worker fetch it: {went:?}");
}

#[test]
fn jobs_leave_a_crowded_zone() {
    // Jobs must not queue in their own zone while the next one is idle.
    let fields = vec![ReportField::Jobs, ReportField::FreeSlots];
    let priced = Settings {
        scheduler_count: 300,
        health_checks_allowed: true,
        cross_zone_cost: 0.03,
        report_fields: fields,
        ..settings()
    };
    let mut host = TestHost::with_seed(priced, 1, 100 * SECOND);
    let listed = |w: u32| Endpoint { zone: u16::from(w > 30), ..endpoint(w) };
    host.update_list(ListUpdate::Cached, (1..=60).map(listed).collect());
    let far = |host: &mut TestHost, from: u32| {
        host.now += 10 * SECOND;
        let went: Vec<_> = (from..from + 20)
            .map(|id| {
                let worker = host.submit(id, 0, 1).expect("nothing is rejected");
                host.end_attempt(id, 0, AttemptResult::Success);
                worker
            })
            .collect();
        went.into_iter().filter(|w| *w > 30).count()
    };
    assert!(far(&mut host, 100) <= 6, "as long as nothing is known, mostly the nearer ones");
    (1..=10).for_each(|w| host.health_checked(w, AttemptResult::Success, &[30.0, 0.0]));
    (31..=40).for_each(|w| host.health_checked(w, AttemptResult::Success, &[1.0, 3.0]));
    assert!(far(&mut host, 200) >= 18, "twenty others were not asked, but are where ten are crowded");
    (11..=30).for_each(|w| host.health_checked(w, AttemptResult::Success, &[0.0, 4.0]));
    assert!(far(&mut host, 300) <= 6, "and when it has room again, it is the nearer one");
}
