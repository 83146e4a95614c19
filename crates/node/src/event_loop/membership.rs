//! Sockets and timers of the membership protocol: datagrams and state exchanges with other members.

use super::{ConnectionId, EventLoop, Role, Socket, DATAGRAM_SOCKET, EXCHANGE_LISTENER};
use crate::clock::{Clock, Millis};
use crate::membership::{self, ExchangeRole, MembersGauges, StateExchange, StateTooLong, EXCHANGE_TIMEOUT};
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Interest, Registry};
use postusher_membership::{Action, Member, TerminationReason};
use postusher_setup::MembershipSettings;
use socket2::{Domain, Protocol, SockAddr, Socket as RawSocket, Type};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;

/// Maximum number of datagrams per read, so that the datagrams of many members do not delay clients. There
/// are at most two reads per iteration: one for the readiness event and one for datagrams left unread.
const MAX_DATAGRAMS_PER_ITERATION: usize = 128;
/// Time after which a read of datagrams stops; the next read continues with the rest.
const MAX_DATAGRAM_TIME_PER_ITERATION: Millis = 2.0;
/// Maximum number of concurrent state exchanges. Further ones are dropped, and the members retry them.
const MAX_EXCHANGES: usize = 8;
/// Descriptors reserved for membership: the state exchanges, the datagram socket, the listener, and one for
/// accepting a connection.
pub(super) const RESERVED_DESCRIPTORS: usize = MAX_EXCHANGES + 3;
/// Interval between attempts to bind the sockets while the predecessor still uses the address.
const BIND_RETRY_INTERVAL: Millis = 250.0;
/// Maximum size of a received datagram, in bytes.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;

/// This scheduler as a member, with its sockets.
pub(super) struct Membership {
    setup: MembershipSettings,
    member: Member,
    /// `None` until the sockets are bound, and again after the membership has been terminated.
    sockets: Option<MembershipSockets>,
    /// Time of the next attempt to bind the sockets.
    bind_at: Millis,
    /// Number of state exchanges in progress.
    pub(super) exchanges: usize,
    has_unread_datagrams: bool,
    receive_buffer: Vec<u8>,
    /// Set once the membership has been terminated because another process uses the member's name.
    pub(super) termination_reason: Option<TerminationReason>,
}

struct MembershipSockets {
    datagrams: UdpSocket,
    listener: TcpListener,
}

impl Membership {
    /// Creates a member without sockets. Its random seed includes the process id and the time, so that two
    /// processes have different seeds even if they use the same name.
    pub(super) fn new(setup: &MembershipSettings, seed: u64, clock: &Clock) -> Membership {
        let now = clock.now();
        let process_seed = seed ^ u64::from(std::process::id()) << 32 ^ now.to_bits();
        Membership {
            member: Member::new(setup.config.clone(), process_seed, now),
            setup: setup.clone(),
            sockets: None,
            bind_at: now,
            exchanges: 0,
            has_unread_datagrams: false,
            receive_buffer: vec![0; RECEIVE_BUFFER_BYTES],
            termination_reason: None,
        }
    }

    /// Binds the datagram socket and the listener to the member's address.
    ///
    /// # Errors
    /// The address is in use by another process or does not belong to this machine, or a socket cannot be
    /// registered for polling.
    pub(super) fn bind(&mut self, registry: &Registry) -> io::Result<()> {
        let listen = self.setup.listen;
        let with_address = |error: io::Error| {
            let message =
                format!("cannot listen for members on {listen} (attribute listen of <members>): {error}");
            io::Error::new(error.kind(), message)
        };
        let mut sockets = MembershipSockets {
            datagrams: UdpSocket::bind(listen).map_err(with_address)?,
            listener: TcpListener::bind(listen).map_err(with_address)?,
        };
        registry.register(&mut sockets.datagrams, DATAGRAM_SOCKET, Interest::READABLE)?;
        registry.register(&mut sockets.listener, EXCHANGE_LISTENER, Interest::READABLE)?;
        log::info!("membership listening: member={} address={listen}", self.setup.config.name);
        self.sockets = Some(sockets);
        Ok(())
    }

