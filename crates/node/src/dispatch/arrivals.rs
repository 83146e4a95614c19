//! Arrival of jobs, disconnection of their clients, and migration between the processes of an upgrade.

use super::open_job::{prior_attempt, Attempt, JobPhase, OpenJob};
use super::{Dispatch, JobNotAccepted, Timer};
use crate::answer::{Answer, Failure};
use crate::clock::{millis_from_micros, Millis};
use crate::connection_id::ConnectionId;
use crate::deferral::DeferralError;
use crate::intake::Job;
use crate::upgrade_protocol::{MigratedAttempt, MigratedDeferral, MigratedJob};
use postusher_decision::{AttemptId, Event, JobId, WorkerId};
use postusher_deferred_jobs::JobEndStatus;

/// Time after the deadline of a job at which a missing answer means that the decision module has lost it.
const OVERDUE_AFTER: Millis = 20.0;

/// Returns the time from which the answer to a job with this deadline is overdue.
pub(super) fn answer_due(deadline: Millis) -> Millis {
    deadline + OVERDUE_AFTER
}

impl Dispatch {
    /// Handles a job that a client has submitted, and returns its id.
    ///
    /// # Errors
    /// Returns the reason if the job is not accepted; the caller has to answer the client.
    pub fn job_arrived(
        &mut self,
        client: ConnectionId,
        job: Job,
        now: Millis,
    ) -> Result<JobId, JobNotAccepted> {
        if self.has_job(&job.trace_id) {
            return Err(JobNotAccepted::DuplicateId);
        }
        let is_deferred = !job.start_conditions.is_empty();
        let id = self.add_open_job(client, job, now);
        self.metrics.accepted += 1;
        if is_deferred {
            self.defer(id, now)?;
        } else if let Some(job) = self.jobs.get(&id) {
            self.deferred.record_start(&job.trace_id);
            self.events.push(Event::JobArrived(job.for_decision(id)));
        }
        Ok(id)
    }

    /// Defers a job that has just arrived, and removes it if it cannot be deferred.
    fn defer(&mut self, id: JobId, now: Millis) -> Result<(), JobNotAccepted> {
        let Some(job) = self.jobs.get_mut(&id) else { return Ok(()) };
        let result = self.deferred.defer(id, job.client.number(), &job.submission, job.deadline, now);
        let Err(error) = result else {
            job.phase = JobPhase::Deferred;
            return Ok(());
        };
        let class = job.submission.class;
        let customer = job.submission.customer;
        let answer = self.answer_not_deferred(error);
        self.metrics.record_job_end(class, customer, answer.kind());
        self.remove_open_job(id);
        Err(JobNotAccepted::Answered(answer))
    }

    /// Returns the final answer of a job that cannot be deferred.
    fn answer_not_deferred(&self, error: DeferralError) -> Answer {
        match error {
            DeferralError::Full { retry_after } => {
                Answer::Rejected { retry_after: self.permitted_retry_after(retry_after) }
            }
            DeferralError::DependencyFailed => Answer::Failed(Failure::DependencyFailed),
            DeferralError::DependencyCycle => Answer::Failed(Failure::DependencyCycle),
            DeferralError::StartAfterDeadline => Answer::Failed(Failure::StartAfterDeadline),
        }
    }

    /// Returns the time after which a client is advised to retry, limited by the settings; 0 means no advice.
    pub(super) fn permitted_retry_after(&self, retry_after: Millis) -> Millis {
        let settings = &self.site.settings;
        if settings.sends_retry_after {
            retry_after.min(millis_from_micros(settings.max_retry_after))
        } else {
            0.0
        }
    }

    /// Removes a job from the open jobs, cancels its timers and returns it; `None` if it is not open. The
    /// timers that the decision module has set for it remain until the module cancels them.
    pub(super) fn remove_open_job(&mut self, id: JobId) -> Option<OpenJob> {
        let job = self.jobs.remove(&id)?;
        self.request_bytes -= job.submission.payload.held_bytes();
        for timer in job.timers() {
            self.timers.cancel(timer);
        }
        self.by_trace_id.remove(&job.trace_id);
        Some(job)
    }

