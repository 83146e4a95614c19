//! The dispatcher: its state, construction and queries. Its decisions are in `src/policy/`.

use crate::estimators::{Budget, MedianWindow, QuotaBalance, RandomGenerator, TokenBucket};
use crate::id_map::IdMap;
use crate::interface::{Action, Class, Event, FreeCapacity, JobId, ListUpdate, Micros, Settings, WorkerId};
use crate::policy::{EndpointListState, PlacementOverride, MAX_SAVED_RETRIES};
use crate::state::{
    Affinity, DurationEstimates, Features, ForeignLoadEstimates, KeyQueues, PendingJob, QueueingEstimates,
    SlotEstimates, WorkerTable,
};
use std::sync::Arc;

/// One dispatcher: the tokens and the health of the known workers, and the pending jobs.
pub struct Dispatcher {
    pub(crate) settings: Settings,
    pub(crate) features: Features,
    pub(crate) classes: Vec<Arc<Class>>,
    /// Number of schedulers that use the same workers, at least 1.
    pub(crate) scheduler_count: f64,
    pub(crate) now: Micros,
    pub(crate) random: RandomGenerator,
    pub(crate) workers: WorkerTable,
    pub(crate) tokens: TokenBucket,
    pub(crate) endpoint_list: EndpointListState,
    pub(crate) jobs: IdMap<JobId, PendingJob>,
    pub(crate) placement_overrides: IdMap<JobId, PlacementOverride>,
    pub(crate) key_queues: KeyQueues,
    pub(crate) affinity: Affinity,
    /// Quota balances by customer number.
    pub(crate) quotas: Vec<QuotaBalance>,
    pub(crate) retry_budget: Budget,
    pub(crate) probe_budget: Budget,
    pub(crate) durations: DurationEstimates,
    pub(crate) slots: SlotEstimates,
    pub(crate) queueing: QueueingEstimates,
    pub(crate) foreign_load: ForeignLoadEstimates,
    /// Health scores of the latest outcomes of all workers.
    pub(crate) recent_scores: MedianWindow,
}

impl Dispatcher {
    /// Returns a dispatcher without workers or jobs. `seed` is the seed of its random choices.
    ///
    /// The first event should be a [`ListUpdate::Cached`](crate::ListUpdate::Cached) endpoint list, which may
    /// be empty: it starts the periodic updates and, if discovery is polled, the polls.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Self {
        Dispatcher {
            features: Features::new(&settings),
            classes: settings.classes.iter().cloned().map(Arc::new).collect(),
            scheduler_count: f64::from(settings.scheduler_count.max(1)),
            now,
            random: RandomGenerator::new(seed),
            workers: WorkerTable::default(),
            tokens: TokenBucket::default(),
            endpoint_list: EndpointListState::default(),
            jobs: IdMap::default(),
            placement_overrides: IdMap::default(),
            key_queues: KeyQueues::default(),
            affinity: Affinity::default(),
            quotas: vec![QuotaBalance::default(); settings.customers.len()],
            retry_budget: Budget::new(MAX_SAVED_RETRIES),
            probe_budget: Budget::default(),
            durations: DurationEstimates::new(settings.classes.len()),
            slots: SlotEstimates::default(),
            queueing: QueueingEstimates::default(),
            foreign_load: ForeignLoadEstimates::default(),
            recent_scores: MedianWindow::default(),
            settings,
        }
    }

    /// Marks the endpoint list as cached by an earlier process and not confirmed since. Until discovery has
    /// answered or a time limit has passed, jobs are not placed: they wait, and are rejected or failed when
    /// they can wait no longer.
    pub fn with_unconfirmed_list(mut self) -> Self {
        self.endpoint_list = EndpointListState::unconfirmed(self.now);
        self
    }

    /// Handles a batch of events at time `now`, in order, and appends the resulting actions.
    pub fn handle_all(
        &mut self,
        events: impl IntoIterator<Item = Event>,
        now: Micros,
        actions: &mut Vec<Action>,
    ) {
        for event in events {
            self.handle(event, now, actions);
        }
    }

    /// Returns whether the endpoint list is current at time `now`, so that jobs may be placed by it.
    pub fn is_list_current(&self, now: Micros) -> bool {
        self.endpoint_list.is_current(now)
    }

    /// Returns whether the endpoint list is current at time `now` once `updates` have been handled.
    pub fn is_list_current_after(&self, updates: impl Iterator<Item = ListUpdate>, now: Micros) -> bool {
        self.endpoint_list.is_current_after(updates, self.settings.drain_grace, now)
    }

    /// Returns, by customer number, the number of jobs sent over the quota whose debt was written off. The
    /// current debt is not included. Jobs of customers that are not in the settings are not counted.
    pub fn forgiven_quota_debt(&self) -> impl Iterator<Item = u64> + '_ {
        self.quotas.iter().map(|quota| quota.forgiven_debt() as u64)
    }

    /// Returns the number of known workers.
    pub fn worker_count(&self) -> usize {
        self.workers.len()
    }

    /// Returns whether a worker is ejected.
    pub fn is_ejected(&self, worker: WorkerId) -> bool {
        self.workers.get(worker).is_some_and(|worker| worker.health.is_ejected())
    }

    /// Returns whether a worker gets no new jobs regardless of the endpoint list: it is disabled or ejected.
    pub fn is_disabled_or_ejected(&self, worker: WorkerId) -> bool {
        self.workers.is_disabled(worker) || self.is_ejected(worker)
    }

    /// Returns the fleet's current free capacity. Takes time in proportion to the number of workers.
    pub fn free_capacity(&self) -> FreeCapacity {
        let mut capacity = FreeCapacity::default();
        for worker in self.workers.iter() {
            if !self.workers.accepts_jobs(worker) || worker.health.is_ejected() {
                continue;
            }
            let free_tokens = self.tokens.free(worker.endpoint.worker);
            let free = self.free_slots(worker).clamp(0, free_tokens) as u32;
            capacity.free_slots += free;
            capacity.total_slots += free + worker.held_tokens.max(0) as u32;
            capacity.max_free_slots = capacity.max_free_slots.max(free);
        }
        capacity
    }

    /// Returns the number of a worker's free tokens and the number of those held by pending attempts, for
    /// dashboards and tests.
    pub fn tokens(&self, worker: WorkerId) -> (usize, usize) {
        let held = self.workers.get(worker).map_or(0, |worker| worker.held_tokens.max(0) as usize);
        (self.tokens.free(worker).max(0) as usize, held)
    }
}
