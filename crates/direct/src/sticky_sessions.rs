//! Proposes a worker of a pool for each request: the worker of its session if it has one, otherwise the next
//! worker in a weighted round robin over the workers in rotation. The decision module may choose another
//! worker; the worker actually chosen is recorded here, so that shares still follow the weights.

#[cfg(test)]
mod tests;

use postusher_setup::{Pool, Role, State, Worker};

/// The backoff after a worker's first failure, in milliseconds; it doubles with each further failure.
const INITIAL_BACKOFF_MS: f64 = 500.0;
/// The maximum backoff, in milliseconds.
const MAX_BACKOFF_MS: f64 = 30_000.0;
/// The number of doublings after which [`MAX_BACKOFF_MS`] is reached.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// The lower bound of the total weight; avoids a division by zero if no worker is in rotation.
const MIN_TOTAL_WEIGHT: f64 = 1e-9;

/// The requests that the decision module may send to a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    /// Any request.
    Ready,
    /// Only requests for which the worker is proposed.
    Reserved,
    /// No requests.
    Removed,
}

/// The proposal for a request. Workers are identified by their index in the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proposal {
    /// Prefer this worker; use any other if it cannot serve the request.
    Prefer(usize),
    /// Use only this worker.
    Only(usize),
    /// Use any worker.
    Any,
    /// Reject the request: neither the worker of its session nor the worker that this one redirects to is
    /// usable, and the pool is strict.
    Reject,
}

/// A worker with its state in the round robin.
struct Member {
    worker: Worker,
    /// The number of requests due to the worker by its weight minus the number of requests sent to it;
    /// negative if it has received more than its share.
    deficit: f64,
    /// The end of the backoff after the latest failure, in milliseconds; 0 if the worker has not failed since
    /// its latest response.
    backoff_until: f64,
    consecutive_failures: u32,
}

impl Member {
    fn new(worker: &Worker) -> Member {
        Member { worker: worker.clone(), deficit: 0.0, backoff_until: 0.0, consecutive_failures: 0 }
    }

    fn is_usable(&self, now: f64) -> bool {
        self.worker.state != State::Stopped && self.backoff_until <= now
    }

    fn has_route(&self, route: &str) -> bool {
        self.worker.route.as_deref() == Some(route)
    }
}

/// Session affinity and weighted round robin of one pool. All times are in milliseconds of the same clock.
pub struct StickySessions {
    members: Vec<Member>,
    /// Whether a request is rejected if neither the worker of its session nor the worker that this one
    /// redirects to is usable.
    strict: bool,
    /// The indices of the workers that receive requests without a session, in ascending order.
    rotation: Vec<usize>,
    /// The sum of the weights of the workers in rotation.
    total_weight: f64,
    /// Whether a worker has failed or recovered, or the pool has changed, since the rotation was last
    /// computed.
    is_rotation_stale: bool,
    /// The earliest time at which a backoff ends; infinite if no worker is in backoff.
    first_backoff_end: f64,
}

impl StickySessions {
    /// Creates the state for a pool whose workers have received no requests.
    pub fn new(pool: &Pool) -> StickySessions {
        let mut sessions = StickySessions {
            members: pool.workers.iter().map(Member::new).collect(),
            strict: pool.sticky.as_ref().is_some_and(|sticky| sticky.strict),
            rotation: Vec::new(),
            total_weight: 1.0,
            is_rotation_stale: true,
            first_backoff_end: f64::INFINITY,
        };
        sessions.update_rotation(0.0);
        sessions
    }

    /// Applies a changed pool. Workers whose id is in both the old and the new pool keep their deficit and
    /// backoff.
    pub fn reconfigure(&mut self, pool: &Pool, now: f64) {
        let mut reconfigured = StickySessions::new(pool);
        for member in &mut reconfigured.members {
            if let Some(old) = self.members.iter().find(|old| old.worker.id == member.worker.id) {
                member.deficit = old.deficit;
                member.backoff_until = old.backoff_until;
                member.consecutive_failures = old.consecutive_failures;
            }
        }
        reconfigured.is_rotation_stale = true;
        *self = reconfigured;
        self.update_rotation(now);
    }

