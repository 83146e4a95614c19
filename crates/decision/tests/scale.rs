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
        let now = 100 * S;
        let set = Settings { scheduler_count: dispatchers, ..at_scale() };
        let mut rig = Rig { dispatcher: Dispatcher::new(set, seed, now), now, actions: Vec::new() };
        rig.members(ListUpdate::Cached, (1..=20).map(member).collect());
        (1..=20).for_each(|w| rig.probed(w, AttemptResult::Success, &[2.0, 0.0]));
        (1..=20).for_each(|id| {
            rig.job(id, 0, 1);
            rig.settle(id, 0, AttemptResult::Success);
        });
        rig.members(ListUpdate::Changes, vec![Endpoint { started_at: rig.now, ..member(1) }]);
        for step in 0..seconds * 20 {
            rig.now += 50 * MS;
            rig.actions.clear();
            rig.play(Event::TimerExpired(0));
            rig.probed(1, AttemptResult::Success, &[2.0, 0.0]);
            // Five jobs a second, each of 0.1 s as all so far; the cold worker is the only one not full.
            if step % 4 == 0 {
                (2..=20).for_each(|w| rig.probed(w, AttemptResult::Success, &[0.0, 9.0]));
                let id = 100 + step as u32;
                if rig.job(id, 0, 1) == Some(1) {
                    sent[(step / 20) as usize] += 0.1;
                    rig.settle(id, 0, AttemptResult::Success);
                }
            }
        }
    }
    sent
}

