//! Checks of the commands of the dispatch layer.

use super::{Model, ModelAttempt, ANSWER_SLACK};
use crate::answer::{Answer, Failure};
use crate::connection_id::ConnectionId;
use crate::dispatch::Command;
use postusher_decision::{AttemptId, JobId, WorkerId};

impl Model {
    /// Passes all events to the dispatch layer and checks the resulting commands.
    pub(super) fn decide(&mut self) {
        loop {
            for command in self.dispatch.decide(&self.endpoints, self.now) {
                self.check_command(command);
            }
            if !self.dispatch.has_events() {
                return;
            }
        }
    }

    fn check_command(&mut self, command: Command) {
        match command {
            Command::Answer(client, answer) => self.check_answer(client, &answer),
            Command::StartAttempt { job, attempt, worker } => self.check_start(job, attempt, worker),
            Command::AbandonAttempt(job, attempt) => {
                let attempt = self.attempts.get_mut(&(job, attempt)).unwrap();
                assert!(attempt.is_pending && !attempt.is_accepted, "abandoned an accepted or ended attempt");
                attempt.is_pending = false;
            }
            Command::CancelAttempt { awaited_by: Some(attempt), .. } => {
                assert!(self.attempts[&attempt].is_accepted, "cancelled an attempt that was not accepted");
                self.awaited_cancellations.push(attempt);
            }
            Command::CancelAttempt { worker, trace_id, awaited_by: None } => {
                self.check_cancellation(worker, &trace_id);
            }
            Command::CheckHealth(_)
            | Command::ReleaseJobId(_)
            | Command::PublishJobEnd(..)
            | Command::WatchEndpoints
            | Command::CloseIdleConnections(_) => {}
        }
    }

    fn check_answer(&mut self, client: ConnectionId, answer: &Answer) {
        let job = self.jobs.values_mut().find(|job| job.client == client).unwrap();
        assert!(!job.is_finished, "second answer to a job");
        job.is_finished = true;
        let is_late = self.now > job.deadline + ANSWER_SLACK;
        let deadline_exceeded = *answer == Answer::Failed(Failure::DeadlineExceeded);
        assert!(!is_late || deadline_exceeded, "{answer:?} too long after the deadline");
    }

    fn check_start(&mut self, job: JobId, attempt_id: AttemptId, worker: WorkerId) {
        assert!(!self.jobs[&self.job_numbers[&job]].is_finished, "attempt started for a finished job");
        let worker_name =
            self.endpoints.get(worker).expect("attempt started at an unlisted worker").name.to_string();
        for ((attempt_job, _), attempt) in &self.attempts {
            let is_same_job_and_worker = *attempt_job == job && attempt.worker == worker;
            assert!(
                !is_same_job_and_worker || !attempt.is_pending,
                "two pending attempts of a job at one worker"
            );
            let is_pending = *attempt_job == job && attempt.is_pending;
            assert!(self.site.settings.hedging_allowed || !is_pending, "two pending attempts of a job");
        }
        let attempt = ModelAttempt {
            worker,
            worker_name,
            is_accepted: false,
            is_pending: true,
            is_written: false,
            hit_stale_connection: false,
        };
        let previous = self.attempts.insert((job, attempt_id), attempt);
        assert!(previous.is_none(), "duplicate attempt id");
    }

    fn check_cancellation(&mut self, worker: WorkerId, trace_id: &str) {
        for ((job, _), attempt) in &mut self.attempts {
            let matches = *trace_id == format!("t{}", self.job_numbers[job]) && attempt.worker == worker;
            if matches && attempt.is_pending && attempt.is_accepted {
                attempt.is_pending = false;
                return;
            }
        }
        panic!("cancelled an attempt that was not accepted or has ended");
    }
}
