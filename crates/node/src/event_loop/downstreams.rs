//! Handling of requests from clients and workers, and their answers.

use super::{ConnectionId, EventLoop, Role, Socket};
use crate::answer::Answer;
use crate::clock::Millis;
use crate::dispatch::JobNotAccepted;
use crate::http;
use crate::intake::{self, IncomingRequest, Job};
use crate::job_status::{JobStatus, JobStatusUpdate};
use crate::upgrade_protocol::Message;
use postusher_decision::JobId;

/// Time after which a client whose job was rejected for lack of descriptors or memory is advised to retry.
const SHORTAGE_RETRY_AFTER: Millis = 500.0;

/// What this process does with a connection after an answer. The client may close the connection regardless.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AfterAnswer {
    /// Keep it open for the next request, unless the current request asks for it to be closed.
    Keep,
    /// Close it after this answer.
    Close,
}

impl AfterAnswer {
    fn keep_if(should_keep: bool) -> AfterAnswer {
        if should_keep {
            AfterAnswer::Keep
        } else {
            AfterAnswer::Close
        }
    }
}

impl EventLoop {
    /// Handles all complete requests of a connection, as long as its write buffer has room for the answers.
    pub(super) fn handle_requests(&mut self, id: ConnectionId, now: Millis) {
        loop {
            let Some(Socket { role: Role::Downstream(connection, _), has_failed_write, .. }) =
                self.socket(id)
            else {
                return;
            };
            // The client has gone, while a worker's status updates count although their answers cannot be sent.
            if *has_failed_write && !connection.carries_job_status {
                return;
            }
            let Some(next) = connection.next() else { return };
            match next {
                Ok(message) => {
                    let is_deferral_on = self.dispatch.deferred_jobs().is_enabled();
                    let request = intake::read(message, &self.site, is_deferral_on);
                    self.handle_request(id, request, now);
                }
                Err(error) => self.reply_with_status(id, error.0, now),
            }
        }
    }

    fn handle_request(&mut self, id: ConnectionId, request: IncomingRequest, now: Millis) {
        match request {
            IncomingRequest::Readiness => self.reply_readiness(id, now),
            IncomingRequest::Job(job) => self.handle_job(id, *job, now),
            IncomingRequest::Invalid(405) => {
                let allow = [("Allow", "POST".to_string())];
                self.reply(id, now, AfterAnswer::Close, |keep_alive| {
                    http::response(405, &allow, b"", keep_alive)
                });
            }
            IncomingRequest::Invalid(status) => self.reply_with_status(id, status, now),
            IncomingRequest::JobStatus(body) => self.handle_job_status(id, &body, now),
        }
    }

    /// Answers a readiness check.
    fn reply_readiness(&mut self, id: ConnectionId, now: Millis) {
        let is_ready = !self.drain.is_draining() && self.is_ready(now);
        let after = AfterAnswer::keep_if(self.drain.keeps_connections(now, !is_ready));
        let status = if is_ready { 200 } else { 503 };
        self.reply(id, now, after, |keep_alive| http::response(status, &[], b"", keep_alive));
    }

    /// Passes a job to the dispatcher, or rejects it because of a drain, a lack of descriptors or memory, or a
    /// duplicate trace id.
    fn handle_job(&mut self, id: ConnectionId, mut job: Job, now: Millis) {
        // The client's time counts from its sending, which may be an iteration of the loop ago.
        job.time_to_deadline -= self.iteration_times.input_age(now);
        if self.drain.rejects_jobs(now) {
            // No Retry-After: another scheduler can accept the job at once.
            return self.reject_job(id, &job, 0.0, now);
        }
        if self.limits.uses_job_status_reserve() && !self.close_unneeded_downstream() {
            self.record_descriptor_shortage(now);
            return self.reject_job(id, &job, self.shortage_retry_after(), now);
        }
        self.update_held_bytes(id); // the request is no longer part of the connection
        if !self.has_memory_for(&job, now) {
            self.record_memory_shortage(now);
            return self.reject_job(id, &job, self.shortage_retry_after(), now);
        }
        // The two processes of an upgrade must not both have an open job with the same trace id.
        if self.upgrade.is_open_at_peer(&job.trace_id) {
            return self.reply_with_status(id, 409, now);
        }
        self.ensure_list_requested(now);
        match self.dispatch.job_arrived(id, job, now) {
            Ok(job) => {
                if let Some(trace_id) = self.dispatch.trace_id(job) {
                    self.send_to_peer(|| Message::JobStarted(trace_id.to_string()));
                }
                self.set_waiting_job(id, job);
            }
            Err(error) => self.reply_not_accepted(id, &error, now),
        }
    }

