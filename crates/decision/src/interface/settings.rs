//! The settings of a dispatcher: classes of jobs, customers, report fields and limits.

use super::{AttemptResult, Micros, ReportField};

/// Largest number of slots of a machine, and of a job.
pub const MAX_SLOTS: u32 = 1024;

/// Which workers deduplicate a retry of a job with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All workers.
    Fleet,
    /// The workers of one zone.
    Zone,
    /// The workers of one cell.
    Cell,
}

/// When a job may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The job may always be sent again.
    Idempotent,
    /// The job may be sent again, for a limited time, to workers that deduplicate by its idempotency key.
    ByKey {
        /// The workers that deduplicate.
        scope: DeduplicationScope,
        /// How long they deduplicate, from the first attempt that may have run.
        window: Micros,
    },
    /// The job may not be sent again.
    NotIdempotent,
}

/// A class of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// When jobs of the class may be sent again.
    pub idempotency: Idempotency,
    /// Constant part of the latency objective; `objective_stretch` times the job's running time is added.
    pub latency_objective: Micros,
    /// Factor of the job's running time in the latency objective; no unit.
    pub objective_stretch: f64,
    /// Value of an answer within the latency objective; not used by decisions.
    pub priority_weight: f64,
    /// Share of `priority_weight` that a later answer is still worth, from 0 to 1.
    pub late_weight_share: f64,
    /// Whether jobs of one key are sent in their order of arrival at this dispatcher.
    pub ordered_by_key: bool,
    /// The machine kinds that may run jobs of the class; `None`: all, empty: none.
    pub allowed_kinds: Option<Vec<u16>>,
    /// The zones that may run jobs of the class; `None`: all, empty: none.
    pub allowed_zones: Option<Vec<u16>>,
}

/// A customer that shares the fleet with others.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Customer {
    /// Quota in jobs per second, at all schedulers together.
    pub quota_per_second: f64,
}

/// The settings of a dispatcher.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The classes, by number.
    pub classes: Vec<Class>,
    /// The customers, by number; empty if quotas are not used.
    pub customers: Vec<Customer>,
    /// Whether `Class::priority_weight` counts per unit of work instead of per job; not used by decisions.
    pub weight_by_work: bool,
    /// Number of schedulers that use the same workers, this one included.
    pub scheduler_count: u32,
    /// Whether the endpoint list must be polled; otherwise discovery pushes it.
    pub list_is_polled: bool,
    /// Maximum time between two polls of the endpoint list by a scheduler without a watch.
    pub poll_interval: Micros,
    /// Time within which the scheduler must stop sending attempts to a worker after discovery has notified
    /// that the worker is draining or removed.
    pub drain_grace: Micros,
    /// The fields of a load report, in order.
    pub report_fields: Vec<ReportField>,
    /// Largest number of slots of a worker; a load report with more free slots is invalid.
    pub max_worker_slots: u32,
    /// Whether load reports come only with health checks, not with answers.
    pub reports_by_health_check_only: bool,
    /// Number of this scheduler's zone.
    pub zone: u16,
    /// Additional cost of an attempt in another zone.
    pub cross_zone_cost: f64,
    /// Cost of a new connection.
    pub connection_cost: f64,
    /// Time for which an idle connection is kept.
    pub keepalive: Micros,
    /// Time between two progress notifications; 0: there are none.
    pub progress_interval: Micros,
    /// Whether workers notify when a job starts.
    pub reports_start: bool,
    /// Whether health checks are allowed.
    pub health_checks_allowed: bool,
    /// Whether attempts may be cancelled.
    pub cancellation_allowed: bool,
    /// Whether hedged requests are allowed: two attempts of one job may be pending at once.
    pub hedging_allowed: bool,
    /// Whether rejections carry a Retry-After.
    pub sends_retry_after: bool,
    /// The longest Retry-After that clients follow.
    pub max_retry_after: Micros,
    /// Maximum number of attempts for one job.
    pub max_attempts: u8,
    /// Share of its capacity that a worker has at its start, from 0 to 1.
    pub initial_capacity: f64,
    /// Time after its start at which a worker has its full capacity.
    pub slow_start_duration: Micros,
    /// A worker in slow start fails if it gets more work within `overload_window` than this multiple of its
    /// capacity.
    pub overload_factor: f64,
    /// Time over which the work is summed for `overload_factor`.
    pub overload_window: Micros,
    /// Whether an attempt that ends as [`AttemptResult::Overloaded`] may have run.
    pub overloaded_may_have_run: bool,
    /// Pause of a key with ordered jobs after an attempt that may still be running at its worker.
    pub key_order_pause: Micros,
    /// Cost per job of fetching the data for its key.
    pub fetch_cost: f64,
    /// Weight of the part of the overall objective that counts only while few jobs miss their latency
    /// objective; not used by decisions.
    pub punctuality_weight: f64,
    /// Share of jobs, from 0 to 1, that may miss their latency objective without reducing the part weighted
    /// by `punctuality_weight`; not used by decisions.
    pub tolerated_miss_share: f64,
}

