//! A worker of a pool, and its response time relative to its own mean.

use crate::clock::Millis;
use crate::direct::service::ServiceError;
use postusher_decision::WorkerId;
use postusher_setup::Pool;
use std::net::{SocketAddr, ToSocketAddrs};

/// Weight of a new response time in a worker's exponential moving average, which covers about the last 50
/// answers.
const MEAN_RESPONSE_TIME_WEIGHT: f64 = 0.02;
/// Differences between response times that are well below this value are noise. It is added to both times
/// before they are compared, so that such differences hardly change their ratio.
const NOISE_TIME: Millis = 20.0;
/// Time reported to the dispatcher for an answer that took the worker's mean time.
const REFERENCE_TIME: Millis = 100.0;

/// Numbers of attempts at a worker since the scheduler started.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counters {
    pub(super) sent: u64,
    /// Attempts that were answered, with any status.
    pub(super) answered: u64,
    /// Attempts that failed without a complete answer.
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
    /// Exponential moving average of the worker's response time; `None` until an attempt has ended.
    pub(super) mean_response_time: Option<Millis>,
}

impl Worker {
    /// Returns the time to report to the dispatcher: `time` relative to this worker's mean response time. The
    /// workers of a pool may differ in speed and their shares are configured, so only a worker that is slower
    /// than its own mean is an outlier. `updates_mean` says whether `time` is included in the mean; the first
    /// time becomes the initial mean in any case.
    pub(super) fn relative_time(&mut self, time: Millis, updates_mean: bool) -> Millis {
        let mean = *self.mean_response_time.get_or_insert(time);
        if updates_mean {
            self.mean_response_time = Some(mean + MEAN_RESPONSE_TIME_WEIGHT * (time - mean));
        }
        REFERENCE_TIME * (time + NOISE_TIME) / (mean + NOISE_TIME)
    }

    /// Returns the number of free slots to report to the dispatcher, as workers of a pool send no load
    /// reports.
    pub(super) fn free_slots(&self) -> f64 {
        self.max_in_flight.saturating_sub(self.in_flight) as f64
    }
}

/// Resolves the addresses of a pool's workers and returns the first one of each, in the order of the pool.
/// Blocks during the lookup, so it is called only at the start and on a reload of the setup.
///
/// # Errors
/// The lookup fails for a worker, or finds no address.
pub(in crate::direct) fn resolve(pool: &Pool) -> Result<Vec<SocketAddr>, ServiceError> {
    let mut addresses = Vec::with_capacity(pool.workers.len());
    for worker in &pool.workers {
        let mut candidates = worker.addr.to_socket_addrs().map_err(|source| ServiceError::Lookup {
            worker: worker.id.clone(),
            address: worker.addr.clone(),
            source,
        })?;
        let address = candidates.next().ok_or_else(|| ServiceError::NoSuchHost {
            worker: worker.id.clone(),
            address: worker.addr.clone(),
        })?;
        addresses.push(address);
    }
    Ok(addresses)
}
