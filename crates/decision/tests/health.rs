//! Health: outliers against the fleet, silence, errors, and the way back.

mod common;
use common::*;
use postusher_decision::*;

/// Plays jobs for `n` arrivals; `answer` says how the job's worker behaves. Gives how many each worker got.
fn traffic(
    rig: &mut Rig,
    first: u32,
    n: u32,
    answer: impl Fn(u32) -> (AttemptResult, Micros),
) -> std::collections::BTreeMap<u32, u32> {
    let mut got = std::collections::BTreeMap::new();
    for id in first..first + n {
        rig.now += 20 * MS;
        let Some(worker) = rig.job(id, 2, 1) else { continue };
        *got.entry(worker).or_insert(0) += 1;
        let (result, latency) = answer(worker);
        let done = result == AttemptResult::Success;
        rig.play(Event::AttemptEnded(AttemptOutcome {
            job: JobId(id),
            attempt: AttemptId(0),
            result,
            latency,
            job_answered: done,
            report: Vec::new(),
        }));
    }
    got
}

#[test]
fn a_worker_that_fails_at_once_does_not_draw_jobs() {
    // Guards against: instant errors free their tokens at once and so draw job after job.
    let mut rig = Rig::new(settings(), 6);
    let got = traffic(&mut rig, 1, 300, |w| {
        if w == 3 {
            (AttemptResult::Error, MS)
        } else {
            (AttemptResult::Success, 100 * MS)
        }
    });
    assert!(got.get(&3).copied().unwrap_or(0) < 10, "{got:?}");
}

#[test]
fn a_worker_fast_at_refusing_does_not_draw_jobs() {
    let mut rig = Rig::new(settings(), 6);
    let got = traffic(&mut rig, 1, 300, |w| {
        if w == 3 {
            (AttemptResult::Overloaded, MS)
        } else {
            (AttemptResult::Success, 100 * MS)
        }
    });
    assert!(got.get(&3).copied().unwrap_or(0) < 20, "{got:?}");
}

#[test]
fn a_slow_worker_is_ejected_and_a_slow_fleet_is_not() {
    let mut rig = Rig::new(settings(), 6);
    traffic(&mut rig, 1, 120, |_| (AttemptResult::Success, 100 * MS));
    let got =
        traffic(&mut rig, 200, 300, |w| (AttemptResult::Success, if w == 3 { 900 * MS } else { 100 * MS }));
    assert!(got.get(&3).copied().unwrap_or(0) < 20, "{got:?}");
    let mut rig = Rig::new(settings(), 6);
    traffic(&mut rig, 1, 120, |_| (AttemptResult::Success, 100 * MS));
    let got = traffic(&mut rig, 200, 300, |_| (AttemptResult::Success, 900 * MS));
    // One may be ejected before the median has moved; it comes back with time.
    assert!(got.values().filter(|n| **n > 30).count() >= 5, "all but one go on serving: {got:?}");
}

#[test]
fn at_most_a_third_of_the_fleet_is_ejected() {
    let mut rig = Rig::new(settings(), 6);
    traffic(&mut rig, 1, 120, |_| (AttemptResult::Success, 100 * MS));
    traffic(&mut rig, 200, 200, |w| {
        if w < 4 {
            (AttemptResult::Error, MS)
        } else {
            (AttemptResult::Success, 100 * MS)
        }
    });
    let shut = (1..=6).filter(|w| rig.dispatcher.tokens(WorkerId(*w)) == (0, 0)).count();
    assert!((1..=2).contains(&shut), "{shut}");
}

