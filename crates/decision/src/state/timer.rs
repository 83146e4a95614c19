//! Purposes of timers and their encoding.

use crate::interface::{Action, JobId, Micros};

/// The purpose of a timer. It is passed to the host as a 64-bit number: the kind in the upper half, the job
/// in the lower.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum TimerPurpose {
    /// The periodic tick.
    Tick,
    /// The deadline of a job.
    Deadline(JobId),
    /// The time by which a job should have started, or by which the earlier jobs of its key should have
    /// finished.
    StartOverdue(JobId),
    /// The time to request the endpoint list.
    RequestList,
    /// The end of the pause of a job's key.
    KeyPauseEnded(JobId),
    /// The time limit of the load probes before a job's placement.
    LoadProbeTimeout(JobId),
    /// The time limit of a job's wait for a current endpoint list.
    ListWaitTimeout(JobId),
}

impl From<TimerPurpose> for u64 {
    fn from(purpose: TimerPurpose) -> u64 {
        match purpose {
            TimerPurpose::Tick => 0,
            TimerPurpose::Deadline(job) => 1 << 32 | u64::from(job.0),
            TimerPurpose::StartOverdue(job) => 2 << 32 | u64::from(job.0),
            TimerPurpose::RequestList => 3 << 32,
            TimerPurpose::KeyPauseEnded(job) => 4 << 32 | u64::from(job.0),
            TimerPurpose::LoadProbeTimeout(job) => 5 << 32 | u64::from(job.0),
            TimerPurpose::ListWaitTimeout(job) => 6 << 32 | u64::from(job.0),
        }
    }
}

impl TimerPurpose {
    /// Returns the action that sets a timer with this purpose.
    pub fn set_after(self, after: Micros) -> Action {
        Action::SetTimer { after, timer: self.into(), job: self.job() }
    }

    /// Returns the job that a timer with this purpose concerns, if there is one.
    fn job(self) -> Option<JobId> {
        match self {
            TimerPurpose::Tick | TimerPurpose::RequestList => None,
            TimerPurpose::Deadline(job)
            | TimerPurpose::StartOverdue(job)
            | TimerPurpose::KeyPauseEnded(job)
            | TimerPurpose::LoadProbeTimeout(job)
            | TimerPurpose::ListWaitTimeout(job) => Some(job),
        }
    }

    /// Decodes the number of a timer; `None` if its upper half is not the kind of a [`TimerPurpose`].
    pub fn decode(timer: u64) -> Option<TimerPurpose> {
        let job = JobId(timer as u32);
        match timer >> 32 {
            0 => Some(TimerPurpose::Tick),
            1 => Some(TimerPurpose::Deadline(job)),
            2 => Some(TimerPurpose::StartOverdue(job)),
            3 => Some(TimerPurpose::RequestList),
            4 => Some(TimerPurpose::KeyPauseEnded(job)),
            5 => Some(TimerPurpose::LoadProbeTimeout(job)),
            6 => Some(TimerPurpose::ListWaitTimeout(job)),
            _ => None,
        }
    }
}
