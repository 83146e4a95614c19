//! Workers that are listed, restarted, disabled, enabled or removed.

use crate::estimators::TokenGroup;
use crate::interface::{Endpoint, EndpointState, Micros, WorkerId};
use crate::state::{SlowStartBudget, Worker};
use crate::Dispatcher;

/// Part of the workers in slow start that each tick looks at: every one about once a second.
const SLOW_START_TICKS: usize = 10;

impl Dispatcher {
    /// Takes in a worker's entry in the endpoint list.
    pub(super) fn update_endpoint(&mut self, endpoint: Endpoint) {
        let id = endpoint.worker;
        self.tokens.set_groups(id, self.token_groups(&endpoint));
        match self.workers.get_mut(id) {
            Some(worker)
                if worker.endpoint.started_at == endpoint.started_at
                    || endpoint.state == EndpointState::Removed =>
            {
                worker.endpoint = endpoint;
            }
            _ => self.reset_worker(endpoint, 0),
        }
        self.update_tokens(id);
    }

    /// Where the tokens of a worker are found: classes bound to few workers, and repeats that must stay in a
    /// zone or cell, find them in a fleet of any size.
    fn token_groups(&self, endpoint: &Endpoint) -> Vec<TokenGroup> {
        if endpoint.state == EndpointState::Reserved {
            return Vec::new(); // found by a placement override only
        }
        let mut groups = vec![TokenGroup::All];
        if self.features.restricts_placement {
            groups.push(TokenGroup::ZoneAndKind(endpoint.zone, endpoint.kind));
        }
        if self.features.deduplicates_by_cell {
            groups.push(TokenGroup::Cell(endpoint.cell));
        }
        groups
    }

    /// A restart voids what was known of a worker, but not its pending attempts. `enabled_at` is 0 unless an
    /// operator enables it.
    fn reset_worker(&mut self, endpoint: Endpoint, enabled_at: Micros) {
        let id = endpoint.worker;
        self.tokens.clear(id);
        let balance = self.random.next_fraction() * self.durations.mean_running_time();
        let slow_start = SlowStartBudget::new(balance, self.now);
        let mut worker = Worker::new(endpoint, slow_start, enabled_at);
        if let Some(before) = self.workers.get_mut(id) {
            worker.held_tokens = before.held_tokens;
            worker.attempts = std::mem::take(&mut before.attempts);
        }
        self.workers.insert(worker);
        self.workers.push_slow_starting(id);
    }

    pub(super) fn disable_worker(&mut self, id: WorkerId) {
        self.workers.disable(id);
        self.update_accepting_workers();
        self.update_tokens(id);
    }

    /// A worker that is enabled again has mostly been restarted, which the endpoint list tells late: old
    /// failures must not keep it idle, and it must not get more than one in slow start can take.
    pub(super) fn enable_worker(&mut self, id: WorkerId) {
        if self.workers.enable(id) {
            if let Some(worker) = self.workers.get(id) {
                self.reset_worker(worker.endpoint.clone(), self.now);
            }
        }
        self.update_accepting_workers();
        self.update_tokens(id);
    }

    /// Finds anew which workers accept jobs.
    pub(super) fn update_accepting_workers(&mut self) {
        let before = self.workers.update_accepting();
        self.affinity.update_workers(&before, self.workers.accepting());
    }

    /// Brings the tokens of some workers in slow start up to date.
    pub(super) fn update_slow_starting_workers(&mut self) {
        for _ in 0..self.workers.slow_starting().len().div_ceil(SLOW_START_TICKS) {
            let Some(id) = self.workers.pop_slow_starting() else { break };
            self.update_tokens(id);
            let Some(worker) = self.workers.get(id) else { continue };
            if self.workers.accepts_jobs(worker) && self.is_in_slow_start(worker) {
                self.workers.push_slow_starting(id);
            }
        }
    }

    /// Looks at the workers that change with time alone.
    pub(super) fn update_watched_workers(&mut self) {
        let watched: Vec<WorkerId> = self.workers.time_dependent().collect();
        for id in watched {
            self.eject_if_overdue(id);
            self.readmit_if_due(id);
        }
    }
}
