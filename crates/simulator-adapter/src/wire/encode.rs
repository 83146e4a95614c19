//! Encodes replies.

use super::codes::ActionCode;
use super::InstanceId;
use postusher_decision::{Action, JobId, Micros, WorkerId};

/// Size of the length field and the record count before the records of a reply, in bytes.
const HEADER_BYTES: u32 = 8;
/// Value of the field of a [`ActionCode::WatchEndpoints`] record that requests changes of the endpoint list
/// in addition to the list itself.
const WATCH_CHANGES: u8 = 1;

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    record_count: u32,
}

impl Reply {
    /// Appends an action of a scheduler.
    pub fn add_action(&mut self, instance: InstanceId, action: &Action) {
        match action {
            Action::StartAttempt { job, worker, timeout } => {
                self.begin_record(ActionCode::StartAttempt, instance);
                self.put_job(*job);
                self.put_worker(*worker);
                self.put_millis(*timeout);
            }
            Action::Reject { job, retry_after } => {
                self.begin_record(ActionCode::Reject, instance);
                self.put_job(*job);
                self.put_millis(*retry_after);
            }
            Action::Fail { job } => {
                self.begin_record(ActionCode::Fail, instance);
                self.put_job(*job);
            }
            Action::CancelAttempt { job, attempt } => {
                self.begin_record(ActionCode::CancelAttempt, instance);
                self.put_job(*job);
                self.records.push(attempt.0);
            }
            Action::SetTimer { after, timer, job: _ } => {
                self.begin_record(ActionCode::SetTimer, instance);
                self.put_millis(*after);
                self.records.extend(timer.to_be_bytes());
            }
            // The protocol has no cancellation of timers; the dispatcher ignores those of ended jobs.
            Action::CancelTimers { job: _ } => {}
            Action::CheckHealth { worker } => {
                self.begin_record(ActionCode::CheckHealth, instance);
                self.put_worker(*worker);
            }
            Action::WatchEndpoints => {
                self.begin_record(ActionCode::WatchEndpoints, instance);
                self.records.push(WATCH_CHANGES);
            }
            Action::CloseIdleConnections { worker } => {
                self.begin_record(ActionCode::CloseIdleConnections, instance);
                self.put_worker(*worker);
            }
        }
    }

    /// Appends the record of a scheduler's panic. Truncates the message to the maximum length on the wire.
    pub fn add_panic(&mut self, instance: InstanceId, message: &str) {
        let length = u16::try_from(message.len()).unwrap_or(u16::MAX);
        self.begin_record(ActionCode::Panicked, instance);
        self.records.extend(length.to_be_bytes());
        self.records.extend(&message.as_bytes()[..usize::from(length)]);
    }

    /// Returns the complete frame.
    pub fn into_frame(self) -> Vec<u8> {
        let length = self.records.len() as u32 + HEADER_BYTES;
        let mut frame = Vec::with_capacity(length as usize);
        frame.extend(length.to_be_bytes());
        frame.extend(self.record_count.to_be_bytes());
        frame.extend(self.records);
        frame
    }

    fn begin_record(&mut self, code: ActionCode, instance: InstanceId) {
        self.record_count += 1;
        self.records.extend((code as u16).to_be_bytes());
        self.records.extend(instance.to_be_bytes());
    }

    fn put_job(&mut self, job: JobId) {
        self.records.extend(job.0.to_be_bytes());
    }

    fn put_worker(&mut self, worker: WorkerId) {
        self.records.extend(worker.0.to_be_bytes());
    }

    fn put_millis(&mut self, time: Micros) {
        self.records.extend((time as f64 / 1000.0).to_be_bytes());
    }
}