    /// Updates the rotation and returns whether it has changed. Does nothing and returns false unless a
    /// worker has failed, recovered or reached the end of its backoff since the last call.
    pub fn update_rotation(&mut self, now: f64) -> bool {
        if !self.is_rotation_stale && now < self.first_backoff_end {
            return false;
        }
        self.is_rotation_stale = false;
        let rotation = self.compute_rotation(now);
        let weights = rotation.iter().map(|index| self.members[*index].worker.weight);
        self.total_weight = weights.sum::<f64>().max(MIN_TOTAL_WEIGHT);
        let backoff_ends = self.members.iter().map(|member| member.backoff_until).filter(|end| *end > now);
        self.first_backoff_end = backoff_ends.fold(f64::INFINITY, f64::min);
        let has_changed = rotation != self.rotation;
        self.rotation = rotation;
        has_changed
    }

    /// Returns the usable workers of the lowest set that has any, selected by role. If no set has a usable
    /// worker, returns all live workers, as one of them may have recovered.
    fn compute_rotation(&self, now: f64) -> Vec<usize> {
        let mut live = Vec::new();
        let mut sets = Vec::new();
        for (index, member) in self.members.iter().enumerate() {
            if member.worker.state == State::Live {
                live.push(index);
                sets.push(member.worker.set);
            }
        }
        sets.sort_unstable();
        sets.dedup();
        for set in sets {
            let usable = self.usable_in_set(set, &live, now);
            if !usable.is_empty() {
                return usable;
            }
        }
        live
    }

    /// Returns the usable active workers of a set, plus one usable spare for each unusable active worker. If
    /// there are neither, returns the usable standbys. `live` are the indices of the live workers of all
    /// sets.
    fn usable_in_set(&self, set: u32, live: &[usize], now: f64) -> Vec<usize> {
        let mut usable = Vec::new();
        let mut spares = Vec::new();
        let mut standbys = Vec::new();
        let mut unusable_actives = 0;
        for index in live {
            let member = &self.members[*index];
            if member.worker.set != set {
                continue;
            }
            match (member.worker.role, member.is_usable(now)) {
                (Role::Active, true) => usable.push(*index),
                (Role::Active, false) => unusable_actives += 1,
                (Role::Spare, true) => spares.push(*index),
                (Role::Standby, true) => standbys.push(*index),
                (Role::Spare | Role::Standby, false) => {}
            }
        }
        usable.extend(spares.into_iter().take(unusable_actives));
        if usable.is_empty() {
            return standbys;
        }
        usable.sort_unstable();
        usable
    }

    /// Returns the listing of each worker, in the order of the pool.
    pub fn listings(&self) -> Vec<Listing> {
        let mut listings = Vec::with_capacity(self.members.len());
        for (index, member) in self.members.iter().enumerate() {
            listings.push(if member.worker.state == State::Stopped {
                Listing::Removed
            } else if self.rotation.binary_search(&index).is_ok() {
                Listing::Ready
            } else {
                Listing::Reserved
            });
        }
        listings
    }

    /// Proposes a worker for a request; `session_route` is the route in the request's session, if it has one.
    /// A proposal of the round robin counts the request as sent to the proposed worker. If a request without
    /// a session is then sent to another worker or to none, [`StickySessions::record_sent`] or
    /// [`StickySessions::withdraw_proposal`] corrects the count.
    pub fn propose(&mut self, session_route: Option<&str>, now: f64) -> Proposal {
        if let Some(route) = session_route {
            if let Some(proposal) = self.propose_for_session(route, now) {
                return proposal;
            }
            // The worker of the session has been removed from the pool, or neither it nor the worker that it
            // redirects to is usable.
            if self.strict {
                return Proposal::Reject;
            }
        }
        match self.worker_with_largest_deficit() {
            Some(next) => {
                self.distribute(1.0);
                self.members[next].deficit -= 1.0;
                Proposal::Prefer(next)
            }
            None => Proposal::Any,
        }
    }