    /// Returns the time of the next membership timer or attempt to bind, if there is one.
    pub(super) fn next_wake_time(&self) -> Option<Millis> {
        if self.sockets.is_some() {
            self.member.next_timer()
        } else if self.termination_reason.is_none() {
            Some(self.bind_at)
        } else {
            None
        }
    }

    /// Returns whether the last read stopped at a limit, so that datagrams may still be unread.
    pub(super) fn has_unread_datagrams(&self) -> bool {
        self.has_unread_datagrams
    }

    fn send(&self, to: SocketAddr, bytes: &[u8]) {
        if let Some(sockets) = &self.sockets {
            let _ = sockets.datagrams.send_to(bytes, to); // the protocol tolerates lost datagrams
        }
    }

    /// Reads datagrams up to the limits of one read.
    fn receive_datagrams(&mut self, clock: &Clock, actions: &mut Vec<Action>) {
        let now = clock.now();
        self.has_unread_datagrams = false;
        let Some(sockets) = &self.sockets else { return };
        for datagrams_read in 0..=MAX_DATAGRAMS_PER_ITERATION {
            let is_time_over = datagrams_read > 0 && clock.now() - now > MAX_DATAGRAM_TIME_PER_ITERATION;
            if datagrams_read == MAX_DATAGRAMS_PER_ITERATION || is_time_over {
                self.has_unread_datagrams = true;
                return;
            }
            match sockets.datagrams.recv_from(&mut self.receive_buffer) {
                Ok((length, from)) => {
                    self.member.receive_datagram(from, &self.receive_buffer[..length], now, actions);
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(_) => {} // an earlier outgoing datagram could not be delivered
            }
        }
    }

    /// Binds the sockets if they are not bound yet and the next attempt is due.
    fn retry_bind(&mut self, registry: &Registry, now: Millis) {
        if self.sockets.is_some() || self.termination_reason.is_some() || now < self.bind_at {
            return;
        }
        if let Err(error) = self.bind(registry) {
            self.bind_at = now + BIND_RETRY_INTERVAL;
            log::debug!("membership not bound: error={error}");
        }
    }

    /// Runs the member's due timers, if its sockets are bound.
    fn run_timers(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.sockets.is_none() {
            return;
        }
        if self.member.next_timer().is_some_and(|due| due <= now) {
            self.member.advance(now, actions);
        }
    }

    /// Starts connecting to another member from the IP address that this member listens on.
    fn connect(&self, to: SocketAddr) -> io::Result<TcpStream> {
        let socket = RawSocket::new(Domain::for_address(to), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_nonblocking(true)?;
        let local_ip = self.setup.listen.ip();
        if to.is_ipv4() == local_ip.is_ipv4() {
            socket.bind(&SocketAddr::new(local_ip, 0).into())?;
        }
        if let Err(error) = socket.connect(&SockAddr::from(to)) {
            if error.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) {
                return Err(error);
            }
        }
        Ok(TcpStream::from_std(socket.into()))
    }
}

impl EventLoop {
    /// Returns this scheduler's view of the members as JSON, if it is a member.
    pub(super) fn members_json(&self) -> Option<String> {
        let membership = self.membership.as_ref()?;
        Some(membership::members_json(&membership.member.view()))
    }

    /// Returns the membership metrics, if this scheduler is a member.
    pub(super) fn members_gauges(&self) -> Option<MembersGauges> {
        let membership = self.membership.as_ref()?;
        Some(MembersGauges::new(&membership.member.view(), membership.member.metrics()))
    }

    /// Reads waiting datagrams up to the limits of one read, and performs the resulting actions.
    pub(super) fn receive_datagrams(&mut self) {
        let Some(membership) = &mut self.membership else { return };
        let mut actions = Vec::new();
        membership.receive_datagrams(&self.clock, &mut actions);
        self.run_membership_actions(actions);
    }

