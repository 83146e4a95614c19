//! Admission: checks whether a job can be deferred, and inserts it into the queue.

use super::{DeferralQueue, Phase, QueuedJob};
use crate::dependency_index::JobState;
use crate::timers::NEVER;
use crate::{DeferralError, DeferredJob, Dependency, JobEndStatus, JobId, Millis};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The dependencies of a new job that have not ended.
struct UnmetDependencies {
    /// One dependency per trace id.
    dependencies: Vec<Dependency>,
    /// Whether at least one of the dependencies is in the state [`JobState::Unknown`].
    any_unknown: bool,
}

impl UnmetDependencies {
    /// Adds a dependency. Of two dependencies on the same job, the stricter one applies.
    fn add(&mut self, dependency: Dependency) {
        match self.dependencies.iter_mut().find(|existing| existing.trace_id == dependency.trace_id) {
            Some(existing) => existing.any_outcome &= dependency.any_outcome,
            None => self.dependencies.push(dependency),
        }
    }
}

impl DeferralQueue {
    /// Defers a job. A job that cannot be deferred counts as rejected, which resolves the dependencies of
    /// other jobs on it.
    ///
    /// # Errors
    /// Returns the reason why the job is not deferred. The host only has to pass it to the client.
    pub fn defer(&mut self, job: DeferredJob, now: Millis) -> Result<(), DeferralError> {
        self.dependencies.evict_old_outcomes(&self.limits, now);
        let trace_id = job.trace_id.clone();
        let outcome = self.admit(job, now);
        if outcome.is_err() {
            self.propagate_end(trace_id, JobEndStatus::Rejected, now);
        }
        outcome
    }

    fn admit(&mut self, job: DeferredJob, now: Millis) -> Result<(), DeferralError> {
        if self.closed {
            return Err(DeferralError::Closed);
        }
        // A migrated job has already been admitted by the predecessor.
        if job.migrated.is_none() {
            self.check_limits(&job)?;
        }
        let unmet = self.unmet_dependencies(&job)?;
        // A new job can close a cycle only if other jobs already wait for it.
        if self.dependencies.has_waiters(&job.trace_id)
            && self.any_depends_on(&unmet.dependencies, &job.trace_id)
        {
            return Err(DeferralError::Cycle);
        }
        self.insert(job, unmet, now);
        Ok(())
    }

    fn check_limits(&self, job: &DeferredJob) -> Result<(), DeferralError> {
        let within_limits = self.usage.check_limits(&self.limits, job.client, job.bytes);
        within_limits.map_err(|limit| DeferralError::Full { limit, retry_after: self.estimate_retry_after() })
    }

    /// Returns the dependencies of a job that have not ended, or an error if one has ended without meeting
    /// the dependency or is the job itself.
    fn unmet_dependencies(&self, job: &DeferredJob) -> Result<UnmetDependencies, DeferralError> {
        let dependencies = &job.conditions.dependencies;
        let mut unmet =
            UnmetDependencies { dependencies: Vec::with_capacity(dependencies.len()), any_unknown: false };
        for dependency in dependencies {
            if dependency.trace_id == job.trace_id {
                return Err(DeferralError::Cycle);
            }
            match self.dependencies.state(&dependency.trace_id) {
                JobState::Ended(status) if dependency.is_met_by(status) => continue,
                JobState::Ended(_) => return Err(DeferralError::DependencyFailed),
                JobState::Running | JobState::Deferred(_) => {}
                JobState::Unknown => unmet.any_unknown = true,
            }
            unmet.add(dependency.clone());
        }
        Ok(unmet)
    }

    /// Returns whether any of the dependencies is the given job, or depends on it directly or transitively.
    fn any_depends_on(&self, dependencies: &[Dependency], trace_id: &str) -> bool {
        let mut visited: BTreeSet<JobId> = BTreeSet::new();
        let mut to_visit: Vec<Rc<str>> = trace_ids(dependencies).collect();
        while let Some(current) = to_visit.pop() {
            if *current == *trace_id {
                return true;
            }
            let JobState::Deferred(id) = self.dependencies.state(&current) else { continue };
            if !visited.insert(id) {
                continue;
            }
            if let Some(job) = self.jobs.get(&id) {
                to_visit.extend(trace_ids(&job.unmet_dependencies));
            }
        }
        false
    }

    fn insert(&mut self, job: DeferredJob, unmet: UnmetDependencies, now: Millis) {
        let id = job.id;
        let mut unmet_dependencies = unmet.dependencies;
        for dependency in &mut unmet_dependencies {
            dependency.trace_id = self.dependencies.add_waiter(&dependency.trace_id, id);
        }
        unmet_dependencies.shrink_to_fit();
        let is_blocked = !unmet_dependencies.is_empty();
        let ready_for = job.migrated.and_then(|state| state.ready_for).unwrap_or(0.0);
        let ready_at = now - ready_for;
        let grace = job.migrated.map_or(self.limits.dependency_grace, |state| state.grace_left);
        self.arrival_count += 1;
        self.usage.add(job.client, job.bytes);
        let queued = QueuedJob {
            trace_id: self.dependencies.record_deferred(&job.trace_id, id),
            client: job.client,
            class: job.class,
            slots: job.slots,
            bytes: job.bytes,
            deadline: job.deadline,
            not_before: job.conditions.not_before.unwrap_or(0.0),
            unmet_dependencies,
            grace_until: if unmet.any_unknown { now + grace } else { NEVER },
            phase: Phase::Blocked,
            ready_at,
            arrival: self.arrival_count,
            rejections: 0,
            timer_due: NEVER,
        };
        self.jobs.insert(id, queued);
        if is_blocked {
            self.reschedule(id);
        } else {
            self.unblock(id, ready_at, now);
        }
    }
}

fn trace_ids(dependencies: &[Dependency]) -> impl Iterator<Item = Rc<str>> + '_ {
    dependencies.iter().map(|dependency| dependency.trace_id.clone())
}