    fn reject_job(&mut self, id: ConnectionId, job: &Job, retry_after: Millis, now: Millis) {
        let rejected = Answer::Rejected { retry_after };
        self.dispatch.metrics.record_job_end(job.class, job.customer, rejected.kind());
        self.reply_rejected(id, retry_after, now);
    }

    /// Answers the current request with a rejection, and closes the connection afterwards.
    pub(super) fn reply_rejected(&mut self, id: ConnectionId, retry_after: Millis, now: Millis) {
        let rejected = Answer::Rejected { retry_after };
        self.reply(id, now, AfterAnswer::Close, |keep_alive| rejected.bytes(keep_alive));
    }

    /// Returns the time after which a client whose job was rejected for lack of descriptors or memory is
    /// advised to retry; 0 means no advice.
    pub(super) fn shortage_retry_after(&self) -> Millis {
        let settings = &self.site.settings;
        if settings.sends_retry_after {
            SHORTAGE_RETRY_AFTER.min(settings.max_retry_after as f64 / 1e3)
        } else {
            0.0
        }
    }

    /// Handles a job status update, or forwards it to the other process of an upgrade if the job is not open
    /// here.
    fn handle_job_status(&mut self, id: ConnectionId, body: &[u8], now: Millis) {
        let update = JobStatusUpdate::read(body, &self.site);
        let status = if update.is_some() { 200 } else { 400 };
        match update {
            Some(update) if self.dispatch.has_job(&update.trace_id) => self.dispatch.job_status(update, now),
            // A worker's connection may lead to either process, so the job may be open in the other one.
            Some(update) => {
                let body = String::from_utf8_lossy(body).into_owned();
                if matches!(update.status, JobStatus::Done(_)) {
                    self.upgrade.keep_forwarded_result(&update.trace_id, &body);
                }
                self.send_to_peer(|| Message::JobStatus(body));
            }
            None => {}
        }
        if let Some(Socket { role: Role::Downstream(connection, _), .. }) = self.socket(id) {
            connection.carries_job_status = true;
        }
        self.reply(id, now, AfterAnswer::Keep, |keep_alive| http::response(status, &[], b"", keep_alive));
    }

    /// Records the job whose answer a connection waits for.
    pub(super) fn set_waiting_job(&mut self, id: ConnectionId, job: JobId) {
        if let Some(Socket { role: Role::Downstream(_, waiting), .. }) = self.socket(id) {
            *waiting = Some(job);
        }
    }

    /// Answers the current request of a connection. `encode` returns the encoded answer; its argument states
    /// whether the connection is kept alive.
    pub(super) fn reply(
        &mut self,
        id: ConnectionId,
        now: Millis,
        after: AfterAnswer,
        encode: impl Fn(bool) -> Vec<u8>,
    ) {
        let Some(Socket { role: Role::Downstream(connection, job), .. }) = self.socket(id) else { return };
        let keep_alive = connection.can_keep_alive(after == AfterAnswer::Keep);
        connection.answer(&encode(keep_alive), keep_alive, now);
        *job = None;
    }

    /// Answers the current request with a status and an empty body, and closes the connection afterwards.
    pub(super) fn reply_with_status(&mut self, id: ConnectionId, status: u16, now: Millis) {
        self.reply(id, now, AfterAnswer::Close, |keep_alive| http::response(status, &[], b"", keep_alive));
    }

    /// Answers a client whose job was not accepted.
    pub(super) fn reply_not_accepted(&mut self, id: ConnectionId, error: &JobNotAccepted, now: Millis) {
        match error {
            JobNotAccepted::DuplicateId => self.reply_with_status(id, 409, now),
            JobNotAccepted::Answered(answer) => {
                let after = AfterAnswer::keep_if(self.drain.keeps_connections(now, true));
                self.reply(id, now, after, |keep_alive| answer.bytes(keep_alive));
            }
        }
    }

    /// Sends a client its final answer.
    pub(super) fn answer(&mut self, client: ConnectionId, answer: &Answer, now: Millis) {
        let after =
            AfterAnswer::keep_if(self.drain.keeps_connections(now, !matches!(answer, Answer::Served(_))));
        self.reply(client, now, after, |keep_alive| answer.bytes(keep_alive));
        self.drive(client);
    }
}