#[test]
fn an_ejected_worker_comes_back_after_a_trial() {
    let mut rig = Rig::new(settings(), 6);
    traffic(&mut rig, 1, 100, |w| {
        if w == 3 {
            (AttemptResult::Error, MS)
        } else {
            (AttemptResult::Success, 100 * MS)
        }
    });
    assert_eq!(rig.dispatcher.tokens(WorkerId(3)), (0, 0));
    rig.now += 10 * S;
    rig.play(Event::TimerExpired(0));
    let before: Vec<_> = (1000..1030).filter_map(|id| rig.job(id, 2, 1)).collect();
    assert!(!before.contains(&3), "no job that must not run twice is risked on a trial");
    (1000..1030).for_each(|id| rig.settle(id, 0, AttemptResult::Success));
    let trial = (2000..2020).find(|id| rig.job(*id, 0, 1) == Some(3)).expect("a trial job");
    rig.settle(trial, 0, AttemptResult::Success);
    assert!(rig.dispatcher.tokens(WorkerId(3)).0 > 0);
}

#[test]
fn silence_ejects_without_an_outcome() {
    // Guards against: a machine that takes work and answers nothing.
    let mut rig = Rig::new(settings(), 6);
    traffic(&mut rig, 1, 120, |_| (AttemptResult::Success, 100 * MS));
    let stuck: Vec<_> = (500..512).map(|id| (id, rig.job(id, 0, 1))).collect();
    for (id, worker) in stuck {
        if worker != Some(3) {
            rig.settle(id, 0, AttemptResult::Success);
        }
    }
    for _ in 0..40 {
        rig.now += 50 * MS;
        rig.play(Event::TimerExpired(0));
    }
    assert_eq!(rig.dispatcher.tokens(WorkerId(3)).0, 0);
}

#[test]
fn a_job_that_does_not_start_is_not_copied_and_shows_a_worker_without_room() {
    // Guards against: copies of what waits, by each of many schedulers, where nothing that waits can be called off.
    let told = Settings { reports_start: true, hedging_allowed: true, ..settings() };
    let mut rig = Rig::new(told, 1);
    assert_eq!(rig.job(1, 0, 1), Some(1));
    let free = rig.dispatcher.free_capacity().free;
    rig.now += 25 * MS;
    rig.actions.clear();
    rig.play(Event::TimerExpired((2 << 32) + 1));
    assert!(rig.sent(1).is_none() && free == 1 && rig.dispatcher.free_capacity().free == 0);
}

#[test]
fn a_failed_list_call_is_asked_again_later_and_later() {
    let mut rig = Rig::new(Settings { list_is_polled: true, ..settings() }, 1);
    let mut waits = Vec::new();
    for _ in 0..5 {
        rig.actions.clear();
        rig.members(ListUpdate::Failed, Vec::new());
        let [Action::SetTimer { after, timer }] = rig.actions[..] else { panic!("{:?}", rig.actions) };
        waits.push(after);
        rig.actions.clear();
        rig.play(Event::TimerExpired(timer));
        assert_eq!(rig.actions, vec![Action::WatchEndpoints]);
    }
    assert!(waits[4] > waits[0] && waits[4] < 5 * S, "{waits:?}");
}

#[test]
fn calls_to_discovery_leave_time_for_two_within_that_after_which_all_counts_as_told() {
    // Guards against: a back-off by the settings' time for asking alone, which may be a minute.
    for poll_interval in [10 * S, 60 * S, 600 * S] {
        let mut rig = Rig::new(Settings { list_is_polled: true, poll_interval, ..settings() }, 3);
        for _ in 0..40 {
            rig.actions.clear();
            rig.members(ListUpdate::Failed, Vec::new());
            let [Action::SetTimer { after, .. }] = rig.actions[..] else { panic!("{:?}", rig.actions) };
            assert!(after <= 3 * S, "{after}");
        }
    }
}

#[test]
fn a_call_to_an_agent_that_pushes_lists_is_made_again_well_inside_the_drain_grace() {
    // Guards against: what the agent has counts as told, whether or not it could be heard, and a back-off outlasts the grace.
    for drain_grace in [250 * MS, 750 * MS] {
        let mut rig = Rig::new(Settings { list_is_polled: false, drain_grace, ..settings() }, 1);
        for _ in 0..20 {
            rig.actions.clear();
            rig.members(ListUpdate::Failed, Vec::new());
            let [Action::SetTimer { after, .. }] = rig.actions[..] else { panic!("{:?}", rig.actions) };
            assert!(after < drain_grace / 2, "{after} of {drain_grace}");
        }
    }
}

