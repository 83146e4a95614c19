//! Dispatcher settings of a pool.

use crate::clock::Millis;
use postusher_decision::{Class, Idempotency, ReportField, Settings};
use postusher_settings::micros_from_millis;
use postusher_setup::{Pool, RetryPolicy};

/// Maximum Retry-After advice for a rejected client.
const MAX_RETRY_AFTER: Millis = 30_000.0;
/// Time for which the dispatcher assumes that idle worker connections stay open. The event loop closes them
/// after the same time.
const KEEP_ALIVE: Millis = 10_000.0;
/// The latency objective of a request is its timeout divided by this number, but at least
/// [`MIN_LATENCY_OBJECTIVE`].
const LATENCY_OBJECTIVE_DIVISOR: f64 = 10.0;
const MIN_LATENCY_OBJECTIVE: Millis = 1_000.0;
/// Class of requests that may be retried after an attempt that may have run.
pub(super) const IDEMPOTENT_CLASS: u16 = 0;
/// Class of requests that must not be retried after an attempt that may have run.
pub(super) const NOT_IDEMPOTENT_CLASS: u16 = 1;

/// Returns the dispatcher settings for a pool.
pub(super) fn dispatcher_settings(pool: &Pool) -> Settings {
    let objective = (pool.timeout / LATENCY_OBJECTIVE_DIVISOR).max(MIN_LATENCY_OBJECTIVE);
    let objective = micros_from_millis(objective);
    Settings {
        // Ordered by class number.
        classes: vec![
            Class::new(Idempotency::Idempotent, objective),
            Class::new(Idempotency::NotIdempotent, objective),
        ],
        report_fields: vec![ReportField::FreeSlots],
        // The reports come from the setup, which has its own limit.
        max_worker_slots: u32::MAX,
        cancellation_allowed: true,
        sends_retry_after: true,
        max_retry_after: micros_from_millis(MAX_RETRY_AFTER),
        max_attempts: pool.max_attempts.min(255) as u8,
        keepalive: micros_from_millis(KEEP_ALIVE),
        ..Settings::default()
    }
}

/// Returns whether requests with this method may be retried after an attempt that may have run.
pub(super) fn allows_retry(policy: RetryPolicy, method: &str) -> bool {
    let is_safe = matches!(method, "GET" | "HEAD" | "OPTIONS" | "TRACE");
    match policy {
        RetryPolicy::Safe => is_safe,
        RetryPolicy::Idempotent => is_safe || matches!(method, "PUT" | "DELETE"),
        RetryPolicy::Never => false,
    }
}
