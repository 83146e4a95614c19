//! The links between schedulers: a relay in user space for datagrams and connections. Each ordered pair of
//! schedulers has its own link, which can be cut, and can lose, delay, duplicate and reorder datagrams. A
//! scheduler has two addresses: the one it listens on, and the relay's address that it advertises to the
//! others.

#[cfg(test)]
mod tests;

use crate::free_address::free_address_on;
use anyhow::{Context, Result};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket};

/// The conditions of all links. Connections have the same delays as datagrams; data that is lost on them is
/// retransmitted.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// The fraction of datagrams that is lost.
    pub loss: f64,
    /// The fraction of datagrams that arrives twice.
    pub duplication: f64,
    /// The longest delay in milliseconds. Each datagram gets a random delay, so datagrams overtake each
    /// other.
    pub delay_ms: f64,
    /// The maximum number of datagrams per second on each link; 0 means no limit.
    pub limit: u32,
}

/// The link from one scheduler to another, by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: usize,
    to: usize,
}

/// The number of datagrams sent on a link in a second, including those that exceeded the limit.
#[derive(Clone, Copy, Debug, Default)]
struct SentInSecond {
    /// The second, since the start of the relay.
    second: u64,
    datagrams: u32,
}

/// The mutable state of the relay.
struct RelayState {
    conditions: LinkConditions,
    cut: BTreeSet<Link>,
    /// The links whose connections are reset.
    reset: BTreeSet<Link>,
    /// The datagrams sent in the latest second, by link; counted only while there is a limit.
    sent: BTreeMap<Link, SentInSecond>,
    started: Instant,
    rng: ChaCha8Rng,
}

/// The relay between schedulers.
pub struct Relay {
    /// The address that each scheduler listens on.
    pub scheduler_addrs: Vec<SocketAddr>,
    /// The relay's address for each scheduler, at which the others reach it.
    pub relay_addrs: Vec<SocketAddr>,
    state: Mutex<RelayState>,
}

/// Time after which lost data on a connection is retransmitted, in milliseconds: the minimum retransmission
/// timeout of Linux.
const RETRANSMIT_MS: f64 = 200.0;

/// Second octet of the addresses that schedulers listen on.
const SCHEDULER_SUBNET: u8 = 84;
/// Second octet of the relay's addresses.
const RELAY_SUBNET: u8 = 85;

/// Returns the links from each of the schedulers `from` to each of the schedulers `to`.
fn links(from: &[usize], to: &[usize]) -> Vec<Link> {
    let mut links = Vec::new();
    for from in from {
        for to in to {
            links.push(Link { from: *from, to: *to });
        }
    }
    links
}

/// Returns the loopback address of a scheduler in a subnet, given by its second octet.
fn loopback_host(subnet: u8, scheduler: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, subnet, 0, scheduler as u8 + 1)
}

impl Relay {
    /// Starts a relay between the given number of schedulers, with all links working. The seed determines
    /// which data is lost, delayed and duplicated.
    ///
    /// # Errors
    /// Returns an error if the operating system has no free address.
    pub async fn start(schedulers: usize, seed: u64) -> Result<Arc<Relay>> {
        let (mut scheduler_addrs, mut relay_addrs, mut sockets) = (Vec::new(), Vec::new(), Vec::new());
        for number in 0..schedulers {
            // The port is free for TCP. It is then free for UDP as well, as nothing else uses these subnets.
            scheduler_addrs.push(free_address_on(loopback_host(SCHEDULER_SUBNET, number))?);
            let listener = TcpListener::bind((loopback_host(RELAY_SUBNET, number), 0)).await?;
            let addr = listener.local_addr()?;
            let udp =
                UdpSocket::bind(addr).await.with_context(|| format!("cannot bind a UDP socket to {addr}"))?;
            sockets.push((listener, Arc::new(udp)));
            relay_addrs.push(addr);
        }
        let state = RelayState {
            conditions: LinkConditions::default(),
            cut: BTreeSet::new(),
            reset: BTreeSet::new(),
            sent: BTreeMap::new(),
            started: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let relay = Arc::new(Relay { scheduler_addrs, relay_addrs, state: Mutex::new(state) });
        let udp_sockets: Vec<Arc<UdpSocket>> = sockets.iter().map(|(_, udp)| udp.clone()).collect();
        for (to, (listener, _)) in sockets.into_iter().enumerate() {
            tokio::spawn(relay.clone().relay_datagrams(to, udp_sockets.clone()));
            tokio::spawn(relay.clone().accept_connections(to, listener));
        }
        Ok(relay)
    }

    fn state(&self) -> MutexGuard<'_, RelayState> {
        match self.state.lock() {
            Ok(state) => state,
            Err(poisoned) => poisoned.into_inner(), // the panic of the other task fails the run
        }
    }

