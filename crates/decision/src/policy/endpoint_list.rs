//! The endpoint list: applies updates, schedules new requests and decides whether jobs may be placed by it.
//!
//! The drain grace of a change counts from the time at which discovery starts to send the answer with it,
//! even if the answer could not be read here. Jobs are placed by a list that is known to be out of date only
//! for a part of that grace, and by an unconfirmed list of an earlier process only if discovery does not
//! answer within a time limit. Otherwise they wait until the list is confirmed, or are rejected or failed.

use super::quotas::QUEUEING_SLACK_SHARE;
use super::TICK_US;
use crate::interface::{Action, Endpoint, EndpointState, JobId, ListUpdate, Micros};
use crate::state::TimerPurpose;
use crate::Dispatcher;

/// The first call to a polled discovery is made at a random time within this interval times the number of
/// schedulers, but within a quarter of the poll interval.
const FIRST_POLL_SPREAD_US: f64 = 10_000.0;
/// Time after a move of discovery during which failed calls are repeated without backoff.
const MOVE_GRACE_US: Micros = 4_000_000;
/// Mean delay after the first failed call; the actual one is random, between half and one and a half of it.
const RETRY_DELAY_US: Micros = 250_000;
/// Number of failed calls repeated without backoff if discovery has started an answer that was not read.
const RETRIES_WITHOUT_BACKOFF: u32 = 3;
/// Maximum number of doublings of the retry delay.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Time after which a new process uses the cached list although discovery has not answered.
const UNCONFIRMED_LIMIT_US: Micros = 5_000_000;
/// Jobs are placed by a superseded list for the drain grace divided by this. The rest of the grace covers the
/// transfer of the answer and delays of the process.
const SUPERSEDED_LIST_DIVISOR: u64 = 2;

/// Whether the endpoint list is current.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum ListStatus {
    /// The list is the latest one that discovery has sent, as far as is known.
    #[default]
    Confirmed,
    /// An earlier process cached the list, and discovery has not answered since.
    Unconfirmed {
        /// When this process started with the cached list.
        since: Micros,
    },
    /// Discovery has started a newer answer that has not been read yet.
    Superseded {
        /// The time until which jobs are still placed by the list.
        until: Micros,
    },
}

impl ListStatus {
    /// Returns whether jobs may be placed by the list at time `now`.
    fn is_current(self, now: Micros) -> bool {
        match self {
            ListStatus::Confirmed => true,
            ListStatus::Unconfirmed { since } => now >= since + UNCONFIRMED_LIMIT_US,
            ListStatus::Superseded { until } => now < until,
        }
    }

    /// Returns the status after an update.
    fn after(self, update: ListUpdate, drain_grace: Micros) -> ListStatus {
        match update {
            ListUpdate::AnswerStarted { at } => {
                let until = match self {
                    ListStatus::Confirmed => at + drain_grace / SUPERSEDED_LIST_DIVISOR,
                    ListStatus::Unconfirmed { .. } => 0,
                    ListStatus::Superseded { until } => until,
                };
                ListStatus::Superseded { until }
            }
            ListUpdate::Changes | ListUpdate::Complete => ListStatus::Confirmed,
            ListUpdate::Cached | ListUpdate::Failed => self,
        }
    }
}

/// The status of the endpoint list and of the calls to discovery.
#[derive(Default)]
pub struct EndpointListState {
    status: ListStatus,
    /// Number of consecutive failed calls to discovery.
    failures: u32,
    /// When discovery last moved to another address.
    moved_at: Option<Micros>,
    /// Jobs that wait for a current list, in the order in which they began to wait.
    waiting_jobs: Vec<JobId>,
}

impl EndpointListState {
    /// Returns the state of a list that an earlier process cached.
    pub fn unconfirmed(since: Micros) -> Self {
        EndpointListState { status: ListStatus::Unconfirmed { since }, ..EndpointListState::default() }
    }

    /// Returns whether jobs may be placed by the list at time `now`.
    pub fn is_current(&self, now: Micros) -> bool {
        self.status.is_current(now)
    }

    /// Returns whether jobs may be placed at time `now` by the list that results from `updates`, which have
    /// not been applied yet.
    pub fn is_current_after(
        &self,
        updates: impl Iterator<Item = ListUpdate>,
        drain_grace: Micros,
        now: Micros,
    ) -> bool {
        let status = updates.fold(self.status, |status, update| status.after(update, drain_grace));
        status.is_current(now)
    }

    /// Removes a waiting job. Returns whether it was waiting.
    fn stop_waiting(&mut self, job: JobId) -> bool {
        let count_before = self.waiting_jobs.len();
        self.waiting_jobs.retain(|waiting| *waiting != job);
        self.waiting_jobs.len() < count_before
    }
}

