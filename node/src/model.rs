//! Models of a connection's states and of a request's way, against which random steps are checked.

use crate::answer::{Answer, Failure};
use crate::clock::Millis;
use crate::config::tests::{config, sample};
use crate::dispatch::{Deed, Dispatch};
use crate::forward::{self, End, Task};
use crate::http::{self, Decoder, StatusLine};
use crate::intake::tests::job_of;
use crate::key::Key;
use crate::listener::{self, State as Side};
use crate::news::{News, State};
use crate::target_group::{List, TargetGroup};
use postusher::{JobId, ListKind, WorkerId};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use std::rc::Rc;

fn fixed(cases: u32) -> ProptestConfig {
    let base = ProptestConfig::with_cases(cases);
    ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..base }
}

proptest! {
    #![proptest_config(fixed(256))]

    /// Whatever comes in whatever pieces: requests are handed on whole, in order, one at a time, and what
    /// goes out is their answers in the same order and nothing after the last.
    #[test]
    fn a_listener_keeps_its_turns(steps in prop::collection::vec((0u8..5, 1usize..90, any::<bool>()), 1..120)) {
        let one = |n: usize| format!("POST /render/{n} HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc");
        let all: String = (0..200).map(one).collect();
        let (mut c, mut fed, mut taken, mut out) = (listener::Connection::new(0.0), 0, 0, Vec::new());
        let (mut expected, mut side, mut whole) = (String::new(), Side::Open, 0);
        for (what, n, keep) in steps {
            match what {
                0 => {
                    c.receive(&all.as_bytes()[fed..fed + n], 1.0);
                    fed += if side == Side::Last { 0 } else { n };
                    whole = (0..200).scan(0, |end, i| { *end += one(i).len(); Some(*end) }).filter(|e| *e <= fed).count();
                }
                1 => {
                    let next = c.next().map(|r| r.unwrap().line.target);
                    let due = side == Side::Open && taken < whole;
                    prop_assert_eq!(next, due.then(|| format!("/render/{taken}")));
                    if due {
                        (side, taken) = (Side::Busy, taken + 1);
                    }
                }
                2 => {
                    let answer = format!("answer {taken} {keep};");
                    c.answer(answer.as_bytes(), keep, 2.0);
                    if side == Side::Busy {
                        expected += &answer;
                        side = if keep { Side::Open } else { Side::Last };
                    }
                }
                // Another process goes on with it.
                3 if c.may_move() => {
                    let job = (c.state() == Side::Busy).then(|| c.is_last());
                    c = listener::Connection::moved(3.0, c.age(3.0), c.has_served(), job);
                }
                _ => {
                    let n = n.min(c.outbox.unsent().len());
                    out.extend_from_slice(&c.outbox.unsent()[..n]);
                    c.outbox.sent(n);
                }
            }
            prop_assert_eq!(c.state(), side);
            prop_assert_eq!(c.is_idle(), side == Side::Open && out.len() == expected.len() && fed == one_end(&all, taken));
        }
        out.extend_from_slice(c.outbox.unsent());
        prop_assert_eq!(String::from_utf8(out).unwrap(), expected);
    }

    /// A task ends once, by an answer, by a break before its last byte or by one after; a connection is idle
    /// only when it is up and has none, and closed for good.
    #[test]
    fn a_forward_ends_as_its_bytes_tell(steps in prop::collection::vec((0u8..6, 1usize..40, any::<bool>()), 1..80)) {
        let task = Task::Attempt(JobId(1), 0);
        let (mut c, mut up, mut open) = (forward::Connection::new(WorkerId(1)), false, true);
        let (mut busy, mut left, mut begun, mut come, mut kept) = (false, 0usize, false, 0usize, false);
        for (what, n, keep) in steps {
            let whole = http::response(202, &[], b"", keep);
            match what {
                0 if open => { c.connected(); up = true; }
                1 if open && !busy && come == 0 => {
                    c.start(task, &vec![b'x'; n]);
                    (busy, left, begun) = (true, n, false);
                }
                2 if open && up => {
                    let n = n.min(left);
                    c.outbox.sent(n);
                    (left, begun) = (left - n, begun || n > 0);
                    begun &= left > 0;
                }
                3 if open && up && keep => {
                    let part = &whole[come..(come + n).min(whole.len())];
                    come += part.len();
                    let ended = c.receive(part);
                    if !busy {
                        open = false;
                    } else if come == whole.len() {
                        prop_assert!(matches!(ended, Some((t, End::Answer(ref m))) if t == task && m.line.status == 202));
                        (busy, open, come, kept) = (false, left == 0, 0, true);
                        if !open { left = 0; }
                    } else {
                        prop_assert!(ended.is_none());
                    }
                }
                4 if open => {
                    let ended = c.broken();
                    prop_assert_eq!(ended.is_some(), busy);
                    let (new, sent) = (busy && !kept, left == 0);
                    prop_assert_eq!(new && !sent, matches!(ended, Some((_, End::NotSent))));
                    prop_assert_eq!(new && sent, matches!(ended, Some((_, End::Broken))));
                    prop_assert_eq!(busy && kept, matches!(ended, Some((_, End::Stale { sent: s })) if s == sent));
                    (busy, open) = (false, false);
                }
                5 if open => {
                    c.give_up();
                    open &= !busy || left > 0 && !begun;
                    (busy, left) = (false, 0);
                }
                _ => {}
            }
            prop_assert_eq!(c.is_closed(), !open);
            prop_assert_eq!(c.is_idle(), open && up && !busy);
            prop_assert_eq!(c.task().is_some(), busy);
        }
    }

    /// Whatever comes is read or refused with a status that HTTP has for it, and never more than a body's limit.
    #[test]
    fn any_input_is_read_or_refused(parts in prop::collection::vec("[ -~\r\n]{0,60}|HTTP/1.1 200 OK\r\n|POST / HTTP/1.1\r\n|Content-Length: [0-9]{1,6}\r\n|Transfer-Encoding: chunked\r\n|\r\n", 0..12)) {
        let (mut answers, mut requests) = (Decoder::<StatusLine>::new(), listener::Connection::new(0.0));
        for part in parts {
            answers.feed(part.as_bytes());
            requests.receive(part.as_bytes(), 0.0);
            let (answer, request) = (answers.next(), requests.next().transpose());
            if let Ok(Some(message)) = &answer {
                prop_assert!(message.body.len() <= http::MAX_BODY);
            }
            for fault in [answer.as_ref().err(), request.as_ref().err()].into_iter().flatten() {
                prop_assert!([400, 413, 431, 501].contains(&fault.0), "{fault:?}");
            }
            if matches!(request, Ok(None)) {
                prop_assert_eq!(requests.state(), Side::Open);
            } else {
                prop_assert_eq!((requests.state(), requests.next().is_none()), (Side::Busy, true));
                requests.answer(b"", true, 0.0);
            }
            if answer.is_err() || request.is_err() {
                break;
            }
        }
    }

    /// On any day, in any order of events: one final answer for each request and by its deadline, none after
    /// its client left; forwards only to targets of the list; an attempt is given up in the way that its
    /// target's word allows; and nothing is left behind.
    #[test]
    fn every_request_gets_its_one_answer(steps in prop::collection::vec((0u8..13, any::<u8>(), 0u16..700), 1..160)) {
        let mut day = Day::new();
        for (what, which, wait) in steps {
            day.step(what, which, f64::from(wait));
        }
        for _ in 0..200 {
            day.wait(200.0);
        }
        prop_assert!(day.jobs.values().all(|j| j.over), "a request without an answer");
        prop_assert_eq!((day.dispatch.open(), day.dispatch.unanswered()), (0, 0));
    }
}

