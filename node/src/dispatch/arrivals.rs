//! Jobs as they come, go and move between the processes of an upgrade.

use super::*;

impl Dispatch {
    /// A client's job.
    ///
    /// # Errors
    /// Why it is not taken; its client is to be told.
    pub fn arrived(&mut self, client: Key, job: Job, now: Millis) -> Result<JobId, NotTaken> {
        if self.by_trace.contains_key(job.trace.as_str()) {
            return Err(NotTaken::Twice);
        }
        let waits = !job.waits.is_empty();
        let id = self.enter(client, job, now);
        let Some(r) = self.requests.get_mut(&id) else { return Ok(id) };
        self.figures.taken += 1;
        if !waits {
            self.waiting.opened(&r.trace);
            self.events.push(Event::Arrived(r.told(id)));
            return Ok(id);
        }
        match self.waiting.hold(id, client.number(), &r.job, r.expires, now) {
            Ok(()) => {
                r.held = true;
                Ok(id)
            }
            Err(turned) => {
                let (class, customer) = (r.job.class, r.job.customer);
                let answer = self.turned(turned);
                self.figures.ended(class, customer, answer.kind());
                self.forget(id);
                Err(NotTaken::Answered(answer))
            }
        }
    }

    /// What a client is told whose job is not held.
    fn turned(&self, turned: Turned) -> Answer {
        match turned {
            Turned::Full { retry_after } => Answer::Refused { retry_after: self.advice(retry_after) },
            Turned::Doomed => Answer::Failed(Failure::Dependency),
            Turned::Circle => Answer::Failed(Failure::Circle),
            Turned::TooLate => Answer::Failed(Failure::TooLate),
        }
    }

    /// When to come back, as far as the settings allow to say.
    pub(super) fn advice(&self, retry_after: Millis) -> Millis {
        let set = &self.site.settings;
        if set.retry_after {
            retry_after.min(set.max_retry_after as f64 / 1e3)
        } else {
            0.0
        }
    }

    pub(super) fn forget(&mut self, id: JobId) -> Option<Request> {
        let r = self.requests.remove(&id)?;
        self.by_trace.remove(&r.trace);
        Some(r)
    }

    /// Keeps a job under a number of its own.
    fn enter(&mut self, client: Key, job: Job, now: Millis) -> JobId {
        let (trace, expires) = (Rc::<str>::from(job.trace.as_str()), (now + job.wait).min(self.ends));
        self.last_id = self.last_id.wrapping_add(1);
        while self.requests.contains_key(&JobId(self.last_id)) {
            self.last_id = self.last_id.wrapping_add(1);
        }
        let id = JobId(self.last_id);
        self.timers.set(expires + OVERDUE, Due::Deadline(id));
        self.by_trace.insert(trace.clone(), id);
        let legs = Vec::new();
        let (answered, held, rejected) = (false, false, false);
        self.requests.insert(id, Request { client, trace, job, expires, answered, held, rejected, legs });
        id
    }

    /// A job comes over from another process of this scheduler with the attempts made there, or with its place in the
    /// waiting room.
    ///
    /// # Errors
    /// Why it is not taken; its client is to be told.
    pub fn adopt(
        &mut self,
        client: Key,
        job: Job,
        legs: Vec<(WorkerId, MovedLeg)>,
        held: Option<MovedWait>,
        now: Millis,
    ) -> Result<JobId, NotTaken> {
        if self.has(&job.trace) {
            return Err(NotTaken::Twice);
        }
        let id = self.enter(client, job, now);
        let Some(r) = self.requests.get_mut(&id) else { return Ok(id) };
        if let Some(held) = held {
            r.held = self.waiting.adopt(id, client.number(), &r.job, r.expires, held, now);
            if r.held {
                return Ok(id);
            }
            // There is no room here, as the setup of this process has none, or it ends.
            self.forget(id);
            return Err(NotTaken::Answered(Answer::Refused { retry_after: 0.0 }));
        }
        self.waiting.opened(&r.trace);
        let mut begun = Vec::new();
        for (n, (target, leg)) in legs.into_iter().enumerate() {
            let (name, sent, out, ran) = (leg.target.into(), now - leg.age, leg.out, leg.ran);
            begun.push(Begun { worker: target, age: micros(leg.age), out, ran });
            let until = r.expires;
            r.legs.push(Leg { target, name, sent, until, taken: true, out, ran });
            self.timers.set(r.expires, Due::Attempt(id, n as u8));
        }
        self.events.push(Event::Adopted { job: r.told(id), begun });
        Ok(id)
    }

    /// A job in the form in which another process can go on with it; `None` where an attempt is still on its way to
    /// its target, or the job has its answer.
    pub fn moving(&self, id: JobId, now: Millis) -> Option<MovedJob> {
        let r = self.requests.get(&id).filter(|r| !r.answered && r.legs.iter().all(|l| !l.out || l.taken))?;
        let leg =
            |l: &Leg| MovedLeg { target: l.name.to_string(), age: now - l.sent, out: l.out, ran: l.ran };
        let (legs, held) = (r.legs.iter().map(leg).collect(), self.waiting.parcel(id, now));
        Some(MovedJob { request: r.job.payload.request(r.expires - now), last: false, legs, held })
    }

    /// Another process has a job now. The module here may go on with it in vain: nothing is done for a job that is
    /// not here.
    pub fn release(&mut self, id: JobId) {
        if let Some(r) = self.forget(id) {
            self.waiting.moved(&r.trace);
        }
    }

    /// A client has gone away.
    pub fn client_gone(&mut self, id: JobId, now: Millis) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.answered) else { return };
        r.answered = true;
        self.figures.left += 1;
        if !r.held {
            self.events.push(Event::ClientGone(id));
        }
        self.doubtful.push(id);
        let trace = r.trace.clone();
        self.has_ended(trace, Ended::Left, now);
    }
}
