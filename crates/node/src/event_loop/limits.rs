//! How many connections a process may have, within the descriptors of its scheduler.

use crate::clock::Millis;
use crate::net::ConnectionLimit;

/// Descriptors beside the connections of clients and workers: standard streams, poll, listener, signals, discovery,
/// the other process of an upgrade, and room for what libraries open.
const RESERVED_DESCRIPTORS: usize = 13;
/// A process has at least this many connections, however few descriptors two processes share in an upgrade.
const MIN_CONNECTIONS: usize = 8;
/// One in so many connections may go to workers.
const UPSTREAM_SHARE: usize = 4;
/// Descriptors for downstream connections that are kept free of jobs, so that workers can send job status updates; a
/// quarter of them where there are few.
const JOB_STATUS_RESERVE: usize = 16;
/// Between two warnings of a shortage, in milliseconds.
const WARNING_INTERVAL: Millis = 10_000.0;

/// The limits of a process.
pub(super) struct ConnectionLimits {
    /// Descriptors of the scheduler, which the two processes of an upgrade share.
    descriptors: usize,
    /// Connections from clients and workers.
    pub(super) downstream: ConnectionLimit,
    /// Connections to workers.
    pub(super) upstream: ConnectionLimit,
    next_warning_at: Millis,
}

impl ConnectionLimits {
    /// The limits of a process that is alone; `reserved` descriptors are for the admin interface and membership.
    pub(super) fn new(descriptors: usize, reserved: usize, now: Millis) -> Self {
        let mut limits = ConnectionLimits {
            descriptors,
            downstream: ConnectionLimit::new(0),
            upstream: ConnectionLimit::new(0),
            next_warning_at: now,
        };
        limits.divide(1, reserved);
        limits
    }

    /// The scheduler may hold another number of descriptors; [`ConnectionLimits::divide`] applies it.
    pub(super) fn set_descriptors(&mut self, descriptors: usize) {
        self.descriptors = descriptors;
    }

    /// Divides the scheduler's descriptors among so many processes.
    pub(super) fn divide(&mut self, processes: usize, reserved: usize) {
        let own = self.descriptors / processes;
        let connections = own.saturating_sub(RESERVED_DESCRIPTORS + reserved).max(MIN_CONNECTIONS);
        self.upstream.max = connections / UPSTREAM_SHARE;
        self.downstream.max = connections - self.upstream.max;
    }

    /// Whether a further job would take a descriptor that job status updates need. Clients that wait for results on
    /// all descriptors would keep workers from reporting those results.
    pub(super) fn job_reserve_is_reached(&self) -> bool {
        let reserve = JOB_STATUS_RESERVE.min(self.downstream.max / 4);
        self.downstream.open > self.downstream.max - reserve
    }

    /// Something had to wait or fail for want of a descriptor: warns of it, but not each time.
    pub(super) fn warn_of_shortage(&mut self, now: Millis) {
        if now >= self.next_warning_at {
            self.next_warning_at = now + WARNING_INTERVAL;
            let downstream = self.downstream.open;
            let upstream = self.upstream.open;
            log::warn!("descriptors are short: downstream={downstream} upstream={upstream}");
        }
    }
}
