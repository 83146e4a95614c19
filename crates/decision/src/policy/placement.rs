//! Placement: chooses the worker for a job.

use crate::estimators::TokenGroup;
use crate::interface::{DeduplicationScope, EndpointState, Idempotency, WorkerId};
use crate::state::{LoadProbes, PendingJob, Route, Worker};
use crate::Dispatcher;

/// Number of workers next in release order, and of workers with the latest reports, considered for a job.
pub(super) const CANDIDATES: usize = 12;
/// Number of workers next in release order considered if none of the first candidates fits.
const MORE_CANDIDATES: usize = 4 * CANDIDATES;
/// Rejection rate of a class above which workers that served the class are preferred.
const HIGH_REJECTION_RATE: f64 = 0.1;
/// Workers in slow start with at most this share of their capacity count as if a job had to queue there for
/// at least one slot, as most of the jobs would be late.
const LOW_CAPACITY_SHARE: f64 = 0.3;
/// Number of slots to queue for that a fetch of the job's data adds to the rank of a worker.
const FETCH_RANK_PENALTY_SLOTS: i64 = 2;
/// Number of slots to queue for that a fetch counts as when checking whether a job may be sent to a worker.
const FETCH_QUEUE_SLOTS: i64 = 1;
/// Upper bound of the free slots of a worker without a recent report, where jobs wait for load probes. Low
/// enough that no job is sent there.
const UNKNOWN_FREE_SLOTS: i64 = -99;
/// Extra cost, in attempts, of a worker that restricted classes depend on.
const RESTRICTED_WORKER_COST: f64 = 1.0;

/// A worker chosen by the host for a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementOverride {
    /// The worker.
    pub worker: WorkerId,
    /// Whether the job is rejected if this worker cannot serve it.
    pub required: bool,
}

/// A worker that a job may be sent to. The smallest candidate is the best one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    /// Number of slots to queue for, negative if more are free than needed, plus penalties.
    queueing_rank: i64,
    /// Cost of the attempt besides its work, in millionths.
    cost_millionths: i64,
    /// Release number of the worker's longest-free token.
    longest_free: u64,
    worker: WorkerId,
}

impl Dispatcher {
    /// Returns the route that an attempt to a worker would take now.
    pub(super) fn route(&self, worker: &Worker) -> Route {
        let latest_use = worker.idle_connections.last();
        let has_connection = latest_use.is_some_and(|used_at| self.now < used_at + self.settings.keepalive);
        Route { new_connection: !has_connection, cross_zone: worker.endpoint.zone != self.settings.zone }
    }

    /// Returns the best worker for a job: among `next_workers`, the workers with the latest reports, the
    /// job's affinity candidates and, where jobs wait for load probes, the workers in slow start, which need
    /// no recent report. The job may queue for at most `max_queue_slots`; if negative, that many slots must
    /// be left free. Considers more workers in release order if none of these fits.
    pub(super) fn choose_worker(
        &self,
        job: &PendingJob,
        next_workers: &[WorkerId],
        max_queue_slots: i64,
    ) -> Option<WorkerId> {
        if let Some(placement_override) = self.placement_overrides.get(&job.submitted.id) {
            // A placement override does not bypass the other rules.
            let chosen =
                self.best_candidate(job, std::iter::once(&placement_override.worker), max_queue_slots);
            if chosen.is_some() || placement_override.required {
                return chosen;
            }
        }
        let first_choices = job.affinity_candidates.iter().chain(self.workers.recently_reported());
        let slow_starting = self.workers.slow_starting().iter().filter(|_| self.needs_load_probes());
        let chosen =
            self.best_candidate(job, first_choices.chain(slow_starting).chain(next_workers), max_queue_slots);
        if chosen.is_some() {
            return chosen;
        }
        let more_workers = self.next_in_release_order(job, MORE_CANDIDATES);
        self.best_candidate(job, more_workers.iter(), max_queue_slots)
    }

