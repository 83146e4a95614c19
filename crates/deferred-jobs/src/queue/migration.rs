//! Migration of deferred jobs to the successor process.

use super::{DeferralQueue, Phase};
use crate::dependency_index::{JobState, RememberedOutcome};
use crate::{JobId, MigratedJob, MigratedState, Millis, StartConditions};

impl DeferralQueue {
    /// Returns the state that the successor needs to defer a job; `None` if the job is not deferred.
    pub fn export(&self, id: JobId, now: Millis) -> Option<MigratedJob> {
        let job = self.jobs.get(&id)?;
        if job.phase == Phase::Released {
            return None;
        }
        Some(MigratedJob {
            conditions: StartConditions {
                dependencies: job.unmet_dependencies.clone(),
                not_before: (job.not_before > now).then_some(job.not_before),
            },
            state: MigratedState {
                ready_for: job.phase.awaits_release().then_some(now - job.ready_at),
                grace_left: (job.grace_until - now).clamp(0.0, self.limits.dependency_grace),
            },
        })
    }

    /// Records that a job has migrated to the successor. For the jobs in this queue that depend on it, it
    /// counts as running.
    pub fn record_migration(&mut self, trace_id: &str) {
        if let JobState::Deferred(id) = self.dependencies.state(trace_id) {
            self.remove_job(id);
            self.dependencies.record_running(&trace_id.into());
        }
    }

    /// Returns the remembered outcomes of ended jobs, oldest first.
    pub fn remembered_outcomes(&self, now: Millis) -> impl Iterator<Item = RememberedOutcome> + '_ {
        self.dependencies.remembered_outcomes(now)
    }
}
