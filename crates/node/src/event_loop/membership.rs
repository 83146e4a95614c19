//! Membership on sockets: datagrams, exchanges of whole states, and the time.

use super::{ConnectionId, EventLoop, Role, Socket, DATAGRAMS, EXCHANGES};
use crate::clock::{Clock, Millis};
use crate::membership::{self, MembersGauges, StateExchange};
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Interest, Registry};
use postusher_membership::{Action, Members};
use postusher_setup::Members as Setup;
use socket2::{Domain, Protocol, SockAddr, Socket as Raw, Type};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// So many datagrams are taken in a turn. Guards against: a crowd of members for which the loop never comes to clients.
const MOST_A_TURN: usize = 128;
/// And for so long, in milliseconds: what is left waits for the next turn.
const LONGEST_TURN: Millis = 2.0;
/// So many exchanges there may be at once; more are for another time.
const MOST_EXCHANGES: usize = 8;
/// Descriptors set apart: these, the sockets for datagrams and connections, and one to accept with.
pub(super) const DESCRIPTORS: usize = MOST_EXCHANGES + 3;
/// While the process before this one still has the address, it is tried again so often.
const TRY_AGAIN: Millis = 250.0;

/// This scheduler as a member, with its sockets while it has them.
pub(super) struct Membership {
    setup: Setup,
    pub(super) machine: Members,
    bound: Option<Bound>,
    try_at: Millis,
    /// Exchanges under way.
    pub(super) exchanges: usize,
    /// Datagrams may be left from the turn before.
    more: bool,
    buffer: Vec<u8>,
    /// Its name is another process's.
    pub(super) taken: Option<String>,
}

struct Bound {
    datagrams: UdpSocket,
    listener: TcpListener,
}

impl Membership {
    /// One that has no sockets yet. Each process needs chance of its own: the name may be in use twice.
    pub(super) fn new(setup: &Setup, seed: u64, clock: &Clock) -> Membership {
        let now = clock.now();
        let chance = seed ^ u64::from(std::process::id()) << 32 ^ now.to_bits();
        Membership {
            machine: Members::new(setup.config.clone(), chance, now),
            setup: setup.clone(),
            bound: None,
            try_at: now,
            exchanges: 0,
            more: false,
            buffer: vec![0; 64 * 1024],
            taken: None,
        }
    }

    /// Takes the address.
    ///
    /// # Errors
    /// Another process has it, or the system has not.
    pub(super) fn bind(&mut self, registry: &Registry) -> io::Result<()> {
        let named = |e: io::Error| io::Error::new(e.kind(), format!("members at {}: {e}", self.setup.listen));
        let mut bound = Bound {
            datagrams: UdpSocket::bind(self.setup.listen).map_err(named)?,
            listener: TcpListener::bind(self.setup.listen).map_err(named)?,
        };
        registry.register(&mut bound.datagrams, DATAGRAMS, Interest::READABLE)?;
        registry.register(&mut bound.listener, EXCHANGES, Interest::READABLE)?;
        log::info!("{}: members at {}", self.setup.config.name, self.setup.listen);
        self.bound = Some(bound);
        Ok(())
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Some(bound) = &self.bound {
            let _ = bound.datagrams.send_to(bytes, to); // one that is lost is what the protocol is made for
        }
    }

    /// When the loop has to come back for it.
    pub(super) fn next_wake(&self) -> Option<Millis> {
        match self.bound {
            Some(_) => self.machine.next_wake(),
            None if self.taken.is_none() => Some(self.try_at),
            None => None,
        }
    }

    /// Datagrams may be left.
    pub(super) fn has_more(&self) -> bool {
        self.more
    }
}

impl EventLoop {
    /// What this scheduler believes of others, where it is a member.
    pub(super) fn members_json(&self) -> Option<String> {
        self.members.as_ref().map(|m| membership::json(&m.machine.view()))
    }

    /// Metrics of membership.
    pub(super) fn members_gauges(&self) -> Option<MembersGauges> {
        self.members.as_ref().map(|m| MembersGauges::new(&m.machine.view(), m.machine.figures()))
    }

    /// Takes the datagrams that wait, up to a turn's part.
    pub(super) fn datagrams(&mut self) {
        let now = self.clock.now();
        let Some(m) = &mut self.members else { return };
        let mut out = Vec::new();
        m.more = false;
        for n in 0.. {
            let Some(bound) = &m.bound else { break };
            if n == MOST_A_TURN || n > 0 && self.clock.now() - now > LONGEST_TURN {
                m.more = true;
                break;
            }
            match bound.datagrams.recv_from(&mut m.buffer) {
                Ok((length, from)) => m.machine.datagram(from, &m.buffer[..length], now, &mut out),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(_) => {} // the system's word that an earlier one of ours reached nobody
            }
        }
        self.carry_out(out);
    }

