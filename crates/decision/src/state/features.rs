//! What follows from the settings alone.

use crate::interface::{Class, DeduplicationScope, Idempotency, ReportField, Settings};

/// Which parts of the decisions apply, by the settings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Features {
    /// Some class is bound to zones or machine kinds.
    pub restricts_placement: bool,
    /// Repeats of some class are dropped within a cell only.
    pub deduplicates_by_cell: bool,
    /// Load reports contain queued jobs.
    pub reports_queue: bool,
    /// Load reports do not contain queued jobs, but workers notify when a job starts, which shows the
    /// queueing delay.
    pub infers_queue_from_starts: bool,
    /// Health checks are allowed and return free slots.
    pub probes_load: bool,
    /// Load reports come with health checks only: a job waits for load probes where the known reports are too
    /// old.
    pub probes_before_placement: bool,
}

impl Features {
    /// The features under these settings.
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

fn deduplication_scope(class: &Class) -> DeduplicationScope {
    match class.idempotency {
        Idempotency::ByKey { scope, .. } => scope,
        Idempotency::Idempotent | Idempotency::NotIdempotent => DeduplicationScope::Fleet,
    }
}
