//! The four rules that a dispatcher keeps on its own.

mod common;
use common::*;
use postusher_decision::*;

const ENDINGS: [AttemptResult; 7] = [
    AttemptResult::Error,
    AttemptResult::Overloaded,
    AttemptResult::TimedOut,
    AttemptResult::ConnectFailed,
    AttemptResult::Reset,
    AttemptResult::Cancelled,
    AttemptResult::NotSent,
];

#[test]
fn rule_1_the_guard_answers_at_the_deadline_once() {
    let mut rig = Rig::new(settings(), 2);
    rig.job(1, 2, 1).unwrap();
    let (after, timer) = rig
        .actions
        .iter()
        .find_map(|a| match a {
            Action::SetTimer { after, timer } => Some((*after, *timer)),
            _ => None,
        })
        .unwrap();
    assert_eq!(after, 5 * S);
    rig.now += after;
    rig.actions.clear();
    rig.play(Event::TimerExpired(timer));
    assert!(rig.failed(1));
    rig.settle(1, 0, AttemptResult::TimedOut);
    assert!(!rig.failed(1) && !rig.refused(1) && rig.sent(1).is_none(), "nothing after the answer");
}

#[test]
fn rule_1_a_time_out_at_the_deadline_is_answered() {
    let mut rig = Rig::new(settings(), 2);
    rig.job(1, 0, 1).unwrap();
    rig.now += 5 * S;
    rig.settle(1, 0, AttemptResult::TimedOut);
    assert!(rig.refused(1) && rig.sent(1).is_none());
}

#[test]
fn rule_2_every_ending_with_every_effect() {
    for result in ENDINGS {
        for class in 0..4 {
            let mut rig = Rig::new(settings(), 4);
            let first = rig.job(1, class, 1).unwrap();
            rig.settle(1, 0, result);
            let ran = settings().may_have_run(result);
            match (class, ran) {
                (2, true) => assert!(rig.failed(1), "once, {result:?}: no repeat and no refusal"),
                (3, true) => {
                    let next = rig.sent(1).unwrap();
                    assert_eq!(next % 2, first % 2, "{result:?}: inside the cell");
                }
                _ => assert!(rig.sent(1).is_some_and(|w| w != first), "class {class}, {result:?}: elsewhere"),
            }
        }
    }
}

#[test]
fn rule_2_the_window_of_a_keyed_job_ends() {
    for (after, again) in [(3 * S, true), (4 * S, false)] {
        let mut rig = Rig::new(settings(), 4);
        rig.job(1, 3, 1).unwrap();
        rig.now += after;
        rig.settle(1, 0, AttemptResult::Error);
        assert_eq!(rig.sent(1).is_some(), again);
        assert_eq!(rig.failed(1), !again, "outside its window a cell's job is failed, not refused");
    }
}

#[test]
fn rule_2_one_attempt_at_a_time_where_copies_are_not_allowed() {
    let told = Settings { reports_start: true, ..settings() };
    let mut rig = Rig::new(told, 4);
    rig.job(1, 0, 1).unwrap();
    rig.now += S;
    rig.actions.clear();
    rig.play(Event::TimerExpired((2 << 32) + 1));
    assert_eq!(rig.sent(1), None);
}

#[test]
fn rule_3_a_draining_or_gone_worker_gets_nothing() {
    for state in [EndpointState::Draining, EndpointState::Removed] {
        let mut rig = Rig::new(settings(), 2);
        rig.members(ListUpdate::Changes, vec![Endpoint { state, ..member(1) }]);
        assert!((1..9).filter_map(|id| rig.job(id, 0, 1)).all(|w| w == 2));
        assert_eq!(rig.dispatcher.tokens(WorkerId(1)), (0, 0));
    }
    let mut rig = Rig::new(settings(), 2);
    rig.members(ListUpdate::Complete, vec![member(2)]);
    assert!((1..9).filter_map(|id| rig.job(id, 0, 1)).all(|w| w == 2), "what a full list leaves out is gone");
}

#[test]
fn rule_4_a_cold_worker_gets_a_bounded_budget() {
    let mut rig = Rig::new(settings(), 1);
    let started_at = rig.now;
    rig.members(ListUpdate::Changes, vec![Endpoint { started_at, ..member(1) }]);
    rig.probed(1, AttemptResult::Success, &[2.0, 0.0]);
    let mut sent = 0;
    for id in 1..=300 {
        rig.now += 10 * MS;
        if id % 5 == 0 {
            rig.play(Event::TimerExpired(0));
        }
        if rig.job(id, 0, 1).is_some() {
            sent += 1;
            rig.settle(id, 0, AttemptResult::Success);
        }
    }
    // Three seconds at a tenth of two slots, three times over, is 1.8 s of work, rising to 4.2 s: jobs take 0.1 s.
    assert!(sent > 0, "it is not shut out");
    assert!(sent as f64 * 0.1 <= 3.0 * 0.24 * 2.0 * 3.0, "{sent} jobs pushed onto a cold worker");
}

#[test]
fn full_is_no_proof_where_settings_say_so() {
    // Guards against: workers that shed work they had begun, so that a job takes effect twice.
    for class in 0..4 {
        let told = Settings { overloaded_may_have_run: true, ..settings() };
        let mut rig = Rig::new(told, 9);
        let first = rig.job(1, class, 1).unwrap();
        rig.settle(1, 0, AttemptResult::Overloaded);
        match class {
            2 => assert!(rig.failed(1) && rig.sent(1).is_none(), "once: no other attempt and no refusal"),
            3 => assert!(rig.sent(1).is_some_and(|w| w % 2 == first % 2), "a cell's: inside the cell"),
            _ => assert!(rig.sent(1).is_some_and(|w| w != first), "class {class}: elsewhere"),
        }
    }
}
