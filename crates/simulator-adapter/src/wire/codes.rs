//! The numeric codes of the wire format and their meanings.

use postusher_decision::{AttemptResult, EndpointState, ListUpdate};

/// A code that is not defined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownCode(pub u16);

/// The kinds of records in a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordCode {
    /// A worker reports the status of a job.
    JobStatusUpdate,
    /// The answer of an attempt has started to arrive.
    AnswerStreaming,
    /// A scheduler starts.
    Launch,
    /// A health check has ended.
    HealthCheckEnded,
    /// The endpoint list or changes to it.
    EndpointList,
    /// A client submits a job.
    JobArrived,
    /// An attempt has ended.
    AttemptEnded,
    /// A client has disconnected.
    ClientDisconnected,
    /// A message from another scheduler. The adapter sends none and ignores those that it receives.
    PeerMessage,
    /// A scheduler is killed.
    Kill,
    /// A timer has expired.
    TimerExpired,
}

impl TryFrom<u16> for RecordCode {
    type Error = UnknownCode;

    fn try_from(code: u16) -> Result<RecordCode, UnknownCode> {
        match code {
            1 => Ok(RecordCode::JobStatusUpdate),
            2 => Ok(RecordCode::AnswerStreaming),
            3 => Ok(RecordCode::Launch),
            4 => Ok(RecordCode::HealthCheckEnded),
            5 => Ok(RecordCode::EndpointList),
            6 => Ok(RecordCode::JobArrived),
            7 => Ok(RecordCode::AttemptEnded),
            8 => Ok(RecordCode::ClientDisconnected),
            9 => Ok(RecordCode::PeerMessage),
            10 => Ok(RecordCode::Kill),
            11 => Ok(RecordCode::TimerExpired),
            unknown => Err(UnknownCode(unknown)),
        }
    }
}

/// The kinds of records in a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u16)]
pub enum ActionCode {
    /// Send a job to a worker.
    StartAttempt = 65,
    /// Reject a job.
    Reject = 66,
    /// Fail a job.
    Fail = 67,
    /// Cancel a pending attempt.
    CancelAttempt = 68,
    /// Start a timer.
    SetTimer = 69,
    /// Send a health check.
    CheckHealth = 70,
    /// Close the idle connections to a worker.
    CloseIdleConnections = 71,
    /// The dispatcher has panicked and was removed.
    Panicked = 74,
    /// Request the endpoint list from discovery.
    WatchEndpoints = 75,
}

/// Decodes an attempt's result. Most codes are HTTP status codes.
///
/// # Errors
/// Returns the code if it is not defined.
pub fn attempt_result(code: u16) -> Result<AttemptResult, UnknownCode> {
    match code {
        200 => Ok(AttemptResult::Success),
        408 => Ok(AttemptResult::TimedOut),
        409 => Ok(AttemptResult::NotSent),
        429 => Ok(AttemptResult::Overloaded),
        444 => Ok(AttemptResult::Cancelled),
        502 => Ok(AttemptResult::Error),
        520 => Ok(AttemptResult::Reset),
        521 => Ok(AttemptResult::ConnectFailed),
        unknown => Err(UnknownCode(unknown)),
    }
}

/// Decodes an endpoint's state.
///
/// # Errors
/// Returns the code if it is not defined.
pub fn endpoint_state(code: u8) -> Result<EndpointState, UnknownCode> {
    match code {
        0 => Ok(EndpointState::Removed),
        1 => Ok(EndpointState::Ready),
        2 => Ok(EndpointState::Draining),
        unknown => Err(UnknownCode(unknown.into())),
    }
}

/// Decodes the kind of an endpoint list update.
///
/// # Errors
/// Returns the code if it is not defined.
pub fn list_update(code: u8) -> Result<ListUpdate, UnknownCode> {
    match code {
        0 => Ok(ListUpdate::Changes),
        1 => Ok(ListUpdate::Complete),
        2 => Ok(ListUpdate::Cached),
        3 => Ok(ListUpdate::Failed),
        unknown => Err(UnknownCode(unknown.into())),
    }
}