    /// Reads remaining datagrams, retries binding and runs due membership timers.
    pub(super) fn run_membership_timers(&mut self, now: Millis) {
        if self.membership.as_ref().is_some_and(Membership::has_unread_datagrams) {
            self.receive_datagrams();
        }
        if self.drain.has_successor() {
            // The successor now runs this member, at the same address.
            self.membership = None;
            return;
        }
        let Some(membership) = &mut self.membership else { return };
        let mut actions = Vec::new();
        membership.retry_bind(self.poll.registry(), now);
        membership.run_timers(now, &mut actions);
        self.run_membership_actions(actions);
    }

    /// Notifies the other members that this scheduler leaves, and ends its membership.
    pub(super) fn leave_membership(&mut self) {
        let now = self.clock.now();
        let Some(membership) = &mut self.membership else { return };
        let mut actions = Vec::new();
        membership.member.leave(now, &mut actions);
        self.run_membership_actions(actions);
        self.membership = None;
    }

    fn run_membership_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::SendDatagram { to, bytes } => {
                    if let Some(membership) = &self.membership {
                        membership.send(to, &bytes);
                    }
                }
                Action::ExchangeState { with: address } => {
                    if let Err(error) = self.start_exchange(address) {
                        log::debug!("state exchange failed: member={address} error={error}");
                    }
                }
                Action::Terminate { reason } => {
                    log::error!("membership ended, scheduler shuts down: reason={reason}");
                    if let Some(membership) = &mut self.membership {
                        membership.termination_reason = Some(reason);
                        membership.sockets = None;
                    }
                    self.start_shutdown();
                }
            }
        }
    }

    /// Starts connecting to another member to send it this member's state. Does nothing if the maximum number
    /// of exchanges is in progress.
    fn start_exchange(&mut self, address: SocketAddr) -> io::Result<()> {
        let deadline = self.clock.now() + EXCHANGE_TIMEOUT;
        let Some(membership) = &mut self.membership else { return Ok(()) };
        if membership.exchanges >= MAX_EXCHANGES {
            return Ok(());
        }
        let stream = membership.connect(address)?;
        let mut exchange = StateExchange::new(ExchangeRole::Initiator);
        exchange.send_state(&membership.member.encode_state());
        self.add_connection(stream, Role::StateExchange(exchange), true, deadline)?;
        Ok(())
    }

    /// Accepts connections from other members.
    pub(super) fn accept_exchanges(&mut self) {
        let deadline = self.clock.now() + EXCHANGE_TIMEOUT;
        loop {
            let Some(membership) = &self.membership else { return };
            let Some(sockets) = &membership.sockets else { return };
            match sockets.listener.accept() {
                Ok(_) if membership.exchanges >= MAX_EXCHANGES => {} // dropped; the other member retries
                Ok((stream, _)) => self.add_exchange(stream, deadline),
                Err(error)
                    if matches!(error.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                Err(_) => return,
            }
        }
    }

    fn add_exchange(&mut self, stream: TcpStream, deadline: Millis) {
        let exchange = StateExchange::new(ExchangeRole::Responder);
        match self.add_connection(stream, Role::StateExchange(exchange), false, deadline) {
            Ok(id) => self.drive(id),
            Err(error) => log::warn!("state exchange not polled: error={error}"),
        }
    }

    /// Handles bytes received in a state exchange. Once the state of the other member is complete, it is
    /// merged, and answered with this member's state if the other member started the exchange.
    pub(super) fn handle_exchange_bytes(&mut self, id: ConnectionId, bytes: &[u8], now: Millis) {
        let Some(Socket { role: Role::StateExchange(exchange), .. }) = self.socket(id) else { return };
        let role = exchange.role;
        let state = match exchange.receive(bytes) {
            Ok(Some(state)) => state,
            Ok(None) => return,
            Err(StateTooLong { .. }) => return self.close(id),
        };
        let Some(membership) = &mut self.membership else { return self.close(id) };
        let mut actions = Vec::new();
        membership.member.merge_state(&state, now, &mut actions);
        match role {
            ExchangeRole::Initiator => self.close(id),
            ExchangeRole::Responder => {
                let merged_state = membership.member.encode_state();
                match self.socket(id) {
                    Some(Socket { role: Role::StateExchange(exchange), .. }) => {
                        exchange.send_state(&merged_state);
                    }
                    _ => self.close(id),
                }
            }
        }
        self.run_membership_actions(actions);
    }
}
