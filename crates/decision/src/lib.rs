//! Decisions of a dispatcher that pushes jobs to workers, by tokens in release order.
//!
//! A [`Dispatcher`] is a plain state machine: it has no clock, no randomness, no threads and no network of its
//! own. A host hands it [`Event`]s with the time and carries out the [`Action`]s it answers with.
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
//! dispatcher.handle(Event::EndpointList { update: ListUpdate::Complete, endpoints: vec![worker] }, 0, &mut actions);
//! let job =
//!     Job { id: JobId(9), class: 0, deadline: 5_000_000, size_hint: None, slots: 1, key: 0, customer: 0 };
//! dispatcher.handle(Event::JobArrived(job), 10, &mut actions);
//! assert!(actions.iter().any(|a| matches!(a, Action::StartAttempt { job: JobId(9), worker: WorkerId(1), .. })));
//! ```

/// The README's example is compiled and run with the tests.
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
    DeduplicationScope, Endpoint, EndpointState, Event, FreeCapacity, Idempotency, Job, JobId, LearnedState,
    ListUpdate, Micros, PriorAttempt, ReportField, SendDenial, Settings, WorkerHistory, WorkerId,
};
