//! Random graphs, weights, arrivals and ends, checked against what the pages promise.

use postusher_deferred_jobs::*;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug)]
enum Step {
    /// A job of this class that names others, by how far back or ahead they stand, and a start so much later.
    Hold { class: u16, slots: u32, after: Vec<(i8, bool)>, start: Option<u16>, patience: u16 },
    /// An ordinary job.
    Open,
    /// One of the jobs under way ends.
    End { which: u16, how: u8 },
    /// Time passes; this much is free.
    Turn { pass: u16, free: u32, refuses: bool },
    /// The next process takes over all that is held.
    Upgrade,
}

fn step() -> impl Strategy<Value = Step> {
    let names = prop::collection::vec((-9i8..4, any::<bool>()), 0..4);
    let hold = (0u16..3, 1u32..5, names, prop::option::of(0u16..4_000), 100u16..20_000);
    prop_oneof![
        4 => hold.prop_map(|(class, slots, after, start, patience)| Step::Hold { class, slots, after, start, patience }),
        1 => Just(Step::Open),
        3 => (any::<u16>(), 0u8..6).prop_map(|(which, how)| Step::End { which, how }),
        4 => (0u16..900, 0u32..24, prop::bool::weighted(0.2)).prop_map(|(pass, free, refuses)| Step::Turn { pass, free, refuses }),
        1 => Just(Step::Upgrade),
    ]
}

#[derive(Default)]
struct Model {
    now: Millis,
    next: u32,
    /// Held by the room: what it waits for, and when it gives up.
    held: BTreeMap<u32, (Vec<After>, Option<Millis>, Millis)>,
    /// At work, ordinary or released.
    out: BTreeSet<u32>,
    ends: BTreeMap<u32, JobEndStatus>,
}

fn name(n: i64) -> String {
    format!("j{n}")
}

fn limits() -> Limits {
    Limits { weights: vec![1.0, 4.0, 0.5], longest: 9_000.0, grace: 700.0, reserve: 0.0, ..Limits::default() }
}

impl Model {
    fn end(&mut self, id: u32, how: JobEndStatus) {
        assert!(self.ends.insert(id, how).is_none(), "job {id} has ended twice");
    }

    fn carry_out(&mut self, room: &mut Room, refuses: bool) {
        for verdict in room.decisions() {
            match verdict {
                Decision::Release(JobId(id)) => {
                    let (after, start, _) = self.held.remove(&id).expect("released, yet not held");
                    assert!(start.is_none_or(|at| at <= self.now), "job {id} is too early");
                    for a in &after {
                        let n: u32 = a.name[1..].parse().unwrap();
                        let end = self.ends.get(&n).copied();
                        let good = end == Some(JobEndStatus::Served)
                            || a.any && end.is_some_and(|e| e != JobEndStatus::Disconnected);
                        assert!(good, "job {id} goes on though {n} ended {end:?}");
                    }
                    if refuses && room.turned_away(JobId(id), self.now) {
                        self.held.insert(id, (after, start, f64::INFINITY));
                    } else if refuses {
                        room.ended(&name(id.into()), JobEndStatus::Rejected, self.now);
                        self.end(id, JobEndStatus::Rejected);
                    } else {
                        self.out.insert(id);
                    }
                }
                Decision::Fail(JobId(id)) => {
                    self.held.remove(&id).expect("failed, yet not held");
                    self.end(id, JobEndStatus::Failed);
                }
                Decision::Reject { id: JobId(id), .. } => {
                    self.held.remove(&id).expect("refused, yet not held");
                    self.end(id, JobEndStatus::Rejected);
                }
            }
        }
    }

