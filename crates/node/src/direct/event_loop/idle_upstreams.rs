//! Idle connections to workers.

use super::connection::PoolWorker;
use crate::connection_id::ConnectionId;
use std::collections::HashMap;

/// The idle connections of each worker; the one used last is at the end.
#[derive(Default)]
pub(super) struct IdleUpstreams(HashMap<PoolWorker, Vec<ConnectionId>>);

impl IdleUpstreams {
    /// Adds one.
    pub(super) fn put(&mut self, place: PoolWorker, id: ConnectionId) {
        self.0.entry(place).or_default().push(id);
    }

    /// Takes the one of a worker that was used last.
    pub(super) fn take(&mut self, place: PoolWorker) -> Option<ConnectionId> {
        self.0.get_mut(&place)?.pop()
    }

    /// Takes one of any worker.
    pub(super) fn take_any(&mut self) -> Option<ConnectionId> {
        self.0.values_mut().find_map(Vec::pop)
    }

    /// Removes one, if it is idle.
    pub(super) fn remove(&mut self, place: PoolWorker, id: ConnectionId) {
        if let Some(idle) = self.0.get_mut(&place) {
            idle.retain(|other| *other != id);
        }
    }
}
