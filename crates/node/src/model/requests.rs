//! A request's way through dispatch: one final answer, and attempts that end as their workers tell.

use super::fixed;
use crate::answer::{Answer, Failure};
use crate::clock::Millis;
use crate::config::tests::{config, sample};
use crate::connection_id::ConnectionId;
use crate::discovery::List;
use crate::dispatch::{Command, Dispatch};
use crate::endpoint_list::EndpointList;
use crate::http::{self, Decoder};
use crate::intake::tests::job_of;
use crate::job_status::{JobStatus, JobStatusUpdate};
use crate::upstream::End;
use postusher_decision::{AttemptId, JobId, ListUpdate, WorkerId};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::rc::Rc;

proptest! {
    #![proptest_config(fixed(256))]

    /// On any day, in any order of events: one final answer for each request and by its deadline, none after
    /// its client left; forwards only to workers of the list; an attempt is given up in the way that its
    /// worker's word allows; and nothing is left behind.
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
        prop_assert_eq!((day.dispatch.open_jobs(), day.dispatch.unanswered_jobs()), (0, 0));
    }
}

/// Word of an attempt may be lost on the way though its worker has the job: the result is the client's all the same.
#[test]
fn a_result_counts_though_its_attempt_seemed_lost() {
    let mut day = Day::new();
    day.step(0, 1, 0.0);
    day.decide();
    let (&(id, attempt), lost) = day.attempts.iter().next().unwrap();
    let from = lost.name.clone();
    day.forwarded(id, attempt, End::Broken);
    day.decide();
    let done = || JobStatus::Done(b"r".to_vec());
    let news = |from: &str| JobStatusUpdate {
        trace_id: "t0".into(),
        worker: from.into(),
        status: done(),
        report: Vec::new(),
    };
    day.dispatch.job_status(news("s-other"), day.now);
    day.decide();
    assert!(!day.jobs[&0].over);
    day.dispatch.job_status(news(&from), day.now);
    day.decide();
    assert!(day.jobs[&0].over);
}

struct Told {
    client: ConnectionId,
    expires: Millis,
    over: bool,
}

/// What the model knows of an attempt.
#[derive(Clone)]
struct Attempt {
    worker: WorkerId,
    name: String,
    taken: bool,
    out: bool,
    /// Its connection is up and its request is written.
    begun: bool,
}

struct Day {
    dispatch: Dispatch,
    endpoints: EndpointList,
    now: Millis,
    /// By the number in the client's id.
    jobs: BTreeMap<u64, Told>,
    ids: BTreeMap<JobId, u64>,
    /// The attempt that ended last.
    ended: Option<(JobId, AttemptId)>,
    attempts: BTreeMap<(JobId, AttemptId), Attempt>,
    /// Since when discovery has begun an answer that has not come.
    replaced: Option<Millis>,
}

/// The grace for drains of the configuration that is played.
const GRACE: Millis = 500.0;

impl Day {
    fn new() -> Day {
        let site = Rc::new(config().site);
        let (dispatch, endpoints) = (Dispatch::new(site.clone(), 7, 1e6), EndpointList::new(&site));
        let (jobs, ids, ended, attempts) = Default::default();
        let mut day = Day { dispatch, endpoints, now: 1e6, jobs, ids, ended, attempts, replaced: None };
        let members = day.endpoints.apply(list(4, "up")).endpoints;
        day.dispatch.endpoint_list(ListUpdate::Cached, members);
        day.dispatch.endpoint_list(ListUpdate::Changes, Vec::new()); // discovery confirms it
        day.decide();
        day
    }

