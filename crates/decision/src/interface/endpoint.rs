//! The endpoint list: the workers listed by discovery.

use super::{DeduplicationScope, Micros, WorkerId};

/// Whether a listed worker accepts jobs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts jobs.
    Ready,
    /// Accepts only jobs with a placement override for it.
    Reserved,
    /// Finishes its jobs and accepts no new ones.
    Draining,
    /// No longer listed.
    Removed,
}

/// One entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The worker.
    pub worker: WorkerId,
    /// Whether the worker accepts jobs.
    pub state: EndpointState,
    /// Capacity of the worker relative to other workers; no unit; not used by decisions.
    pub capacity_weight: f64,
    /// When the worker's process last started; 0: so long ago that its slow start is over.
    pub started_at: Micros,
    /// Number of the worker's cell.
    pub cell: u16,
    /// Number of the worker's machine kind.
    pub kind: u16,
    /// Number of the worker's zone.
    pub zone: u16,
}

impl Endpoint {
    /// Returns whether this worker deduplicates a job that the `other` worker may have run.
    pub(crate) fn deduplicates_with(&self, other: &Endpoint, scope: DeduplicationScope) -> bool {
        match scope {
            DeduplicationScope::Fleet => true,
            DeduplicationScope::Zone => self.zone == other.zone,
            DeduplicationScope::Cell => self.cell == other.cell,
        }
    }
}

/// The kind of a message about the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The entries that changed.
    Changes,
    /// The complete list.
    Complete,
    /// The complete list as last seen by an earlier process, possibly out of date.
    Cached,
    /// Discovery has started to send an answer, which has not been read completely yet. The drain grace of
    /// the changes in it counts from this time. Contains no entries.
    AnswerStarted {
        /// When the answer started.
        at: Micros,
    },
    /// A call to discovery failed or the watch ended. Contains no entries.
    Failed,
}

/// The free capacity of the fleet, as estimated by this dispatcher. A job starts at once on a free slot.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FreeCapacity {
    /// Number of free slots of all workers that may get jobs.
    pub free_slots: u32,
    /// Number of free slots and of tokens held by this dispatcher's pending attempts, at the same workers.
    pub total_slots: u32,
    /// Largest number of free slots at a single worker.
    pub max_free_slots: u32,
}
