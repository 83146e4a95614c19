//! Jobs that come over from another process of the same dispatcher, with the attempts made there.

mod common;
use common::*;
use postusher_decision::*;

fn adopt(rig: &mut Rig, id: u32, class: u16, attempts: Vec<PriorAttempt>) {
    rig.actions.clear();
    let job = Job {
        id: JobId(id),
        class,
        deadline: rig.now + 5 * S,
        size_hint: None,
        slots: 1,
        key: 0,
        customer: 0,
    };
    rig.play(Event::JobAdopted { job, attempts });
}

fn begun(worker: u32, out: bool, ran: bool) -> PriorAttempt {
    PriorAttempt { worker: WorkerId(worker), age: 300 * MS, pending: out, may_have_run: ran }
}

#[test]
fn attempts_that_are_out_hold_their_tokens_and_end_as_if_made_here() {
    let mut rig = Rig::new(settings(), 3);
    let free = rig.dispatcher.tokens(WorkerId(2)).0;
    adopt(&mut rig, 1, 0, vec![begun(2, true, true)]);
    assert!(rig.sent(1).is_none()); // its attempt goes on
    assert_eq!(rig.dispatcher.tokens(WorkerId(2)), (free - 1, 1));
    rig.settle(1, 0, AttemptResult::Success);
    assert_eq!(rig.dispatcher.tokens(WorkerId(2)).1, 0);
    // A failure is followed by a further attempt, elsewhere.
    adopt(&mut rig, 2, 0, vec![begun(2, true, true)]);
    rig.settle(2, 0, AttemptResult::Error);
    assert!(rig.sent(2).is_some_and(|worker| worker != 2));
    // It has the rest of its time, and then its answer.
    adopt(&mut rig, 3, 0, vec![begun(1, true, true)]);
    rig.now += 5 * S;
    rig.actions.clear();
    rig.play(Event::TimerExpired(1 << 32 | 3));
    assert!(rig.failed(3));
}

#[test]
fn what_may_have_run_before_binds_the_attempts_and_the_answer_to_come() {
    // Guards against: an upgrade in which a job takes effect twice.
    let mut rig = Rig::new(settings(), 6);
    adopt(&mut rig, 1, 3, vec![begun(2, false, true)]); // keyed in a cell: even workers
    assert!(rig.sent(1).is_some_and(|worker| worker % 2 == 0 && worker != 2));
    adopt(&mut rig, 2, 2, vec![begun(2, false, true)]); // never twice: neither sent nor refused
    assert!(rig.sent(2).is_none() && rig.failed(2) && !rig.refused(2));
    adopt(&mut rig, 3, 2, vec![begun(2, false, false)]);
    assert!(rig.sent(3).is_some_and(|worker| worker != 2));
    adopt(&mut rig, 4, 2, vec![begun(9, true, true)]); // at a worker that no list has named
    assert!(rig.sent(4).is_none() && !rig.failed(4));
    rig.settle(4, 0, AttemptResult::Reset);
    assert!(rig.failed(4));
}

#[test]
fn what_was_learned_goes_on_in_the_next_process() {
    // Guards against: an upgrade after which jobs go to workers that were known to be sick.
    let mut old = Rig::new(settings(), 6);
    old.sicken(2);
    let memory = old.dispatcher.learned_state();
    let mut new = Rig::new(settings(), 6);
    new.now = old.now;
    new.play(Event::Learned(memory.clone()));
    assert!(new.dispatcher.is_ejected(WorkerId(2)) && new.dispatcher.tokens(WorkerId(2)).0 == 0);
    assert_eq!(new.dispatcher.tokens(WorkerId(1)), old.dispatcher.tokens(WorkerId(1)));
    assert_eq!(new.dispatcher.learned_state(), memory);
    // It gets its trial as it would have got it there.
    new.now += 60 * S;
    new.play(Event::TimerExpired(0));
    assert!(!new.dispatcher.is_ejected(WorkerId(2)));
    // Of a worker that no list has named nothing is kept.
    let strange = LearnedState { workers: vec![(WorkerId(99), WorkerHistory::default())], ..memory };
    new.play(Event::Learned(strange));
    assert_eq!(new.dispatcher.known_workers(), 6);
}