    /// Does for the members what time asks for.
    pub(super) fn mind_members(&mut self, now: Millis) {
        if self.members.as_ref().is_some_and(Membership::has_more) {
            self.datagrams();
        }
        let successor = self.drain.has_successor();
        let Some(m) = &mut self.members else { return };
        if successor {
            // The new process is this member from now on, at the same address.
            self.members = None;
            return;
        }
        if m.bound.is_none() && m.taken.is_none() && now >= m.try_at {
            if let Err(e) = m.bind(self.poll.registry()) {
                m.try_at = now + TRY_AGAIN;
                log::debug!("{e}");
            }
        }
        let mut out = Vec::new();
        if m.bound.is_some() && m.machine.next_wake().is_some_and(|at| at <= now) {
            m.machine.wake(now, &mut out);
        }
        self.carry_out(out);
    }

    /// Says to the others that this scheduler ends.
    pub(super) fn leave_members(&mut self) {
        let now = self.clock.now();
        let Some(m) = &mut self.members else { return };
        let mut out = Vec::new();
        m.machine.leave(now, &mut out);
        self.carry_out(out);
        self.members = None;
    }

    fn carry_out(&mut self, out: Vec<Action>) {
        for action in out {
            match action {
                Action::Datagram { to, bytes } => self.members.iter().for_each(|m| m.send(to, &bytes)),
                Action::Exchange { with } => {
                    if let Err(e) = self.exchange_with(with) {
                        log::debug!("members: no exchange with {with}: {e}");
                    }
                }
                Action::End { why } => {
                    log::error!("members: {why}; this scheduler ends");
                    if let Some(m) = &mut self.members {
                        (m.taken, m.bound) = (Some(why), None);
                    }
                    self.terminate();
                }
            }
        }
    }

    /// Opens a connection from the member's own address and sends its state.
    fn exchange_with(&mut self, with: SocketAddr) -> io::Result<()> {
        let until = self.clock.now() + membership::PATIENCE;
        let Some(m) = self.members.as_mut().filter(|m| m.exchanges < MOST_EXCHANGES) else { return Ok(()) };
        let raw = Raw::new(Domain::for_address(with), Type::STREAM, Some(Protocol::TCP))?;
        raw.set_nonblocking(true)?;
        if with.is_ipv4() == m.setup.listen.is_ipv4() {
            raw.bind(&SocketAddr::new(m.setup.listen.ip(), 0).into())?;
        }
        match raw.connect(&SockAddr::from(with)) {
            Err(e) if e.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {
                return Err(e)
            }
            _ => {}
        }
        let mut new = StateExchange::new(true);
        new.give(&m.machine.whole());
        self.add(TcpStream::from_std(raw.into()), Role::StateExchange(new), true, until)?;
        Ok(())
    }

    /// Takes connections of other members.
    pub(super) fn accept_exchanges(&mut self) {
        let until = self.clock.now() + membership::PATIENCE;
        while let Some(bound) = self.members.as_ref().and_then(|m| m.bound.as_ref()) {
            match bound.listener.accept() {
                Ok((stream, _)) => {
                    if self.members.as_ref().is_none_or(|m| m.exchanges >= MOST_EXCHANGES) {
                        continue; // dropped: the other tries again
                    }
                    match self.add(stream, Role::StateExchange(StateExchange::new(false)), false, until) {
                        Ok(key) => self.drive(key),
                        Err(e) => log::warn!("members: a connection cannot be polled: {e}"),
                    }
                }
                Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(_) => return,
            }
        }
    }

    /// Bytes of another's state have come.
    pub(super) fn exchanged(&mut self, key: ConnectionId, bytes: &[u8], now: Millis) {
        let Some(Socket { role: Role::StateExchange(c), .. }) = self.socket(key) else { return };
        let asked = c.asked;
        let whole = match c.receive(bytes) {
            Ok(Some(whole)) => whole,
            Ok(None) => return,
            Err(membership::TooLong) => return self.close(key),
        };
        let Some(m) = &mut self.members else { return self.close(key) };
        let mut out = Vec::new();
        m.machine.take_whole(&whole, now, &mut out);
        let mine = (!asked).then(|| m.machine.whole());
        match (mine, self.socket(key)) {
            (Some(mine), Some(Socket { role: Role::StateExchange(c), .. })) => c.give(&mine),
            _ => self.close(key),
        }
        self.carry_out(out);
    }
}