#[test]
fn rule_4_holds_for_the_sum_of_hundreds_of_dispatchers() {
    // Guards against: a budget that is nil when divided by 300, or rounded up for each, or saved up by all.
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
fn rule_4_leaves_chance_two_roots_and_two_jobs_whatever_the_number_of_dispatchers() {
    // Guards against: beyond its budget of N mean jobs a cold worker bears 2 roots of N and 2 more, of all dispatchers together.
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
fn dispatchers_of_the_same_moment_look_at_different_workers() {
    let first = |seed| {
        let mut rig = Rig { dispatcher: Dispatcher::new(at_scale(), seed, S), now: S, actions: Vec::new() };
        rig.members(ListUpdate::Cached, (1..=200).map(member).collect());
        rig.job(1, 0, 1)
    };
    let picks: std::collections::BTreeSet<_> = (0..100).map(first).collect();
    assert!(picks.len() > 50, "{} workers for 100 dispatchers", picks.len());
}

#[test]
fn a_job_prefers_a_worker_known_of_late_to_have_room() {
    // Guards against: blind placement where each worker is met once in half a minute.
    let mut rig = Rig::new(at_scale(), 50);
    rig.now += 60 * S;
    rig.probed(33, AttemptResult::Success, &[2.0, 0.0]);
    assert_eq!(rig.job(1, 0, 1), Some(33));
}

#[test]
fn probes_are_bounded_by_arrivals() {
    // Guards against: probing by the clock while nothing arrives, at a price for each.
    let mut rig = Rig::new(at_scale(), 50);
    let mut probes = 0;
    for id in 0..20 {
        rig.job(id, 0, 1);
        for _ in 0..100 {
            rig.now += 50 * MS;
            rig.play(Event::TimerExpired(0));
            let asked: Vec<u32> = rig
                .actions
                .drain(..)
                .filter_map(|a| if let Action::CheckHealth { worker } = a { Some(worker.0) } else { None })
                .collect();
            probes += asked.len();
            asked.into_iter().for_each(|w| rig.probed(w, AttemptResult::Success, &[2.0, 0.0]));
        }
    }
    assert!((10..=23).contains(&probes), "{probes} probes for 20 jobs");
}

#[test]
fn rolling_deploys_leave_nothing_behind() {
    // Guards against: memory that grows with every machine that was ever listed.
    let mut rig = Rig::new(at_scale(), 5);
    for old in 1..2_000 {
        let gone = Endpoint { state: EndpointState::Removed, ..member(old) };
        rig.members(ListUpdate::Changes, vec![gone, member(old + 5)]);
        rig.probed(old, AttemptResult::Success, &[2.0, 0.0]);
    }
    assert_eq!(rig.dispatcher.known_workers(), 5);
}

#[test]
fn faster_kinds_have_more_tokens() {
    // Guards against: a round robin that gives slow machines as much as fast ones.
    let mut rig = Rig::new(settings(), 0);
    let kind = |w| Endpoint { kind: (w % 2) as u16, ..member(w) };
    rig.members(ListUpdate::Complete, (1..=6).map(kind).collect());
    (1..=6).for_each(|w| rig.probed(w, AttemptResult::Success, &[2.0, 0.0]));
    for id in 1..200 {
        rig.now += 100 * MS;
        let Some(worker) = rig.job(id, 0, 1) else { continue };
        let latency = if worker % 2 == 0 { 100 * MS } else { 170 * MS };
        let (job, done, report) = (JobId(id), true, vec![2.0, 0.0]);
        rig.play(Event::AttemptEnded(AttemptOutcome {
            job,
            attempt: AttemptId(0),
            result: AttemptResult::Success,
            latency,
            job_answered: done,
            report,
        }));
    }
    assert!(rig.dispatcher.tokens(WorkerId(2)).0 > rig.dispatcher.tokens(WorkerId(1)).0);
}

#[test]
fn of_equal_fits_the_cheapest_goes_first() {
    // Guards against: a new connection, or another zone, for every job.
    let priced = Settings { connection_cost: 0.03, keepalive: 5 * S, cross_zone_cost: 0.01, ..settings() };
    let mut rig = Rig::new(priced, 0);
    rig.members(
        ListUpdate::Complete,
        (1..=9).map(|w| Endpoint { zone: u16::from(w != 7), ..member(w) }).collect(),
    );
    (1..=9).for_each(|w| rig.probed(w, AttemptResult::Success, &[2.0, 0.0]));
    for id in 1..=5 {
        assert_eq!(rig.job(id, 0, 1), Some(7), "its own zone, then the connection it has there");
        rig.settle(id, 0, AttemptResult::Success);
    }
}

#[test]
fn many_that_start_together_do_not_ask_for_the_list_at_once() {
    // Guards against: a restart of hundreds that all call a rationed service in one moment.
    let wait = |seed| {
        let asking = Settings { list_is_polled: true, ..at_scale() };
        let mut rig = Rig { dispatcher: Dispatcher::new(asking, seed, S), now: S, actions: Vec::new() };
        rig.members(ListUpdate::Cached, vec![member(1)]);
        assert!(!rig.actions.contains(&Action::WatchEndpoints));
        let list = u64::from(3u8) << 32;
        let after = rig.actions.iter().find_map(|a| match a {
            Action::SetTimer { after, timer } if *timer == list => Some(*after),
            _ => None,
        });
        rig.actions.clear();
        rig.play(Event::TimerExpired(list));
        assert_eq!(rig.actions, vec![Action::WatchEndpoints]);
        after.expect("a timer for the list")
    };
    let mut waits: Vec<Micros> = (0..300).map(wait).collect();
    waits.sort_unstable();
    assert!(waits[299] < 3 * S, "well inside the allowed time: {}", waits[299]);
    assert!(waits[200] - waits[100] > 300 * MS, "spread out");
}

#[test]
fn a_worker_that_is_new_gets_jobs_before_all_old_tokens_are_used() {
    // Guards against: a bucket of hundreds of tokens, behind which what is new lies for minutes.
    let first = |seed| {
        let now = 100 * S;
        let mut rig = Rig { dispatcher: Dispatcher::new(at_scale(), seed, now), now, actions: Vec::new() };
        rig.members(ListUpdate::Cached, (1..=40).map(member).collect());
        (1..=40).for_each(|w| rig.probed(w, AttemptResult::Success, &[4.0, 0.0]));
        rig.members(ListUpdate::Changes, vec![member(99)]);
        rig.probed(99, AttemptResult::Success, &[4.0, 0.0]);
        rig.now += 60 * S;
        (1..=300).position(|id| {
            let worker = rig.job(id, 0, 1);
            rig.settle(id, 0, AttemptResult::Success);
            worker == Some(99)
        })
    };
    let mut jobs: Vec<usize> = (0..9).map(|seed| first(seed).unwrap_or(300)).collect();
    jobs.sort_unstable();
    assert!(jobs[4] < 160, "half of the dispatchers within half of 320 tokens: {jobs:?}");
}

#[test]
fn jobs_of_one_key_go_to_a_few_workers_that_all_dispatchers_agree_on() {
    // Guards against: every job fetching what it needs, which takes longer than running it.
    let went = |seed| {
        let priced = Settings { fetch_cost: 0.05, report_fields: Vec::new(), ..at_scale() };
        let mut rig = Rig { dispatcher: Dispatcher::new(priced, seed, S), now: S, actions: Vec::new() };
        rig.members(ListUpdate::Cached, (1..=200).map(member).collect());
        let mut went = std::collections::BTreeSet::new();
        for id in 1..=99 {
            rig.actions.clear();
            let (job, deadline) = (JobId(id), rig.now + 5 * S);
            let key = if id % 50 == 49 { 77 } else { 1_000 + u64::from(id) };
            let job = Job { id: job, class: 0, deadline, size_hint: None, slots: 1, key, customer: 0 };
            rig.play(Event::JobArrived(job));
            went.extend(rig.sent(id).filter(|_| key == 77));
            rig.settle(id, 0, AttemptResult::Success);
        }
        went
    };
    let all: std::collections::BTreeSet<u32> = (0..20).flat_map(went).collect();
    // Of one in fifty jobs it is up to one in twenty workers, the same ones for all twenty dispatchers.
    assert!((1..=10).contains(&all.len()), "{all:?}");
}

#[test]
fn jobs_that_may_go_anywhere_leave_workers_to_bound_classes() {
    // Guards against: a bound class refused while others fill its workers and leave the rest idle.
    let mut s = settings();
    s.classes[1].allowed_kinds = Some(vec![1]);
    let mut rig = Rig::new(s, 0);
    rig.members(
        ListUpdate::Complete,
        (1..=10).map(|w| Endpoint { kind: u16::from(w <= 5), ..member(w) }).collect(),
    );
    (1..=10).for_each(|w| rig.probed(w, AttemptResult::Success, &[2.0, 0.0]));
    assert!((1..=10).all(|id| rig.job(id, 0, 1).is_some_and(|w| w > 5)));
    assert!(rig.job(20, 1, 1).is_some_and(|w| w <= 5));
}

/// Where jobs of one key go, out of 60 workers and 100 dispatchers, if so many of ten jobs are of that key.
fn spread(hot: u32) -> std::collections::BTreeMap<u32, usize> {
    let priced = Settings { fetch_cost: 0.1, report_fields: Vec::new(), scheduler_count: 100, ..settings() };
    let mut went = std::collections::BTreeMap::new();
    for seed in 0..100 {
        let mut rig =
            Rig { dispatcher: Dispatcher::new(priced.clone(), seed, S), now: S, actions: Vec::new() };
        rig.members(ListUpdate::Cached, (1..=60).map(member).collect());
        for id in 1..=100 {
            rig.actions.clear();
            let key = if id % 10 < hot { 77 } else { 1_000 + u64::from(id) * 100 + seed };
            let job = Job {
                id: JobId(id),
                class: 0,
                deadline: rig.now + 5 * S,
                size_hint: None,
                slots: 1,
                key,
                customer: 0,
            };
            rig.play(Event::JobArrived(job));
            if let Some(worker) = rig.sent(id).filter(|_| key == 77) {
                *went.entry(worker).or_default() += 1;
            }
            rig.settle(id, 0, AttemptResult::Success);
        }
    }
    went
}

#[test]
fn a_key_that_is_asked_for_more_has_more_keepers() {
    // Guards against: a fifth of all jobs at two workers out of sixty, while each of 100 dispatchers sees few of them.
    let (hot, warm) = (spread(2), spread(1));
    let most = |went: &std::collections::BTreeMap<u32, usize>| {
        *went.values().max().unwrap() as f64 / went.values().sum::<usize>() as f64
    };
    assert!(most(&hot) < 0.2, "no worker has a fifth of them: {hot:?}");
    assert!(warm.len() < hot.len() && hot.len() <= 36, "but few have to fetch it: {warm:?} {hot:?}");
}

#[test]
fn a_job_may_wait_however_many_siblings_there_are() {
    // Guards against: a wait that is divided by 100 peers, so that wide jobs are refused at a fleet half full.
    let blind = Settings { scheduler_count: 100, report_fields: vec![ReportField::FreeSlots], ..settings() };
    let mut rig = Rig { dispatcher: Dispatcher::new(blind, 1, S), now: S, actions: Vec::new() };
    rig.members(ListUpdate::Cached, (1..=60).map(member).collect());
    for step in 0..600 {
        rig.now += 10 * MS;
        rig.probed(
            1 + step % 60,
            AttemptResult::Success,
            &[f64::from(4 * u8::from((step + step / 60) % 2 == 0))],
        );
    }
    for id in 1..=20 {
        rig.job(id, 0, 1);
        rig.settle(id, 0, AttemptResult::Success);
    }
    rig.now += 10 * S;
    assert!(
        rig.job(30, 0, 4).is_some(),
        "two of four slots are taken in the mean, which is no reason to refuse"
    );
}

#[test]
fn jobs_that_wait_at_a_worker_are_seen_where_only_their_number_is_told() {
    // Guards against: a worker with twenty jobs in its queue, taken for free since a wide one at the head of the
    // queue leaves slots open; and that forgotten within a second, when the next report comes in ten.
    let told = Settings {
        scheduler_count: 100,
        report_fields: vec![ReportField::Jobs, ReportField::FreeSlots],
        ..settings()
    };
    let mut rig = Rig { dispatcher: Dispatcher::new(told, 1, 100 * S), now: 100 * S, actions: Vec::new() };
    rig.members(ListUpdate::Cached, (1..=3).map(member).collect());
    for id in 1..=20 {
        rig.now += 100 * MS;
        (1..=3).for_each(|w| {
            rig.probed(w, AttemptResult::Success, if w == 2 { &[21.0, 3.0] } else { &[0.0, 4.0] })
        });
        rig.job(id, 0, 1);
        rig.settle(id, 0, AttemptResult::Success);
    }
    (1..=3)
        .for_each(|w| rig.probed(w, AttemptResult::Success, if w == 2 { &[21.0, 3.0] } else { &[1.0, 3.0] }));
    for wait in [0, 3] {
        rig.now += wait * S;
        let went: Vec<_> = (30..36).filter_map(|id| rig.job(id + 10 * wait as u32, 0, 1)).collect();
        assert!(!went.is_empty() && !went.contains(&2), "after {wait} s: {went:?}");
        (30..36).for_each(|id| rig.settle(id + 10 * wait as u32, 0, AttemptResult::Success));
    }
}

#[test]
fn a_few_crowded_workers_do_not_make_the_fleet_seem_full() {
    // Guards against: jobs refused at an idle fleet, since most reports come from the two workers that are crowded.
    let fields = vec![ReportField::Jobs, ReportField::FreeSlots];
    let told =
        Settings { scheduler_count: 100, health_checks_allowed: true, report_fields: fields, ..settings() };
    let mut rig = Rig { dispatcher: Dispatcher::new(told, 1, 100 * S), now: 100 * S, actions: Vec::new() };
    rig.members(ListUpdate::Cached, (1..=60).map(member).collect());
    (1..=2).for_each(|w| rig.probed(w, AttemptResult::Success, &[1.0, 4.0]));
    for step in 0..200 {
        rig.now += 10 * MS;
        let (id, worker) = (JobId(1_000 + step), WorkerId(1 + step % 2));
        rig.play(Event::PlacementOverride { job: id, worker, required: true });
        if rig.job(id.0, 0, 1).is_some() {
            let (result, latency, done, report) = (AttemptResult::Success, 100 * MS, true, vec![40.0, 0.0]);
            rig.play(Event::AttemptEnded(AttemptOutcome {
                job: id,
                attempt: AttemptId(0),
                result,
                latency,
                job_answered: done,
                report,
            }));
        }
        if step % 20 == 0 {
            rig.probed(3 + step / 20, AttemptResult::Success, &[1.0, 4.0]);
        }
    }
    rig.play(Event::TimerExpired(0));
    let unknown = (1..=30).filter_map(|id| rig.job(id, 0, 1)).filter(|w| *w > 12).count();
    assert!(unknown > 0, "workers that nothing was heard of are as most are: nearly idle");
}

#[test]
fn the_first_jobs_of_hundreds_of_dispatchers_do_not_all_go_to_two_workers() {
    // Guards against: a key that is popular in the fleet, met by each dispatcher as a key that nobody asks for.
    let mut went = std::collections::BTreeMap::new();
    for seed in 0..300 {
        let priced = Settings { fetch_cost: 0.1, scheduler_count: 300, ..settings() };
        let mut rig = Rig { dispatcher: Dispatcher::new(priced, seed, S), now: S, actions: Vec::new() };
        rig.members(ListUpdate::Cached, (1..=180).map(member).collect());
        let job =
            Job { id: JobId(1), class: 0, deadline: 6 * S, size_hint: None, slots: 1, key: 77, customer: 0 };
        rig.play(Event::JobArrived(job));
        rig.sent(1).into_iter().for_each(|worker| *went.entry(worker).or_insert(0) += 1);
    }
    assert!(went.len() >= 12 && went.values().all(|jobs| *jobs < 45), "{went:?}");
    assert!(went.len() < 60, "nor does every worker fetch it: {went:?}");
}

#[test]
fn a_zone_that_is_crowded_is_left_for_others_though_it_is_nearer() {
    // Guards against: jobs that queue in their own zone while the next one is idle, since all zones seem alike.
    let fields = vec![ReportField::Jobs, ReportField::FreeSlots];
    let priced = Settings {
        scheduler_count: 300,
        health_checks_allowed: true,
        cross_zone_cost: 0.03,
        report_fields: fields,
        ..settings()
    };
    let mut rig = Rig { dispatcher: Dispatcher::new(priced, 1, 100 * S), now: 100 * S, actions: Vec::new() };
    let listed = |w: u32| Endpoint { zone: u16::from(w > 30), ..member(w) };
    rig.members(ListUpdate::Cached, (1..=60).map(listed).collect());
    let far = |rig: &mut Rig, from: u32| {
        rig.now += 10 * S;
        let went: Vec<_> = (from..from + 20)
            .map(|id| {
                let worker = rig.job(id, 0, 1).expect("nothing is refused");
                rig.settle(id, 0, AttemptResult::Success);
                worker
            })
            .collect();
        went.into_iter().filter(|w| *w > 30).count()
    };
    assert!(far(&mut rig, 100) <= 6, "as long as nothing is known, mostly the nearer ones");
    (1..=10).for_each(|w| rig.probed(w, AttemptResult::Success, &[30.0, 0.0]));
    (31..=40).for_each(|w| rig.probed(w, AttemptResult::Success, &[1.0, 3.0]));
    assert!(far(&mut rig, 200) >= 18, "twenty others were not asked, but are where ten are crowded");
    (11..=30).for_each(|w| rig.probed(w, AttemptResult::Success, &[0.0, 4.0]));
    assert!(far(&mut rig, 300) <= 6, "and when it has room again, it is the nearer one");
}
