//! Jobs, their attempts and the timers set for them.

use super::Worker;
use crate::interface::*;
use std::sync::Arc;

/// How far an attempt has come.
#[derive(Clone, Copy, PartialEq)]
pub enum AttemptState {
    Pending,
    MayHaveRun,
    NeverRan,
}

/// One attempt.
pub struct Attempt {
    pub worker: WorkerId,
    pub sent: Micros,
    pub state: AttemptState,
    pub heard: Micros,
    pub started: Option<Micros>,
    /// It was sent to a slot that looked free.
    pub free: bool,
    /// What its way to a start is like: see `Dispatcher::starts`.
    pub path: usize,
    pub withdrawn: bool,
    /// A kept connection broke under it.
    pub stale: bool,
    /// Its worker took it for nothing that can be run.
    pub rejected: bool,
}

impl Attempt {
    /// An attempt that goes out now.
    pub fn new(worker: WorkerId, now: Micros, free: bool, path: usize) -> Self {
        let state = AttemptState::Pending;
        Attempt {
            worker,
            sent: now,
            state,
            heard: now,
            started: None,
            free,
            path,
            withdrawn: false,
            stale: false,
            rejected: false,
        }
    }
}

/// A job that is owed an answer, or has attempts out still.
pub struct Request {
    pub job: Job,
    pub class: Arc<Class>,
    /// Tokens that it takes.
    pub k: i64,
    pub attempts: Vec<Attempt>,
    pub answered: bool,
    pub streaming: bool,
    /// The workers that should have what its key needs.
    pub keepers: Vec<WorkerId>,
    /// Workers asked for it that have not answered; `None`: none were asked since it was last sent.
    pub asked: Option<usize>,
    /// It waits for its key's turn.
    pub waits: bool,
    /// It waits for a list that can be gone by until then, or has done so.
    pub list_wait: Option<Micros>,
    /// Work of an attempt whose end is not sure may go on until then.
    pub rests: Micros,
}

impl Request {
    /// Marks attempts that are out as withdrawn, all or those not started; gives those not marked before.
    pub fn withdraw(&mut self, all: bool) -> Vec<AttemptId> {
        let attempts = self.attempts.iter_mut().zip((0..).map(AttemptId));
        let out =
            |l: &Attempt| l.state == AttemptState::Pending && !l.withdrawn && (all || l.started.is_none());
        let open = attempts.filter(|(l, _)| out(l));
        open.map(|(l, attempt)| {
            l.withdrawn = true;
            attempt
        })
        .collect()
    }

    /// A job that has just come.
    pub fn new(job: Job, class: Arc<Class>, keepers: Vec<WorkerId>) -> Self {
        let (k, attempts) = (i64::from(job.slots.clamp(1, 1024)), Vec::new());
        Request {
            job,
            class,
            k,
            attempts,
            answered: false,
            streaming: false,
            keepers,
            asked: None,
            waits: false,
            list_wait: None,
            rests: 0,
        }
    }

    /// Whether what its key needs has to be fetched at a worker, as far as keepers tell.
    pub fn lacks_at(&self, w: &Worker) -> bool {
        !self.keepers.is_empty() && !self.keepers.contains(&w.member.worker)
    }

    /// The attempts that are out, with their numbers.
    pub fn out(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts.iter().enumerate().filter(|(_, l)| l.state == AttemptState::Pending)
    }

    /// The key whose turns it takes, if it does.
    pub fn key(&self) -> Option<u64> {
        Some(self.job.key).filter(|key| *key != 0 && self.class.ordered_by_key)
    }

    /// The first attempt that may have run or is still out.
    pub fn first_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|l| l.state != AttemptState::NeverRan)
    }
}

/// What a timer was set for.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Cookie {
    Tick,
    Guard(JobId),
    Restless(JobId),
    List,
    Rested(JobId),
    Scouted(JobId),
    ListWait(JobId),
}

impl From<Cookie> for u64 {
    fn from(cookie: Cookie) -> u64 {
        match cookie {
            Cookie::Tick => 0,
            Cookie::Guard(id) => 1 << 32 | u64::from(id.0),
            Cookie::Restless(id) => 2 << 32 | u64::from(id.0),
            Cookie::List => 3 << 32,
            Cookie::Rested(id) => 4 << 32 | u64::from(id.0),
            Cookie::Scouted(id) => 5 << 32 | u64::from(id.0),
            Cookie::ListWait(id) => 6 << 32 | u64::from(id.0),
        }
    }
}

impl Cookie {
    /// What a timer's number stands for, if it is one of ours.
    pub fn read(cookie: u64) -> Option<Cookie> {
        let id = JobId(cookie as u32);
        match cookie >> 32 {
            0 => Some(Cookie::Tick),
            1 => Some(Cookie::Guard(id)),
            2 => Some(Cookie::Restless(id)),
            3 => Some(Cookie::List),
            4 => Some(Cookie::Rested(id)),
            5 => Some(Cookie::Scouted(id)),
            6 => Some(Cookie::ListWait(id)),
            _ => None,
        }
    }
}
