//! The messages between the two processes of an upgrade, without their sockets. To everybody else both
//! processes are one scheduler.
//!
//! The names of the format stand in the `serde` attributes here; versions before some fields are still
//! understood.

use crate::admin::AdminRequest;
use crate::clock::Millis;
use postusher_deferred_jobs::JobEndStatus;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

mod learned;
mod link;

pub use learned::LearnedSnapshot;
pub use link::Link;

/// A message between the processes: one line of JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// From the old process, first, together with the listening socket.
    #[serde(rename = "state")]
    State(SchedulerState),
    /// From the new process: it accepts clients from now on.
    #[serde(rename = "ready")]
    Ready,
    /// An operator made a request to the other process.
    #[serde(rename = "called")]
    AdminRequest(AdminRequest),
    /// A job status update that reached the other process, for a job that is not its own.
    #[serde(rename = "news")]
    JobStatus(String),
    /// A job with this trace id is open at the other process.
    #[serde(rename = "open")]
    JobStarted(String),
    /// The job with this trace id is no longer open there.
    #[serde(rename = "over")]
    JobIdReleased(String),
    /// A job of the other process ended, for deferred jobs that depend on it.
    #[serde(rename = "ended")]
    JobEnded(JobEnd),
    /// From the old process, once the new one accepts clients: what it has learned.
    #[serde(rename = "learned")]
    Learned(LearnedSnapshot),
    /// A client's connection moves to the new process, with the job that it waits for.
    #[serde(rename = "moved")]
    ConnectionMigrated(MigratedConnection),
}

/// What the new process has to know to continue as the same scheduler.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SchedulerState {
    /// Names of the workers that operators have disabled.
    #[serde(rename = "taken_out")]
    pub disabled_workers: Vec<String>,
    /// Whether an operator drains this scheduler.
    #[serde(rename = "drained")]
    pub draining: bool,
    /// Trace ids of the open jobs.
    #[serde(rename = "open")]
    pub open_jobs: Vec<String>,
    /// Jobs that have ended and that others may still depend on, the first to end in front.
    #[serde(rename = "ended", default)]
    pub ended_jobs: Vec<JobEnd>,
    /// A digest of the settings of the old process; versions before it do not send it.
    #[serde(rename = "settings", default)]
    pub settings_digest: Option<u64>,
}

/// How a job ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobEnd {
    /// The job's trace id.
    #[serde(rename = "id")]
    pub trace_id: String,
    /// How it ended.
    #[serde(rename = "how", with = "JobEndStatusForm")]
    pub status: JobEndStatus,
}

/// The form of [`JobEndStatus`] in a message.
#[derive(Serialize, Deserialize)]
#[serde(remote = "JobEndStatus")]
enum JobEndStatusForm {
    #[serde(rename = "served")]
    Served,
    #[serde(rename = "refused")]
    Rejected,
    #[serde(rename = "failed")]
    Failed,
    #[serde(rename = "left")]
    Disconnected,
}

/// A client's connection that moves to the new process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MigratedConnection {
    /// The time for which it has been open.
    pub age: Millis,
    /// It has had an answer before.
    pub has_served: bool,
    /// The job that its client waits for.
    pub job: Option<MigratedJob>,
}

/// A job that moves to the new process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MigratedJob {
    /// The request as a worker would get it now.
    pub request: Vec<u8>,
    /// Its client closes the connection after it.
    #[serde(rename = "last")]
    pub closes_connection: bool,
    /// Its attempts, in the order in which they were sent.
    #[serde(rename = "legs")]
    pub attempts: Vec<MigratedAttempt>,
    /// What it waits for, if it is deferred.
    #[serde(rename = "held", default)]
    pub deferral: Option<MigratedDeferral>,
}

/// What a deferred job that moves waits for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MigratedDeferral {
    /// Trace ids of the jobs that have not ended, and whether any end of theirs will do.
    #[serde(rename = "after")]
    pub dependencies: Vec<(String, bool)>,
    /// The time until its earliest start.
    pub start_in: Option<Millis>,
    /// The time for which it has been ready.
    pub ready_for: Option<Millis>,
    /// The time for which unknown dependencies may still arrive.
    pub grace_left: Millis,
}

/// An attempt of a job that moves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MigratedAttempt {
    /// The worker's name.
    #[serde(rename = "target")]
    pub worker: String,
    /// The time since it was sent.
    pub age: Millis,
    /// It has not ended.
    #[serde(rename = "out")]
    pub pending: bool,
    /// The job may have run.
    #[serde(rename = "ran")]
    pub may_have_run: bool,
}

/// The Unix socket at which the process that serves an address is found by its successor; `None` for an
/// address that the system chooses, which no second process could name.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    if listen.port() == 0 {
        return None;
    }
    let name = format!("postusher-{}-{}.sock", listen.ip(), listen.port()).replace(':', "_");
    Some(std::env::temp_dir().join(name))
}

#[cfg(test)]
mod tests;
