//! The description of a deferred job that the host passes to the queue.

use crate::Millis;
use std::rc::Rc;

/// Maximum number of dependencies of a job. Checked by the host, not by the queue.
pub const MAX_DEPENDENCIES: usize = 16;

/// The number that the host assigned to a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u32);

/// A dependency of a job on another job.
#[derive(Clone, Debug, PartialEq)]
pub struct Dependency {
    /// The trace id of the job that must end first.
    pub trace_id: Rc<str>,
    /// Whether any answer to that job meets the dependency; if not, the job must be served.
    pub any_outcome: bool,
}

impl Dependency {
    /// Creates a dependency that is met once the job has been served.
    pub fn served(trace_id: &str) -> Dependency {
        Dependency { trace_id: trace_id.into(), any_outcome: false }
    }

    /// Creates a dependency that is met once the job has been answered, whatever the answer.
    pub fn any_outcome(trace_id: &str) -> Dependency {
        Dependency { trace_id: trace_id.into(), any_outcome: true }
    }

    /// Returns whether a job that ended with `status` meets the dependency.
    pub(crate) fn is_met_by(&self, status: JobEndStatus) -> bool {
        match status {
            JobEndStatus::Served => true,
            JobEndStatus::Rejected | JobEndStatus::Failed => self.any_outcome,
            JobEndStatus::Disconnected => false,
        }
    }
}

/// The conditions that must all be met before a job starts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StartConditions {
    /// Dependencies on jobs that must end first.
    pub dependencies: Vec<Dependency>,
    /// The earliest start time.
    pub not_before: Option<Millis>,
}

/// A job that is to be deferred.
#[derive(Clone, Debug)]
pub struct DeferredJob {
    /// The job id, unique among the jobs in the queue.
    pub id: JobId,
    /// The trace id assigned by the client; other jobs refer to it in their dependencies.
    pub trace_id: Rc<str>,
    /// The number of the client, for the limit [`max_jobs_per_client`](crate::Limits::max_jobs_per_client).
    pub client: u64,
    /// The number of the job's class.
    pub class: u16,
    /// The number of slots that the job occupies.
    pub slots: u32,
    /// The memory that the job holds while it is deferred, in bytes.
    pub bytes: usize,
    /// The time until which the client waits for an answer.
    pub deadline: Millis,
    /// The conditions for the start of the job.
    pub conditions: StartConditions,
    /// The migrated state if the predecessor deferred the job; `None` for a new job.
    pub migrated: Option<MigratedState>,
}

impl DeferredJob {
    /// Creates a job of class 0 that occupies one slot and holds no memory.
    pub fn new(id: JobId, trace_id: &str, deadline: Millis, conditions: StartConditions) -> DeferredJob {
        DeferredJob {
            id,
            trace_id: trace_id.into(),
            client: 0,
            class: 0,
            slots: 1,
            bytes: 0,
            deadline,
            conditions,
            migrated: None,
        }
    }
}

/// The part of a deferred job's state that migrates to the successor, besides its start conditions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MigratedState {
    /// The time since the job became ready; `None` if its start conditions are not all met.
    pub ready_for: Option<Millis>,
    /// The remaining time within which unknown dependencies may still arrive; the whole dependency grace if
    /// there is no such time limit, because all dependencies were known.
    pub grace_left: Millis,
}

/// A deferred job as it migrates to the successor.
#[derive(Clone, Debug, PartialEq)]
pub struct MigratedJob {
    /// The start conditions that are not met yet.
    pub conditions: StartConditions,
    /// The state that determines its rank in the release order and its dependency grace.
    pub state: MigratedState,
}

/// The status with which a job ended, as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobEndStatus {
    /// The job was answered with a result.
    Served,
    /// The job was rejected without any effect.
    Rejected,
    /// The job failed; it may or may not have had effects.
    Failed,
    /// The client disconnected before the answer. This does not meet any dependency, because there was no
    /// answer.
    Disconnected,
}
