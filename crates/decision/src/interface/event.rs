//! Events that a dispatcher handles and actions that it returns.

use super::{
    AttemptId, AttemptOutcome, AttemptResult, Endpoint, JobId, LearnedState, ListUpdate, Micros,
    PriorAttempt, WorkerId,
};

/// A job that a client submitted.
#[derive(Clone, Debug)]
pub struct Job {
    /// Unique id, never reused.
    pub id: JobId,
    /// Number of the class: its index in [`Settings::classes`](super::Settings::classes).
    pub class: u16,
    /// Time at which the client stops waiting.
    pub deadline: Micros,
    /// The client's estimate of the running time on a standard core, if it gave one.
    pub size_hint: Option<Micros>,
    /// Number of slots that the job takes.
    pub slots: u32,
    /// Key of the object that the job concerns; 0 if there is none.
    pub key: u64,
    /// Number of the customer: its index in [`Settings::customers`](super::Settings::customers). If quotas
    /// are used, a customer that is not in the settings counts as having the maximum debt.
    pub customer: u16,
}

/// Input to a dispatcher.
#[derive(Clone, Debug)]
pub enum Event {
    /// A message about the endpoint list.
    EndpointList {
        /// The kind of the message.
        update: ListUpdate,
        /// The entries in the message.
        endpoints: Vec<Endpoint>,
    },
    /// Discovery has moved to another address. The list is requested there at once, regardless of earlier
    /// failures.
    DiscoveryMoved,
    /// An operator disabled a worker: it gets no new jobs until it is enabled, regardless of the endpoint
    /// list.
    WorkerDisabled(WorkerId),
    /// An operator enabled a worker again.
    WorkerEnabled(WorkerId),
    /// The host chooses a worker for a job that is about to arrive.
    PlacementOverride {
        /// The job.
        job: JobId,
        /// The worker. The job is sent to it if all other rules allow this.
        worker: WorkerId,
        /// Whether the job is rejected, instead of placed elsewhere, if the worker cannot serve it.
        required: bool,
    },
    /// A client submitted a job. It must get exactly one final answer: the answer of a worker,
    /// [`Action::Reject`] or [`Action::Fail`].
    JobArrived(Job),
    /// A job that another process of this scheduler accepted has been migrated to this process with its
    /// attempts.
    JobAdopted {
        /// The job.
        job: Job,
        /// Its attempts, in the order in which they were sent.
        attempts: Vec<PriorAttempt>,
    },
    /// The learned state of another process of this scheduler.
    LearnedStateReceived(LearnedState),
    /// A job has started on its worker.
    JobStarted {
        /// The job.
        job: JobId,
        /// The attempt that started.
        attempt: AttemptId,
    },
    /// A job made progress on its worker.
    JobProgressed {
        /// The job.
        job: JobId,
        /// The attempt that is running.
        attempt: AttemptId,
        /// The completed share of the job, from 0 to 1.
        completed_share: f64,
    },
    /// The answer is being sent to the client; the deadline no longer applies.
    AnswerStreaming {
        /// The job.
        job: JobId,
        /// The attempt that the answer comes from.
        attempt: AttemptId,
    },
    /// An attempt ended. Each [`Action::StartAttempt`] is followed by exactly one such event.
    AttemptEnded(AttemptOutcome),
    /// The client has disconnected.
    ClientDisconnected(JobId),
    /// A health check ended.
    HealthCheckEnded {
        /// The worker that was checked.
        worker: WorkerId,
        /// The result.
        result: AttemptResult,
        /// The load report; empty if there was none.
        report: Vec<f64>,
    },
    /// A timer set by [`Action::SetTimer`] has expired. Contains the `timer` value of that action.
    TimerExpired(u64),
}

/// Output of a dispatcher, carried out by the host.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send the job to a worker; the attempt gets the job's next [`AttemptId`].
    StartAttempt {
        /// The job.
        job: JobId,
        /// The worker.
        worker: WorkerId,
        /// The time limit of the attempt; 0: it may run until the job's deadline.
        timeout: Micros,
    },
    /// Cancel an attempt.
    CancelAttempt {
        /// The job.
        job: JobId,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Final answer: the job was rejected, and a retry is harmless: the job did not run, may run more than
    /// once, or is deduplicated by all workers.
    Reject {
        /// The job.
        job: JobId,
        /// The time after which the client should retry; 0: the client gets no advice.
        retry_after: Micros,
    },
    /// Final answer: the job failed and may or may not have taken effect.
    Fail {
        /// The job.
        job: JobId,
    },
    /// Request an [`Event::TimerExpired`].
    SetTimer {
        /// The time until the event.
        after: Micros,
        /// The value that the event contains.
        timer: u64,
        /// The job that the timer concerns; `None` if it concerns no single job.
        job: Option<JobId>,
    },
    /// Cancel all timers of a job: the dispatcher holds the job no longer, so they would have no effect. A
    /// host that cannot cancel timers may let them expire.
    CancelTimers {
        /// The job.
        job: JobId,
    },
    /// Check the health and load of a worker.
    CheckHealth {
        /// The worker.
        worker: WorkerId,
    },
    /// Request the endpoint list and watch it for changes.
    WatchEndpoints,
    /// Close the idle connections to a worker.
    CloseIdleConnections {
        /// The worker.
        worker: WorkerId,
    },
}
