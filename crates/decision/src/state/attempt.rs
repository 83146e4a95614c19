//! Attempts to run a job at a worker.

use crate::interface::{AttemptResult, Micros, WorkerId};

/// The state of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Sent, and its result is not known yet.
    Pending,
    /// Ended; the job may have run.
    MayHaveRun,
    /// Ended; the job did not run.
    NeverRan,
}

/// Properties of the network path of an attempt that affect the time until the job starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Route {
    /// Whether a new connection has to be opened.
    pub new_connection: bool,
    /// Whether the worker is in another zone than the scheduler.
    pub cross_zone: bool,
}

impl Route {
    /// Number of different routes.
    pub const COUNT: usize = 4;

    /// Returns the index of this route, below [`Route::COUNT`].
    pub fn index(self) -> usize {
        usize::from(self.new_connection) + 2 * usize::from(self.cross_zone)
    }
}

/// One attempt of a job.
pub struct Attempt {
    /// The worker that the attempt was sent to.
    pub worker: WorkerId,
    /// Time at which the attempt was sent.
    pub sent_at: Micros,
    /// The state of the attempt.
    pub state: AttemptState,
    /// The result; `None` while the attempt is pending, or if another process observed its end.
    pub result: Option<AttemptResult>,
    /// Time of the latest start or progress notification. If there was none, the time of sending, or of
    /// adoption if another process sent the attempt.
    pub last_progress_at: Micros,
    /// Time of the first start or progress notification, if there was one.
    pub started_at: Option<Micros>,
    /// Whether the worker was expected, at the time of sending, to have enough free slots for the job. False
    /// for an attempt that another process sent.
    pub expected_to_start_at_once: bool,
    /// The network path to the worker.
    pub route: Route,
    /// Whether the dispatcher has returned an [`Action::CancelAttempt`](crate::Action::CancelAttempt) for the
    /// attempt.
    pub cancelled: bool,
}

impl Attempt {
    /// Creates a pending attempt that is sent at time `now`.
    pub fn new(worker: WorkerId, now: Micros, expected_to_start_at_once: bool, route: Route) -> Self {
        Attempt {
            worker,
            sent_at: now,
            state: AttemptState::Pending,
            result: None,
            last_progress_at: now,
            started_at: None,
            expected_to_start_at_once,
            route,
            cancelled: false,
        }
    }

    /// Returns whether the attempt has not ended.
    pub fn is_pending(&self) -> bool {
        self.state == AttemptState::Pending
    }

    /// Returns whether the attempt failed on a stale idle connection, which is no sign of an unhealthy
    /// worker.
    pub fn hit_stale_connection(&self) -> bool {
        self.result == Some(AttemptResult::StaleConnection)
    }

    /// Returns whether the worker rejected the job as unprocessable.
    pub fn was_unprocessable(&self) -> bool {
        self.result == Some(AttemptResult::Unprocessable)
    }
}