#[test]
fn a_failed_trial_is_no_recovery_when_the_whole_fleet_fails() {
    // Guards against: with a high median, a worker that refuses at once passes its trial by refusing.
    let mut rig = Rig::new(settings(), 6);
    traffic(&mut rig, 1, 100, |w| {
        if w == 3 {
            (AttemptResult::Error, MS)
        } else {
            (AttemptResult::Success, 100 * MS)
        }
    });
    traffic(&mut rig, 200, 400, |_| (AttemptResult::Error, MS));
    assert_eq!(rig.dispatcher.tokens(WorkerId(3)), (0, 0));
    rig.now += 30 * S;
    rig.play(Event::TimerExpired(0));
    let trial = (1000..1100).find(|id| rig.job(*id, 0, 1) == Some(3)).expect("a trial job");
    rig.settle(trial, 0, AttemptResult::Error);
    assert_eq!(rig.dispatcher.tokens(WorkerId(3)), (0, 0));
}

#[test]
fn full_with_free_slots_is_about_the_class_not_the_worker() {
    // Guards against: healthy workers ejected for all since they turn one class away above a rate.
    for (free, healthy) in [(2.0, true), (0.0, false)] {
        let mut rig = Rig::new(settings(), 6);
        traffic(&mut rig, 1, 60, |_| (AttemptResult::Success, 100 * MS));
        // Three jobs are out at one worker before the first comes back: none of them has been warned.
        let sent: Vec<_> = (100..112).filter_map(|id| Some((id, rig.job(id, 1, 1)?))).collect();
        for (id, worker) in &sent {
            let result = if *worker == 3 { AttemptResult::Overloaded } else { AttemptResult::Success };
            let (job, done, report) = (JobId(*id), *worker != 3, vec![free, 0.0]);
            rig.play(Event::AttemptEnded(AttemptOutcome {
                job,
                attempt: AttemptId(0),
                result,
                latency: 100 * MS,
                job_answered: done,
                report,
            }));
        }
        assert!(sent.iter().filter(|s| s.1 == 3).count() >= 2);
        assert_eq!(rig.dispatcher.is_ejected(WorkerId(3)), !healthy, "{free} free");
        if healthy {
            (1..=6)
                .for_each(|w| rig.probed(w, AttemptResult::Success, &[if w == 3 { 2.0 } else { 0.0 }, 9.0]));
            rig.probed(3, AttemptResult::Success, &[2.0, 0.0]);
            assert!(rig.job(900, 1, 1).is_none_or(|w| w != 3), "the class stays away for a while");
            assert_eq!(rig.job(901, 0, 1), Some(3), "others go on there");
        }
    }
}

#[test]
fn a_job_that_cannot_be_in_time_any_more_is_answered_at_once() {
    // Guards against: jobs worth nothing that hold up others, and answers held back to the deadline.
    for (class, refused) in [(0, true), (2, false)] {
        let told = Settings { reports_start: true, hedging_allowed: true, ..settings() };
        let mut rig = Rig::new(told, 1);
        rig.job(1, class, 1).unwrap();
        rig.now += 510 * MS; // goal 250 ms, and as much again for a running time taken as the goal
        rig.actions.clear();
        rig.play(Event::TimerExpired((2 << 32) + 1));
        assert_eq!((rig.refused(1), rig.failed(1)), (refused, !refused), "class {class}");
        assert!(rig.actions.contains(&Action::CancelAttempt { job: JobId(1), attempt: AttemptId(0) }));
    }
}

