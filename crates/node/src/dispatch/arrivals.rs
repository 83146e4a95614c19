//! Jobs as they come, go and move between the processes of an upgrade.

use super::*;

impl Dispatch {
    /// A client's job.
    ///
    /// # Errors
    /// Why it is not taken; its client is to be told.
    pub fn job_arrived(
        &mut self,
        client: ConnectionId,
        job: Job,
        now: Millis,
    ) -> Result<JobId, JobNotAccepted> {
        if self.by_trace_id.contains_key(job.trace_id.as_str()) {
            return Err(JobNotAccepted::DuplicateId);
        }
        let waits = !job.waits.is_empty();
        let id = self.enter(client, job, now);
        let Some(r) = self.requests.get_mut(&id) else { return Ok(id) };
        self.metrics.taken += 1;
        if !waits {
            self.waiting.opened(&r.trace_id);
            self.events.push(Event::JobArrived(r.told(id)));
            return Ok(id);
        }
        match self.waiting.hold(id, client.number(), &r.job, r.deadline, now) {
            Ok(()) => {
                r.held = true;
                Ok(id)
            }
            Err(turned) => {
                let (class, customer) = (r.job.class, r.job.customer);
                let answer = self.turned(turned);
                self.metrics.ended(class, customer, answer.kind());
                self.forget(id);
                Err(JobNotAccepted::Answered(answer))
            }
        }
    }

    /// What a client is told whose job is not held.
    fn turned(&self, turned: DeferralError) -> Answer {
        match turned {
            DeferralError::Full { retry_after } => Answer::Rejected { retry_after: self.advice(retry_after) },
            DeferralError::Doomed => Answer::Failed(Failure::DependencyFailed),
            DeferralError::Circle => Answer::Failed(Failure::DependencyCycle),
            DeferralError::TooLate => Answer::Failed(Failure::StartAfterDeadline),
        }
    }

    /// When to come back, as far as the settings allow to say.
    pub(super) fn advice(&self, retry_after: Millis) -> Millis {
        let set = &self.site.settings;
        if set.sends_retry_after {
            retry_after.min(set.max_retry_after as f64 / 1e3)
        } else {
            0.0
        }
    }

    pub(super) fn forget(&mut self, id: JobId) -> Option<Request> {
        let r = self.requests.remove(&id)?;
        self.by_trace_id.remove(&r.trace_id);
        Some(r)
    }

    /// Keeps a job under a number of its own.
    fn enter(&mut self, client: ConnectionId, job: Job, now: Millis) -> JobId {
        let (trace_id, deadline) = (Rc::<str>::from(job.trace_id.as_str()), (now + job.wait).min(self.ends));
        self.last_id = self.last_id.wrapping_add(1);
        while self.requests.contains_key(&JobId(self.last_id)) {
            self.last_id = self.last_id.wrapping_add(1);
        }
        let id = JobId(self.last_id);
        self.timers.set(deadline + OVERDUE, Due::Deadline(id));
        self.by_trace_id.insert(trace_id.clone(), id);
        let attempts = Vec::new();
        let (answered, held, rejected) = (false, false, false);
        self.requests
            .insert(id, Request { client, trace_id, job, deadline, answered, held, rejected, attempts });
        id
    }

    /// A job comes over from another process of this scheduler with the attempts made there, or with its place in the
    /// waiting room.
    ///
    /// # Errors
    /// Why it is not taken; its client is to be told.
    pub fn adopt_job(
        &mut self,
        client: ConnectionId,
        job: Job,
        attempts: Vec<(WorkerId, MigratedAttempt)>,
        held: Option<MigratedDeferral>,
        now: Millis,
    ) -> Result<JobId, JobNotAccepted> {
        if self.has_job(&job.trace_id) {
            return Err(JobNotAccepted::DuplicateId);
        }
        let id = self.enter(client, job, now);
        let Some(r) = self.requests.get_mut(&id) else { return Ok(id) };
        if let Some(held) = held {
            r.held = self.waiting.adopt(id, client.number(), &r.job, r.deadline, held, now);
            if r.held {
                return Ok(id);
            }
            // There is no room here, as the setup of this process has none, or it ends.
            self.forget(id);
            return Err(JobNotAccepted::Answered(Answer::Rejected { retry_after: 0.0 }));
        }
        self.waiting.opened(&r.trace_id);
        let mut prior_attempts = Vec::new();
        for (n, (worker, attempt)) in attempts.into_iter().enumerate() {
            let (name, sent, out, ran) =
                (attempt.worker.into(), now - attempt.age, attempt.pending, attempt.may_have_run);
            prior_attempts.push(PriorAttempt {
                worker,
                age: micros_from_millis(attempt.age),
                pending: out,
                may_have_run: ran,
            });
            let until = r.deadline;
            r.attempts.push(Attempt { worker, name, sent, until, taken: true, out, ran });
            self.timers.set(r.deadline, Due::Attempt(id, AttemptId(n as u8)));
        }
        self.events.push(Event::JobAdopted { job: r.told(id), attempts: prior_attempts });
        Ok(id)
    }

    /// A job in the form in which another process can go on with it; `None` where an attempt is still on its way to
    /// its worker, or the job has its answer.
    pub fn migrated_job(&self, id: JobId, now: Millis) -> Option<MigratedJob> {
        let r =
            self.requests.get(&id).filter(|r| !r.answered && r.attempts.iter().all(|l| !l.out || l.taken))?;
        let attempt = |l: &Attempt| MigratedAttempt {
            worker: l.name.to_string(),
            age: now - l.sent,
            pending: l.out,
            may_have_run: l.ran,
        };
        let (attempts, deferral) = (r.attempts.iter().map(attempt).collect(), self.waiting.parcel(id, now));
        Some(MigratedJob {
            request: r.job.payload.request(r.deadline - now),
            closes_connection: false,
            attempts,
            deferral,
        })
    }

    /// Another process has a job now. The module here may go on with it in vain: nothing is done for a job that is
    /// not here.
    pub fn release_migrated(&mut self, id: JobId) {
        if let Some(r) = self.forget(id) {
            self.waiting.moved(&r.trace_id);
        }
    }

    /// A client has gone away.
    pub fn client_disconnected(&mut self, id: JobId, now: Millis) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.answered) else { return };
        r.answered = true;
        self.metrics.left += 1;
        if !r.held {
            self.events.push(Event::ClientDisconnected(id));
        }
        self.doubtful.push(id);
        let trace_id = r.trace_id.clone();
        self.has_ended(trace_id, JobEndStatus::Disconnected, now);
    }
}
