//! The state of one worker.

use super::{CircuitBreaker, ReportedLoad, SlowStartBudget, WorkerHealth};
use crate::interface::{AttemptId, Endpoint, EndpointState, JobId, Micros};

/// The state of the health check of a worker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum HealthCheck {
    /// No health check is pending.
    #[default]
    Idle,
    /// A health check is pending that refreshes the load report.
    Pending,
    /// A load probe is pending that this job waits for.
    LoadProbePending(JobId),
}

/// The state of one worker, as observed by this dispatcher.
pub struct Worker {
    /// The worker's entry in the endpoint list.
    pub endpoint: Endpoint,
    /// Number of tokens held by pending attempts.
    pub held_tokens: i64,
    /// The pending attempts.
    pub attempts: Vec<(JobId, AttemptId)>,
    /// The load according to the worker's load reports.
    pub load: ReportedLoad,
    /// The health score and ejections.
    pub health: WorkerHealth,
    /// Time of the last use of each idle connection, the latest last.
    pub idle_connections: Vec<Micros>,
    /// The pending health check, if any.
    pub health_check: HealthCheck,
    /// Circuit breakers of the classes that the worker has served or rejected.
    pub breakers: Vec<CircuitBreaker>,
    /// Budget of work that may be sent to the worker in slow start.
    pub slow_start: SlowStartBudget,
    /// Time at which an operator last enabled the worker; 0 if that has not happened since the worker was
    /// listed or restarted.
    pub enabled_at: Micros,
}

impl Worker {
    /// Creates the state of a worker that was just listed, restarted or enabled, without pending attempts.
    /// `enabled_at` is 0 unless an operator enabled it.
    pub fn new(endpoint: Endpoint, slow_start: SlowStartBudget, enabled_at: Micros) -> Self {
        Worker {
            endpoint,
            held_tokens: 0,
            attempts: Vec::new(),
            load: ReportedLoad::default(),
            health: WorkerHealth::default(),
            idle_connections: Vec::new(),
            health_check: HealthCheck::Idle,
            breakers: Vec::new(),
            slow_start,
            enabled_at,
        }
    }

    /// Returns the circuit breaker of a class; `None` if the worker has neither served nor rejected it.
    pub fn breaker(&self, class: u16) -> Option<&CircuitBreaker> {
        self.breakers.iter().find(|breaker| breaker.class() == class)
    }

    /// Returns the circuit breaker of a class; adds a closed one if there is none.
    pub fn breaker_mut(&mut self, class: u16) -> &mut CircuitBreaker {
        let position = self.breakers.iter().position(|breaker| breaker.class() == class);
        let index = position.unwrap_or(self.breakers.len());
        if position.is_none() {
            self.breakers.push(CircuitBreaker::new(class));
        }
        &mut self.breakers[index]
    }

    /// Adds a pending attempt and the number of tokens that it holds.
    pub fn add_attempt(&mut self, job: JobId, attempt: AttemptId, tokens: i64) {
        self.attempts.push((job, attempt));
        self.held_tokens += tokens;
    }

    /// Removes an ended attempt and the number of tokens that it held.
    pub fn remove_attempt(&mut self, job: JobId, attempt: AttemptId, tokens: i64) {
        // An attempt that was adopted before the worker was listed has not been added here, so the difference
        // may be negative.
        self.held_tokens = (self.held_tokens - tokens).max(0);
        self.attempts.retain(|pending| *pending != (job, attempt));
    }

    /// Returns whether the worker accepts jobs according to the endpoint list.
    pub fn accepts_jobs_by_list(&self) -> bool {
        matches!(self.endpoint.state, EndpointState::Ready | EndpointState::Reserved)
    }

    /// Returns whether the worker was removed from the endpoint list and has no pending attempt.
    pub fn can_be_dropped(&self) -> bool {
        self.endpoint.state == EndpointState::Removed && self.attempts.is_empty()
    }
}
