//! Invariants: asserted in debug builds, counted in release builds.

use std::sync::atomic::{AtomicU64, Ordering};

/// A condition that must hold at all times.
#[derive(Clone, Copy, Debug)]
pub enum Invariant {
    /// The decision module gives every job its final answer in time; if it does not, the scheduler fails the
    /// job.
    AnsweredInTime,
    /// Attempts are only sent to listed workers.
    WorkerListed,
    /// Every attempt ends only once.
    AttemptEndedOnce,
    /// A task is only assigned to a connection that is not closed and has no task, and the request of a task
    /// is only written once.
    ConnectionIdle,
    /// After the drain grace, no attempt is started on the basis of an endpoint list that discovery has begun
    /// to replace.
    ListCurrent,
    /// The buffer of every read is not empty. The result of a read into an empty one, for example of a read
    /// within another read, would look like the end of the connection.
    RoomToRead,
}

/// All invariants, in the order of their declaration.
const ALL: [Invariant; 6] = [
    Invariant::AnsweredInTime,
    Invariant::WorkerListed,
    Invariant::AttemptEndedOnce,
    Invariant::ConnectionIdle,
    Invariant::ListCurrent,
    Invariant::RoomToRead,
];

/// Number of violations of each invariant, indexed by its discriminant.
static VIOLATIONS: [AtomicU64; ALL.len()] = [const { AtomicU64::new(0) }; ALL.len()];

/// Records a violation of an invariant if the condition is false. Returns the condition.
///
/// # Panics
/// In debug builds, if the condition is false.
pub fn holds(invariant: Invariant, condition: bool) -> bool {
    debug_assert!(condition, "invariant violated: {invariant:?}");
    if !condition {
        VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    }
    condition
}

/// Returns the number of violations of each invariant as fields of a log line; empty if there were none.
pub fn violations() -> String {
    let mut fields = String::new();
    for invariant in ALL {
        let count = VIOLATIONS[invariant as usize].load(Ordering::Relaxed);
        if count > 0 {
            fields.push_str(&format!(" broken.{invariant:?}={count}"));
        }
    }
    fields
}
