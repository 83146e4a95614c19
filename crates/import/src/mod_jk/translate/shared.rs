//! Translates properties that balancers and workers have in common.

use crate::account::Outcome;
use crate::text::set_longest_timeout;
use postusher_setup::Pool;

/// The exclusive upper limit of timeouts, in milliseconds; longer ones are ignored.
const TIMEOUT_LIMIT_MS: f64 = 1e9;

/// Applies a property to a pool and returns its outcome.
pub(super) fn apply(pool: &mut Pool, property: &str, value: &str) -> Outcome {
    match (property, parse_timeout(value)) {
        ("reply_timeout", Some(millis)) => {
            set_longest_timeout(&mut pool.timeout, Pool::default().timeout, millis);
            Outcome::approximated("the longest timeout applies to the whole pool")
        }
        ("socket_connect_timeout" | "connect_timeout", Some(millis)) => {
            set_longest_timeout(&mut pool.connect_timeout, Pool::default().connect_timeout, millis);
            Outcome::approximated("the longest timeout applies to the whole pool")
        }
        (
            "socket_timeout"
            | "socket_keepalive"
            | "socket_buffer"
            | "ping_mode"
            | "ping_timeout"
            | "prepost_timeout"
            | "connection_pool_size"
            | "connection_pool_minsize"
            | "connection_pool_timeout"
            | "cache_timeout"
            | "cachesize"
            | "connection_ping_interval"
            | "connection_acquire_timeout"
            | "recycle_timeout"
            | "reply_timeout"
            | "socket_connect_timeout"
            | "connect_timeout",
            _,
        ) => Outcome::approximated("connections to workers are managed automatically"),
        ("max_packet_size", _) => {
            Outcome::approximated("HTTP has no packets; bodies of any size are forwarded")
        }
        ("secret", _) => Outcome::not_carried(
            "it is a secret of AJP, which is not supported",
            "protect the worker's HTTP port in another way",
        ),
        ("recovery_options", _) => Outcome::approximated(
            "a request that may have been processed is retried only if its method is safe",
        ),
        ("fail_on_status", _) => {
            Outcome::approximated("server errors always count as failures of the worker")
        }
        _ => Outcome::not_carried("unsupported property", "see docs/IMPORT.md"),
    }
}

/// Parses a timeout in milliseconds; returns `None` if it is not a positive number below
/// [`TIMEOUT_LIMIT_MS`].
fn parse_timeout(value: &str) -> Option<f64> {
    value.parse().ok().filter(|millis| *millis > 0.0 && *millis < TIMEOUT_LIMIT_MS)
}
