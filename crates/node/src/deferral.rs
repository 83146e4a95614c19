//! Deferred jobs: what a request says of its start, and the queue beside the decision module, where the setup has one.

use crate::clock::Millis;
use crate::http::Headers;
use crate::intake::{is_id, millis, Job};
use crate::upgrade_protocol::{JobEnd, MigratedDeferral};
use postusher_decision::JobId;
use postusher_deferred_jobs::{
    AfterRejection, Decision, DeferralQueue, DeferredJob, Dependency, JobEndStatus, Limits, MigratedState,
    StartConditions as QueueConditions, Statistics, MAX_DEPENDENCIES,
};
use thiserror::Error;
use time::format_description::well_known::Rfc3339;
use time::OffsetDateTime;

#[cfg(test)]
mod tests;

/// `ID[;any][, ...]`: jobs that have to end first.
const START_AFTER: &str = "X-Start-After";
/// RFC 3339 date-time: not before then.
const START_AT: &str = "X-Start-At";
/// Not before so long from now, in the units of `X-Expires-In`.
const START_IN: &str = "X-Start-In";
/// The headers that are for this scheduler alone.
const OWN_HEADERS: [&str; 3] = [START_AFTER, START_AT, START_IN];
/// The parameter of a dependency that any end of its job meets.
const ANY_END: &str = "any";
/// Nanoseconds in a millisecond.
const NANOS_PER_MILLI: f64 = 1e6;

/// When a job may start, as its request says: all of these have to be met.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StartConditions {
    dependencies: Vec<Dependency>,
    /// The earliest start, in milliseconds since 1970.
    start_at: Option<Millis>,
    /// The shortest time from the arrival to the start.
    start_in: Option<Millis>,
}

impl StartConditions {
    /// Removes the headers that concern the start from a request and returns what they say; `None` if one of them is
    /// malformed, and then the headers stay.
    pub fn take(headers: &mut Headers) -> Option<StartConditions> {
        let mut dependencies = Vec::new();
        for line in headers.all(START_AFTER) {
            for item in std::str::from_utf8(line).ok()?.split(',') {
                dependencies.push(parse_dependency(item.trim())?);
            }
        }
        if dependencies.len() > MAX_DEPENDENCIES {
            return None;
        }
        let start_at = match headers.single(START_AT).ok()? {
            Some(text) => Some(parse_date_time(text)?),
            None => None,
        };
        let start_in = match headers.single(START_IN).ok()? {
            Some(text) => Some(millis(text, None)?),
            None => None,
        };
        headers.0.retain(|(name, _)| !OWN_HEADERS.iter().any(|own| own.eq_ignore_ascii_case(name)));
        Some(StartConditions { dependencies, start_at, start_in })
    }

    /// Whether there is nothing to wait for.
    pub fn is_empty(&self) -> bool {
        self.dependencies.is_empty() && self.start_at.is_none() && self.start_in.is_none()
    }

    /// The conditions of a job that arrives at `now`.
    fn resolve(self, now: Millis) -> QueueConditions {
        let after_delay = self.start_in.map(|delay| now + delay);
        let not_before = match (self.start_at, after_delay) {
            (Some(at), Some(after_delay)) => Some(at.max(after_delay)),
            (at, after_delay) => at.or(after_delay),
        };
        QueueConditions { dependencies: self.dependencies, not_before }
    }
}

/// A dependency from its form `ID[;any]`.
fn parse_dependency(text: &str) -> Option<Dependency> {
    let (trace_id, any_end) = match text.split_once(';') {
        Some((trace_id, parameter)) if parameter.trim().eq_ignore_ascii_case(ANY_END) => {
            (trace_id.trim_end(), true)
        }
        Some(_) => return None,
        None => (text, false),
    };
    if !is_id(trace_id) {
        return None;
    }
    Some(Dependency { trace_id: trace_id.into(), any_end })
}

