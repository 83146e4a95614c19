//! All pools of a standalone scheduler, without their sockets. The event loop reports events to the service
//! and runs the commands that [`Service::decide`] returns.

use super::pool::{self, PoolScheduler};
use crate::clock::Millis;
use postusher_decision::{AttemptId, AttemptResult, JobId, WorkerId};
use postusher_direct::{RouteMatch, Routes};
use postusher_setup::Pool;
use serde_json::{json, Map, Value};
use std::io;
use std::net::SocketAddr;

/// Random seed of the first pool; each further pool uses the next number.
const FIRST_SEED: u64 = 7;

/// The id of a request. Job ids are assigned in ascending order and repeat only after 2^32 requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId {
    /// Index of the pool.
    pub pool: usize,
    /// Id of the request in the pool's dispatcher.
    pub job: JobId,
}

/// A newly received request.
pub struct IncomingRequest<'a> {
    /// Index of the pool.
    pub pool: usize,
    /// The method, such as `GET`.
    pub method: &'a str,
    /// The complete request will be kept, so that it can be retried.
    pub is_replayable: bool,
    /// The route in the request's session, if it has one.
    pub session_route: Option<&'a str>,
}

/// Whether a request is answered when one of its attempts ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// The attempt has not answered the request.
    Open,
    /// The attempt has answered the request, or its answer was aborted after it had begun.
    Answered,
}

/// A command for the event loop.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a request to a worker as the given attempt.
    StartAttempt { request: RequestId, attempt: AttemptId, worker: WorkerId, address: SocketAddr },
    /// Cancel a pending attempt.
    CancelAttempt { request: RequestId, attempt: AttemptId },
    /// Answer that the request is rejected, with a Retry-After header unless `retry_after` is 0.
    Reject { request: RequestId, retry_after: Millis },
    /// Answer that the request failed; it may have run.
    Fail { request: RequestId },
}

/// Reason why pools cannot be served as configured.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// The address of a worker cannot be resolved.
    #[error("cannot resolve the address {address:?} of worker {worker:?}: {source}")]
    Lookup {
        /// Name of the worker.
        worker: String,
        /// Address of the worker in the setup.
        address: String,
        /// The underlying error.
        source: io::Error,
    },
    /// The address of a worker resolves to no host.
    #[error("the address {address:?} of worker {worker:?} resolves to no host")]
    NoSuchHost {
        /// Name of the worker.
        worker: String,
        /// Address of the worker in the setup.
        address: String,
    },
    /// The pools of a reloaded setup differ in number, names or order.
    #[error("adding, removing, renaming or reordering pools requires a restart")]
    PoolsChanged,
}

/// All pools of a scheduler.
pub struct Service {
    pools: Vec<PoolScheduler>,
    routes: Routes,
    last_job_id: u32,
    /// Commands for the next call of [`Service::decide`] to return.
    commands: Vec<Command>,
}

impl Service {
    /// Creates a service with the given pools, in the order of the setup.
    ///
    /// # Errors
    /// The address of a worker cannot be resolved.
    pub fn new(setups: Vec<Pool>, now: Millis) -> Result<Service, ServiceError> {
        let routes = Routes::new(&setups);
        let mut pools = Vec::with_capacity(setups.len());
        for (index, setup) in setups.into_iter().enumerate() {
            pools.push(PoolScheduler::new(index, setup, FIRST_SEED + index as u64, now)?);
        }
        Ok(Service { pools, routes, last_job_id: 0, commands: Vec::new() })
    }

    /// Applies a reloaded setup to the pools, which keep the state of the workers that remain. Adding,
    /// removing, renaming or reordering pools requires a restart.
    ///
    /// # Errors
    /// The pools differ in number, names or order, or the address of a worker cannot be resolved. Nothing
    /// changes in that case.
    pub fn reload(&mut self, setups: Vec<Pool>, now: Millis) -> Result<(), ServiceError> {
        let old_names = self.pools.iter().map(|pool| &pool.setup().name);
        if !old_names.eq(setups.iter().map(|setup| &setup.name)) {
            return Err(ServiceError::PoolsChanged);
        }
        let addresses = setups.iter().map(pool::resolve).collect::<Result<Vec<_>, _>>()?;
        self.routes = Routes::new(&setups);
        for ((pool, setup), addresses) in self.pools.iter_mut().zip(setups).zip(addresses) {
            pool.reload(setup, addresses, now);
        }
        Ok(())
    }

    /// Returns the pool that serves a request, and the request target to send to its worker. `host` is the
    /// host that the request names, with or without a port. Returns `None` if no pool serves the request.
    pub fn route(&self, host: &str, target: &str) -> Option<RouteMatch> {
        self.routes.find_route(host, target)
    }

    /// Returns the configuration of the pool with the given index.
    pub fn pool(&self, pool: usize) -> &Pool {
        self.pools[pool].setup()
    }

    /// Handles a new request and returns its id.
    pub fn request_arrived(&mut self, request: &IncomingRequest, now: Millis) -> RequestId {
        self.last_job_id = self.last_job_id.wrapping_add(1);
        let job = JobId(self.last_job_id);
        self.pools[request.pool].request_arrived(job, request, now, &mut self.commands);
        RequestId { pool: request.pool, job }
    }

    /// Records that an answer has begun and is being passed to the client.
    pub fn answer_streaming(&mut self, request: RequestId, attempt: AttemptId) {
        self.pools[request.pool].answer_streaming(request.job, attempt);
    }

    /// Handles the end of an attempt. Has no effect if the attempt has already ended.
    pub fn attempt_ended(
        &mut self,
        request: RequestId,
        attempt: AttemptId,
        result: AttemptResult,
        state: RequestState,
        now: Millis,
    ) {
        self.pools[request.pool].attempt_ended(request.job, attempt, result, state, now);
    }

    /// Handles the disconnection of a request's client.
    pub fn client_disconnected(&mut self, request: RequestId) {
        self.pools[request.pool].client_disconnected(request.job);
    }

    /// Fires due timers, lets the dispatchers handle all events and returns their commands.
    pub fn decide(&mut self, now: Millis) -> Vec<Command> {
        for pool in &mut self.pools {
            pool.decide(now, &mut self.commands);
        }
        std::mem::take(&mut self.commands)
    }

    /// Returns whether a dispatcher has events to handle or commands are pending.
    pub fn has_events(&self) -> bool {
        !self.commands.is_empty() || self.pools.iter().any(PoolScheduler::has_events)
    }

    /// Returns the time at which [`Service::decide`] must run next even if there are no events; `None` if no
    /// timer is set.
    pub fn next_due(&self) -> Option<Millis> {
        self.pools.iter().filter_map(PoolScheduler::next_due).reduce(f64::min)
    }

    /// Returns the number of pending timers of all pools.
    pub fn timer_count(&self) -> usize {
        self.pools.iter().map(PoolScheduler::timer_count).sum()
    }

    /// Returns the metrics by pool and worker.
    pub fn stats(&self) -> Value {
        let mut pools = Map::new();
        for pool in &self.pools {
            pools.insert(pool.setup().name.clone(), pool.stats());
        }
        json!({ "pools": pools })
    }
}

#[cfg(test)]
mod tests;
