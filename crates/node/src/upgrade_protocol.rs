//! The messages between the two processes of an upgrade, without their sockets. To everybody else both processes are
//! one scheduler.
//!
//! The names of the format stand in the `serde` attributes here; versions before some fields are still understood.

use crate::admin::AdminRequest;
use crate::clock::Millis;
use crate::http::Outbox;
use postusher_decision::{ClassEstimates, LearnedState, WorkerHistory, WorkerId};
use postusher_deferred_jobs::JobEndStatus;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::PathBuf;

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

/// What the decision module has learned, with workers by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedSnapshot {
    #[serde(rename = "fleet")]
    fleet_means: Vec<Option<f64>>,
    #[serde(rename = "lay")]
    queueing_delay: f64,
    #[serde(rename = "recent")]
    recent_scores: Vec<f64>,
    classes: Vec<ClassForm>,
    kinds: Vec<(u16, Option<f64>)>,
    /// Versions before customers do not send it.
    #[serde(rename = "accounts", default)]
    quota_balances: Vec<f64>,
    #[serde(rename = "targets")]
    workers: Vec<(String, WorkerForm)>,
}

/// Log of the running time, mean running time and rejection rate of a class.
type ClassForm = (Option<f64>, Option<f64>, f64);

/// The form of [`WorkerHistory`] in a message.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct WorkerForm {
    #[serde(rename = "slots")]
    max_free_slots: i64,
    #[serde(rename = "others")]
    foreign_slots: f64,
    #[serde(rename = "reported")]
    report_age: Option<u64>,
    #[serde(rename = "strain")]
    health_score: f64,
    #[serde(rename = "avoided")]
    ejected_for: u64,
    #[serde(rename = "strikes")]
    consecutive_ejections: u32,
}

impl From<WorkerHistory> for WorkerForm {
    fn from(history: WorkerHistory) -> WorkerForm {
        WorkerForm {
            max_free_slots: history.max_free_slots,
            foreign_slots: history.foreign_slots,
            report_age: history.report_age,
            health_score: history.health_score,
            ejected_for: history.ejected_for,
            consecutive_ejections: history.consecutive_ejections,
        }
    }
}

impl From<WorkerForm> for WorkerHistory {
    fn from(form: WorkerForm) -> WorkerHistory {
        WorkerHistory {
            max_free_slots: form.max_free_slots,
            foreign_slots: form.foreign_slots,
            report_age: form.report_age,
            health_score: form.health_score,
            ejected_for: form.ejected_for,
            consecutive_ejections: form.consecutive_ejections,
        }
    }
}

fn class_form(class: ClassEstimates) -> ClassForm {
    (class.log_duration, class.mean_duration, class.rejection_rate)
}

fn class_estimates((log_duration, mean_duration, rejection_rate): ClassForm) -> ClassEstimates {
    ClassEstimates { log_duration, mean_duration, rejection_rate }
}

impl LearnedSnapshot {
    /// Converts learned state to its message form; workers without a name are left out.
    pub fn new(state: LearnedState, name: impl Fn(WorkerId) -> Option<String>) -> LearnedSnapshot {
        let named = |(id, history): (WorkerId, WorkerHistory)| Some((name(id)?, history.into()));
        LearnedSnapshot {
            fleet_means: state.fleet_means,
            queueing_delay: state.queueing_delay,
            recent_scores: state.recent_scores,
            classes: state.classes.into_iter().map(class_form).collect(),
            kinds: state.kinds,
            quota_balances: state.quota_balances,
            workers: state.workers.into_iter().filter_map(named).collect(),
        }
    }

    /// Converts the message form to learned state.
    pub fn into_state(self, id: impl Fn(&str) -> WorkerId) -> LearnedState {
        let identified = |(name, form): (String, WorkerForm)| (id(&name), form.into());
        LearnedState {
            fleet_means: self.fleet_means,
            queueing_delay: self.queueing_delay,
            recent_scores: self.recent_scores,
            classes: self.classes.into_iter().map(class_estimates).collect(),
            kinds: self.kinds,
            quota_balances: self.quota_balances,
            workers: self.workers.into_iter().map(identified).collect(),
        }
    }
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

/// Limit of the bytes that wait for the other process, which may have stopped reading.
const MAX_QUEUED_BYTES: usize = 16 * 1024 * 1024;

/// The stream of messages to and from the other process.
#[derive(Default)]
pub struct Link {
    inbox: Vec<u8>,
    /// Lines that wait to be written.
    pub outbox: Outbox,
}

impl Link {
    /// Queues a message.
    pub fn send(&mut self, message: &Message) {
        match serde_json::to_vec(message) {
            Ok(line) => self.outbox.put(&[&line, &b"\n"[..]].concat()),
            Err(error) => log::error!("upgrade message not written: message={message:?} error={error}"),
        }
    }

    /// Takes bytes that were read and returns the messages that are complete. A message that cannot be read is left
    /// out: the other process may be of another version.
    pub fn receive(&mut self, bytes: &[u8]) -> Vec<Message> {
        self.inbox.extend_from_slice(bytes);
        let Some(end) = self.inbox.iter().rposition(|byte| *byte == b'\n') else { return Vec::new() };
        let rest = self.inbox.split_off(end + 1);
        let lines = std::mem::replace(&mut self.inbox, rest);
        let mut messages = Vec::new();
        for line in lines.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            match serde_json::from_slice(line) {
                Ok(message) => messages.push(message),
                Err(error) => log::warn!("upgrade message not read: error={error}"),
            }
        }
        messages
    }

    /// Whether the other process has stopped reading, or sends a line without an end.
    pub fn is_stuck(&self) -> bool {
        self.outbox.unsent().len().max(self.inbox.len()) > MAX_QUEUED_BYTES
    }
}

/// The Unix socket at which the process that serves an address is found by its successor; `None` for an address that
/// the system chooses, which no second process could name.
pub fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    if listen.port() == 0 {
        return None;
    }
    let name = format!("postusher-{}-{}.sock", listen.ip(), listen.port()).replace(':', "_");
    Some(std::env::temp_dir().join(name))
}

#[cfg(test)]
mod tests;
