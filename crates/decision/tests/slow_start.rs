//! Slow start: the sum of what many dispatchers send to a worker that has just started.

mod common;
use common::*;
use postusher_decision::*;

/// A worker restarts, and this many dispatchers with traffic are notified. Returns the work that it got in each second, in seconds.
fn work_after_restart(seconds: u64, fleet: u64, dispatchers: u32) -> Vec<f64> {
    let mut sent = vec![0.0; seconds as usize];
    let n = u64::from(dispatchers);
    for seed in fleet * n..(fleet + 1) * n {
        let now = 100 * SECOND;
        let settings = Settings { scheduler_count: dispatchers, ..settings_at_scale() };
        let mut host = TestHost::with_seed(settings, seed, now);
        host.update_list(ListUpdate::Cached, (1..=20).map(endpoint).collect());
        host.report_loads(1..=20, &[2.0, 0.0]);
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
            // Five jobs a second, each of 0.1 s as all so far; the worker in slow start is the only one that is not full.
            if step % 4 == 0 {
                host.report_loads(2..=20, &[0.0, 9.0]);
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
        let sent = work_after_restart(9, fleet, 300);
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
            let sent = work_after_restart(9, fleet, dispatchers);
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
