//! The messages between the two processes of an upgrade, independent of sockets. To clients, workers and
//! other schedulers, the two processes are one scheduler.
//!
//! The names in the messages are those in the `serde` attributes, where there are any. Messages of older
//! versions, which lack some of the fields, are still accepted.

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

/// A message between the two processes, encoded as one line of JSON.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// The first message of the old process, sent together with the listening socket.
    #[serde(rename = "state")]
    State(SchedulerState),
    /// Sent by the new process when it starts to accept clients.
    #[serde(rename = "ready")]
    Ready,
    /// An operator's request to the other process.
    #[serde(rename = "called")]
    AdminRequest(AdminRequest),
    /// The body of a job status update that the other process received for a job that is not open there.
    #[serde(rename = "news")]
    JobStatus(String),
    /// A job with this trace id has been opened at the other process.
    #[serde(rename = "open")]
    JobStarted(String),
    /// The job with this trace id is no longer open at the other process.
    #[serde(rename = "over")]
    JobIdReleased(String),
    /// The end of a job of the other process, on which deferred jobs may depend.
    #[serde(rename = "ended")]
    JobEnded(JobEnd),
    /// The learned state of the old process, sent once the new one accepts clients.
    #[serde(rename = "learned")]
    Learned(LearnedSnapshot),
    /// A client connection that migrates to the new process, with the job whose answer it awaits.
    #[serde(rename = "moved")]
    ConnectionMigrated(MigratedConnection),
}

/// State with which the new process continues as the same scheduler.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SchedulerState {
    /// Names of the workers that operators have disabled.
    #[serde(rename = "taken_out")]
    pub disabled_workers: Vec<String>,
    /// Whether an operator drains this scheduler.
    #[serde(rename = "drained")]
    pub draining: bool,
    /// Trace ids of the jobs that are open in the old process.
    #[serde(rename = "open")]
    pub open_jobs: Vec<String>,
    /// Jobs that have ended and on which other jobs may still depend, in the order of their ends.
    #[serde(rename = "ended", default)]
    pub ended_jobs: Vec<JobEnd>,
    /// Digest of the settings of the old process; `None` from older versions, which do not send it.
    #[serde(rename = "settings", default)]
    pub settings_digest: Option<u64>,
}

/// The end of a job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobEnd {
    /// The trace id of the job.
    #[serde(rename = "id")]
    pub trace_id: String,
    /// The status with which the job ended.
    #[serde(rename = "how", with = "JobEndStatusForm")]
    pub status: JobEndStatus,
}

/// Serialized form of [`JobEndStatus`].
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

/// A client connection that migrates to the new process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MigratedConnection {
    /// Time for which the connection has been open, in milliseconds.
    pub age: Millis,
    /// Whether an answer has been sent on the connection.
    pub has_served: bool,
    /// The job whose answer the client awaits.
    pub job: Option<MigratedJob>,
}

/// A job that migrates to the new process.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MigratedJob {
    /// The request as it would be sent to a worker at the time of the migration.
    pub request: Vec<u8>,
    /// Whether the connection is closed after the answer.
    #[serde(rename = "last")]
    pub closes_connection: bool,
    /// Attempts of the job, in the order in which they were sent.
    #[serde(rename = "legs")]
    pub attempts: Vec<MigratedAttempt>,
    /// State of the deferral, if the job is deferred.
    #[serde(rename = "held", default)]
    pub deferral: Option<MigratedDeferral>,
}

/// State of a deferred job that migrates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MigratedDeferral {
    /// Trace ids of the dependencies that have not ended, each with whether any answer to that job satisfies
    /// the dependency.
    #[serde(rename = "after")]
    pub dependencies: Vec<(String, bool)>,
    /// Time until the earliest start, in milliseconds; `None` if there is no earliest start or it has passed.
    pub start_in: Option<Millis>,
    /// Time for which the job has been ready, in milliseconds; `None` if it is not ready.
    pub ready_for: Option<Millis>,
    /// Remaining time, in milliseconds, within which dependencies that are still unknown may arrive.
    pub grace_left: Millis,
}

/// An attempt of a job that migrates.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MigratedAttempt {
    /// Name of the worker.
    #[serde(rename = "target")]
    pub worker: String,
    /// Time since the attempt was started, in milliseconds.
    pub age: Millis,
    /// Whether the attempt has not ended.
    #[serde(rename = "out")]
    pub pending: bool,
    /// Whether the worker may have run the job.
    #[serde(rename = "ran")]
    pub may_have_run: bool,
}

/// Returns the path of the Unix socket by which a successor connects to the process that serves an address;
/// `None` if the address leaves the choice of the port to the operating system, because a successor could not
/// know that port.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    if listen.port() == 0 {
        return None;
    }
    let name = format!("postusher-{}-{}.sock", listen.ip(), listen.port()).replace(':', "_");
    Some(std::env::temp_dir().join(name))
}

#[cfg(test)]
mod tests;