/// Word of an attempt may be lost on the way though its target has the job: the result is the client's all the same.
#[test]
fn a_result_counts_though_its_attempt_seemed_lost() {
    let mut day = Day::new();
    day.step(0, 1, 0.0);
    day.decide();
    let (&(id, leg), lost) = day.attempts.iter().next().unwrap();
    let from = lost.name.clone();
    day.forwarded(id, leg, End::Broken);
    day.decide();
    let done = || State::Done(b"r".to_vec());
    let news = |from: &str| News { trace: "t0".into(), from: from.into(), state: done(), report: Vec::new() };
    day.dispatch.news(news("s-other"), day.now);
    day.decide();
    assert!(!day.jobs[&0].over);
    day.dispatch.news(news(&from), day.now);
    day.decide();
    assert!(day.jobs[&0].over);
}

/// Where the `n`th request ends in the text of all.
fn one_end(all: &str, n: usize) -> usize {
    all.match_indices("abc").nth(n.wrapping_sub(1)).map_or(0, |(at, _)| at + 3)
}

struct Told {
    client: Key,
    expires: Millis,
    over: bool,
}

/// What the model knows of an attempt.
#[derive(Clone)]
struct Attempt {
    target: WorkerId,
    name: String,
    taken: bool,
    out: bool,
}

struct Day {
    dispatch: Dispatch,
    group: TargetGroup,
    now: Millis,
    /// By the number in the client's id.
    jobs: BTreeMap<u64, Told>,
    ids: BTreeMap<JobId, u64>,
    /// The attempt that ended last.
    ended: Option<(JobId, u8)>,
    attempts: BTreeMap<(JobId, u8), Attempt>,
}