/// Milliseconds since 1970 of an RFC 3339 date-time.
fn parse_date_time(text: &str) -> Option<Millis> {
    let nanos = OffsetDateTime::parse(text, &Rfc3339).ok()?.unix_timestamp_nanos();
    Some(nanos as f64 / NANOS_PER_MILLI)
}

/// Why a job is not deferred.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub enum DeferralError {
    /// There is no room for it.
    #[error("no room for a deferred job; retry after {retry_after} ms")]
    Full {
        /// When there may be some; 0 gives no advice.
        retry_after: Millis,
    },
    /// A dependency has ended in a way that does not meet it.
    #[error("a job that it depends on has ended otherwise")]
    Doomed,
    /// The job would wait for itself, directly or through others.
    #[error("the job would wait for itself")]
    Circle,
    /// Its start lies after its own deadline.
    #[error("the start lies after the deadline")]
    TooLate,
}

impl From<postusher_deferred_jobs::DeferralError> for DeferralError {
    fn from(error: postusher_deferred_jobs::DeferralError) -> DeferralError {
        use postusher_deferred_jobs::DeferralError as QueueError;
        match error {
            QueueError::Cycle => DeferralError::Circle,
            QueueError::DependencyFailed => DeferralError::Doomed,
            QueueError::Full { retry_after, .. } => DeferralError::Full { retry_after },
            QueueError::Closed => DeferralError::Full { retry_after: 0.0 },
        }
    }
}

/// The deferred jobs of a scheduler. Without a queue nothing is deferred, and nothing here has a cost.
#[derive(Default)]
pub struct DeferredJobs {
    queue: Option<DeferralQueue>,
}

impl DeferredJobs {
    /// A queue with these limits, if there are any.
    pub fn new(limits: Option<Limits>) -> DeferredJobs {
        DeferredJobs { queue: limits.map(DeferralQueue::new) }
    }

    /// Whether jobs can be deferred.
    pub fn is_on(&self) -> bool {
        self.queue.is_some()
    }

    /// Sets other limits; a queue does not come or go while the scheduler runs.
    pub fn set(&mut self, limits: Limits) {
        if let Some(queue) = &mut self.queue {
            queue.set_limits(limits);
        }
    }

    /// A job that is not deferred is under way, here or at the other process of an upgrade.
    pub fn opened(&mut self, trace_id: &str) {
        if let Some(queue) = &mut self.queue {
            queue.record_start(trace_id);
        }
    }

    /// A job has had its answer, or its client has left.
    pub fn ended(&mut self, trace_id: &str, status: JobEndStatus, now: Millis) {
        if let Some(queue) = &mut self.queue {
            queue.record_end(trace_id, status, now);
        }
    }

    /// Defers a job.
    ///
    /// # Errors
    /// Why it is not deferred; the client is to be told.
    pub fn hold(
        &mut self,
        id: JobId,
        client: u64,
        job: &Job,
        deadline: Millis,
        now: Millis,
    ) -> Result<(), DeferralError> {
        let Some(queue) = &mut self.queue else { return Err(DeferralError::Full { retry_after: 0.0 }) };
        let conditions = job.waits.clone().resolve(now);
        if conditions.not_before.is_some_and(|start| start >= deadline) {
            // The jobs that wait for it are told at once, too.
            queue.record_end(&job.trace_id, JobEndStatus::Rejected, now);
            return Err(DeferralError::TooLate);
        }
        queue.defer(deferred_job(id, client, job, deadline, conditions), now)?;
        Ok(())
    }

    /// Defers a job that another process deferred before. Returns whether it is deferred here.
    pub fn adopt(
        &mut self,
        id: JobId,
        client: u64,
        job: &Job,
        deadline: Millis,
        deferral: MigratedDeferral,
        now: Millis,
    ) -> bool {
        let Some(queue) = &mut self.queue else { return false };
        let mut dependencies = Vec::with_capacity(deferral.dependencies.len());
        for (trace_id, any_end) in deferral.dependencies {
            dependencies.push(Dependency { trace_id: trace_id.into(), any_end });
        }
        let not_before = deferral.start_in.map(|delay| now + delay);
        let conditions = QueueConditions { dependencies, not_before };
        let mut job = deferred_job(id, client, job, deadline, conditions);
        job.migrated = Some(MigratedState { ready_for: deferral.ready_for, grace_left: deferral.grace_left });
        queue.defer(job, now).is_ok()
    }