    fn step(&mut self, room: &mut Room, step: Step) {
        match step {
            Step::Open => {
                room.opened(&name(self.next.into()));
                self.out.insert(self.next);
                self.next += 1;
            }
            Step::Hold { class, slots, after, start, patience } => {
                let id = self.next;
                self.next += 1;
                let to = |d: i8| name((i64::from(id) + i64::from(d)).max(0));
                let after: Vec<After> =
                    after.iter().map(|(d, any)| After { name: to(*d).as_str().into(), any: *any }).collect();
                let start = start.map(|ms| self.now + f64::from(ms));
                let expires = self.now + f64::from(patience);
                let wish = Wish { after: after.clone(), start };
                let new =
                    Newcomer { class, slots, ..Newcomer::new(JobId(id), &name(id.into()), expires, wish) };
                match room.hold(new, self.now) {
                    Ok(()) => drop(self.held.insert(id, (after, start, expires))),
                    Err(_) => self.end(id, JobEndStatus::Rejected),
                }
            }
            Step::End { which, how } => {
                let all: Vec<u32> = self.out.iter().chain(self.held.keys()).copied().collect();
                if all.is_empty() {
                    return;
                }
                let id = all[usize::from(which) % all.len()];
                let how = match how {
                    0 => JobEndStatus::Failed,
                    1 => JobEndStatus::Rejected,
                    2 => JobEndStatus::Disconnected,
                    _ => JobEndStatus::Served,
                };
                // A job that is held can only be left by its client.
                let how = if self.out.remove(&id) { how } else { JobEndStatus::Disconnected };
                self.held.remove(&id);
                room.ended(&name(id.into()), how, self.now);
                self.end(id, how);
            }
            Step::Turn { pass, free, refuses } => {
                self.now += f64::from(pass);
                room.release(FreeCapacity { free, total: 24, largest_free: free.min(5) }, self.now);
                self.carry_out(room, refuses);
            }
            Step::Upgrade => {
                self.carry_out(room, false);
                let mut next = Room::new(limits());
                self.out.iter().for_each(|id| next.opened(&name((*id).into())));
                for (n, end, _) in room.remembered(self.now) {
                    next.opened(&n);
                    next.ended(&n, end, self.now);
                }
                for (id, (_, _, expires)) in &self.held {
                    let (wish, carried) =
                        room.parcel(JobId(*id), self.now).expect("held, yet not to be handed on");
                    let new = Newcomer::new(JobId(*id), &name((*id).into()), expires.min(1e9), wish);
                    next.hold(Newcomer { carried: Some(carried), ..new }, self.now)
                        .expect("held before, so held now");
                    room.moved(&name((*id).into()));
                }
                assert_eq!(room.count(self.now).held, 0);
                *room = next;
            }
        }
        self.carry_out(room, false);
        assert_eq!(room.count(self.now).held, self.held.len());
        let (_, _, alarms, bytes) = room.kept();
        assert!(alarms <= self.held.len() && bytes == 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn each_job_ends_once_and_none_goes_on_before_what_it_waits_for(steps in prop::collection::vec(step(), 1..150)) {
        let (mut room, mut model) = (Room::new(limits()), Model::default());
        for step in steps {
            model.step(&mut room, step);
        }
        // What is under way ends; then time alone brings every job to its verdict.
        for id in std::mem::take(&mut model.out) {
            room.ended(&name(id.into()), JobEndStatus::Failed, model.now);
            model.end(id, JobEndStatus::Failed);
        }
        model.carry_out(&mut room, false);
        model.now += 30_000.0;
        room.release(FreeCapacity::default(), model.now);
        model.carry_out(&mut room, false);
        prop_assert!(model.held.is_empty(), "left without a verdict: {:?}", model.held.keys());
        let (_, _, alarms, _) = room.kept();
        prop_assert_eq!((room.count(model.now).held, alarms), (0, 0));
    }

    /// The bound of the operators' page: a job of class c that got ready at r is passed only by jobs that got ready
    /// before r + lag(c) - lag(theirs), and is gone within `longest` whatever happens.
    #[test]
    fn no_job_that_is_ready_is_passed_by_later_ones_beyond_its_lag(
        jobs in prop::collection::vec((0u16..3, 0u16..60, 0u16..3_000), 1..120),
        room_every in 1u32..40,
    ) {
        let set = limits();
        let mut room = Room::new(set.clone());
        let (mut now, mut ready, mut class_of) = (0.0, BTreeMap::new(), BTreeMap::new());
        let mut gone: Vec<(u32, Millis)> = Vec::new();
        let one = FreeCapacity { free: 1, total: 1, largest_free: 1 };
        let mut pending = jobs.iter().zip(0u32..).peekable();
        let mut arrives = 0.0;
        while pending.peek().is_some() || room.count(now).held > 0 {
            while let Some(((class, gap, wait), id)) = pending.next_if(|((_, gap, _), _)| arrives + f64::from(*gap) <= now) {
                arrives += f64::from(*gap);
                let start = now + f64::from(*wait);
                let wish = Wish { after: Vec::new(), start: Some(start) };
                let new = Newcomer { class: *class, ..Newcomer::new(JobId(id), &name(id.into()), 1e9, wish) };
                room.hold(new, now).unwrap();
                ready.insert(id, start);
                class_of.insert(id, *class);
            }
            room.release(if (now as u32).is_multiple_of(room_every) { one } else { FreeCapacity::default() }, now);
            for verdict in room.decisions() {
                match verdict {
                    Decision::Release(JobId(id)) => gone.push((id, now)),
                    Decision::Reject { id, .. } => prop_assert!(now - ready[&id.0] >= set.longest),
                    other => prop_assert!(false, "{other:?}"),
                }
            }
            now += 1.0;
        }
        for (n, (id, at)) in gone.iter().enumerate() {
            prop_assert!(at - ready[id] <= set.longest + 1.0);
            for (earlier, went) in &gone[..n] {
                // Only what went while this one was ready has passed it.
                if *went >= ready[id] {
                    let (lag, theirs) = (set.lag(class_of[id]), set.lag(class_of[earlier]));
                    prop_assert!(ready[earlier] <= ready[id] + lag - theirs + 1e-6, "{earlier} passed {id}");
                }
            }
        }
    }
}
