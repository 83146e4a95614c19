//! The table of a dispatcher's workers: the listed ones, and removed ones that have pending attempts.

use super::Worker;
use crate::id_map::IdMap;
use crate::interface::{Endpoint, WorkerId};
use std::collections::{BTreeSet, VecDeque};

/// The workers by id, and the subsets that are processed separately.
#[derive(Default)]
pub struct WorkerTable {
    by_id: IdMap<WorkerId, Worker>,
    /// Workers disabled by an operator, listed or not.
    disabled: BTreeSet<WorkerId>,
    /// Workers that accept jobs, sorted.
    accepting: Vec<WorkerId>,
    /// Workers whose state changes with time, without an event: those with pending attempts and ejected ones.
    time_dependent: BTreeSet<WorkerId>,
    /// Workers that may be in slow start, in the order in which they are updated.
    slow_starting: VecDeque<WorkerId>,
    /// Workers with the most recent load reports, the latest first.
    recently_reported: VecDeque<WorkerId>,
}

impl WorkerTable {
    /// Returns a worker by its id.
    pub fn get(&self, id: WorkerId) -> Option<&Worker> {
        self.by_id.get(&id)
    }

    /// Returns a worker by its id, mutably.
    pub fn get_mut(&mut self, id: WorkerId) -> Option<&mut Worker> {
        self.by_id.get_mut(&id)
    }

    /// Adds or replaces a worker.
    pub fn insert(&mut self, worker: Worker) {
        self.by_id.insert(worker.endpoint.worker, worker);
    }

    /// Removes a worker. It stays disabled if it was, in case it is listed again.
    pub fn remove(&mut self, id: WorkerId) {
        self.by_id.remove(&id);
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns all workers in unspecified order.
    pub fn iter(&self) -> impl Iterator<Item = &Worker> {
        self.by_id.values()
    }

    /// Marks a worker as disabled and returns whether it was enabled before.
    pub fn disable(&mut self, id: WorkerId) -> bool {
        self.disabled.insert(id)
    }

    /// Marks a worker as enabled and returns whether it was disabled before.
    pub fn enable(&mut self, id: WorkerId) -> bool {
        self.disabled.remove(&id)
    }

    /// Returns whether a worker is disabled by an operator.
    pub fn is_disabled(&self, id: WorkerId) -> bool {
        self.disabled.contains(&id)
    }

    /// Returns whether a worker accepts jobs: the endpoint list says so, and no operator has disabled it.
    pub fn accepts_jobs(&self, worker: &Worker) -> bool {
        worker.accepts_jobs_by_list() && !self.is_disabled(worker.endpoint.worker)
    }

    /// Returns the workers that accept jobs, sorted, as of the latest call of
    /// [`WorkerTable::update_accepting`].
    pub fn accepting(&self) -> &[WorkerId] {
        &self.accepting
    }

    /// Recomputes which workers accept jobs and returns the previous result, sorted.
    pub fn update_accepting(&mut self) -> Vec<WorkerId> {
        let accepting = self.iter().filter(|worker| self.accepts_jobs(worker));
        let mut accepting: Vec<WorkerId> = accepting.map(|worker| worker.endpoint.worker).collect();
        accepting.sort_unstable();
        std::mem::replace(&mut self.accepting, accepting)
    }

    /// Returns the endpoints of the table that are missing from a complete list, sorted by worker id.
    pub fn missing_from(&self, listed: &[Endpoint]) -> Vec<Endpoint> {
        let listed: BTreeSet<WorkerId> = listed.iter().map(|endpoint| endpoint.worker).collect();
        let endpoints = self.iter().map(|worker| &worker.endpoint);
        let missing = endpoints.filter(|endpoint| !listed.contains(&endpoint.worker));
        let mut missing: Vec<Endpoint> = missing.cloned().collect();
        missing.sort_unstable_by_key(|endpoint| endpoint.worker);
        missing
    }

    /// Adds a worker to, or removes it from, those whose state changes with time.
    pub fn set_time_dependent(&mut self, id: WorkerId, time_dependent: bool) {
        if time_dependent {
            self.time_dependent.insert(id);
        } else {
            self.time_dependent.remove(&id);
        }
    }

    /// Returns the workers whose state changes with time, sorted.
    pub fn time_dependent(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.time_dependent.iter().copied()
    }

    /// Returns the workers that may be in slow start, in the order in which they are updated.
    pub fn slow_starting(&self) -> &VecDeque<WorkerId> {
        &self.slow_starting
    }

    /// Appends a worker to the queue of those that may be in slow start.
    pub fn push_slow_starting(&mut self, id: WorkerId) {
        self.slow_starting.push_back(id);
    }

    /// Removes and returns the first worker of the queue of those that may be in slow start.
    pub fn pop_slow_starting(&mut self) -> Option<WorkerId> {
        self.slow_starting.pop_front()
    }

    /// Returns the workers with the most recent load reports, the latest first.
    pub fn recently_reported(&self) -> &VecDeque<WorkerId> {
        &self.recently_reported
    }

    /// Records that a worker has just sent a load report. Keeps the `capacity` workers with the latest
    /// reports.
    pub fn record_report(&mut self, id: WorkerId, capacity: usize) {
        self.recently_reported.retain(|reported| *reported != id);
        self.recently_reported.push_front(id);
        self.recently_reported.truncate(capacity);
    }
}
