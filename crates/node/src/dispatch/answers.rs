//! Execution of the actions of the decision module and of the decisions on deferred jobs, and the single
//! final answer of each job.

use super::arrivals::answer_due;
use super::open_job::JobPhase;
use super::{Command, Dispatch, Timer};
use crate::answer::{Answer, Failure};
use crate::clock::{millis_from_micros, Millis};
use crate::endpoint_list::EndpointList;
use crate::invariant::{holds, Invariant};
use postusher_decision::{Action, Event, JobId};
use postusher_deferred_jobs::{Decision, JobEndStatus};
use std::rc::Rc;

impl Dispatch {
    /// Carries out the decisions of the deferral queue. Returns the number of jobs that were released to the
    /// decision module.
    pub(super) fn release_deferred_jobs(&mut self, now: Millis) -> usize {
        let dispatcher = &self.dispatcher;
        let decisions = self.deferred.release(|| dispatcher.free_capacity(), now);
        let mut released = 0;
        for decision in decisions {
            match decision {
                Decision::Release(id) => {
                    let id = JobId(id.0);
                    let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_answered()) else { continue };
                    job.phase = JobPhase::Dispatched;
                    self.events.push(Event::JobArrived(job.for_decision(id)));
                    released += 1;
                }
                Decision::Fail(id) => {
                    self.answer(JobId(id.0), Answer::Failed(Failure::DependencyFailed), now);
                }
                Decision::Reject { id, retry_after } => {
                    let retry_after = self.permitted_retry_after(retry_after);
                    self.answer(JobId(id.0), Answer::Rejected { retry_after }, now);
                }
            }
        }
        released
    }

    /// Executes an action of the decision module.
    pub(super) fn carry_out(&mut self, action: Action, endpoints: &EndpointList, now: Millis) {
        match action {
            Action::StartAttempt { job, worker, timeout } => {
                self.start_attempt(job, worker, timeout, endpoints, now);
            }
            Action::CancelAttempt { job, attempt } => self.cancel_attempt(job, attempt, now),
            Action::Reject { job, retry_after } => {
                self.handle_rejection(job, millis_from_micros(retry_after), now);
            }
            Action::Fail { job } => {
                let failure = self.failure(job, now);
                self.answer(job, Answer::Failed(failure), now);
            }
            Action::SetTimer { after, timer, job } => {
                self.timers.set_for_job(now + millis_from_micros(after), Timer::Decision(timer), job);
            }
            Action::CancelTimers { job } => self.timers.cancel_of_job(job),
            Action::CheckHealth { worker } => self.commands.push(Command::CheckHealth(worker)),
            Action::WatchEndpoints => self.commands.push(Command::WatchEndpoints),
            Action::CloseIdleConnections { worker } => {
                self.commands.push(Command::CloseIdleConnections(worker));
            }
        }
    }

    /// Handles the rejection of a job by the decision module. A job that was deferred before and has had no
    /// attempt is deferred again if its deadline and the limit on its wait leave time for another release and
    /// the queue is not closed; otherwise the rejection is its final answer.
    fn handle_rejection(&mut self, id: JobId, retry_after: Millis, now: Millis) {
        if let Some(job) = self.jobs.get_mut(&id) {
            if !job.is_answered() && job.attempts.is_empty() {
                if self.deferred.requeue_rejected(id, now) {
                    job.phase = JobPhase::Deferred;
                    return;
                }
                job.phase = JobPhase::Dispatched;
                self.deferred.yield_to_arrivals(now);
            }
        }
        self.answer(id, Answer::Rejected { retry_after }, now);
    }

    /// Returns the reason for the failure of a job for which the decision module makes no further attempt.
    fn failure(&self, id: JobId, now: Millis) -> Failure {
        match self.jobs.get(&id) {
            Some(job) if job.deadline <= now => Failure::DeadlineExceeded,
            Some(job) if job.last_attempt_unprocessable => Failure::Unprocessable,
            _ => Failure::AttemptsFailed,
        }
    }

    /// Gives a job its final answer and queues it for the client. Does nothing if the job already has one.
    pub(super) fn answer(&mut self, id: JobId, answer: Answer, now: Millis) {
        let Some(job) = self.jobs.get_mut(&id).filter(|job| !job.is_answered()) else { return };
        job.phase = JobPhase::Answered;
        let trace_id = job.trace_id.clone();
        let submission = &job.submission;
        if !matches!(answer, Answer::Served(_)) {
            log::debug!(
                "job not served: trace_id={trace_id} class={} customer={} slots={} answer={answer:?}",
                submission.class,
                submission.customer,
                submission.slots
            );
        }
        let status = answer.kind();
        self.metrics.record_job_end(submission.class, submission.customer, status);
        self.commands.push(Command::Answer(job.client, answer));
        self.to_review.push(id);
        self.publish_job_end(trace_id, status.into(), now);
    }

    /// Records the end of a job for the jobs that depend on it, in this process and in the other process of
    /// an upgrade. Does nothing if jobs cannot be deferred.
    pub(super) fn publish_job_end(&mut self, trace_id: Rc<str>, status: JobEndStatus, now: Millis) {
        if self.deferred.is_enabled() {
            self.deferred.record_end(&trace_id, status, now);
            self.commands.push(Command::PublishJobEnd(trace_id, status));
        }
    }

    /// Fails a job whose answer is overdue, and removes a job that is answered and has no pending attempt.
    pub(super) fn review(&mut self, id: JobId, now: Millis) {
        let Some(job) = self.jobs.get(&id) else { return };
        if !job.is_answered() && now >= answer_due(job.deadline) {
            // The decision module has lost the job; without this answer the client would wait forever.
            holds(Invariant::AnsweredInTime, false);
            self.events.push(Event::ClientDisconnected(id));
            self.answer(id, Answer::Failed(Failure::DeadlineExceeded), now);
        }
        if !self.jobs.get(&id).is_some_and(|job| job.is_over()) {
            return;
        }
        if self.has_events() {
            // The decision module may still refer to the job until it has processed all queued events.
            self.to_review.push(id);
        } else if let Some(job) = self.remove_open_job(id) {
            self.commands.push(Command::ReleaseJobId(job.trace_id));
        }
    }
}
