//! Load reports with values that no worker can have. They come from outside, and must change neither the
//! memory of the dispatcher nor its decisions.

mod common;
use common::*;
use postusher_decision::*;
use proptest::prelude::*;

/// Number of free slots in a spoilt report: more than any machine has, but few enough that a dispatcher that
/// believes it does not use up the memory of the machine that runs the test.
const TOO_MANY_SLOTS: f64 = 2_000_000.0;
/// Upper bound of the tokens of all workers together: at 8 bytes each, half of the lowest memory limit of any
/// deployment, 32 MB.
const MAX_TOKENS: usize = 2_000_000;

/// Returns the number of free tokens of workers 1 to `workers`.
fn total_tokens(host: &TestHost, workers: u32) -> usize {
    (1..=workers).map(|worker| host.dispatcher.tokens(WorkerId(worker)).0).sum()
}

#[test]
fn report_of_more_slots_than_any_machine_has_creates_no_tokens() {
    // Guards against memory that grows with a number in a message: one spoilt report ended a scheduler.
    let mut by_health_check = TestHost::new(settings(), 3);
    let before = total_tokens(&by_health_check, 3);
    by_health_check.end_health_check(1, AttemptResult::Success, &[TOO_MANY_SLOTS, 0.0]);
    assert_eq!(total_tokens(&by_health_check, 3), before);

    let mut by_attempt = TestHost::new(settings(), 3);
    by_attempt.submit(1, 0, 1).unwrap();
    let report = vec![TOO_MANY_SLOTS, 0.0];
    by_attempt.end_attempt_after(1, 0, AttemptResult::Success, 100 * MILLISECOND, report);
    assert_eq!(total_tokens(&by_attempt, 3), before);
}

/// Values as a spoilt report contains them.
const VALUES: [f64; 16] = [
    0.0,
    -1.0,
    1.0,
    255.0,
    1_024.0,
    65_535.0,
    i32::MIN as f64,
    u32::MAX as f64,
    i64::MAX as f64,
    u64::MAX as f64,
    1e18,
    f64::MAX,
    f64::MIN,
    f64::NAN,
    f64::INFINITY,
    f64::NEG_INFINITY,
];

proptest! {
    /// Guards against overflows and unlimited memory after any report, and against later reports that are no
    /// longer believed.
    #[test]
    fn any_report_leaves_a_dispatcher_that_works(
        reports in prop::collection::vec((1..4u32, prop::sample::select(&VALUES[..]), 0..16usize, 0..16usize), 1..20),
        with_notifications: bool,
    ) {
        let fields = vec![ReportField::FreeSlots, ReportField::QueueLength, ReportField::Jobs];
        let mut host = TestHost::new(
            Settings { report_fields: fields, reports_start: with_notifications, ..settings() },
            3,
        );
        for (id, (worker, free, queue, jobs)) in (1..).zip(reports) {
            host.now += 30 * MILLISECOND;
            let report = [free, VALUES[queue], VALUES[jobs]];
            host.end_health_check(worker, AttemptResult::Success, &report);
            if host.submit(id, 0, 1).is_some() {
                host.end_attempt_after(id, 0, AttemptResult::Success, 100 * MILLISECOND, report.to_vec());
            }
            host.tick();
            prop_assert!(total_tokens(&host, 3) <= MAX_TOKENS);
        }
        host.now += 60 * SECOND;
        for _ in 0..20 {
            host.now += SECOND;
            host.tick();
            host.report_loads(1..=3, &[2.0, 0.0, 0.0]);
        }
        prop_assert!(host.submit(1_000, 0, 1).is_some(), "no worker has a free slot after valid reports");
    }
}

#[test]
fn tokens_of_a_large_fleet_are_bounded_in_sum() {
    // Guards against memory that grows with the number of workers times a number that one worker reports.
    const WORKERS: u32 = 3_200;
    let mut host = TestHost::new(settings(), WORKERS);
    let before = total_tokens(&host, WORKERS);
    for _ in 0..20 {
        host.end_health_check(1, AttemptResult::Success, &[f64::from(MAX_SLOTS), 0.0]);
    }
    // The machine kind now counts as having that many slots, and each worker's next report applies this.
    host.report_loads(1..=WORKERS, &[2.0, 0.0]);
    let after = total_tokens(&host, WORKERS);
    assert!((before..=MAX_TOKENS).contains(&after), "{before} tokens, then {after}");
    assert!(host.submit(1, 0, 8).is_some(), "a job of several slots still fits");
}

#[test]
fn slots_without_a_limit_in_the_settings_create_a_bounded_number_of_tokens() {
    // Guards against memory that grows with the number of slots in the setup of a standalone scheduler.
    let mut host = TestHost::new(Settings { max_worker_slots: u32::MAX, ..settings() }, 2);
    host.end_health_check(1, AttemptResult::Success, &[TOO_MANY_SLOTS, 0.0]);
    assert!(total_tokens(&host, 2) <= MAX_TOKENS);
    assert!(host.submit(1, 0, 1).is_some());
}
