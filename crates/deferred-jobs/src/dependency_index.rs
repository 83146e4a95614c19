//! Index of jobs by trace id: the states of running, deferred and recently ended jobs, and the jobs that
//! depend on each of them.

use crate::{Dependency, JobEndStatus, JobId, Limits, Millis};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

/// The known state of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum JobState {
    /// The job has not arrived, or its outcome is no longer remembered. Deferred jobs may depend on it.
    Unknown,
    /// The job has not ended and is not held by this queue: it was not deferred here, or it migrated to the
    /// successor.
    Running,
    /// The job was deferred and has not ended; it may have been released since.
    Deferred(JobId),
    /// The job has ended.
    Ended(JobEndStatus),
}

/// The outcome of an ended job.
#[derive(Clone, Debug, PartialEq)]
pub struct RememberedOutcome {
    /// The trace id of the job.
    pub trace_id: Rc<str>,
    /// The status with which the job ended.
    pub status: JobEndStatus,
    /// The time since the end of the job.
    pub age: Millis,
}

/// The deferred jobs that depend on a job. In most cases there is at most one, which is stored without an
/// allocation.
#[derive(Debug, Default)]
enum Waiters {
    #[default]
    None,
    One(JobId),
    /// Boxed, because this case is rare and the largest variant determines the size of each entry.
    #[allow(clippy::box_collection)]
    Many(Box<BTreeSet<JobId>>),
}

impl Waiters {
    fn is_empty(&self) -> bool {
        matches!(self, Waiters::None)
    }

    fn insert(&mut self, waiter: JobId) {
        match self {
            Waiters::None => *self = Waiters::One(waiter),
            Waiters::One(first) => *self = Waiters::Many(Box::new(BTreeSet::from([*first, waiter]))),
            Waiters::Many(all) => {
                all.insert(waiter);
            }
        }
    }

    fn remove(&mut self, waiter: JobId) {
        match self {
            Waiters::None => {}
            Waiters::One(only) => {
                if *only == waiter {
                    *self = Waiters::None;
                }
            }
            Waiters::Many(all) => {
                all.remove(&waiter);
                if all.is_empty() {
                    *self = Waiters::None;
                }
            }
        }
    }

    fn into_vec(self) -> Vec<JobId> {
        match self {
            Waiters::None => Vec::new(),
            Waiters::One(only) => vec![only],
            Waiters::Many(all) => all.into_iter().collect(),
        }
    }
}

/// A job in the index.
#[derive(Debug)]
struct Entry {
    state: JobState,
    /// Replaced by a higher number when the job starts, is deferred or ends, so that an [`EndedJob`] of an
    /// earlier job with the same trace id can be recognized.
    generation: u64,
    waiters: Waiters,
}

/// The end of a job. It is obsolete once the entry of the trace id has another generation.
#[derive(Debug)]
struct EndedJob {
    ended_at: Millis,
    trace_id: Rc<str>,
    /// The generation of the entry when the job ended.
    generation: u64,
}

/// The known jobs, by trace id.
#[derive(Debug, Default)]
pub struct DependencyIndex {
    entries: HashMap<Rc<str>, Entry>,
    /// Outcomes in the order of the jobs' ends, oldest first.
    outcomes: VecDeque<EndedJob>,
    last_generation: u64,
}

impl DependencyIndex {
    /// Returns the known state of a job.
    pub fn state(&self, trace_id: &str) -> JobState {
        self.entries.get(trace_id).map_or(JobState::Unknown, |entry| entry.state)
    }

    /// Returns whether at least one of the dependencies is unknown.
    pub fn any_unknown(&self, dependencies: &[Dependency]) -> bool {
        dependencies.iter().any(|dependency| self.state(&dependency.trace_id) == JobState::Unknown)
    }

    /// Returns whether any deferred job depends on the given one.
    pub fn has_waiters(&self, trace_id: &str) -> bool {
        self.entries.get(trace_id).is_some_and(|entry| !entry.waiters.is_empty())
    }

    /// Records that a job has not ended and is not held by this queue.
    pub fn record_running(&mut self, trace_id: &Rc<str>) {
        self.set_state(trace_id, JobState::Running);
    }

