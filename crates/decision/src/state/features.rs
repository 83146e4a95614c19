//! Feature flags derived from the settings.

use crate::interface::{Class, DeduplicationScope, Idempotency, ReportField, Settings};

/// Parts of the decision logic that the settings enable.
#[derive(Clone, Copy, Debug, Default)]
pub struct Features {
    /// Whether at least one class is restricted to zones or machine kinds, or has retries deduplicated within
    /// a zone only.
    pub restricts_placement: bool,
    /// Whether at least one class has retries deduplicated within a cell only.
    pub deduplicates_by_cell: bool,
    /// Whether load reports contain the queue length or the number of all jobs.
    pub reports_queue: bool,
    /// Whether the queue length is inferred from the queueing delay: load reports do not contain it, but
    /// workers notify when a job starts.
    pub infers_queue_from_starts: bool,
    /// Whether load probes are possible: health checks are allowed and return the number of free slots.
    pub probes_load: bool,
    /// Whether jobs wait for load probes while the latest load reports are too old, as reports come with
    /// health checks only.
    pub probes_before_placement: bool,
}

impl Features {
    /// Derives the features from the settings.
    pub fn new(settings: &Settings) -> Self {
        let reports_queue = settings
            .report_fields
            .iter()
            .any(|field| matches!(field, ReportField::QueueLength | ReportField::Jobs));
        let probes_load =
            settings.health_checks_allowed && settings.report_fields.contains(&ReportField::FreeSlots);
        let restricted =
            |class: &Class| class.is_restricted() || deduplication_scope(class) == DeduplicationScope::Zone;
        let by_cell = |class: &Class| deduplication_scope(class) == DeduplicationScope::Cell;
        Features {
            restricts_placement: settings.classes.iter().any(restricted),
            deduplicates_by_cell: settings.classes.iter().any(by_cell),
            reports_queue,
            infers_queue_from_starts: settings.reports_start && !reports_queue,
            probes_load,
            probes_before_placement: probes_load && settings.reports_by_health_check_only,
        }
    }
}

/// Returns the workers that deduplicate retries of a class. For a class that is not idempotent by key, it
/// returns the fleet, the scope that does not restrict placement.
fn deduplication_scope(class: &Class) -> DeduplicationScope {
    match class.idempotency {
        Idempotency::ByKey { scope, .. } => scope,
        Idempotency::Idempotent | Idempotency::NotIdempotent => DeduplicationScope::Fleet,
    }
}