impl Day {
    fn new() -> Day {
        let site = Rc::new(config().site);
        let (dispatch, group) = (Dispatch::new(site.clone(), 7, 1e6), TargetGroup::new(&site));
        let (jobs, ids, ended, attempts) = Default::default();
        let mut day = Day { dispatch, group, now: 1e6, jobs, ids, ended, attempts };
        let members = day.group.apply(list(4, "up")).members;
        day.dispatch.members(ListKind::Cached, members);
        day.decide();
        day
    }

    fn step(&mut self, what: u8, which: u8, wait: Millis) {
        let out: Vec<_> = self.attempts.iter().filter(|(_, a)| a.out).map(|(k, _)| *k).collect();
        let one = out.iter().copied().min_by_key(|(j, l)| (j.0 + u32::from(*l)) % (u32::from(which) + 1));
        let n = self.jobs.len() as u64;
        match (what, one) {
            (0..=3, _) => {
                let class = if which.is_multiple_of(3) { "fund" } else { "render" };
                let text =
                    format!("POST /{class} HTTP/1.1\r\nX-Trace-Id: t{n}\r\nIdempotency-Key: k\r\nX-Expires-In: 5000m\r\n\r\n");
                let (client, job) = (Key::test(n), job_of(&text).unwrap());
                let id = self.dispatch.arrived(client, job, self.now).unwrap();
                self.ids.insert(id, n);
                self.jobs.insert(n, Told { client, expires: self.now + 5_000.0, over: false });
                assert!(
                    self.dispatch.arrived(client, job_of(&text).unwrap(), self.now).is_err(),
                    "an id twice"
                );
            }
            (4, Some((id, leg))) => self.forwarded(id, leg, answer(202, which)),
            (5, Some((id, leg))) => match which % 4 {
                0 if which >= 128 => self.forwarded(id, leg, End::Stale { sent: which >= 192 }),
                0 => self.forwarded(id, leg, End::NotSent),
                1 => self.forwarded(id, leg, End::Broken),
                _ => self.forwarded(id, leg, answer(if which.is_multiple_of(2) { 500 } else { 503 }, which)),
            },
            (6..=8, Some((id, leg))) => {
                let state = match which % 8 {
                    0 => State::Failed,
                    1 => State::Returned,
                    2 => State::Lost,
                    3 => State::Running(0.5),
                    4 => State::Started,
                    _ => State::Done(b"r".to_vec()),
                };
                self.news(id, leg, state);
            }
            (9, _) => {
                // Most often the one whose attempt has just ended, in the same batch.
                let open = self.ids.iter().filter(|(_, n)| !self.jobs[n].over).map(|(id, n)| (*id, *n));
                let last = open.max_by_key(|(id, _)| (Some(*id) == self.ended.map(|e| e.0), *id));
                if let Some((id, n)) = last {
                    self.jobs.entry(n).and_modify(|told| told.over = true);
                    self.dispatch.client_gone(id, self.now);
                }
            }
            (10, _) => {
                let (count, state) =
                    (1 + u32::from(which) % 5, if which.is_multiple_of(2) { "draining" } else { "up" });
                let applied = self.group.apply(list(count, state));
                self.dispatch.members(applied.kind, applied.members);
            }
            (12, _) => self.upgrade(),
            _ => {}
        }
        if !which.is_multiple_of(5) {
            self.wait(wait); // else the next step falls into the same batch
        }
    }

    /// Another process goes on with all that is under way, if nothing is on its way to a target.
    fn upgrade(&mut self) {
        self.decide();
        let open: Vec<_> =
            self.ids.iter().filter(|(_, n)| !self.jobs[n].over).map(|(id, n)| (*id, *n)).collect();
        let moving = |(id, n): (JobId, u64)| Some((id, n, self.dispatch.moving(id, self.now)?));
        let Some(moved) = open.into_iter().map(moving).collect::<Option<Vec<_>>>() else { return };
        let mut new = Dispatch::new(Rc::new(config().site), 9, self.now);
        new.members(ListKind::Cached, self.group.apply(list(4, "up")).members);
        new.learned(self.dispatch.memory());
        let before = std::mem::take(&mut self.attempts);
        self.ids.clear();
        self.ended = None;
        for (old, n, job) in moved {
            let legs = job.legs.into_iter().map(|leg| (self.group.id(&leg.target), leg)).collect();
            let request = job_of(std::str::from_utf8(&job.request).unwrap()).unwrap();
            let id = new.adopt(self.jobs[&n].client, request, legs, job.held, self.now).unwrap();
            self.ids.insert(id, n);
            let of = before.iter().filter(|((id, _), _)| *id == old);
            self.attempts.extend(of.map(|((_, leg), attempt)| ((id, *leg), attempt.clone())));
        }
        self.dispatch = new;
        self.decide();
    }