    fn best_candidate<'a>(
        &self,
        job: &PendingJob,
        workers: impl Iterator<Item = &'a WorkerId>,
        max_queue_slots: i64,
    ) -> Option<WorkerId> {
        let candidates = workers.filter_map(|id| self.candidate(job, *id, max_queue_slots));
        candidates.min().map(|candidate| candidate.worker)
    }

    /// Returns the first `count` workers in release order that a job may be sent to: those that deduplicate
    /// the job if it may have run, those that its class allows, or all.
    pub(super) fn next_in_release_order(&self, job: &PendingJob, count: usize) -> Vec<WorkerId> {
        let first_worker = job.first_possible_run().and_then(|attempt| self.workers.get(attempt.worker));
        let mut required_zone = None;
        if let (Idempotency::ByKey { scope, .. }, Some(worker)) = (job.class.idempotency, first_worker) {
            match scope {
                DeduplicationScope::Fleet => {}
                DeduplicationScope::Zone => required_zone = Some(worker.endpoint.zone),
                DeduplicationScope::Cell => {
                    return self.tokens.first_in_group(TokenGroup::Cell(worker.endpoint.cell), count);
                }
            }
        }
        if required_zone.is_none() && !job.class.is_restricted() {
            return self.tokens.first_in_group(TokenGroup::All, count);
        }
        let allows = |zone, kind| {
            job.class.allows(zone, kind) && required_zone.is_none_or(|required| required == zone)
        };
        self.tokens.first_allowed(allows, count)
    }

    /// Returns a worker as a candidate for a job, or `None` if the job may not be sent to it now.
    fn candidate(&self, job: &PendingJob, id: WorkerId, max_queue_slots: i64) -> Option<Candidate> {
        let worker = self.workers.get(id)?;
        if !self.placement_allows(job, worker)
            || !self.idempotency_allows(job, worker)
            || self.is_breaker_open(job, worker)
        {
            return None;
        }
        let missing_slots = job.slots - self.assumed_free_slots(job, worker);
        if !self.capacity_allows(job, worker, missing_slots, max_queue_slots) {
            return None;
        }
        Some(Candidate {
            queueing_rank: self.queueing_rank(job, worker, missing_slots),
            cost_millionths: self.attempt_cost_millionths(job, worker),
            longest_free: self.tokens.longest_free(id, job.slots)?,
            worker: id,
        })
    }

    /// Returns whether the class and the worker's state allow the job at the worker. No attempt is sent to a
    /// worker that was tried before, unless that attempt only hit a stale connection.
    fn placement_allows(&self, job: &PendingJob, worker: &Worker) -> bool {
        let endpoint = &worker.endpoint;
        let placement_override = self.placement_overrides.get(&job.submitted.id);
        let is_override_target = placement_override.is_some_and(|target| target.worker == endpoint.worker);
        job.class.allows(endpoint.zone, endpoint.kind)
            && (is_override_target || endpoint.state != EndpointState::Reserved)
            && !job.was_tried_at(endpoint.worker)
    }

    /// Returns whether the job's idempotency allows an attempt at the worker. A job with an idempotency key
    /// that may have run is only sent to workers that deduplicate it, and one that is not idempotent is not
    /// sent to an ejected or half-open worker. Whether the job may be sent again at all is decided in
    /// [`Dispatcher::may_send`].
    fn idempotency_allows(&self, job: &PendingJob, worker: &Worker) -> bool {
        match job.class.idempotency {
            Idempotency::Idempotent => true,
            Idempotency::ByKey { scope, .. } => match job.first_possible_run() {
                None => true,
                Some(first) => self
                    .workers
                    .get(first.worker)
                    .is_some_and(|first| first.endpoint.deduplicates_with(&worker.endpoint, scope)),
            },
            // A half-open worker may fail, and the job could not be retried then.
            Idempotency::NotIdempotent => !worker.health.is_ejected_or_half_open(),
        }
    }

    /// Returns whether the worker has enough free slots for the job, or the job may queue there, and the
    /// budget of a worker in slow start allows the job. `missing_slots` is the number of slots that the job
    /// needs beyond the free ones; negative if more are free.
    fn capacity_allows(
        &self,
        job: &PendingJob,
        worker: &Worker,
        missing_slots: i64,
        max_queue_slots: i64,
    ) -> bool {
        let in_slow_start = self.is_in_slow_start(worker);
        if missing_slots > 0 && (in_slow_start || worker.health.is_ejected_or_half_open()) {
            return false;
        }
        if in_slow_start && self.slow_start_denies(job, worker) {
            return false;
        }
        self.queue_slots(job, worker, missing_slots, max_queue_slots) <= max_queue_slots
    }

    /// Returns the number of slots that the job would queue for. A fetch counts less than in the rank. If the
    /// job waited for load probes or must leave slots free, neither a fetch nor a low capacity counts.
    fn queue_slots(
        &self,
        job: &PendingJob,
        worker: &Worker,
        missing_slots: i64,
        max_queue_slots: i64,
    ) -> i64 {
        let waited_for_probes = self.needs_load_probes() && job.load_probes != LoadProbes::NotSent;
        if max_queue_slots < 0 || waited_for_probes {
            return missing_slots;
        }
        let fetch = if job.needs_fetch_at(worker) { FETCH_QUEUE_SLOTS } else { 0 };
        self.slots_to_wait_for(worker, missing_slots) + fetch
    }

    /// Returns the free slots of a worker. Where jobs wait for load probes, a worker without a recent report
    /// counts as full, unless it is in slow start or no worker reports after load probes were sent.
    fn assumed_free_slots(&self, job: &PendingJob, worker: &Worker) -> i64 {
        let free_slots = self.free_slots(worker);
        let is_unknown = self.needs_load_probes()
            && !self.is_in_slow_start(worker)
            && !self.has_fresh_report(worker)
            && (job.load_probes == LoadProbes::NotSent || self.any_worker_reported_recently());
        if is_unknown {
            free_slots.min(UNKNOWN_FREE_SLOTS)
        } else {
            free_slots
        }
    }

    /// Returns the missing slots, and at least 1 if the worker has little capacity because it has just
    /// started.
    fn slots_to_wait_for(&self, worker: &Worker, missing_slots: i64) -> i64 {
        let has_low_capacity = self.slow_start_share(worker) <= LOW_CAPACITY_SHARE;
        missing_slots.max(i64::from(has_low_capacity))
    }

    /// Returns the rank of a worker for the job, the best one lowest: the number of slots to queue for,
    /// negative if more are free than needed, plus penalties for a fetch, for an unknown or positive wait
    /// and, if the class is often rejected, for a worker that rejected its latest job of the class or has not
    /// had one yet.
    fn queueing_rank(&self, job: &PendingJob, worker: &Worker, missing_slots: i64) -> i64 {
        let fetch = if job.needs_fetch_at(worker) { FETCH_RANK_PENALTY_SLOTS } else { 0 };
        let wait = self.slots_to_wait_for(worker, missing_slots) + fetch;
        let is_uncertain = wait > 0 || !self.has_fresh_report(worker);
        let is_often_rejected =
            self.durations.rejection_rate(job.submitted.class).is_some_and(|rate| rate > HIGH_REJECTION_RATE);
        let was_served =
            worker.breaker(job.submitted.class).is_some_and(|breaker| breaker.served_last_attempt());
        wait + i64::from(is_uncertain) + i64::from(is_often_rejected && !was_served)
    }

    fn is_breaker_open(&self, job: &PendingJob, worker: &Worker) -> bool {
        worker.breaker(job.submitted.class).is_some_and(|breaker| breaker.is_open(self.now))
    }

    /// Returns the cost of an attempt besides its work, in millionths: for a new connection, another zone, a
    /// fetch and the use of a worker that restricted classes depend on.
    fn attempt_cost_millionths(&self, job: &PendingJob, worker: &Worker) -> i64 {
        let route = self.route(worker);
        let mut cost = 0;
        if route.new_connection {
            cost += millionths(self.settings.connection_cost);
        }
        if route.cross_zone {
            cost += millionths(self.settings.cross_zone_cost);
        }
        if job.needs_fetch_at(worker) {
            cost += millionths(self.settings.fetch_cost);
        }
        if !job.class.is_restricted() && self.is_needed_by_restricted_class(worker) {
            cost += millionths(RESTRICTED_WORKER_COST);
        }
        cost
    }

    fn is_needed_by_restricted_class(&self, worker: &Worker) -> bool {
        let endpoint = &worker.endpoint;
        self.features.restricts_placement
            && self
                .classes
                .iter()
                .any(|class| class.is_restricted() && class.allows(endpoint.zone, endpoint.kind))
    }
}

fn millionths(cost: f64) -> i64 {
    (cost * 1e6) as i64
}
