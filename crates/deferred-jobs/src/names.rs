//! What is known of clients' ids: which jobs are open, how those that ended did, and who waits for which.

use crate::{JobEndStatus, JobId, Limits, Millis};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// What is known of a job by its name.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Known {
    /// Nothing; others wait for it to arrive.
    Awaited,
    /// It is under way; with its number, if it is one of those that wait.
    Open(Option<JobId>),
    /// It has ended.
    Ended(JobEndStatus),
}

struct Name {
    known: Known,
    /// Rises each time the name is used, so that what is told of an earlier use is known as such.
    turn: u64,
    waiters: Waiters,
}

/// Who waits for a job: mostly nobody or one, which then takes no memory of its own.
#[derive(Default)]
enum Waiters {
    #[default]
    None,
    One(JobId),
    /// Boxed, as this is the rare case and each name pays for the largest one.
    #[allow(clippy::box_collection)]
    Many(Box<BTreeSet<JobId>>),
}

impl Waiters {
    fn is_empty(&self) -> bool {
        matches!(self, Waiters::None)
    }

    fn insert(&mut self, who: JobId) {
        match self {
            Waiters::None => *self = Waiters::One(who),
            Waiters::One(first) => *self = Waiters::Many(Box::new([*first, who].into())),
            Waiters::Many(all) => drop(all.insert(who)),
        }
    }

    fn remove(&mut self, who: JobId) {
        match self {
            Waiters::One(only) if *only == who => *self = Waiters::None,
            Waiters::Many(all) => {
                all.remove(&who);
                if all.is_empty() {
                    *self = Waiters::None;
                }
            }
            _ => {}
        }
    }

    fn all(self) -> Vec<JobId> {
        match self {
            Waiters::None => Vec::new(),
            Waiters::One(only) => vec![only],
            Waiters::Many(all) => all.into_iter().collect(),
        }
    }
}

/// All names.
#[derive(Default)]
pub struct Names {
    by_name: HashMap<Rc<str>, Name>,
    /// Names of ended jobs, the one that ended first in front.
    ended: VecDeque<(Millis, Rc<str>, u64)>,
    turns: u64,
}

impl Names {
    /// What is known of a job.
    pub fn known(&self, name: &str) -> Known {
        self.by_name.get(name).map_or(Known::Awaited, |n| n.known)
    }

    /// Whether anybody waits for it.
    pub fn has_waiters(&self, name: &str) -> bool {
        self.by_name.get(name).is_some_and(|n| !n.waiters.is_empty())
    }

    fn entry(&mut self, name: &Rc<str>) -> &mut Name {
        let new = || Name { known: Known::Awaited, turn: 0, waiters: Waiters::None };
        self.by_name.entry(name.clone()).or_insert_with(new)
    }

    /// A job under this name is under way. Gives the name as it is kept here.
    pub fn open(&mut self, name: &Rc<str>, id: Option<JobId>) -> Rc<str> {
        self.turns += 1;
        let turn = self.turns;
        let entry = self.entry(name);
        (entry.known, entry.turn) = (Known::Open(id), turn);
        self.by_name.get_key_value(name).map_or_else(|| name.clone(), |(kept, _)| kept.clone())
    }

    /// Somebody waits for it. Gives the name as it is kept here, so that it takes memory once.
    pub fn wait(&mut self, name: &Rc<str>, who: JobId) -> Rc<str> {
        self.entry(name).waiters.insert(who);
        self.by_name.get_key_value(name).map_or_else(|| name.clone(), |(kept, _)| kept.clone())
    }

    /// Somebody waits for it no more.
    pub fn leave(&mut self, name: &str, who: JobId) {
        let Some(n) = self.by_name.get_mut(name) else { return };
        n.waiters.remove(who);
        if n.waiters.is_empty() && n.known == Known::Awaited {
            self.by_name.remove(name);
        }
    }

    /// It has ended. Gives those that have waited for it.
    pub fn end(&mut self, name: &Rc<str>, how: JobEndStatus, set: &Limits, now: Millis) -> Vec<JobId> {
        self.turns += 1;
        let turn = self.turns;
        let entry = self.entry(name);
        (entry.known, entry.turn) = (Known::Ended(how), turn);
        let waiters = std::mem::take(&mut entry.waiters);
        self.ended.push_back((now, name.clone(), turn));
        self.forget(set, now);
        waiters.all()
    }

    /// Forgets ended jobs over their bounds, as far as their names were not used again.
    pub fn forget(&mut self, set: &Limits, now: Millis) {
        while let Some((at, name, turn)) = self.ended.front() {
            if self.ended.len() <= set.remembered && *at + set.remember_for > now {
                break;
            }
            let stale = self.by_name.get_mut(name).filter(|n| n.turn == *turn);
            if let Some(stale) = stale {
                stale.known = Known::Awaited;
                if stale.waiters.is_empty() {
                    self.by_name.remove(name);
                }
            }
            self.ended.pop_front();
        }
    }

    /// The ended jobs that are remembered, with their ages, the oldest first.
    pub fn remembered(&self, now: Millis) -> impl Iterator<Item = (Rc<str>, JobEndStatus, Millis)> + '_ {
        self.ended.iter().filter_map(move |(at, name, turn)| match self.by_name.get(name) {
            Some(Name { known: Known::Ended(end), turn: latest, .. }) if latest == turn => {
                Some((name.clone(), *end, now - at))
            }
            _ => None,
        })
    }

    /// How many names are kept in mind.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }
}
