//! Operators' connections: accepted apart from clients' and before them, one call on each.

use super::{EventLoop, Key, Role, Socket, MANAGEMENT};
use crate::clock::Millis;
use crate::figures::{Gauges, WaitingGauges};
use crate::handover::Message;
use crate::http;
use crate::listener;
use crate::management::{self, Call, No};
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
    /// Whether readiness is that of an operator's call.
    pub(super) fn is_call(&self, token: Token) -> bool {
        let manager = |s: &Socket| matches!(s.role, Role::Manager(_));
        token == MANAGEMENT || self.sockets.get(token.0).is_some_and(manager)
    }

    /// Takes operators' connections that wait.
    pub(super) fn accept_managers(&mut self) {
        let now = self.clock.now();
        while let Some(listener) = &self.management {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nodelay(true); // a delay at worst
                    if self.managers >= MOST {
                        self.close_oldest_manager();
                    }
                    let new = listener::Connection::new(now);
                    let until = new.deadline();
                    match self.add(stream, Role::Manager(new), false, until) {
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
        let managers = self.sockets.iter().filter(|(_, s)| matches!(s.role, Role::Manager(_)));
        let oldest = managers.map(|(_, s)| s.key).min_by_key(|key| key.serial);
        oldest.map(|key| self.close(key)).is_some()
    }

    /// Takes the call that has come whole on a connection; there is one on each.
    pub(super) fn calls(&mut self, key: Key, now: Millis) {
        let Some(Socket { role: Role::Manager(c), .. }) = self.socket(key) else { return };
        let Some(next) = c.next() else { return };
        let status = |status| Some(http::response(status, &[], b"", false));
        let answer = match next.map(|message| management::read(&message.line)) {
            Err(fault) => status(fault.0),
            Ok(Err(No::Unknown)) => status(404),
            Ok(Err(No::Method(allow))) => Some(http::response(405, &[("Allow", allow.into())], b"", false)),
            Ok(Ok(Call::Stats)) => None,
            Ok(Ok(Call::Members)) => {
                let json = [("Content-Type", "application/json".to_string())];
                let shown = self.members_json();
                shown.map(|body| http::response(200, &json, body.as_bytes(), false)).or_else(|| status(404))
            }
            Ok(Ok(Call::Healthcheck)) => {
                let takes = self.upgrade.takes_clients && self.drain.is_healthy();
                status(if takes { 200 } else { 503 })
            }
            Ok(Ok(call)) => {
                let there = self.obey(&call, now);
                if there {
                    self.tell(|| Message::Called(call));
                }
                status(if there { 200 } else { 404 })
            }
        };
        self.called.push((key, answer));
    }

    /// Answers the calls of this turn. Guards against: a yes to what the module has not heard yet, and figures from
    /// before it.
    pub(super) fn answer_calls(&mut self, now: Millis) {
        for (key, answer) in std::mem::take(&mut self.called) {
            let json = [("Content-Type", "application/json".to_string())];
            let stats = |this: &Self| http::response(200, &json, this.stats().as_bytes(), false);
            let answer = answer.unwrap_or_else(|| stats(self));
            if let Some(Socket { role: Role::Manager(c), .. }) = self.socket(key) {
                c.answer(&answer, false, now);
            }
            self.drive(key);
        }
    }

    /// Does what a call asks; says whether what it names is there.
    pub(super) fn obey(&mut self, call: &Call, now: Millis) -> bool {
        match call {
            Call::Drain => {
                self.drain.call(now);
                log::info!("drain by call: {} requests to finish", self.dispatch.unanswered());
            }
            Call::EndDrain => {
                self.drain.undo();
                log::info!("the drain by call is over");
            }
            Call::TakeOut(name) => {
                let Some(target) = self.group.take_out(name) else { return false };
                self.dispatch.taken_out(target);
                log::info!("{name} is taken out");
            }
            Call::TakeBack(name) => {
                let Some(target) = self.group.take_back(name) else { return false };
                self.dispatch.taken_back(target);
                log::info!("{name} is taken back");
            }
            Call::Healthcheck | Call::Stats | Call::Members => {}
        }
        true
    }

    fn stats(&self) -> String {
        let waiting = self.dispatch.waiting().count(self.clock.now()).map(|c| WaitingGauges {
            held: c.held,
            released: c.released,
            longest_wait_ms: c.longest_wait as u64,
        });
        let avoided = self.group.listed().filter(|target| self.dispatch.avoids(*target)).count();
        self.dispatch.figures.json(Gauges {
            in_flight: self.dispatch.unanswered(),
            workers_known: self.group.listed().count(),
            workers_excluded: avoided,
            members: self.members_gauges(),
            over_share: self.dispatch.over_share(),
            waiting,
        })
    }
}
