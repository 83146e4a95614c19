//! Attempts: sent, heard of, given up and settled; probes.

use super::*;

impl Dispatch {
    /// A worker's update. What is late, repeated or of no job here changes nothing.
    pub fn job_status(&mut self, update: JobStatusUpdate, now: Millis) {
        let Some(id) = self.by_trace_id.get(update.trace_id.as_str()).copied() else { return };
        let Some(r) = self.requests.get_mut(&id) else { return };
        let from = |l: &Attempt| *l.name == *update.from;
        let out = r.attempts.iter_mut().enumerate().rfind(|(_, l)| l.out && from(l));
        let Some((attempt, l)) = out else {
            // Guards against: a result thrown away since word of its attempt had been lost on the way.
            let State::Done(result) = update.state else { return };
            if !r.answered && r.attempts.iter().any(from) {
                self.answer(id, Answer::Served(result), now);
                self.events.push(Event::ClientDisconnected(id));
            }
            return;
        };
        let attempt = AttemptId(attempt as u8);
        match update.state {
            State::Started => {
                l.taken = true;
                self.events.push(Event::JobStarted { job: id, attempt });
            }
            State::Running(done) => {
                l.taken = true;
                self.events.push(Event::JobProgressed { job: id, attempt, done });
            }
            State::Done(result) => {
                if !r.answered {
                    self.answer(id, Answer::Served(result), now); // the first result is the client's, at once
                }
                self.settle(id, attempt, AttemptResult::Success, update.report, now);
            }
            State::Failed => self.settle(id, attempt, AttemptResult::Error, update.report, now),
            State::Returned => self.settle(id, attempt, AttemptResult::Overloaded, update.report, now),
            State::Lost => self.settle(id, attempt, AttemptResult::Reset, update.report, now),
        }
    }

    /// How sending an attempt to its worker ended.
    pub fn attempt_sent(&mut self, id: JobId, attempt: AttemptId, end: End, now: Millis) {
        let l = self.requests.get_mut(&id).and_then(|r| r.attempts.get_mut(attempt.index()));
        let Some(l) = l.filter(|l| l.out) else { return };
        let answer = match end {
            // Its news may have come first: a break says nothing of a job that the worker has.
            End::Broken | End::Stale { .. } if l.taken => return,
            End::Broken => return self.settle(id, attempt, AttemptResult::Reset, Vec::new(), now),
            End::Stale { sent: true } => {
                return self.settle(id, attempt, AttemptResult::StaleConnection, Vec::new(), now)
            }
            End::Stale { sent: false } => {
                return self.settle(id, attempt, AttemptResult::NotSent, Vec::new(), now)
            }
            End::NotSent => return self.settle(id, attempt, AttemptResult::ConnectFailed, Vec::new(), now),
            End::Withheld => return self.settle(id, attempt, AttemptResult::NotSent, Vec::new(), now),
            End::Answer(answer) => answer,
        };
        let never_ran = answer.headers.get("X-Never-Ran") == Some("1");
        match answer.line.status {
            202 => {
                l.taken = true;
                log::debug!("attempt {attempt} at {} taken after {:.1} ms", l.name, now - l.sent);
            }
            status => {
                let full = matches!(status, 503 | 504) && never_ran;
                let load = answer.headers.get("Endpoint-Load-Metrics");
                let report = load.map_or(Vec::new(), |text| report_from_text(text, &self.site));
                let result = match status {
                    _ if full => AttemptResult::Overloaded,
                    // The others of this kind speak of the moment, not of the job.
                    400..=499 if !matches!(status, 408 | 425 | 429) => AttemptResult::Unprocessable,
                    _ => AttemptResult::Error,
                };
                self.settle(id, attempt, result, report, now);
            }
        }
    }

    /// How a probe ended.
    pub fn health_check_ended(&mut self, worker: WorkerId, end: Option<End>) {
        let (result, report) = match end {
            Some(End::Answer(m)) => {
                let text = std::str::from_utf8(&m.body).unwrap_or("");
                let result = if m.line.status == 200 { AttemptResult::Success } else { AttemptResult::Error };
                (result, report_from_text(text, &self.site))
            }
            Some(End::NotSent | End::Withheld) => (AttemptResult::ConnectFailed, Vec::new()),
            Some(End::Broken) => (AttemptResult::Reset, Vec::new()),
            Some(End::Stale { .. }) => (AttemptResult::StaleConnection, Vec::new()),
            None => (AttemptResult::TimedOut, Vec::new()),
        };
        self.events.push(Event::HealthCheckEnded { worker, result, report });
    }

