//! Idle connections to workers.

use super::connection::PoolWorker;
use crate::connection_id::ConnectionId;
use std::collections::HashMap;

/// The idle connections of each worker, ordered by last use, the most recent at the end.
#[derive(Default)]
pub(super) struct IdleUpstreams(HashMap<PoolWorker, Vec<ConnectionId>>);

impl IdleUpstreams {
    /// Adds an idle connection, as the most recently used one of its worker.
    pub(super) fn put(&mut self, pool_worker: PoolWorker, id: ConnectionId) {
        self.0.entry(pool_worker).or_default().push(id);
    }

    /// Takes the most recently used idle connection of a worker.
    pub(super) fn take(&mut self, pool_worker: PoolWorker) -> Option<ConnectionId> {
        self.0.get_mut(&pool_worker)?.pop()
    }

    /// Takes an idle connection of any worker.
    pub(super) fn take_any(&mut self) -> Option<ConnectionId> {
        self.0.values_mut().find_map(Vec::pop)
    }

    /// Removes a connection if it is idle.
    pub(super) fn remove(&mut self, pool_worker: PoolWorker, id: ConnectionId) {
        if let Some(idle) = self.0.get_mut(&pool_worker) {
            idle.retain(|idle_id| *idle_id != id);
        }
    }
}
