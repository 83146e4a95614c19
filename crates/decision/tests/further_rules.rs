//! Rules that hold only where the settings state them: placement and order by key.

mod common;
use common::*;
use postusher_decision::*;

/// Class 0 is open to machine kind 1 in zone 0 only.
fn bound() -> Settings {
    let mut s = settings();
    s.classes[0].allowed_kinds = Some(vec![1]);
    s.classes[0].allowed_zones = Some(vec![0]);
    s
}

/// A thousand workers, of which 7 and 900 are of kind 1, and 900 stands in zone 1.
fn fleet(state: EndpointState) -> Vec<Endpoint> {
    let kind = |w| u16::from(w == 7 || w == 900);
    let all = (1..=1000).map(|w| Endpoint { kind: kind(w), zone: u16::from(w == 900), ..member(w) });
    all.map(|m| if m.worker.0 == 7 { Endpoint { state, ..m } } else { m }).collect()
}

#[test]
fn a_bound_class_finds_its_only_worker_in_a_large_fleet() {
    // Guards against: a look at the first few of a thousand, none of which is open to the class.
    let mut rig = Rig::new(bound(), 0);
    rig.members(ListUpdate::Complete, fleet(EndpointState::Ready));
    assert_eq!(rig.job(1, 0, 1), Some(7));
}

#[test]
fn a_bound_class_goes_nowhere_else_at_any_attempt() {
    let mut rig = Rig::new(bound(), 0);
    rig.members(ListUpdate::Complete, fleet(EndpointState::Ready));
    rig.job(1, 0, 1).expect("its worker");
    rig.settle(1, 0, AttemptResult::Overloaded);
    assert!(rig.sent(1).is_none() && rig.refused(1), "no further attempt elsewhere");
    for id in 2..100 {
        assert!(rig.job(id, 0, 1).is_none_or(|w| w == 7), "full up, it goes nowhere else");
    }
    rig.members(ListUpdate::Changes, vec![fleet(EndpointState::Draining)[6].clone()]);
    assert!(rig.job(200, 0, 1).is_none() && rig.refused(200), "nor when it drains");
    assert!(rig.job(201, 1, 1).is_some_and(|w| w != 7), "other classes are not bound");
}

#[test]
fn an_empty_list_closes_all_workers() {
    let mut s = bound();
    s.classes[0].allowed_zones = Some(Vec::new());
    let mut rig = Rig::new(s, 0);
    rig.members(ListUpdate::Complete, fleet(EndpointState::Ready));
    assert!(rig.job(1, 0, 1).is_none() && rig.refused(1));
}

#[test]
fn a_copy_of_a_bound_job_stays_in_its_places_too() {
    let told = Settings { reports_start: true, hedging_allowed: true, ..bound() };
    let mut rig = Rig::new(told, 0);
    rig.members(ListUpdate::Complete, fleet(EndpointState::Ready));
    rig.job(1, 0, 1).expect("its worker");
    rig.now += 25 * MS;
    rig.actions.clear();
    rig.play(Event::TimerExpired((2 << 32) + 1));
    assert_eq!(rig.sent(1), None);
}

#[test]
fn a_repeat_inside_a_cell_finds_it_in_a_large_fleet() {
    // Guards against: a keyed job that is failed because its cell is not among the first in the bucket.
    let mut rig = Rig::new(settings(), 0);
    let cells = (1..=1000).map(|w| Endpoint { cell: ((w - 1) / 2) as u16, ..member(w) });
    rig.members(ListUpdate::Complete, cells.collect());
    let first = rig.job(1, 3, 1).expect("any worker");
    rig.settle(1, 0, AttemptResult::Error);
    assert_eq!(rig.sent(1), Some(((first - 1) ^ 1) + 1), "its one neighbour");
}

/// Class 0 keeps its order by key; a key rests half a second.
fn ordered(pause: Micros) -> Settings {
    let mut s =
        Settings { key_order_pause: pause, sends_retry_after: true, max_retry_after: 2 * S, ..settings() };
    s.classes[0].ordered_by_key = true;
    s
}

/// Lets the timers that are due come.
fn timers(rig: &mut Rig, all: &[Action], from: Micros) {
    for a in all {
        if let Action::SetTimer { after, timer } = a {
            if *timer != 0 && from + after <= rig.now {
                rig.play(Event::TimerExpired(*timer));
            }
        }
    }
}

