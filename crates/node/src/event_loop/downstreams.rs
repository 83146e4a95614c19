//! Connections that clients and workers open: accepted, kept within their budget, their requests taken and answered.

use super::{ConnectionId, EventLoop, Role, Socket};
use crate::answer::Answer;
use crate::clock::Millis;
use crate::dispatch::JobNotAccepted;
use crate::downstream::{self, State};
use crate::http;
use crate::intake::{self, IncomingRequest};
use crate::job_status::JobStatusUpdate;
use crate::upgrade_protocol::Message;
use std::io::ErrorKind;

/// So many descriptors for connections from outside are left to workers' news, or a quarter where there are few.
const FOR_NEWS: usize = 16;
/// Between two lines of the log on a shortage of descriptors.
const SHORT_EVERY: Millis = 10_000.0;
/// After a failed accept the listener rests so long.
const ACCEPT_REST: Millis = 20.0;
/// So many new connections are taken in a turn. Guards against: a flood of them that keeps those at work waiting.
const ACCEPT_BUDGET: usize = 64;
/// A client turned away for want of descriptors should come back after this time.
const FULL_FOR: Millis = 500.0;

impl EventLoop {
    /// Takes connections that wait, as far as descriptors allow.
    pub(super) fn accept(&mut self) {
        if !self.upgrade.takes_clients {
            return;
        }
        let now = self.clock.now();
        // What is left after this turn's part is looked for in the next.
        self.accept_at = now;
        for _ in 0..ACCEPT_BUDGET {
            if self.downstreams >= self.max_downstreams && !self.free_listener() {
                self.accept_at = now + ACCEPT_REST;
                return self.short(now);
            }
            let Some(listener) = &self.listener else { return };
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true); // a delay at worst
                    let new = downstream::Connection::new(now);
                    let until = new.deadline();
                    match self.add(stream, Role::Downstream(new, None), false, until) {
                        Ok(key) => self.drive(key),
                        Err(e) => log::warn!("a new connection cannot be polled: {e}"),
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.accept_at = 0.0;
                    return;
                }
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    // Guards against: a full table of descriptors, which would have the loop spin.
                    self.free_listener();
                    self.accept_at = now + ACCEPT_REST;
                    return log::warn!("accept: {e}");
                }
            }
        }
    }

    /// Takes connections that have come up since the last look, as the process is about to end; says whether there were any. If not,
    /// no more come up. Guards against: a request on one of them that is closed with the process, unread.
    pub(super) fn accepts_more(&mut self) -> bool {
        let before = self.serial;
        self.accept();
        let none = self.serial == before;
        if none {
            self.listener = None;
        }
        !none
    }

    /// Takes all requests that have come whole on a connection, as far as answers allow.
    pub(super) fn requests(&mut self, key: ConnectionId, now: Millis) {
        loop {
            let Some(socket) = self.socket(key) else { return };
            let Role::Downstream(c, _) = &mut socket.role else { return };
            let Some(next) = c.next() else { return };
            let message = match next {
                Ok(message) => message,
                Err(fault) => {
                    self.reply(key, now, false, |keep| http::response(fault.0, &[], b"", keep));
                    continue;
                }
            };
            match intake::read(message, &self.site, self.dispatch.deferred_jobs().is_on()) {
                IncomingRequest::Readiness => {
                    let up = !self.drain.is_on() && self.is_ready(now);
                    let keep = self.drain.keeps_connections(now, !up);
                    let status = if up { 200 } else { 503 };
                    self.reply(key, now, keep, |keep| http::response(status, &[], b"", keep));
                }
                IncomingRequest::Job(job) if self.drain.rejects_jobs(now) => {
                    // No advice when to come back: another scheduler takes it at once.
                    let refused = Answer::Rejected { retry_after: 0.0 };
                    self.dispatch.metrics.ended(job.class, job.customer, refused.kind());
                    self.reply(key, now, false, |keep| refused.bytes(keep));
                }
                IncomingRequest::Job(job) if self.is_full() => {
                    self.short(now);
                    let set = &self.site.settings;
                    let advice = f64::from(u8::from(set.sends_retry_after)) * FULL_FOR;
                    let refused =
                        Answer::Rejected { retry_after: advice.min(set.max_retry_after as f64 / 1e3) };
                    self.dispatch.metrics.ended(job.class, job.customer, refused.kind());
                    self.reply(key, now, false, |keep| refused.bytes(keep));
                }
                // Guards against: two jobs under one id at the two processes of an upgrade.
                IncomingRequest::Job(job) if self.upgrade.foreign.contains(&job.trace_id) => {
                    self.reply(key, now, false, |keep| http::response(409, &[], b"", keep));
                }
                IncomingRequest::Job(job) => {
                    self.confirm_list(now);
                    match self.dispatch.job_arrived(key, *job, now) {
                        Ok(id) => {
                            if let Some(trace) = self.dispatch.trace_id(id) {
                                self.tell(|| Message::JobStarted(trace.to_string()));
                            }
                            if let Some(Socket { role: Role::Downstream(_, job), .. }) = self.socket(key) {
                                *job = Some(id);
                            }
                        }
                        Err(not) => self.not_taken(key, &not, now),
                    }
                }
                IncomingRequest::Invalid(status) => {
                    let allow = [("Allow", "POST".to_string())];
                    let headers: &[_] = if status == 405 { &allow } else { &[] };
                    self.reply(key, now, false, |keep| http::response(status, headers, b"", keep));
                }
                IncomingRequest::JobStatus(body) => {
                    let news = JobStatusUpdate::read(&body, &self.site);
                    let status = if news.is_some() { 200 } else { 400 };
                    match news {
                        Some(news) if self.dispatch.has_job(&news.trace_id) => {
                            self.dispatch.job_status(news, now)
                        }
                        // Targets reach whichever process accepts: it may be a job of the other's.
                        Some(_) => {
                            self.tell(|| Message::JobStatus(String::from_utf8_lossy(&body).into_owned()))
                        }
                        None => {}
                    }
                    if let Some(Socket { role: Role::Downstream(c, _), .. }) = self.socket(key) {
                        c.brings_job_status = true;
                    }
                    self.reply(key, now, true, |keep| http::response(status, &[], b"", keep));
                }
            }
        }
    }

    /// Answers the request at hand on a connection.
    pub(super) fn reply(
        &mut self,
        key: ConnectionId,
        now: Millis,
        keep: bool,
        bytes: impl Fn(bool) -> Vec<u8>,
    ) {
        let Some(Socket { role: Role::Downstream(c, job), .. }) = self.socket(key) else { return };
        let keep = c.keeps(keep);
        c.answer(&bytes(keep), keep, now);
        *job = None;
    }

    /// Tells a client that its job is not taken.
    pub(super) fn not_taken(&mut self, key: ConnectionId, not: &JobNotAccepted, now: Millis) {
        match not {
            JobNotAccepted::DuplicateId => {
                self.reply(key, now, false, |keep| http::response(409, &[], b"", keep))
            }
            JobNotAccepted::Answered(answer) => {
                let keep = self.drain.keeps_connections(now, true);
                self.reply(key, now, keep, |keep| answer.bytes(keep));
            }
        }
    }

    /// Gives a client its final answer.
    pub(super) fn answer(&mut self, client: ConnectionId, answer: &Answer, now: Millis) {
        let keep = self.drain.keeps_connections(now, !matches!(answer, Answer::Served(_)));
        self.reply(client, now, keep, |keep| answer.bytes(keep));
        self.drive(client);
    }

    /// Closes a client's connection that is of little use: one that has had its last answer, else one that
    /// stands idle.
    pub(super) fn free_listener(&mut self) -> bool {
        let over = |s: &Socket| matches!(&s.role, Role::Downstream(c, _) if c.shut);
        let over = self.sockets.iter().find(|(_, s)| over(s)).map(|(_, s)| s.key);
        over.or_else(|| self.idle_listener()).map(|key| self.close(key)).is_some()
    }

    /// Whether a further job would take a descriptor that news need. Guards against: clients that wait on all
    /// descriptors for results that no worker can bring any more.
    fn is_full(&mut self) -> bool {
        self.downstreams > self.max_downstreams - FOR_NEWS.min(self.max_downstreams / 4)
            && !self.free_listener()
    }

    /// Something had to wait or fail for want of a descriptor.
    pub(super) fn short(&mut self, now: Millis) {
        self.dispatch.metrics.short += 1;
        if now >= self.short_at {
            self.short_at = now + SHORT_EVERY;
            let (listeners, forwards) = (self.downstreams, self.upstreams);
            log::warn!("descriptors are short: {listeners} connections from outside, {forwards} to workers");
        }
    }

    /// A connection that never asked for anything, else the one that has been idle for longest; workers' news
    /// connections only where no other is.
    fn idle_listener(&self) -> Option<ConnectionId> {
        let now = self.clock.now();
        let idle = self.sockets.iter().filter_map(|(_, s)| match &s.role {
            Role::Downstream(c, _) if c.may_close(now) => {
                Some((c.brings_job_status, c.has_served(), c.used, s.key))
            }
            _ => None,
        });
        let mut idle: Vec<_> = idle.collect();
        idle.sort_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2)));
        idle.into_iter().map(|i| i.3).find(|key| self.is_silent(*key))
    }

    /// Closes clients' connections on which nothing is under way, near the end of a drain.
    pub(super) fn close_idle_listeners(&mut self, now: Millis) {
        let idle = |s: &Socket| matches!(&s.role, Role::Downstream(c, _) if c.may_close(now) && !c.brings_job_status);
        let idle: Vec<ConnectionId> =
            self.sockets.iter().filter(|(_, s)| idle(s)).map(|(_, s)| s.key).collect();
        for key in idle.into_iter().filter(|key| self.is_silent(*key)).collect::<Vec<_>>() {
            self.close(key);
        }
    }

    /// Refuses requests of which only a part has come: there is no time left for the rest.
    pub(super) fn refuse_half_read(&mut self, now: Millis) {
        let half_read = |s: &Socket| matches!(&s.role, Role::Downstream(c, _) if c.is_partial());
        let keys: Vec<ConnectionId> =
            self.sockets.iter().filter(|(_, s)| half_read(s)).map(|(_, s)| s.key).collect();
        for key in keys {
            if let Some(Socket { role: Role::Downstream(c, _), .. }) = self.socket(key) {
                c.give_up_request();
            }
            let refused = Answer::Rejected { retry_after: 0.0 };
            self.reply(key, now, false, |keep| refused.bytes(keep));
            self.drive(key);
        }
    }

    /// Whether something has come on a connection that takes requests and was not read yet.
    pub(super) fn has_unread_requests(&self) -> bool {
        let open = |s: &Socket| matches!(&s.role, Role::Downstream(c, _) if c.state() == State::Open);
        self.sockets.iter().any(|(_, s)| open(s) && s.stream.peek(&mut [0]).is_ok_and(|n| n > 0))
    }

    /// Whether nothing has come on a connection that was not read yet. Guards against: closing on a request
    /// that lies in the socket, which is lost then.
    fn is_silent(&self, key: ConnectionId) -> bool {
        let socket = self.sockets.get(key.slot).filter(|s| s.key == key);
        socket.is_some_and(|s| s.stream.peek(&mut [0]).is_err_and(|e| e.kind() == ErrorKind::WouldBlock))
    }
}