    pub(super) fn send(
        &mut self,
        id: JobId,
        worker: WorkerId,
        within: Micros,
        endpoints: &EndpointList,
        now: Millis,
    ) {
        let Some(r) = self.requests.get_mut(&id) else { return };
        let listed = endpoints.get(worker);
        let name = listed.map_or_else(|| "".into(), |t| t.name.clone());
        let attempt = AttemptId(r.attempts.len() as u8);
        let until = if within == 0 { r.deadline } else { r.deadline.min(now + within as f64 / 1e3) };
        r.attempts.push(Attempt { worker, name, sent: now, until, taken: false, out: true, ran: true });
        let twice = r.attempts.iter().filter(|l| l.out && l.worker == worker).count() > 1;
        // What came before in the same batch may have ended the request.
        if r.answered || twice {
            return self.settle(id, attempt, AttemptResult::NotSent, Vec::new(), now);
        }
        // A worker can go, by the list, between two events of one batch.
        if listed.is_none() {
            return self.settle(id, attempt, AttemptResult::ConnectFailed, Vec::new(), now);
        }
        self.timers.set(until, Due::Attempt(id, attempt));
        self.commands.push(Command::StartAttempt { job: id, attempt, worker });
    }

    /// What a worker is sent for an attempt that begins now, over a connection that leads to its address or not; `None` if it
    /// is not to begin: the module's rules on sending say so ([`Dispatcher::check_send`]).
    pub fn begin_attempt(
        &mut self,
        id: JobId,
        attempt: AttemptId,
        at_its_address: bool,
        now: Millis,
    ) -> Option<Vec<u8>> {
        let r = self.requests.get(&id)?;
        let l = r.attempts.get(attempt.index())?;
        let left = micros_from_millis((l.until - now).max(0.0));
        let begin = AttemptContext {
            worker: l.worker,
            job_open: !r.answered,
            attempt_pending: l.out,
            time_left: left,
            address_current: at_its_address,
        };
        if let Err(denial) = self.module.check_send(&begin, micros_from_millis(now)) {
            log::debug!("{} attempt {attempt} at {} does not begin: {denial:?}", r.trace_id, l.name);
            self.metrics.denied[denial as usize] += 1;
            return None;
        }
        log::debug!("{} attempt {attempt} at {} begins, {:.0} ms left", r.trace_id, l.name, l.until - now);
        Some(r.job.payload.request(l.until - now))
    }

    pub(super) fn withdraw(&mut self, id: JobId, attempt: AttemptId, now: Millis) {
        if self.give_up(id, attempt) {
            self.settle(id, attempt, AttemptResult::Cancelled, Vec::new(), now);
        }
    }

    /// An attempt's time is over.
    pub(super) fn expired(&mut self, id: JobId, attempt: AttemptId, now: Millis) {
        if self.give_up(id, attempt) {
            self.settle(id, attempt, AttemptResult::TimedOut, Vec::new(), now);
        }
    }

    /// Lets go of an attempt, if it is out; says if it was.
    fn give_up(&mut self, id: JobId, attempt: AttemptId) -> bool {
        let Some(r) = self.requests.get(&id) else { return false };
        let Some(l) = r.attempts.get(attempt.index()).filter(|l| l.out) else { return false };
        if !l.taken {
            self.commands.push(Command::AbandonAttempt(id, attempt));
        } else if self.site.settings.cancellation_allowed {
            self.commands.push(Command::CancelAttempt { worker: l.worker, trace_id: r.trace_id.clone() });
        }
        true
    }

    /// Every attempt ends once.
    pub(super) fn settle(
        &mut self,
        job: JobId,
        attempt: AttemptId,
        result: AttemptResult,
        report: Vec<f64>,
        now: Millis,
    ) {
        let Some(r) = self.requests.get_mut(&job) else { return };
        r.rejected = result == AttemptResult::Unprocessable;
        let (done, attempts) = (r.answered, &mut r.attempts);
        let Some(l) = attempts.get_mut(attempt.index()) else { return };
        if holds(Invariant::SettledOnce, l.out) {
            l.out = false;
            l.ran = self.site.settings.may_have_run(result);
            let latency = micros_from_millis(now - l.sent);
            if result != AttemptResult::Success {
                let (name, ms) = (&l.name, now - l.sent);
                log::debug!("{} attempt {attempt} at {name} after {ms:.0} ms: {result:?}", r.trace_id);
            }
            self.events.push(Event::AttemptEnded(AttemptOutcome {
                job,
                attempt,
                result,
                latency,
                job_answered: done,
                report,
            }));
            self.doubtful.push(job);
        }
    }
}
