//! A worker of a pool, and how its answers compare with what is usual for it.

use crate::clock::Millis;
use crate::direct::service::ServiceError;
use postusher_decision::WorkerId;
use postusher_setup::Pool;
use std::net::{SocketAddr, ToSocketAddrs};

/// Weight of a new answer in a worker's usual time, which is about that of its last fifty.
const USUAL_TIME_WEIGHT: f64 = 0.02;
/// Differences between times well below this are noise.
const NOISE: Millis = 20.0;
/// The time that the dispatcher is given of an answer that took the usual time.
const REFERENCE_TIME: Millis = 100.0;

/// Attempts at a worker since the start.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counters {
    pub(super) sent: u64,
    /// With an answer, whatever its status.
    pub(super) answered: u64,
    /// Without one.
    pub(super) failed: u64,
}

/// A worker of a pool.
pub(super) struct Worker {
    pub(super) name: String,
    pub(super) id: WorkerId,
    pub(super) address: SocketAddr,
    pub(super) max_in_flight: usize,
    pub(super) in_flight: usize,
    pub(super) counters: Counters,
    /// How long its answers usually take.
    pub(super) usual_time: Option<Millis>,
}

impl Worker {
    /// The time that the dispatcher is given: how one compares with what is usual for this worker. Workers of a pool may
    /// be of any speed, and their shares are set: only one that is slow against itself is an outlier. `is_usual`: the
    /// time counts for what is usual.
    pub(super) fn relative_time(&mut self, time: Millis, is_usual: bool) -> Millis {
        let usual = *self.usual_time.get_or_insert(time);
        if is_usual {
            self.usual_time = Some(usual + USUAL_TIME_WEIGHT * (time - usual));
        }
        REFERENCE_TIME * (time + NOISE) / (usual + NOISE)
    }

    /// Its room, as the dispatcher is given it; workers of a pool report nothing themselves.
    pub(super) fn free_slots(&self) -> f64 {
        self.max_in_flight.saturating_sub(self.in_flight) as f64
    }
}

/// Looks up where the workers of a pool listen; done once, at the start and when the setup is read again.
pub(in crate::direct) fn resolve(pool: &Pool) -> Result<Vec<SocketAddr>, ServiceError> {
    let mut addresses = Vec::with_capacity(pool.workers.len());
    for worker in &pool.workers {
        let mut found = worker.addr.to_socket_addrs().map_err(|source| ServiceError::Lookup {
            worker: worker.id.clone(),
            address: worker.addr.clone(),
            source,
        })?;
        let address = found.next().ok_or_else(|| ServiceError::NoSuchHost {
            worker: worker.id.clone(),
            address: worker.addr.clone(),
        })?;
        addresses.push(address);
    }
    Ok(addresses)
}
