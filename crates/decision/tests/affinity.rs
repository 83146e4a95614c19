//! Key affinity: jobs of one key go to few workers, the same ones at all dispatchers.

mod common;
use common::*;
use postusher_decision::*;

#[test]
fn jobs_of_one_key_go_to_the_same_few_workers_at_all_dispatchers() {
    // Fetching the data of a job takes longer than running it.
    let went = |seed| {
        let settings = Settings { fetch_cost: 0.05, report_fields: Vec::new(), ..settings_at_scale() };
        let mut host = TestHost::with_seed(settings, seed, SECOND);
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

/// Where jobs of one key go, out of 60 workers and 100 dispatchers, if so many of ten jobs are of that key.
fn spread(hot: u32) -> std::collections::BTreeMap<u32, usize> {
    let settings =
        Settings { fetch_cost: 0.1, report_fields: Vec::new(), scheduler_count: 100, ..settings() };
    let mut went = std::collections::BTreeMap::new();
    for seed in 0..100 {
        let mut host = TestHost::with_seed(settings.clone(), seed, SECOND);
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
fn first_jobs_of_a_popular_key_are_spread_over_several_workers() {
    // A key may be popular in the fleet and new to each dispatcher.
    let mut went = std::collections::BTreeMap::new();
    for seed in 0..300 {
        let settings = Settings { fetch_cost: 0.1, scheduler_count: 300, ..settings() };
        let mut host = TestHost::with_seed(settings, seed, SECOND);
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