    /// Changes the conditions of all links.
    pub fn set_conditions(&self, conditions: LinkConditions) {
        self.state().conditions = conditions;
    }

    /// Cuts or restores the links from the schedulers `from` to the schedulers `to`; the opposite links
    /// stay as they are.
    pub fn cut(&self, from: &[usize], to: &[usize], is_cut: bool) {
        let mut state = self.state();
        for link in links(from, to) {
            if is_cut {
                state.cut.insert(link);
            } else {
                state.cut.remove(&link);
            }
        }
    }

    /// Starts or stops resetting each connection from the schedulers `from` to the schedulers `to` as soon
    /// as it is opened.
    pub fn reset(&self, from: &[usize], to: &[usize], is_reset: bool) {
        let mut state = self.state();
        for link in links(from, to) {
            if is_reset {
                state.reset.insert(link);
            } else {
                state.reset.remove(&link);
            }
        }
    }

    fn is_cut(&self, link: Link) -> bool {
        self.state().cut.contains(&link)
    }

    /// Returns the delay of each copy of a datagram; empty if the datagram is lost.
    fn datagram_delays(&self, link: Link) -> Vec<Duration> {
        let mut state = self.state();
        let LinkConditions { loss, duplication, delay_ms, limit } = state.conditions;
        if limit > 0 {
            let second = state.started.elapsed().as_secs();
            let sent = state.sent.entry(link).or_default();
            if sent.second != second {
                *sent = SentInSecond { second, datagrams: 0 };
            }
            sent.datagrams += 1;
            if sent.datagrams > limit {
                return Vec::new();
            }
        }
        if state.cut.contains(&link) || state.rng.random::<f64>() < loss {
            return Vec::new();
        }
        let copies = 1 + usize::from(state.rng.random::<f64>() < duplication);
        (0..copies).map(|_| Duration::from_secs_f64(delay_ms * state.rng.random::<f64>() / 1e3)).collect()
    }

    /// Returns the delay of the next bytes on a connection.
    fn connection_delay(&self) -> Duration {
        let mut state = self.state();
        let LinkConditions { loss, delay_ms, .. } = state.conditions;
        let mut ms = delay_ms * state.rng.random::<f64>();
        while state.rng.random::<f64>() < loss {
            ms += RETRANSMIT_MS;
        }
        Duration::from_secs_f64(ms / 1e3)
    }

    async fn relay_datagrams(self: Arc<Relay>, to: usize, sockets: Vec<Arc<UdpSocket>>) {
        let mut bytes = vec![0; 64 * 1024];
        loop {
            let Ok((length, source)) = sockets[to].recv_from(&mut bytes).await else { continue };
            let Some(from) = self.scheduler_addrs.iter().position(|addr| *addr == source) else { continue };
            for delay in self.datagram_delays(Link { from, to }) {
                let (socket, addr, bytes) =
                    (sockets[from].clone(), self.scheduler_addrs[to], bytes[..length].to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(delay).await;
                    let _ = socket.send_to(&bytes, addr).await; // a datagram that cannot be sent is lost
                });
            }
        }
    }

    async fn accept_connections(self: Arc<Relay>, to: usize, listener: TcpListener) {
        while let Ok((stream, source)) = listener.accept().await {
            let Some(from) = self.scheduler_addrs.iter().position(|addr| addr.ip() == source.ip()) else {
                continue;
            };
            let relay = self.clone();
            tokio::spawn(async move { relay.relay_connection(from, to, stream).await });
        }
    }

    /// Relays a connection. On a cut link it stays open, but nothing arrives.
    async fn relay_connection(self: Arc<Relay>, from: usize, to: usize, stream: TcpStream) {
        if self.state().reset.contains(&Link { from, to }) {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO)); // closes with RST instead of FIN
            return;
        }
        let Ok(socket) = TcpSocket::new_v4() else { return };
        if socket.bind(SocketAddr::from((loopback_host(RELAY_SUBNET, from), 0))).is_err() {
            return;
        }
        let Ok(target) = socket.connect(self.scheduler_addrs[to]).await else { return };
        let ((from_opener, to_opener), (from_target, to_target)) = (stream.into_split(), target.into_split());
        let forward_link = Link { from, to };
        let reverse_link = Link { from: to, to: from };
        tokio::join!(
            self.relay_bytes(forward_link, from_opener, to_target),
            self.relay_bytes(reverse_link, from_target, to_opener)
        );
    }

    /// Relays bytes in one direction; on a cut link they are dropped.
    async fn relay_bytes(&self, link: Link, mut source: OwnedReadHalf, mut target: OwnedWriteHalf) {
        let mut bytes = vec![0; 16 * 1024];
        while let Ok(length @ 1..) = source.read(&mut bytes).await {
            tokio::time::sleep(self.connection_delay()).await;
            if !self.is_cut(link) && target.write_all(&bytes[..length]).await.is_err() {
                return;
            }
        }
    }
}