    fn step(&mut self, what: u8, which: u8, wait: Millis) {
        let out: Vec<_> = self.attempts.iter().filter(|(_, a)| a.out && a.begun).map(|(k, _)| *k).collect();
        let one = out.iter().copied().min_by_key(|(j, l)| (j.0 + u32::from(l.0)) % (u32::from(which) + 1));
        let n = self.jobs.len() as u64;
        match (what, one) {
            (0..=3, _) => {
                let class = if which.is_multiple_of(3) { "fund" } else { "render" };
                let text =
                    format!("POST /{class} HTTP/1.1\r\nX-Trace-Id: t{n}\r\nIdempotency-Key: k\r\nX-Expires-In: 5000m\r\n\r\n");
                let (client, job) = (ConnectionId::test(n), job_of(&text).unwrap());
                let id = self.dispatch.job_arrived(client, job, self.now).unwrap();
                self.ids.insert(id, n);
                self.jobs.insert(n, Told { client, expires: self.now + 5_000.0, over: false });
                assert!(
                    self.dispatch.job_arrived(client, job_of(&text).unwrap(), self.now).is_err(),
                    "an id twice"
                );
            }
            (4, Some((id, attempt))) => self.forwarded(id, attempt, answer(202, which)),
            (5, Some((id, attempt))) => match which % 4 {
                0 if which >= 128 => self.forwarded(id, attempt, End::Stale { sent: which >= 192 }),
                0 => self.forwarded(id, attempt, End::NotSent),
                1 => self.forwarded(id, attempt, End::Broken),
                _ => self.forwarded(
                    id,
                    attempt,
                    answer(if which.is_multiple_of(2) { 500 } else { 503 }, which),
                ),
            },
            (6..=8, Some((id, attempt))) => {
                let state = match which % 8 {
                    0 => JobStatus::Failed,
                    1 => JobStatus::Returned,
                    2 => JobStatus::Lost,
                    3 => JobStatus::Running(0.5),
                    4 => JobStatus::Started,
                    _ => JobStatus::Done(b"r".to_vec()),
                };
                self.news(id, attempt, state);
            }
            (9, _) => {
                // Most often the one whose attempt has just ended, in the same batch.
                let open = self.ids.iter().filter(|(_, n)| !self.jobs[n].over).map(|(id, n)| (*id, *n));
                let last = open.max_by_key(|(id, _)| (Some(*id) == self.ended.map(|e| e.0), *id));
                if let Some((id, n)) = last {
                    self.jobs.entry(n).and_modify(|told| told.over = true);
                    self.dispatch.client_disconnected(id, self.now);
                }
            }
            (10, _) => {
                let (count, state) =
                    (1 + u32::from(which) % 5, if which.is_multiple_of(2) { "draining" } else { "up" });
                let applied = self.endpoints.apply(list(count, state));
                self.dispatch.endpoint_list(applied.update, applied.endpoints);
                self.replaced = None;
            }
            (11, _) => {
                self.dispatch.endpoint_list(
                    ListUpdate::AnswerStarted { at: postusher_settings::micros_from_millis(self.now) },
                    Vec::new(),
                );
                self.replaced.get_or_insert(self.now);
            }
            (12, _) => self.upgrade(),
            _ => {}
        }
        if !which.is_multiple_of(5) {
            self.wait(wait); // else the next step falls into the same batch
        }
    }

    /// Another process goes on with all that is under way, if nothing is on its way to a worker.
    fn upgrade(&mut self) {
        self.connect();
        self.decide();
        let open: Vec<_> =
            self.ids.iter().filter(|(_, n)| !self.jobs[n].over).map(|(id, n)| (*id, *n)).collect();
        let moving = |(id, n): (JobId, u64)| Some((id, n, self.dispatch.migrated_job(id, self.now)?));
        let Some(moved) = open.into_iter().map(moving).collect::<Option<Vec<_>>>() else { return };
        let mut new = Dispatch::new(Rc::new(config().site), 9, self.now);
        new.endpoint_list(ListUpdate::Cached, self.endpoints.apply(list(4, "up")).endpoints);
        new.endpoint_list(ListUpdate::Changes, Vec::new());
        self.replaced = None;
        new.learned(self.dispatch.learned_state());
        let before = std::mem::take(&mut self.attempts);
        self.ids.clear();
        self.ended = None;
        for (old, n, job) in moved {
            let attempts = job
                .attempts
                .into_iter()
                .map(|attempt| (self.endpoints.id(&attempt.worker), attempt))
                .collect();
            let request = job_of(std::str::from_utf8(&job.request).unwrap()).unwrap();
            let id = new.adopt_job(self.jobs[&n].client, request, attempts, job.deferral, self.now).unwrap();
            self.ids.insert(id, n);
            let of = before.iter().filter(|((id, _), _)| *id == old);
            self.attempts.extend(of.map(|((_, number), attempt)| ((id, *number), attempt.clone())));
        }
        self.dispatch = new;
        self.decide();
    }

    /// Connections come up, some of them late: nothing leaves for a client that has left or has its answer, or for a worker that
    /// is off the list.
    fn connect(&mut self) {
        let waiting: Vec<_> =
            self.attempts.iter().filter(|(_, a)| a.out && !a.begun).map(|(k, _)| *k).collect();
        for (id, attempt) in waiting {
            let there = self.endpoints.get(self.attempts[&(id, attempt)].worker).is_some();
            let request = self.dispatch.begin_attempt(id, attempt, there, self.now);
            let over = self.jobs[&self.ids[&id]].over;
            let a = self.attempts.get_mut(&(id, attempt)).unwrap();
            if let Some(request) = request {
                assert!(!over, "an attempt for nobody");
                assert!(self.replaced.is_none_or(|at| self.now < at + GRACE), "by a list that was replaced");
                assert!(request.starts_with(b"POST /"));
                a.begun = true;
            } else {
                a.out = false;
                self.dispatch.attempt_sent(id, attempt, End::Withheld, self.now);
            }
        }
    }