impl Dispatcher {
    pub(super) fn update_endpoint_list(
        &mut self,
        update: ListUpdate,
        endpoints: Vec<Endpoint>,
        actions: &mut Vec<Action>,
    ) {
        self.endpoint_list.status = self.endpoint_list.status.after(update, self.settings.drain_grace);
        match update {
            ListUpdate::AnswerStarted { .. } => return,
            ListUpdate::Failed => return self.list_call_failed(actions),
            ListUpdate::Cached => self.start_with_cached_list(actions),
            ListUpdate::Changes | ListUpdate::Complete => self.endpoint_list.failures = 0,
        }
        if update != ListUpdate::Changes {
            self.remove_unlisted(&endpoints);
        }
        for endpoint in endpoints {
            self.update_endpoint(endpoint);
        }
        self.update_accepting_workers();
        if update == ListUpdate::Cached {
            // Schedulers must not all start with the same worker.
            self.tokens.shuffle(&mut self.random);
        }
        self.place_jobs_waiting_for_list(actions);
    }

    /// Removes the workers that a complete list does not contain.
    fn remove_unlisted(&mut self, endpoints: &[Endpoint]) {
        for endpoint in self.workers.missing_from(endpoints) {
            self.update_endpoint(Endpoint { state: EndpointState::Removed, ..endpoint });
        }
    }

    /// Starts the ticks and, if discovery is polled, sets the timer for the first call. The calls of the
    /// schedulers are spread over time.
    fn start_with_cached_list(&mut self, actions: &mut Vec<Action>) {
        actions.push(TimerPurpose::Tick.set_after(TICK_US));
        let spread = self.scheduler_count * FIRST_POLL_SPREAD_US;
        let spread = spread.min(self.settings.poll_interval as f64 / 4.0);
        let after = (spread * self.random.next_fraction()) as Micros;
        if self.settings.list_is_polled {
            actions.push(TimerPurpose::RequestList.set_after(after));
        }
    }

    pub(super) fn discovery_moved(&mut self, actions: &mut Vec<Action>) {
        self.endpoint_list.failures = 0;
        self.endpoint_list.moved_at = Some(self.now);
        actions.push(Action::WatchEndpoints);
    }

    /// Sets the timer for the next call to discovery after a failed one. Polled discovery is a shared service
    /// and is called with backoff. Discovery that pushes is a local agent and is called without backoff, as
    /// the drain grace of the changes that it has sent ends within seconds. The first retries are also made
    /// without backoff if an answer was started and not read, and all retries shortly after a move of
    /// discovery.
    fn list_call_failed(&mut self, actions: &mut Vec<Action>) {
        let list = &mut self.endpoint_list;
        let moved = list.moved_at.is_some_and(|at| self.now < at + MOVE_GRACE_US);
        let superseded = matches!(list.status, ListStatus::Superseded { .. });
        let without_backoff =
            !self.settings.list_is_polled || moved || superseded && list.failures < RETRIES_WITHOUT_BACKOFF;
        let limit = if self.settings.list_is_polled {
            self.settings.poll_interval
        } else {
            self.settings.drain_grace
        };
        let doublings = if without_backoff { 0 } else { list.failures.min(MAX_BACKOFF_DOUBLINGS) };
        let delay = (RETRY_DELAY_US << doublings).min(limit / 4);
        list.failures += 1;
        let after = (delay as f64 * (0.5 + self.random.next_fraction())) as Micros;
        actions.push(TimerPurpose::RequestList.set_after(after));
    }

    /// Lets a job wait for a current list while it can still meet its latency objective afterwards; rejects
    /// it once that time is over.
    pub(super) fn wait_for_list(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.answered {
            return;
        }
        let limit = (QUEUEING_SLACK_SHARE * self.latency_slack(job, 1.0)) as Micros;
        let until = job.list_wait_until.unwrap_or((self.now + limit).min(job.submitted.deadline));
        if self.now >= until {
            return self.reject_or_fail(id, actions);
        }
        if job.list_wait_until.is_none() {
            actions.push(TimerPurpose::ListWaitTimeout(id).set_after(until - self.now));
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.list_wait_until = Some(until);
        }
        if !self.endpoint_list.waiting_jobs.contains(&id) {
            self.endpoint_list.waiting_jobs.push(id);
        }
    }

    /// Ends a job's wait for a current list: places the job if the list is current, otherwise rejects it.
    pub(super) fn list_wait_timed_out(&mut self, id: JobId, actions: &mut Vec<Action>) {
        if !self.endpoint_list.stop_waiting(id) || !self.is_unanswered(id) {
            return;
        }
        // A timer may expire a microsecond early. `wait_for_list` would then let the job wait again without
        // setting another timer.
        if self.is_list_current(self.now) {
            self.place(id, actions);
        } else {
            self.reject_or_fail(id, actions);
        }
    }

    /// If the list is current, places the jobs that waited for it, in the order in which they began to wait.
    fn place_jobs_waiting_for_list(&mut self, actions: &mut Vec<Action>) {
        if !self.is_list_current(self.now) {
            return;
        }
        for id in std::mem::take(&mut self.endpoint_list.waiting_jobs) {
            if self.is_unanswered(id) {
                self.place(id, actions);
            }
        }
    }
}
