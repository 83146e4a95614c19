//! What the module and the waiting room want, and each request's one final answer.

use super::*;

impl Dispatch {
    /// Carries out what the waiting room wants; says whether the module is to hear of any job.
    pub(super) fn let_go(&mut self, now: Millis) -> bool {
        let Dispatch { waiting, module, .. } = self;
        let mut some = false;
        for verdict in waiting.release(|| module.free_capacity(), now) {
            match verdict {
                Decision::Release(id) => {
                    let id = JobId(id.0);
                    let Some(r) = self.requests.get_mut(&id).filter(|r| !r.answered) else { continue };
                    r.held = false;
                    self.events.push(Event::JobArrived(r.told(id)));
                    some = true;
                }
                Decision::Fail(id) => {
                    self.answer(JobId(id.0), Answer::Failed(Failure::DependencyFailed), now)
                }
                Decision::Reject { id, retry_after } => {
                    let retry_after = self.advice(retry_after);
                    self.answer(JobId(id.0), Answer::Rejected { retry_after }, now);
                }
            }
        }
        some
    }

    pub(super) fn act(&mut self, action: Action, endpoints: &EndpointList, now: Millis) {
        match action {
            Action::StartAttempt { job, worker, timeout } => self.send(job, worker, timeout, endpoints, now),
            Action::CancelAttempt { job, attempt } => self.withdraw(job, attempt, now),
            Action::Reject { job, retry_after } => {
                let unsent = |r: &&mut Request| !r.answered && r.attempts.is_empty();
                if let Some(r) = self.requests.get_mut(&job).filter(unsent) {
                    r.held = self.waiting.turned_away(job, now);
                    if r.held {
                        return;
                    }
                    self.waiting.crowded(now);
                }
                self.answer(job, Answer::Rejected { retry_after: retry_after as f64 / 1e3 }, now);
            }
            Action::Fail { job } => {
                let why = match self.requests.get(&job) {
                    Some(r) if r.deadline <= now => Failure::DeadlineExceeded,
                    Some(r) if r.rejected => Failure::Unprocessable,
                    _ => Failure::AttemptsFailed,
                };
                self.answer(job, Answer::Failed(why), now);
            }
            Action::SetTimer { after, timer } => {
                self.timers.set(now + after as f64 / 1e3, Due::Module(timer));
            }
            Action::CheckHealth { worker } => self.commands.push(Command::CheckHealth(worker)),
            Action::WatchEndpoints => self.commands.push(Command::WatchEndpoints),
            Action::CloseIdleConnections { worker } => {
                self.commands.push(Command::CloseIdleConnections(worker))
            }
        }
    }

    /// A request's one final answer; what comes after it is ignored.
    pub(super) fn answer(&mut self, id: JobId, answer: Answer, now: Millis) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.answered) else { return };
        r.answered = true;
        if !matches!(answer, Answer::Served(_)) {
            let intake::Job { class, customer, slots, .. } = &r.job;
            log::debug!("{} of class {class}, customer {customer}, {slots} slots: {answer:?}", r.trace_id);
        }
        let (how, trace_id) = (answer.kind(), r.trace_id.clone());
        self.metrics.ended(r.job.class, r.job.customer, how);
        self.commands.push(Command::Answer(r.client, answer));
        self.doubtful.push(id);
        self.has_ended(trace_id, how.into(), now);
    }

    /// A job is over as far as others are concerned that wait for it.
    pub(super) fn has_ended(&mut self, trace_id: Rc<str>, how: JobEndStatus, now: Millis) {
        if self.waiting.is_on() {
            self.waiting.ended(&trace_id, how, now);
            self.commands.push(Command::PublishJobEnd(trace_id, how));
        }
    }

    /// A request that is answered and has no attempt out is over; one that has outlived its deadline fails.
    pub(super) fn look_at(&mut self, id: JobId, now: Millis) {
        let Some(r) = self.requests.get(&id) else { return };
        if !r.answered && now >= r.deadline + OVERDUE {
            // Guards against: a client that waits for ever, should the module ever forget its job.
            holds(Invariant::AnsweredInTime, false);
            self.events.push(Event::ClientDisconnected(id));
            self.answer(id, Answer::Failed(Failure::DeadlineExceeded), now);
        }
        let Some(r) = self.requests.get(&id) else { return };
        // The module may have ideas of its own about a job until it has had all that is gathered.
        if r.answered && r.attempts.iter().all(|l| !l.out) {
            if self.events.is_empty() {
                if let Some(r) = self.forget(id) {
                    self.commands.push(Command::ReleaseJobId(r.trace_id));
                }
            } else {
                self.doubtful.push(id);
            }
        }
    }
}