impl Default for Settings {
    /// Returns settings for one scheduler with a pushed endpoint list, no optional permissions and workers
    /// without slow start.
    fn default() -> Self {
        Settings {
            classes: Vec::new(),
            customers: Vec::new(),
            weight_by_work: false,
            scheduler_count: 1,
            list_is_polled: false,
            poll_interval: 10_000_000,
            drain_grace: 500_000,
            report_fields: Vec::new(),
            max_worker_slots: MAX_SLOTS,
            reports_by_health_check_only: false,
            zone: 0,
            cross_zone_cost: 0.0,
            connection_cost: 0.0,
            keepalive: 0,
            progress_interval: 0,
            reports_start: false,
            health_checks_allowed: false,
            cancellation_allowed: false,
            hedging_allowed: false,
            sends_retry_after: false,
            max_retry_after: 0,
            max_attempts: 1,
            initial_capacity: 1.0,
            slow_start_duration: 0,
            overload_factor: 1.0,
            overload_window: 0,
            overloaded_may_have_run: false,
            key_order_pause: 0,
            fetch_cost: 0.0,
            punctuality_weight: 0.0,
            tolerated_miss_share: 0.0,
        }
    }
}

impl Class {
    /// Returns a class with this idempotency and latency objective, without restrictions. An answer within
    /// the objective has weight 1, a late one 0.
    pub fn new(idempotency: Idempotency, latency_objective: Micros) -> Self {
        Class {
            idempotency,
            latency_objective,
            objective_stretch: 0.0,
            priority_weight: 1.0,
            late_weight_share: 0.0,
            ordered_by_key: false,
            allowed_kinds: None,
            allowed_zones: None,
        }
    }

    /// Returns whether some workers may not run jobs of the class.
    pub(crate) fn is_restricted(&self) -> bool {
        self.allowed_kinds.is_some() || self.allowed_zones.is_some()
    }

    /// Returns whether machines of this kind in this zone may run jobs of the class.
    pub(crate) fn allows(&self, zone: u16, kind: u16) -> bool {
        let permits = |allowed: &Option<Vec<u16>>, number| {
            allowed.as_ref().is_none_or(|allowed| allowed.contains(&number))
        };
        permits(&self.allowed_kinds, kind) && permits(&self.allowed_zones, zone)
    }
}

impl Settings {
    /// Returns whether a job may have run in an attempt with this result.
    pub fn may_have_run(&self, result: AttemptResult) -> bool {
        match result {
            AttemptResult::ConnectFailed | AttemptResult::NotSent => false,
            AttemptResult::Overloaded => self.overloaded_may_have_run,
            AttemptResult::Success
            | AttemptResult::Error
            | AttemptResult::TimedOut
            | AttemptResult::Reset
            | AttemptResult::Unprocessable
            | AttemptResult::StaleConnection
            | AttemptResult::Cancelled => true,
        }
    }
}