#[test]
fn a_copy_waits_for_what_a_start_usually_takes() {
    // Guards against: copies of every job where new connections are slow.
    let told = Settings { reports_start: true, hedging_allowed: true, ..settings() };
    let mut rig = Rig::new(told, 9);
    let mut after = 0;
    for id in 1..60 {
        rig.job(id, 0, 1).unwrap();
        after = rig
            .actions
            .iter()
            .filter_map(|a| match a {
                Action::SetTimer { after, timer } if *timer == (2 << 32) + u64::from(id) => Some(*after),
                _ => None,
            })
            .next()
            .expect("a timer for its start");
        rig.now += 60 * MS;
        rig.play(Event::JobStarted { job: JobId(id), attempt: AttemptId(0) });
        rig.now += 40 * MS;
        rig.settle(id, 0, AttemptResult::Error); // no connection is kept
        rig.actions.clear();
        rig.play(Event::ClientDisconnected(JobId(id)));
        (1..4).for_each(|attempt| rig.settle(id, attempt, AttemptResult::Cancelled));
    }
    assert!(after >= 100 * MS, "{after}");
}

#[test]
fn jobs_that_run_out_of_their_own_time_do_not_speak_against_their_worker() {
    let mut rig = Rig::new(settings(), 3);
    for id in 1..=60 {
        let worker = rig.job(id, 0, 1).unwrap();
        rig.now += 100 * MS;
        rig.settle(id, 0, AttemptResult::Success);
        // A second one goes out with less time than such jobs take.
        let short = Job {
            id: JobId(1_000 + id),
            class: 0,
            deadline: rig.now + 50 * MS,
            size_hint: None,
            slots: 1,
            key: 0,
            customer: 0,
        };
        rig.play(Event::JobArrived(short));
        rig.now += 50 * MS;
        let latency = 50 * MS;
        let outcome = |result| AttemptOutcome {
            job: JobId(1_000 + id),
            attempt: AttemptId(0),
            result,
            latency,
            job_answered: false,
            report: vec![],
        };
        rig.play(Event::AttemptEnded(outcome(AttemptResult::TimedOut)));
        assert!(!rig.dispatcher.is_ejected(WorkerId(worker)), "ejected after {id}");
    }
    assert!((1..=3).all(|w| !rig.dispatcher.is_ejected(WorkerId(w))));
}

#[test]
fn kept_connections_that_break_speak_against_no_worker_and_the_job_may_go_back_there() {
    let mut rig = Rig::new(settings(), 1);
    for id in 1..=30 {
        assert_eq!(rig.job(id, 0, 1), Some(1));
        rig.settle(id, 0, AttemptResult::StaleConnection);
        assert!(rig.actions.contains(&Action::CloseIdleConnections { worker: WorkerId(1) }));
        assert_eq!(rig.sent(id), Some(1), "job {id}");
        rig.settle(id, 1, AttemptResult::Success);
        assert!(!rig.dispatcher.is_ejected(WorkerId(1)));
    }
}

#[test]
fn a_job_that_nobody_can_run_fails_and_speaks_against_no_worker() {
    let mut rig = Rig::new(settings(), 6);
    for id in 1..=30 {
        assert!(rig.job(id, 0, 1).is_some());
        rig.settle(id, 0, AttemptResult::Unprocessable);
        assert!(rig.sent(id).is_some(), "one worker may be wrong");
        rig.settle(id, 1, AttemptResult::Unprocessable);
        assert!(rig.failed(id) && rig.sent(id).is_none(), "two that agree are right");
    }
    assert!((1..=6).all(|w| !rig.dispatcher.is_ejected(WorkerId(w))));
}

#[test]
fn a_worker_that_turns_away_what_others_run_is_found_out() {
    let mut rig = Rig::new(settings(), 6);
    for id in 1..=60 {
        let Some(worker) = rig.job(id, 0, 1) else { continue };
        let result = if worker == 1 { AttemptResult::Unprocessable } else { AttemptResult::Success };
        rig.settle(id, 0, result);
        if worker == 1 && rig.sent(id).is_some() {
            rig.settle(id, 1, AttemptResult::Success);
        }
    }
    assert!(rig.dispatcher.is_ejected(WorkerId(1)));
}