    /// Records that a job is deferred. Returns the shared copy of the trace id, so that it is stored only
    /// once.
    pub fn record_deferred(&mut self, trace_id: &Rc<str>, id: JobId) -> Rc<str> {
        self.set_state(trace_id, JobState::Deferred(id));
        self.shared_trace_id(trace_id)
    }

    /// Records that the job `waiter` depends on the job with the given trace id. Returns the shared copy of
    /// the trace id, so that it is stored only once.
    pub fn add_waiter(&mut self, trace_id: &Rc<str>, waiter: JobId) -> Rc<str> {
        self.entry(trace_id).waiters.insert(waiter);
        self.shared_trace_id(trace_id)
    }

    /// Records that the job `waiter` no longer depends on the job with the given trace id.
    pub fn remove_waiter(&mut self, trace_id: &str, waiter: JobId) {
        let Some(entry) = self.entries.get_mut(trace_id) else { return };
        entry.waiters.remove(waiter);
        if entry.waiters.is_empty() && entry.state == JobState::Unknown {
            self.entries.remove(trace_id);
        }
    }

    /// Records the end of a job. Returns the deferred jobs that depend on it.
    pub fn record_end(
        &mut self,
        trace_id: &Rc<str>,
        status: JobEndStatus,
        limits: &Limits,
        now: Millis,
    ) -> Vec<JobId> {
        let generation = self.set_state(trace_id, JobState::Ended(status));
        let waiters = std::mem::take(&mut self.entry(trace_id).waiters);
        self.outcomes.push_back(EndedJob { ended_at: now, trace_id: trace_id.clone(), generation });
        self.evict_old_outcomes(limits, now);
        waiters.into_vec()
    }

    /// Evicts the oldest outcomes as long as they are older than [`Limits::outcome_retention`] or there are
    /// more than [`Limits::max_remembered_outcomes`]. A trace id that has been used again keeps its entry.
    pub fn evict_old_outcomes(&mut self, limits: &Limits, now: Millis) {
        while let Some(ended) = self.outcomes.front() {
            let is_recent = ended.ended_at + limits.outcome_retention > now;
            if is_recent && self.outcomes.len() <= limits.max_remembered_outcomes {
                break;
            }
            if let Some(entry) = self.entries.get_mut(&ended.trace_id) {
                if entry.generation == ended.generation {
                    entry.state = JobState::Unknown;
                    if entry.waiters.is_empty() {
                        self.entries.remove(&ended.trace_id);
                    }
                }
            }
            self.outcomes.pop_front();
        }
    }

    /// Returns the remembered outcomes, oldest first.
    pub fn remembered_outcomes(&self, now: Millis) -> impl Iterator<Item = RememberedOutcome> + '_ {
        self.outcomes.iter().filter_map(move |ended| {
            let entry = self.entries.get(&ended.trace_id)?;
            match entry.state {
                JobState::Ended(status) if entry.generation == ended.generation => Some(RememberedOutcome {
                    trace_id: ended.trace_id.clone(),
                    status,
                    age: now - ended.ended_at,
                }),
                _ => None,
            }
        })
    }

    /// Returns the number of known trace ids.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Sets the state of a job. Returns the new generation of its entry.
    fn set_state(&mut self, trace_id: &Rc<str>, state: JobState) -> u64 {
        self.last_generation += 1;
        let generation = self.last_generation;
        let entry = self.entry(trace_id);
        entry.state = state;
        entry.generation = generation;
        generation
    }

    /// Returns the entry of a job, which is created if it does not exist.
    fn entry(&mut self, trace_id: &Rc<str>) -> &mut Entry {
        self.entries.entry(trace_id.clone()).or_insert_with(|| Entry {
            state: JobState::Unknown,
            generation: 0,
            waiters: Waiters::None,
        })
    }

    /// Returns the copy of the trace id that is the key of its entry.
    fn shared_trace_id(&self, trace_id: &Rc<str>) -> Rc<str> {
        match self.entries.get_key_value(trace_id) {
            Some((shared, _)) => shared.clone(),
            None => trace_id.clone(),
        }
    }
}
