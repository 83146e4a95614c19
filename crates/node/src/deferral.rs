//! Deferred jobs: adapter to the deferral queue, which exists only if the setup configures it.

use crate::clock::Millis;
use crate::intake::Job;
use crate::upgrade_protocol::{JobEnd, MigratedDeferral};
use postusher_decision::JobId;
use postusher_deferred_jobs::{
    Decision, DeferralQueue, DeferredJob, Dependency, JobEndStatus, Limits, MigratedState, RequeueOutcome,
    StartConditions as QueueConditions, Statistics,
};
use thiserror::Error;

/// Reason why a job is not deferred.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum DeferralError {
    /// The queue is full or closed, or jobs cannot be deferred.
    #[error("the queue of deferred jobs accepts no job; retry after {retry_after} ms (0: no advice)")]
    Full {
        /// Time after which a retry may succeed; 0 gives no advice.
        retry_after: Millis,
    },
    /// A dependency has ended with a status that does not satisfy the condition.
    #[error("a dependency did not end as required")]
    DependencyFailed,
    /// The job would wait for itself, directly or through other jobs.
    #[error("the job depends on itself")]
    DependencyCycle,
    /// The earliest start is not before the deadline of the job.
    #[error("the earliest start is not before the deadline")]
    StartAfterDeadline,
}

impl From<postusher_deferred_jobs::DeferralError> for DeferralError {
    fn from(error: postusher_deferred_jobs::DeferralError) -> DeferralError {
        use postusher_deferred_jobs::DeferralError as QueueError;
        match error {
            QueueError::Cycle => DeferralError::DependencyCycle,
            QueueError::DependencyFailed => DeferralError::DependencyFailed,
            QueueError::Full { retry_after, .. } => DeferralError::Full { retry_after },
            QueueError::Closed => DeferralError::Full { retry_after: 0.0 },
        }
    }
}

/// The deferred jobs of a scheduler. Without a queue, no job is deferred and all operations have no effect.
#[derive(Default)]
pub struct DeferredJobs {
    queue: Option<DeferralQueue>,
}

impl DeferredJobs {
    /// Creates a queue with these limits; with `None`, jobs cannot be deferred.
    pub fn new(limits: Option<Limits>) -> DeferredJobs {
        DeferredJobs { queue: limits.map(DeferralQueue::new) }
    }

    /// Returns whether jobs can be deferred.
    pub fn is_enabled(&self) -> bool {
        self.queue.is_some()
    }

    /// Changes the limits of the queue. A queue is neither created nor removed while the scheduler runs.
    pub fn set_limits(&mut self, limits: Limits) {
        if let Some(queue) = &mut self.queue {
            queue.set_limits(limits);
        }
    }

    /// Records that a job that is not deferred is open, in this process or in the other process of an
    /// upgrade.
    pub fn record_start(&mut self, trace_id: &str) {
        if let Some(queue) = &mut self.queue {
            queue.record_start(trace_id);
        }
    }

    /// Records that a job has its final answer or that its client has disconnected.
    pub fn record_end(&mut self, trace_id: &str, status: JobEndStatus, now: Millis) {
        if let Some(queue) = &mut self.queue {
            queue.record_end(trace_id, status, now);
        }
    }

    /// Defers a job. `client` identifies its client.
    ///
    /// # Errors
    /// Returns the reason if the job is not deferred; the caller has to answer the client.
    pub fn defer(
        &mut self,
        id: JobId,
        client: u64,
        job: &Job,
        deadline: Millis,
        now: Millis,
    ) -> Result<(), DeferralError> {
        let Some(queue) = &mut self.queue else { return Err(DeferralError::Full { retry_after: 0.0 }) };
        let conditions = job.start_conditions.clone().resolve(now);
        if conditions.not_before.is_some_and(|start| start >= deadline) {
            // The queue does not get this job, so its end is recorded here for the jobs that depend on it.
            queue.record_end(&job.trace_id, JobEndStatus::Rejected, now);
            return Err(DeferralError::StartAfterDeadline);
        }
        queue.defer(deferred_job(id, client, job, deadline, conditions), now)?;
        Ok(())
    }

    /// Adopts a job that the other process of an upgrade has deferred. Returns whether it is deferred in this
    /// process.
    pub fn adopt(
        &mut self,
        id: JobId,
        client: u64,
        job: &Job,
        deadline: Millis,
        deferral: MigratedDeferral,
        now: Millis,
    ) -> bool {
        let Some(queue) = &mut self.queue else { return false };
        let mut dependencies = Vec::with_capacity(deferral.dependencies.len());
        for (trace_id, any_outcome) in deferral.dependencies {
            dependencies.push(Dependency { trace_id: trace_id.into(), any_outcome });
        }
        let not_before = deferral.start_in.map(|delay| now + delay);
        let conditions = QueueConditions { dependencies, not_before };
        let mut job = deferred_job(id, client, job, deadline, conditions);
        job.migrated = Some(MigratedState { ready_for: deferral.ready_for, grace_left: deferral.grace_left });
        queue.defer(job, now).is_ok()
    }