#[test]
fn jobs_of_one_key_take_turns() {
    let mut rig = Rig::new(ordered(0), 9);
    // Times are known to be short, so that slack covers the jobs before.
    (1..9).for_each(|id| {
        rig.keyed_job(id, 0, 1, 0).expect("a job without a key is not bound");
        rig.settle(id, 0, AttemptResult::Success);
    });
    rig.keyed_job(21, 0, 1, 5).expect("the first has its turn at once");
    assert_eq!(rig.keyed_job(22, 0, 1, 5), None);
    assert_eq!(rig.keyed_job(23, 0, 1, 5), None);
    assert!(!rig.refused(23) && rig.keyed_job(24, 0, 1, 6).is_some(), "another key's turn");
    rig.settle(21, 0, AttemptResult::Error);
    assert!(rig.sent(21).is_some() && rig.sent(22).is_none(), "who has the turn is tried again");
    rig.settle(21, 1, AttemptResult::Success);
    assert!(rig.sent(22).is_some() && rig.sent(23).is_none());
    rig.actions.clear();
    rig.play(Event::ClientDisconnected(JobId(22)));
    assert!(rig.sent(23).is_none(), "its client has left, but its attempt is still out");
    rig.settle(22, 0, AttemptResult::Cancelled);
    assert!(rig.sent(23).is_some());
}

#[test]
fn a_key_rests_after_an_attempt_whose_end_is_not_sure() {
    let mut rig = Rig::new(Settings { max_attempts: 1, ..ordered(300 * MS) }, 9);
    for (n, result) in
        [AttemptResult::TimedOut, AttemptResult::Reset, AttemptResult::Cancelled].into_iter().enumerate()
    {
        let id = 100 * n as u32;
        (id..id + 8).for_each(|id| {
            rig.keyed_job(id, 0, 1, 0);
            rig.settle(id, 0, AttemptResult::Success);
        });
        rig.keyed_job(id + 10, 0, 1, 5).expect("a turn");
        rig.settle(id + 10, 0, result);
        assert!(rig.refused(id + 10));
        let (told, at) = (rig.actions.clone(), rig.now);
        assert_eq!(rig.keyed_job(id + 11, 0, 1, 5), None, "{result:?}: the key rests");
        rig.now = at + 299 * MS;
        timers(&mut rig, &told, at);
        assert_eq!(rig.sent(id + 11), None, "{result:?}: still");
        rig.now = at + 300 * MS;
        timers(&mut rig, &told, at);
        assert!(rig.sent(id + 11).is_some() || rig.refused(id + 11), "{result:?}: no more");
        rig.settle(id + 11, 0, AttemptResult::Success);
    }
}

#[test]
fn a_job_whose_slack_cannot_cover_what_stands_before_it_is_refused() {
    // Guards against: jobs that wait for a turn that comes too late, or for ever.
    let mut rig = Rig::new(ordered(0), 9);
    let sent = rig.keyed_job(1, 0, 1, 5);
    assert!(sent.is_some());
    let mut waiting = Vec::new();
    let refused = (2..50).find(|id| {
        rig.keyed_job(*id, 0, 1, 5);
        let all = rig.actions.clone();
        let now = all
            .iter()
            .any(|a| matches!(a, Action::Reject { job, retry_after } if job.0 == *id && *retry_after > 0));
        waiting.extend(all);
        now
    });
    assert!(refused.is_some(), "at once, with advice");
    let at = rig.now;
    rig.now += 450 * MS;
    rig.actions.clear();
    timers(&mut rig, &waiting, at);
    let owed = (2..refused.unwrap()).all(|id| rig.refused(id));
    assert!(owed, "the turn did not come in time");
    assert!(rig.keyed_job(99, 0, 1, 5).is_none(), "the first is not over yet");
}

#[test]
fn a_list_that_has_moved_is_asked_for_at_once_and_often_whatever_failed_before() {
    let mut rig = Rig::new(Settings { list_is_polled: true, ..settings() }, 2);
    let failed = |rig: &mut Rig| {
        rig.actions.clear();
        rig.members(ListUpdate::Failed, Vec::new());
        rig.actions.iter().find_map(|a| match a {
            Action::SetTimer { after, .. } => Some(*after),
            _ => None,
        })
    };
    for _ in 0..8 {
        failed(&mut rig);
    }
    assert!(failed(&mut rig).unwrap() > S);
    rig.actions.clear();
    rig.play(Event::DiscoveryMoved);
    assert_eq!(rig.actions, vec![Action::WatchEndpoints]);
    for _ in 0..8 {
        assert!(failed(&mut rig).unwrap() < 400 * MS);
    }
    rig.now += 4 * S;
    assert!(failed(&mut rig).unwrap() > S);
}