    /// Proposes the worker with a route or, if that is unusable, the worker that it redirects to. Returns
    /// `None` if neither is usable or no worker has the route.
    fn propose_for_session(&self, route: &str, now: f64) -> Option<Proposal> {
        let session_worker = self.worker_with_route(route)?;
        if self.members[session_worker].is_usable(now) {
            return Some(if self.strict {
                Proposal::Only(session_worker)
            } else {
                Proposal::Prefer(session_worker)
            });
        }
        let redirect_route = self.members[session_worker].worker.redirect.as_ref()?;
        let redirect_worker = self.worker_with_route(redirect_route)?;
        if self.members[redirect_worker].is_usable(now) {
            return Some(Proposal::Prefer(redirect_worker));
        }
        None
    }

    fn worker_with_route(&self, route: &str) -> Option<usize> {
        self.members.iter().position(|member| member.has_route(route))
    }

    /// Returns the worker in rotation that will have the largest deficit after the next call of
    /// `distribute(1.0)`; the first one if several are equal.
    fn worker_with_largest_deficit(&self) -> Option<usize> {
        let next_deficit = |index: &usize| {
            let member = &self.members[*index];
            member.deficit + member.worker.weight / self.total_weight
        };
        self.rotation
            .iter()
            .copied()
            .max_by(|a, b| next_deficit(a).total_cmp(&next_deficit(b)).then(b.cmp(a)))
    }

    /// Adds a number of requests to the deficits of the workers in rotation, in proportion to their weights.
    /// Deficits are bounded, so that a worker that returns to the rotation after a long time is not flooded.
    fn distribute(&mut self, requests: f64) {
        let bound = self.rotation.len() as f64 + 1.0;
        for index in &self.rotation {
            let member = &mut self.members[*index];
            let share = requests * member.worker.weight / self.total_weight;
            member.deficit = (member.deficit + share).clamp(-bound, bound);
        }
    }

    /// Records that a request without a session was sent to `worker`, which may differ from the proposed one.
    pub fn record_sent(&mut self, proposed: usize, worker: usize) {
        if proposed == worker {
            return;
        }
        if let Some(member) = self.members.get_mut(proposed) {
            member.deficit += 1.0;
        }
        if let Some(member) = self.members.get_mut(worker) {
            member.deficit -= 1.0;
        }
    }

    /// Records that a request without a session was not sent to any worker.
    pub fn withdraw_proposal(&mut self, proposed: usize) {
        self.distribute(-1.0);
        if let Some(member) = self.members.get_mut(proposed) {
            member.deficit += 1.0;
        }
    }

    /// Records that a connection to a worker could not be established or was lost, or that an attempt timed
    /// out, which starts a backoff. Further failures during the backoff are ignored.
    pub fn record_failure(&mut self, worker: usize, now: f64) {
        let Some(member) = self.members.get_mut(worker) else { return };
        if member.backoff_until > now {
            return;
        }
        let doublings = member.consecutive_failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = INITIAL_BACKOFF_MS * f64::from(1u32 << doublings);
        member.backoff_until = now + backoff.min(MAX_BACKOFF_MS);
        member.consecutive_failures = member.consecutive_failures.saturating_add(1);
        self.is_rotation_stale = true;
    }

    /// Records that a worker has responded, which ends its backoff.
    pub fn record_response(&mut self, worker: usize) {
        let Some(member) = self.members.get_mut(worker) else { return };
        if member.backoff_until > 0.0 {
            self.is_rotation_stale = true;
        }
        member.consecutive_failures = 0;
        member.backoff_until = 0.0;
    }

    /// Returns the earliest time at which a backoff ends, as of the last [`StickySessions::update_rotation`];
    /// `None` if no worker was in backoff.
    pub fn next_retry_at(&self) -> Option<f64> {
        Some(self.first_backoff_end).filter(|end| end.is_finite())
    }
}