    /// Returns the state with which the other process of an upgrade continues to defer a job; `None` if the
    /// job is not deferred.
    pub fn export(&self, job: JobId, now: Millis) -> Option<MigratedDeferral> {
        let exported = self.queue.as_ref()?.export(queue_id(job), now)?;
        let mut dependencies = Vec::with_capacity(exported.conditions.dependencies.len());
        for dependency in exported.conditions.dependencies {
            dependencies.push((dependency.trace_id.to_string(), dependency.any_outcome));
        }
        Some(MigratedDeferral {
            dependencies,
            start_in: exported.conditions.not_before.map(|at| at - now),
            ready_for: exported.state.ready_for,
            grace_left: exported.state.grace_left,
        })
    }

    /// Records that a job has migrated to the other process of an upgrade.
    pub fn record_migration(&mut self, trace_id: &str) {
        if let Some(queue) = &mut self.queue {
            queue.record_migration(trace_id);
        }
    }

    /// Returns the recorded ends of jobs, which the other process of an upgrade needs for its deferred jobs.
    pub fn recorded_job_ends(&self, now: Millis) -> Vec<JobEnd> {
        let Some(queue) = &self.queue else { return Vec::new() };
        let mut ends = Vec::new();
        for end in queue.remembered_outcomes(now) {
            ends.push(JobEnd { trace_id: end.trace_id.to_string(), status: end.status });
        }
        ends
    }

    /// Advances the queue to `now` and releases the jobs for which there is capacity. `capacity` is only
    /// called if there are jobs that could be released. Returns the decisions to be carried out.
    pub fn release(
        &mut self,
        capacity: impl Fn() -> postusher_decision::FreeCapacity,
        now: Millis,
    ) -> Vec<Decision> {
        let Some(queue) = &mut self.queue else { return Vec::new() };
        queue.advance(now);
        if queue.has_releasable_jobs(now) {
            let postusher_decision::FreeCapacity { free_slots, total_slots, max_free_slots } = capacity();
            queue.release(
                postusher_deferred_jobs::FreeCapacity { free_slots, total_slots, max_free_slots },
                now,
            );
        }
        queue.take_decisions()
    }

    /// Defers a released job again that the decision module has rejected before any attempt. Returns whether
    /// the job is deferred; if not, the rejection is its final answer.
    pub fn requeue_rejected(&mut self, job: JobId, now: Millis) -> bool {
        let Some(queue) = &mut self.queue else { return false };
        match queue.requeue_rejected(queue_id(job), now) {
            RequeueOutcome::Requeued => true,
            RequeueOutcome::Final => false,
        }
    }

    /// Pauses releases for a short time after the decision module has rejected a job that is not deferred
    /// again, so that arriving jobs go first.
    pub fn yield_to_arrivals(&mut self, now: Millis) {
        if let Some(queue) = &mut self.queue {
            queue.yield_to_arrivals(now);
        }
    }

    /// Returns the time at which [`DeferredJobs::release`] has to be called even without other events.
    pub fn next_timer(&self, now: Millis) -> Option<Millis> {
        self.queue.as_ref()?.next_timer(now)
    }

    /// Closes the queue because the scheduler shuts down: the deferred jobs are rejected, and no further job
    /// is deferred.
    pub fn close(&mut self) {
        if let Some(queue) = &mut self.queue {
            queue.close();
        }
    }

    /// Returns the metrics of the queue, if there is one.
    pub fn statistics(&self, now: Millis) -> Option<Statistics> {
        self.queue.as_ref().map(|queue| queue.statistics(now))
    }
}

/// Converts the id of a job to the type of the queue.
fn queue_id(job: JobId) -> postusher_deferred_jobs::JobId {
    postusher_deferred_jobs::JobId(job.0)
}

/// Converts a job to the type of the queue.
fn deferred_job(
    id: JobId,
    client: u64,
    job: &Job,
    deadline: Millis,
    conditions: QueueConditions,
) -> DeferredJob {
    DeferredJob {
        id: queue_id(id),
        trace_id: job.trace_id.as_str().into(),
        client,
        class: job.class,
        slots: job.slots,
        bytes: job.payload.size(),
        deadline,
        conditions,
        migrated: None,
    }
}
