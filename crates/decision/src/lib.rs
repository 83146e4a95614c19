//! The decision logic of a dispatcher that pushes jobs to workers.
//!
//! An attempt holds one token of its worker for each slot that the job needs. Among the workers that suit a
//! job equally well, the one with the longest-free token gets it.
//!
//! A [`Dispatcher`] is a plain state machine without a clock, entropy source, threads or network of its own.
//! A host passes it [`Event`]s with the time and carries out the [`Action`]s that it returns.
//!
//! ```
//! use postusher_decision::{
//!     Action, Class, Dispatcher, Endpoint, EndpointState, Event, Idempotency, Job, JobId, ListUpdate,
//!     Settings, WorkerId,
//! };
//!
//! let settings = Settings {
//!     classes: vec![Class { objective_stretch: 2.0, ..Class::new(Idempotency::Idempotent, 250_000) }],
//!     ..Settings::default()
//! };
//! let mut dispatcher = Dispatcher::new(settings, 7, 0);
//! let worker = Endpoint {
//!     worker: WorkerId(1),
//!     state: EndpointState::Ready,
//!     capacity_weight: 1.0,
//!     started_at: 0,
//!     cell: 0,
//!     kind: 0,
//!     zone: 0,
//! };
//! let mut actions = Vec::new();
//! let list = Event::EndpointList { update: ListUpdate::Complete, endpoints: vec![worker] };
//! dispatcher.handle(list, 0, &mut actions);
//! let job =
//!     Job { id: JobId(9), class: 0, deadline: 5_000_000, size_hint: None, slots: 1, key: 0, customer: 0 };
//! dispatcher.handle(Event::JobArrived(job), 10, &mut actions);
//! let is_start = |a: &Action| matches!(a, Action::StartAttempt { job: JobId(9), worker: WorkerId(1), .. });
//! assert!(actions.iter().any(is_start));
//! ```

/// Compiles and runs the README's example with the tests.
#[cfg(doctest)]
#[doc = include_str!("../../../README.md")]
struct Readme;

mod dispatcher;
mod estimators;
mod id_map;
mod interface;
mod policy;
mod state;

pub use dispatcher::Dispatcher;
pub use interface::{
    Action, AttemptContext, AttemptId, AttemptOutcome, AttemptResult, Class, ClassEstimates, Customer,
    DeduplicationScope, Endpoint, EndpointState, Event, FreeCapacity, Idempotency, InvalidReport, Job, JobId,
    LearnedState, ListUpdate, Micros, PriorAttempt, ReportField, SendDenial, Settings, WorkerHistory,
    WorkerId, MAX_SLOTS,
};