    /// What another process needs to go on deferring a job; `None` if it is not deferred.
    pub fn parcel(&self, job: JobId, now: Millis) -> Option<MigratedDeferral> {
        let exported = self.queue.as_ref()?.export(queue_id(job), now)?;
        let mut dependencies = Vec::with_capacity(exported.conditions.dependencies.len());
        for dependency in exported.conditions.dependencies {
            dependencies.push((dependency.trace_id.to_string(), dependency.any_end));
        }
        Some(MigratedDeferral {
            dependencies,
            start_in: exported.conditions.not_before.map(|at| at - now),
            ready_for: exported.state.ready_for,
            grace_left: exported.state.grace_left,
        })
    }

    /// Another process has a job now.
    pub fn moved(&mut self, trace_id: &str) {
        if let Some(queue) = &mut self.queue {
            queue.record_migration(trace_id);
        }
    }

    /// What another process must know of jobs that have ended.
    pub fn remembered(&self, now: Millis) -> Vec<JobEnd> {
        let Some(queue) = &self.queue else { return Vec::new() };
        let mut ends = Vec::new();
        for end in queue.remembered_ends(now) {
            ends.push(JobEnd { trace_id: end.trace_id.to_string(), status: end.status });
        }
        ends
    }

    /// Advances to `now` and releases the jobs for which there is capacity; `capacity` is only called when jobs could be
    /// released. Returns what is to be done.
    pub fn release(
        &mut self,
        capacity: impl Fn() -> postusher_decision::FreeCapacity,
        now: Millis,
    ) -> Vec<Decision> {
        let Some(queue) = &mut self.queue else { return Vec::new() };
        queue.advance(now);
        if queue.wants_capacity(now) {
            let postusher_decision::FreeCapacity { free, total, largest_free } = capacity();
            queue.release(postusher_deferred_jobs::FreeCapacity { free, total, largest_free }, now);
        }
        queue.take_decisions()
    }

    /// The decision module has rejected a released job that no worker was sent. Returns whether it is deferred again.
    pub fn turned_away(&mut self, job: JobId, now: Millis) -> bool {
        let Some(queue) = &mut self.queue else { return false };
        match queue.requeue_rejected(queue_id(job), now) {
            AfterRejection::Requeued => true,
            AfterRejection::Final => false,
        }
    }

    /// The decision module has rejected a job that was never deferred.
    pub fn crowded(&mut self, now: Millis) {
        if let Some(queue) = &mut self.queue {
            queue.yield_to_arrivals(now);
        }
    }

    /// When [`DeferredJobs::release`] has something to do by time alone.
    pub fn next_due(&self, now: Millis) -> Option<Millis> {
        self.queue.as_ref()?.next_timer(now)
    }

    /// The scheduler ends.
    pub fn close(&mut self) {
        if let Some(queue) = &mut self.queue {
            queue.close();
        }
    }

    /// The metrics, where there is a queue.
    pub fn count(&self, now: Millis) -> Option<Statistics> {
        self.queue.as_ref().map(|queue| queue.statistics(now))
    }
}

fn queue_id(job: JobId) -> postusher_deferred_jobs::JobId {
    postusher_deferred_jobs::JobId(job.0)
}

fn deferred_job(
    id: JobId,
    client: u64,
    job: &Job,
    deadline: Millis,
    conditions: QueueConditions,
) -> DeferredJob {
    DeferredJob {
        id: queue_id(id),
        trace_id: job.trace_id.as_str().into(),
        client,
        class: job.class,
        slots: job.slots,
        bytes: job.payload.size(),
        deadline,
        conditions,
        migrated: None,
    }
}
