//! The decisions of a dispatcher, one concern per file.
//!
//! Regular placement, without an override by the host, follows C. Comte, "Dynamic Load Balancing with
//! Tokens": all free tokens are in one bucket in release order. A job goes to the worker that fits it best;
//! among equal ones, to the worker with the longest-free token. A job that fits no worker is rejected at
//! once.

mod admission;
mod attempts;
mod capacity;
mod circuit_breaker;
mod endpoint_list;
mod fleet;
mod handover;
mod load_probes;
mod load_reports;
mod outcomes;
mod outlier_detection;
mod permission;
mod placement;
mod quotas;
mod slow_start;

pub use admission::MAX_SAVED_RETRIES;
pub use endpoint_list::EndpointListState;
pub use placement::PlacementOverride;

use crate::interface::{Action, Event, Micros};
use crate::state::TimerPurpose;
use crate::Dispatcher;

/// Interval between two ticks, at which estimates are updated and workers are checked. Shorter than the
/// shortest latency objective.
const TICK_US: Micros = 100_000;

impl Dispatcher {
    /// Handles one event at time `now` and appends the resulting actions.
    pub fn handle(&mut self, event: Event, now: Micros, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        match event {
            Event::EndpointList { update, endpoints } => {
                self.update_endpoint_list(update, endpoints, actions)
            }
            Event::DiscoveryMoved => self.discovery_moved(actions),
            Event::WorkerDisabled(worker) => self.disable_worker(worker),
            Event::WorkerEnabled(worker) => self.enable_worker(worker),
            Event::PlacementOverride { job, worker, required } => {
                self.placement_overrides.insert(job, PlacementOverride { worker, required });
            }
            Event::JobArrived(job) => self.admit(job, actions),
            Event::JobAdopted { job, attempts } => self.adopt(job, &attempts, actions),
            Event::LearnedStateReceived(learned) => self.restore_learned_state(&learned),
            Event::JobStarted { job, attempt } | Event::JobProgressed { job, attempt, .. } => {
                self.attempt_progressed(job, attempt, actions)
            }
            Event::AnswerStreaming { job, .. } => {
                if let Some(job) = self.jobs.get_mut(&job) {
                    job.streaming = true;
                }
            }
            Event::AttemptEnded(mut outcome) => {
                self.drop_invalid_report(&mut outcome.report);
                self.attempt_ended(&outcome, actions);
            }
            Event::ClientDisconnected(job) => self.close(job, actions),
            Event::HealthCheckEnded { worker, result, mut report } => {
                self.drop_invalid_report(&mut report);
                self.health_check_ended(worker, result, &report, actions);
            }
            Event::TimerExpired(timer) => self.timer_expired(timer, actions),
        }
        self.place_next_of_changed_keys(actions);
    }

    fn timer_expired(&mut self, timer: u64, actions: &mut Vec<Action>) {
        match TimerPurpose::decode(timer) {
            Some(TimerPurpose::Tick) => self.tick(actions),
            Some(TimerPurpose::Deadline(job)) => self.deadline_reached(job, actions),
            Some(TimerPurpose::StartOverdue(job)) => self.start_overdue(job, actions),
            Some(TimerPurpose::RequestList) => actions.push(Action::WatchEndpoints),
            Some(TimerPurpose::KeyPauseEnded(job)) => self.close(job, actions),
            Some(TimerPurpose::LoadProbeTimeout(job)) => self.load_probes_timed_out(job, actions),
            Some(TimerPurpose::ListWaitTimeout(job)) => self.list_wait_timed_out(job, actions),
            None => {}
        }
    }

    /// Runs the periodic updates and sets the timer for the next tick.
    fn tick(&mut self, actions: &mut Vec<Action>) {
        actions.push(TimerPurpose::Tick.set_after(TICK_US));
        self.queueing.decay();
        self.update_foreign_load();
        self.probe_next_workers(actions);
        self.update_slow_starting_workers();
        self.update_time_dependent_workers();
    }
}
