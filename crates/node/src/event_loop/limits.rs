//! Connection limits of a process, derived from the descriptor limit of the scheduler.

use crate::clock::Millis;
use crate::log_limit::LogLimit;
use crate::net::ConnectionLimit;

/// Number of descriptors that are not available for connections with clients and workers: standard streams,
/// poll, listener, signals, discovery, the other process of an upgrade, and some spare ones for files that
/// libraries open.
const RESERVED_DESCRIPTORS: usize = 13;
/// Minimum number of connections of a process, even if its share of the descriptors is smaller because two
/// processes divide them in an upgrade.
const MIN_CONNECTIONS: usize = 8;
/// One in this many connections of a process may be an upstream connection.
const UPSTREAM_DIVISOR: usize = 4;
/// Number of downstream connections that jobs may not use, so that workers can send job status updates. If
/// the limit of downstream connections is low, a quarter of it is reserved instead.
const JOB_STATUS_RESERVE: usize = 16;

/// Connection limits of a process.
pub(super) struct ConnectionLimits {
    /// Descriptor limit of the scheduler, which the two processes of an upgrade share.
    descriptors: usize,
    /// Connections from clients and workers.
    pub(super) downstream: ConnectionLimit,
    /// Connections to workers.
    pub(super) upstream: ConnectionLimit,
    /// Limit on warnings of a descriptor shortage.
    shortage_log_limit: LogLimit,
}

impl ConnectionLimits {
    /// Creates the limits for a scheduler with a single process. `reserved` is the number of descriptors
    /// reserved for the admin interface and membership.
    pub(super) fn new(descriptors: usize, reserved: usize) -> Self {
        let mut limits = ConnectionLimits {
            descriptors,
            downstream: ConnectionLimit::new(0),
            upstream: ConnectionLimit::new(0),
            shortage_log_limit: LogLimit::new(),
        };
        limits.divide(1, reserved);
        limits
    }

    /// Changes the descriptor limit of the scheduler; [`ConnectionLimits::divide`] applies it.
    pub(super) fn set_descriptors(&mut self, descriptors: usize) {
        self.descriptors = descriptors;
    }

    /// Sets the limits of this process, which gets an equal share of the scheduler's descriptors as one of
    /// `processes`. `reserved` is the number of descriptors reserved for the admin interface and membership.
    pub(super) fn divide(&mut self, processes: usize, reserved: usize) {
        let descriptors = self.descriptors / processes;
        let connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS + reserved).max(MIN_CONNECTIONS);
        self.upstream.max = connections / UPSTREAM_DIVISOR;
        self.downstream.max = connections - self.upstream.max;
    }

    /// Returns whether the open downstream connections use descriptors that are reserved for job status
    /// updates. If clients that wait for results used all descriptors, workers could not report the results.
    pub(super) fn uses_job_status_reserve(&self) -> bool {
        let reserve = JOB_STATUS_RESERVE.min(self.downstream.max / 4);
        self.downstream.open > self.downstream.max - reserve
    }

    /// Logs a rate-limited warning that an operation was delayed or failed for lack of a descriptor.
    pub(super) fn warn_of_descriptor_shortage(&mut self, now: Millis) {
        if self.shortage_log_limit.allows(now) {
            let downstream = self.downstream.open;
            let upstream = self.upstream.open;
            log::warn!("descriptors are short: downstream={downstream} upstream={upstream}");
        }
    }
}
