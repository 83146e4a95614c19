//! What must hold: asserted in debug builds, counted in release builds.

use std::sync::atomic::{AtomicU64, Ordering};

/// The things that must hold.
#[derive(Clone, Copy, Debug)]
pub enum Invariant {
    /// The module answers every request by its deadline; else the scheduler fails it.
    AnsweredInTime,
    /// An attempt goes only to a worker of the list.
    TargetListed,
    /// An attempt ends once.
    AttemptEndedOnce,
    /// Work is handed only to a connection that stands idle.
    ConnectionIdle,
    /// No attempt begins by a list that discovery has begun to replace, past the grace for drains.
    ListCurrent,
    /// A read has room for what it finds; one within another has none, and takes that for the connection's end.
    RoomToRead,
}

const ALL: [Invariant; 6] = [
    Invariant::AnsweredInTime,
    Invariant::TargetListed,
    Invariant::AttemptEndedOnce,
    Invariant::ConnectionIdle,
    Invariant::ListCurrent,
    Invariant::RoomToRead,
];

static BROKEN: [AtomicU64; ALL.len()] = [const { AtomicU64::new(0) }; ALL.len()];

/// Checks one; says whether it holds.
pub fn holds(invariant: Invariant, holds: bool) -> bool {
    debug_assert!(holds, "broken: {invariant:?}");
    if !holds {
        BROKEN[invariant as usize].fetch_add(1, Ordering::Relaxed);
    }
    holds
}

/// How often each was broken, for the log; empty where none was.
pub fn broken() -> String {
    let count = |i: &Invariant| (*i, BROKEN[*i as usize].load(Ordering::Relaxed));
    let broken = ALL.iter().map(count).filter(|(_, n)| *n > 0);
    broken.map(|(i, n)| format!(" broken.{i:?}={n}")).collect()
}
