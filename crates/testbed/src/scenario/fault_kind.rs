//! The kinds of faults that a scenario can inject.

use serde::{Deserialize, Serialize};

/// The kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Workers crash and lose their jobs; after the duration they restart in slow start.
    Crash,
    /// Workers accept jobs but finish none.
    Hang,
    /// Workers are slowed down by the factor.
    Slow,
    /// Workers reject all jobs without running them.
    Refuse,
    /// Workers close connections after accepting a job and before answering.
    Break,
    /// Workers run jobs and report each as failed.
    Fail,
    /// Workers close the connection under the first attempt of each job, run it nevertheless, and report it as
    /// failed. They run a second attempt as any other.
    BreakThenFail,
    /// Workers report more free slots than any machine has.
    InvalidReports,
    /// Workers close each connection after an answer. From time to time they accept no connection for a while,
    /// so that new ones are established about a second late.
    LateConnections,
    /// Workers are draining on the endpoint list, and up again after the duration.
    Drain,
    /// Workers send each job status update twice.
    Twice,
    /// Workers send job status updates one second late.
    Late,
    /// Discovery is unavailable.
    Discovery,
    /// The additional workers on the endpoint list are replaced: all their entries change.
    Replace,
    /// Answers of discovery are truncated in the middle.
    CutLists,
    /// Answers of discovery arrive slowly, in parts.
    SlowLists,
    /// As many idle connections as the factor are opened to a scheduler, and closed after the duration.
    Crowd,
    /// As many connections as the factor send jobs to a scheduler that are rejected, the next ones as soon as
    /// the previous ones are answered.
    Flood,
    /// As many clients as the factor send a large request without its end to a scheduler, and stay for the
    /// duration.
    PartialRequests,
    /// A scheduler gets SIGHUP and SIGTERM several times in quick succession, and is restarted after it
    /// exits.
    Signals,
    /// A scheduler is killed by SIGKILL and restarted.
    Kill,
    /// A scheduler is killed by SIGKILL and restarted after the duration.
    Down,
    /// A scheduler is stopped by SIGSTOP, and continued after the duration.
    Pause,
    /// A scheduler runs on the fraction of a core given by the factor, by alternating SIGSTOP and SIGCONT.
    Throttle,
    /// Links from schedulers to others are cut in that direction.
    Cut,
    /// New connections from schedulers to others are reset.
    Reset,
    /// Each link between schedulers carries as many datagrams per second as the factor, and drops the rest.
    Limit,
    /// All links between schedulers lose the fraction of datagrams given by the factor, delay the others by
    /// up to 300 ms and duplicate a tenth of them.
    Weather,
    /// A scheduler gets SIGTERM and is restarted after it exits.
    Term,
    /// A scheduler gets SIGTERM, then SIGKILL as soon as operators may send it, and is restarted.
    TermThenKill,
    /// A scheduler is upgraded: a successor starts, then the predecessor gets SIGTERM.
    Upgrade,
    /// A scheduler is upgraded while both processes get SIGHUP several times in quick succession.
    UpgradeUnderSignals,
    /// A scheduler gets SIGHUP.
    Reload,
    /// An operator disables a worker and enables it after the duration.
    Maint,
}

impl FaultKind {
    /// Returns whether the fault affects workers, as opposed to schedulers or discovery.
    pub fn affects_workers(self) -> bool {
        matches!(
            self,
            FaultKind::Crash
                | FaultKind::Hang
                | FaultKind::Slow
                | FaultKind::Refuse
                | FaultKind::Break
                | FaultKind::Fail
                | FaultKind::BreakThenFail
                | FaultKind::InvalidReports
                | FaultKind::LateConnections
                | FaultKind::Drain
                | FaultKind::Twice
                | FaultKind::Late
                | FaultKind::Maint
        )
    }
}