    /// Adds a job to the open jobs and returns its new id.
    fn add_open_job(&mut self, client: ConnectionId, job: Job, now: Millis) -> JobId {
        let id = self.unused_id();
        let deadline = (now + job.time_to_deadline).min(self.shutdown_deadline);
        let answer_timer = self.timers.set(answer_due(deadline), Timer::AnswerDue(id));
        let job = OpenJob::new(client, job, deadline, answer_timer);
        self.request_bytes += job.submission.payload.held_bytes();
        self.by_trace_id.insert(job.trace_id.clone(), id);
        self.jobs.insert(id, job);
        id
    }

    /// Returns an id that no open job has.
    fn unused_id(&mut self) -> JobId {
        loop {
            self.last_id = self.last_id.wrapping_add(1);
            let id = JobId(self.last_id);
            if !self.jobs.contains_key(&id) {
                return id;
            }
        }
    }

    /// Adopts a job that migrates from the other process of an upgrade, either with the attempts that were
    /// made there or as a deferred job, and returns its id in this process.
    ///
    /// # Errors
    /// Returns the reason if the job is not accepted; the caller has to answer the client.
    pub fn adopt_job(
        &mut self,
        client: ConnectionId,
        job: Job,
        attempts: Vec<(WorkerId, MigratedAttempt)>,
        deferral: Option<MigratedDeferral>,
        now: Millis,
    ) -> Result<JobId, JobNotAccepted> {
        if self.has_job(&job.trace_id) {
            return Err(JobNotAccepted::DuplicateId);
        }
        let id = self.add_open_job(client, job, now);
        match deferral {
            Some(deferral) => self.adopt_deferred(id, deferral, now)?,
            None => self.adopt_dispatched(id, &attempts, now),
        }
        Ok(id)
    }

    fn adopt_deferred(
        &mut self,
        id: JobId,
        deferral: MigratedDeferral,
        now: Millis,
    ) -> Result<(), JobNotAccepted> {
        let Some(job) = self.jobs.get_mut(&id) else { return Ok(()) };
        if self.deferred.adopt(id, job.client.number(), &job.submission, job.deadline, deferral, now) {
            job.phase = JobPhase::Deferred;
            return Ok(());
        }
        // This process has a different setup or is shutting down, or a dependency has meanwhile ended with a
        // status that does not satisfy the condition.
        self.remove_open_job(id);
        Err(JobNotAccepted::Answered(Answer::Rejected { retry_after: 0.0 }))
    }

    fn adopt_dispatched(&mut self, id: JobId, attempts: &[(WorkerId, MigratedAttempt)], now: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        self.deferred.record_start(&job.trace_id);
        let mut prior_attempts = Vec::new();
        for (index, (worker, attempt)) in attempts.iter().enumerate() {
            let attempt_id = AttemptId(index as u8);
            prior_attempts.push(prior_attempt(*worker, attempt));
            let mut adopted = Attempt::from_migrated(*worker, attempt, job.deadline, now);
            if adopted.is_pending() {
                let timer = Timer::AttemptDeadline(id, attempt_id);
                adopted.deadline_timer = Some(self.timers.set(job.deadline, timer));
            }
            job.attempts.push(adopted);
        }
        self.events.push(Event::JobAdopted { job: job.for_decision(id), attempts: prior_attempts });
    }

    /// Returns a job in the form in which it migrates to the other process of an upgrade; `None` if it is not
    /// open or cannot migrate, because an attempt is still being sent or the job has its final answer.
    pub fn migrated_job(&self, id: JobId, now: Millis) -> Option<MigratedJob> {
        let job = self.jobs.get(&id).filter(|job| job.can_migrate())?;
        Some(job.to_migrated(self.deferred.export(id, now), now))
    }

    /// Removes a job that has migrated to the other process of an upgrade. Later actions of this process's
    /// decision module for the job have no effect.
    pub fn release_migrated(&mut self, id: JobId) {
        if let Some(job) = self.remove_open_job(id) {
            self.deferred.record_migration(&job.trace_id);
        }
    }

    /// Handles the disconnection of the client of a job. Has no effect if the job has its final answer.
    pub fn client_disconnected(&mut self, id: JobId, now: Millis) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        match job.phase {
            JobPhase::Answered => return,
            JobPhase::Deferred => {}
            JobPhase::Dispatched => self.events.push(Event::ClientDisconnected(id)),
        }
        job.phase = JobPhase::Answered;
        self.metrics.disconnected += 1;
        self.to_review.push(id);
        let trace_id = job.trace_id.clone();
        self.publish_job_end(trace_id, JobEndStatus::Disconnected, now);
    }
}