    fn wait(&mut self, time: Millis) {
        self.now += time;
        self.dispatch.due(self.now);
        self.decide();
    }

    fn forwarded(&mut self, id: JobId, leg: u8, end: End) {
        self.ended = Some((id, leg));
        let a = self.attempts.get_mut(&(id, leg)).unwrap();
        match &end {
            End::Broken | End::Stale { .. } if a.taken => {}
            End::Answer(m) if m.line.status == 202 => a.taken = true,
            _ => a.out = false,
        }
        self.dispatch.forwarded(id, leg, end, self.now);
    }

    fn news(&mut self, id: JobId, leg: u8, state: State) {
        self.ended = Some((id, leg));
        let a = self.attempts.get_mut(&(id, leg)).unwrap();
        match state {
            State::Started | State::Running(_) => a.taken = true,
            _ => a.out = false,
        }
        let from = a.name.clone();
        let due = matches!(state, State::Done(_)) && !self.jobs[&self.ids[&id]].over;
        let (trace, report) = (format!("t{}", self.ids[&id]), vec![1.0, 1.0, 2.0]);
        self.dispatch.news(News { trace: trace.clone(), from, state, report }, self.now);
        // Late, repeated and foreign news change nothing.
        let foreign =
            News { trace, from: "s-other".into(), state: State::Done(Vec::new()), report: Vec::new() };
        self.dispatch.news(foreign, self.now);
        if due {
            self.decide();
            assert!(self.jobs[&self.ids[&id]].over, "a result that does not reach its client");
        }
    }

    fn decide(&mut self) {
        loop {
            for deed in self.dispatch.decide(&self.group, self.now) {
                self.check(deed);
            }
            if !self.dispatch.has_events() {
                return;
            }
        }
    }

    fn check(&mut self, deed: Deed) {
        match deed {
            Deed::Answer(client, answer) => {
                let told = self.jobs.values_mut().find(|t| t.client == client).unwrap();
                assert!(!std::mem::replace(&mut told.over, true), "a second answer");
                let late = self.now > told.expires + 1_000.0;
                assert!(
                    !late || answer == Answer::Failed(Failure::Expired),
                    "{answer:?} long after the deadline"
                );
            }
            Deed::Forward { job, leg, target, request } => {
                assert!(!self.jobs[&self.ids[&job]].over, "a forward after the end");
                let name = self.group.get(target).expect("a forward to a listed target").name.to_string();
                assert!(self.attempts.iter().all(|((j, _), a)| *j != job || a.target != target || !a.out));
                assert!(request.starts_with(b"POST /"));
                let new = Attempt { target, name, taken: false, out: true };
                assert!(self.attempts.insert((job, leg), new).is_none(), "an attempt's number twice");
            }
            Deed::Abandon(job, leg) => {
                let a = self.attempts.get_mut(&(job, leg)).unwrap();
                assert!(a.out && !a.taken, "abandoned though taken or over");
                a.out = false;
            }
            Deed::Withdraw { target, trace } => {
                let taken = |k: &(JobId, u8), a: &Attempt| {
                    *trace == *format!("t{}", self.ids[&k.0]) && a.target == target && a.out && a.taken
                };
                let at = self.attempts.iter().find(|(k, a)| taken(k, a)).map(|(k, _)| *k);
                let key = at.expect("withdrawn though not taken or over");
                self.attempts.entry(key).and_modify(|a| a.out = false);
            }
            Deed::Probe(_) | Deed::Over(_) | Deed::Ended(..) | Deed::Watch | Deed::Disconnect(_) => {}
        }
    }
}

/// A whole list of so many targets, the last of them in this state.
fn list(n: u32, state: &str) -> List {
    let entry = |i: u32| {
        let mut entry = sample()["known"]["servers"][0].clone();
        entry["id"] = format!("s-{i}").into();
        entry["state"] = if i + 1 == n { state } else { "up" }.into();
        entry
    };
    let servers: Vec<_> = (0..n).map(entry).collect();
    List::read(&serde_json::json!({"version": 1, "full": true, "servers": servers})).unwrap()
}

/// A target's answer to an attempt.
fn answer(status: u16, which: u8) -> End {
    let never_ran = [("X-Never-Ran", "1".to_string())];
    let headers: &[_] = if which.is_multiple_of(3) { &never_ran } else { &[] };
    let mut decoder = Decoder::new();
    decoder.feed(&http::response(status, headers, b"", true));
    End::Answer(decoder.next().unwrap().unwrap())
}
