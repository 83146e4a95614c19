//! All pools of a scheduler that stands alone, without their sockets. What has happened goes in, commands come out, once
//! a turn.

use super::pool::{self, PoolScheduler};
use crate::clock::Millis;
use postusher_decision::{AttemptId, AttemptResult, JobId, WorkerId};
use postusher_direct::{RouteMatch, Routes};
use postusher_setup::Pool;
use serde_json::{json, Map, Value};
use std::io;
use std::net::SocketAddr;

/// Seed of the first pool's random numbers; each further pool has the next.
const FIRST_SEED: u64 = 7;

/// The id of a request, never given twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId {
    /// Its pool, by number.
    pub pool: usize,
    /// What the pool's dispatcher knows it as.
    pub job: JobId,
}

/// A request that has come.
pub struct IncomingRequest<'a> {
    /// Its pool, by number.
    pub pool: usize,
    /// Such as `GET`.
    pub method: &'a str,
    /// All of it is kept, so it can be sent again.
    pub is_replayable: bool,
    /// The session that it names.
    pub session: Option<&'a str>,
}

/// Whether a request has its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestState {
    /// Not yet, or no more than before.
    Open,
    /// By the attempt that has ended.
    Answered,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Send a request to a worker, as this attempt.
    StartAttempt { request: RequestId, attempt: AttemptId, worker: WorkerId, address: SocketAddr },
    /// End a pending attempt.
    CancelAttempt { request: RequestId, attempt: AttemptId },
    /// The final answer: rejected; a retry is advised after so long (0: no advice).
    Reject { request: RequestId, retry_after: Millis },
    /// The final answer: it failed, and may have run.
    Fail { request: RequestId },
}

/// Why pools cannot be served as the setup says.
#[derive(Debug, thiserror::Error)]
pub enum ServiceError {
    /// A worker's address cannot be looked up.
    #[error("worker {worker:?} at {address}: {source}")]
    Lookup {
        /// The worker's name.
        worker: String,
        /// Its address in the setup.
        address: String,
        /// The system's reason.
        source: io::Error,
    },
    /// A worker's address is none of a host.
    #[error("worker {worker:?} at {address}: no such host")]
    NoSuchHost {
        /// The worker's name.
        worker: String,
        /// Its address in the setup.
        address: String,
    },
    /// A setup that was read again has other pools.
    #[error("pools come and go with a restart only")]
    PoolsChanged,
}

/// All pools.
pub struct Service {
    pools: Vec<PoolScheduler>,
    routes: Routes,
    last_job: u32,
    commands: Vec<Command>,
}

impl Service {
    /// Serves these pools.
    ///
    /// # Errors
    /// A worker's address cannot be looked up.
    pub fn new(setups: Vec<Pool>, now: Millis) -> Result<Service, ServiceError> {
        let routes = Routes::new(&setups);
        let mut pools = Vec::with_capacity(setups.len());
        for (index, setup) in setups.into_iter().enumerate() {
            pools.push(PoolScheduler::new(index, setup, FIRST_SEED + index as u64, now)?);
        }
        Ok(Service { pools, routes, last_job: 0, commands: Vec::new() })
    }

    /// Takes over the pools as they are in the setup now: they keep what is known of their workers. Pools come and go
    /// with a restart.
    ///
    /// # Errors
    /// Why nothing has changed.
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

    /// The pool that serves a request, and the target that its worker is asked for.
    pub fn route(&self, host: &str, target: &str) -> Option<RouteMatch> {
        self.routes.find_route(host, target)
    }

    /// What the setup says of a pool.
    pub fn pool(&self, pool: usize) -> &Pool {
        self.pools[pool].setup()
    }

    /// A request has come; gives its id.
    pub fn request_arrived(&mut self, request: &IncomingRequest, now: Millis) -> RequestId {
        self.last_job = self.last_job.wrapping_add(1);
        let job = JobId(self.last_job);
        self.pools[request.pool].request_arrived(job, request, now, &mut self.commands);
        RequestId { pool: request.pool, job }
    }

    /// The answer has begun, and belongs to the client.
    pub fn answer_streaming(&mut self, request: RequestId, attempt: AttemptId) {
        self.pools[request.pool].answer_streaming(request.job, attempt);
    }

    /// An attempt has ended; it may have ended already.
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

    /// The client of a request has left.
    pub fn client_disconnected(&mut self, request: RequestId) {
        self.pools[request.pool].client_disconnected(request.job);
    }

    /// Lets timers expire, has the dispatchers handle all events, and gives their commands.
    pub fn decide(&mut self, now: Millis) -> Vec<Command> {
        for pool in &mut self.pools {
            pool.decide(now, &mut self.commands);
        }
        std::mem::take(&mut self.commands)
    }

    /// Whether a dispatcher has events to handle, or commands are to be run.
    pub fn has_events(&self) -> bool {
        !self.commands.is_empty() || self.pools.iter().any(PoolScheduler::has_events)
    }

    /// When something is to be done by time alone.
    pub fn next_due(&self) -> Option<Millis> {
        self.pools.iter().filter_map(PoolScheduler::next_due).reduce(f64::min)
    }

    /// The metrics, by pool and worker.
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
