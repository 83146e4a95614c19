//! Operators' connections: accepted apart from clients' and before them, one call on each.

use super::{ConnectionId, EventLoop, Role, Socket, MANAGEMENT};
use crate::admin::{self, AdminError, AdminRequest};
use crate::clock::Millis;
use crate::downstream;
use crate::http;
use crate::metrics::{DeferralGauges, Gauges};
use crate::upgrade_protocol::Message;
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// So many operators' connections there may be. Guards against: callers that connect and finish no call, behind
/// which others would wait; over this, the one that came first goes.
const MOST: usize = 16;
/// Descriptors set apart for them: theirs, the listener's, and one to accept with.
pub(super) const DESCRIPTORS: usize = MOST + 2;

/// Listens for operators.
pub(super) fn listen(addr: SocketAddr, registry: &Registry) -> io::Result<TcpListener> {
    let mut listener = TcpListener::bind(addr)
        .map_err(|e| io::Error::new(e.kind(), format!("listening on {addr} for management: {e}")))?;
    registry.register(&mut listener, MANAGEMENT, Interest::READABLE)?;
    Ok(listener)
}

impl EventLoop {
    /// Whether state is that of an operator's call.
    pub(super) fn is_call(&self, token: Token) -> bool {
        let manager = |s: &Socket| matches!(s.role, Role::Admin(_));
        token == MANAGEMENT || self.sockets.get(token.0).is_some_and(manager)
    }

    /// Takes operators' connections that wait.
    pub(super) fn accept_managers(&mut self) {
        let now = self.clock.now();
        while let Some(listener) = &self.admin_listener {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true); // a delay at worst
                    if self.admin_connections >= MOST {
                        self.close_oldest_manager();
                    }
                    let new = downstream::Connection::new(now);
                    let until = new.deadline();
                    match self.add(stream, Role::Admin(new), false, until) {
                        Ok(key) => self.drive(key),
                        Err(e) => log::warn!("a new connection cannot be polled: {e}"),
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(e) => {
                    log::warn!("accept for management: {e}");
                    if !self.close_oldest_manager() {
                        return;
                    }
                }
            }
        }
    }

    /// Says whether there was one.
    fn close_oldest_manager(&mut self) -> bool {
        let managers = self.sockets.iter().filter(|(_, s)| matches!(s.role, Role::Admin(_)));
        let oldest = managers.map(|(_, s)| s.key).min_by_key(|key| key.serial);
        oldest.map(|key| self.close(key)).is_some()
    }

    /// Takes the call that has come whole on a connection; there is one on each.
    pub(super) fn calls(&mut self, key: ConnectionId, now: Millis) {
        let Some(Socket { role: Role::Admin(c), .. }) = self.socket(key) else { return };
        let Some(next) = c.next() else { return };
        let status = |status| Some(http::response(status, &[], b"", false));
        let answer = match next.map(|message| admin::read(&message.line)) {
            Err(fault) => status(fault.0),
            Ok(Err(AdminError::NotFound)) => status(404),
            Ok(Err(AdminError::MethodNotAllowed(allow))) => {
                Some(http::response(405, &[("Allow", allow.into())], b"", false))
            }
            Ok(Ok(AdminRequest::Stats)) => None,
            Ok(Ok(AdminRequest::Members)) => {
                let json = [("Content-Type", "application/json".to_string())];
                let shown = self.members_json();
                shown.map(|body| http::response(200, &json, body.as_bytes(), false)).or_else(|| status(404))
            }
            Ok(Ok(AdminRequest::Healthcheck)) => {
                let takes = self.upgrade.takes_clients && self.drain.is_healthy();
                status(if takes { 200 } else { 503 })
            }
            Ok(Ok(call)) => {
                let there = self.obey(&call, now);
                if there {
                    self.tell(|| Message::AdminRequest(call));
                }
                status(if there { 200 } else { 404 })
            }
        };
        self.called.push((key, answer));
    }

    /// Answers the calls of this turn. Guards against: a yes to what the module has not heard yet, and metrics from
    /// before it.
    pub(super) fn answer_calls(&mut self, now: Millis) {
        for (key, answer) in std::mem::take(&mut self.called) {
            let json = [("Content-Type", "application/json".to_string())];
            let stats = |this: &Self| http::response(200, &json, this.stats().as_bytes(), false);
            let answer = answer.unwrap_or_else(|| stats(self));
            if let Some(Socket { role: Role::Admin(c), .. }) = self.socket(key) {
                c.answer(&answer, false, now);
            }
            self.drive(key);
        }
    }

    /// Does what a call asks; says whether what it names is there.
    pub(super) fn obey(&mut self, call: &AdminRequest, now: Millis) -> bool {
        match call {
            AdminRequest::Drain => {
                self.drain.start_by_operator(now);
                log::info!("drain by call: {} requests to finish", self.dispatch.unanswered_jobs());
            }
            AdminRequest::EndDrain => {
                self.drain.cancel_by_operator();
                log::info!("the drain by call is over");
            }
            AdminRequest::DisableWorker(name) => {
                let Some(worker) = self.endpoints.disable(name) else { return false };
                self.dispatch.worker_disabled(worker);
                log::info!("{name} is taken out");
            }
            AdminRequest::EnableWorker(name) => {
                let Some(worker) = self.endpoints.enable(name) else { return false };
                self.dispatch.worker_enabled(worker);
                log::info!("{name} is taken back");
            }
            AdminRequest::Healthcheck | AdminRequest::Stats | AdminRequest::Members => {}
        }
        true
    }

    fn stats(&self) -> String {
        let waiting = self.dispatch.deferred_jobs().count(self.clock.now()).map(|c| DeferralGauges {
            held: c.held,
            released: c.released,
            longest_wait_ms: c.longest_wait as u64,
        });
        let avoided = self.endpoints.listed_workers().filter(|worker| self.dispatch.avoids(*worker)).count();
        self.dispatch.metrics.json(Gauges {
            in_flight: self.dispatch.unanswered_jobs(),
            workers_known: self.endpoints.listed_workers().count(),
            workers_excluded: avoided,
            members: self.members_gauges(),
            over_quota: self.dispatch.over_quota(),
            waiting,
        })
    }
}
