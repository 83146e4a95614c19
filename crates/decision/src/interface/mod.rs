//! What goes into a [`Dispatcher`](crate::Dispatcher) and what comes out of it.
//!
//! Times are whole microseconds on one clock that only moves forward; the host supplies it with each event.

mod attempt;
mod endpoint;
mod event;
mod learned;
mod settings;

pub use attempt::{AttemptContext, AttemptId, AttemptOutcome, AttemptResult, PriorAttempt, SendDenial};
pub use endpoint::{Endpoint, EndpointState, FreeCapacity, ListUpdate};
pub use event::{Action, Event, Job};
pub use learned::{ClassEstimates, LearnedState, WorkerHistory};
pub use settings::{Class, Customer, DeduplicationScope, Idempotency, ReportField, Settings};

/// A point in time or a length of time, in microseconds.
pub type Micros = u64;

/// Names a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

/// Names one submission of a job by a client; a client's retry is a job of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u32);