    fn wait(&mut self, time: Millis) {
        self.connect();
        self.now += time;
        self.dispatch.run_timers(self.now);
        self.decide();
    }

    fn forwarded(&mut self, id: JobId, attempt: AttemptId, end: End) {
        self.ended = Some((id, attempt));
        let a = self.attempts.get_mut(&(id, attempt)).unwrap();
        match &end {
            End::Broken | End::Stale { .. } if a.taken => {}
            End::Answer(m) if m.line.status == 202 => a.taken = true,
            _ => a.out = false,
        }
        self.dispatch.attempt_sent(id, attempt, end, self.now);
    }

    fn news(&mut self, id: JobId, attempt: AttemptId, status: JobStatus) {
        self.ended = Some((id, attempt));
        let a = self.attempts.get_mut(&(id, attempt)).unwrap();
        match status {
            JobStatus::Started | JobStatus::Running(_) => a.taken = true,
            _ => a.out = false,
        }
        let from = a.name.clone();
        let due = matches!(status, JobStatus::Done(_)) && !self.jobs[&self.ids[&id]].over;
        let (trace_id, report) = (format!("t{}", self.ids[&id]), vec![1.0, 1.0, 2.0]);
        self.dispatch.job_status(
            JobStatusUpdate { trace_id: trace_id.clone(), worker: from, status, report },
            self.now,
        );
        // Late, repeated and foreign news change nothing.
        let foreign = JobStatusUpdate {
            trace_id,
            worker: "s-other".into(),
            status: JobStatus::Done(Vec::new()),
            report: Vec::new(),
        };
        self.dispatch.job_status(foreign, self.now);
        if due {
            self.decide();
            assert!(self.jobs[&self.ids[&id]].over, "a result that does not reach its client");
        }
    }

    fn decide(&mut self) {
        loop {
            for command in self.dispatch.decide(&self.endpoints, self.now) {
                self.check(command);
            }
            if !self.dispatch.has_events() {
                return;
            }
        }
    }

    fn check(&mut self, command: Command) {
        match command {
            Command::Answer(client, answer) => {
                let told = self.jobs.values_mut().find(|t| t.client == client).unwrap();
                assert!(!std::mem::replace(&mut told.over, true), "a second answer");
                let late = self.now > told.expires + 1_000.0;
                assert!(
                    !late || answer == Answer::Failed(Failure::DeadlineExceeded),
                    "{answer:?} long after the deadline"
                );
            }
            Command::StartAttempt { job, attempt, worker } => {
                assert!(!self.jobs[&self.ids[&job]].over, "a forward after the end");
                let name = self.endpoints.get(worker).expect("a forward to a listed worker").name.to_string();
                assert!(self.attempts.iter().all(|((j, _), a)| *j != job || a.worker != worker || !a.out));
                let new = Attempt { worker, name, taken: false, out: true, begun: false };
                assert!(self.attempts.insert((job, attempt), new).is_none(), "an attempt's number twice");
            }
            Command::AbandonAttempt(job, attempt) => {
                let a = self.attempts.get_mut(&(job, attempt)).unwrap();
                assert!(a.out && !a.taken, "abandoned though taken or over");
                a.out = false;
            }
            Command::CancelAttempt { worker, trace_id } => {
                let taken = |k: &(JobId, AttemptId), a: &Attempt| {
                    *trace_id == *format!("t{}", self.ids[&k.0]) && a.worker == worker && a.out && a.taken
                };
                let at = self.attempts.iter().find(|(k, a)| taken(k, a)).map(|(k, _)| *k);
                let key = at.expect("withdrawn though not taken or over");
                self.attempts.entry(key).and_modify(|a| a.out = false);
            }
            Command::CheckHealth(_)
            | Command::ReleaseJobId(_)
            | Command::PublishJobEnd(..)
            | Command::WatchEndpoints
            | Command::CloseIdleConnections(_) => {}
        }
    }
}

/// A whole list of so many workers, the last of them in this state.
fn list(n: u32, state: &str) -> List {
    let entry = |i: u32| {
        let mut entry = sample()["known"]["servers"][0].clone();
        entry["id"] = format!("s-{i}").into();
        entry["state"] = if i + 1 == n { state } else { "up" }.into();
        entry
    };
    let servers: Vec<_> = (0..n).map(entry).collect();
    List::read(&serde_json::json!({"version": 1, "full": true, "servers": servers}).to_string()).unwrap()
}

/// A worker's answer to an attempt.
fn answer(status: u16, which: u8) -> End {
    let never_ran = [("X-Never-Ran", "1".to_string())];
    let headers: &[_] = if which.is_multiple_of(3) { &never_ran } else { &[] };
    let mut decoder = Decoder::new();
    decoder.feed(&http::response(status, headers, b"", true));
    End::Answer(decoder.next().unwrap().unwrap())
}
