//! The types of a [`Dispatcher`](crate::Dispatcher)'s input and output.
//!
//! Times are whole microseconds of one monotonic clock; the host supplies the time with each event.

mod attempt;
mod endpoint;
mod event;
mod learned;
mod load_report;
mod settings;

pub use attempt::{AttemptContext, AttemptId, AttemptOutcome, AttemptResult, PriorAttempt, SendDenial};
pub use endpoint::{Endpoint, EndpointState, FreeCapacity, ListUpdate};
pub use event::{Action, Event, Job};
pub use learned::{ClassEstimates, LearnedState, WorkerHistory};
pub use load_report::{InvalidReport, ReportField};
pub use settings::{Class, Customer, DeduplicationScope, Idempotency, Settings, MAX_SLOTS};

/// A point in time or a duration, in microseconds.
pub type Micros = u64;

/// The id of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct WorkerId(pub u32);

/// The id of one submission of a job by a client. A client's retry is a new job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u32);
