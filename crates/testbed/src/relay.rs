//! The links between the schedulers' processes: a relay in user space, on which each ordered pair is a link of its own that can
//! be cut, be lossy, slow, double and reorder; datagrams and connections alike. A process has two addresses, its own and the
//! one by which others know it; the latter is the relay's.

#[cfg(test)]
mod tests;

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

/// What all links do to datagrams; connections are as late, and what is lost on them is sent again after a time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LinkConditions {
    /// Part that is lost.
    pub loss: f64,
    /// Part that comes twice.
    pub twice: f64,
    /// The longest delay in milliseconds; each has one by chance, so that later ones come earlier.
    pub delay_ms: f64,
    /// The most datagrams a second that one link carries; 0: no bound.
    pub limit: u32,
}

/// What can be seen and set while all runs.
struct RelayState {
    conditions: LinkConditions,
    cut: BTreeSet<(usize, usize)>,
    /// Connections on these are reset.
    reset: BTreeSet<(usize, usize)>,
    /// Of each link with a bound: the second, and datagrams in it.
    carried: BTreeMap<(usize, usize), (u64, u32)>,
    begun: Instant,
    rng: ChaCha8Rng,
}

/// The relay between so many processes.
pub struct Relay {
    /// Where each process listens itself.
    pub own: Vec<SocketAddr>,
    /// Where others reach it.
    pub known: Vec<SocketAddr>,
    state: Mutex<RelayState>,
}

/// What is lost on a connection is sent again after this time, in milliseconds (Linux's least).
const SENT_AGAIN_MS: f64 = 200.0;

/// The addresses of processes and those by which they are known, each in a range of its own.
const OWN: u8 = 84;
const KNOWN: u8 = 85;

fn host(range: u8, n: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, range, 0, n as u8 + 1)
}

impl Relay {
    /// Starts one; all links work.
    ///
    /// # Errors
    /// An address cannot be had.
    pub async fn start(n: usize, seed: u64) -> Result<Arc<Relay>> {
        let (mut own, mut known, mut sockets) = (Vec::new(), Vec::new(), Vec::new());
        for i in 0..n {
            // Free for connections; for datagrams it is then free as well, as nobody else uses these ranges.
            own.push(std::net::TcpListener::bind((host(OWN, i), 0))?.local_addr()?);
            let listener = TcpListener::bind((host(KNOWN, i), 0)).await?;
            let addr = listener.local_addr()?;
            sockets
                .push((listener, Arc::new(UdpSocket::bind(addr).await.with_context(|| format!("{addr}"))?)));
            known.push(addr);
        }
        let state = RelayState {
            conditions: LinkConditions::default(),
            cut: BTreeSet::new(),
            reset: BTreeSet::new(),
            carried: BTreeMap::new(),
            begun: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        };
        let relay = Arc::new(Relay { own, known, state: Mutex::new(state) });
        let datagrams: Vec<Arc<UdpSocket>> = sockets.iter().map(|(_, udp)| udp.clone()).collect();
        for (to, (listener, _)) in sockets.into_iter().enumerate() {
            tokio::spawn(relay.clone().datagrams(to, datagrams.clone()));
            tokio::spawn(relay.clone().connections(to, listener));
        }
        Ok(relay)
    }

    fn state(&self) -> MutexGuard<'_, RelayState> {
        match self.state.lock() {
            Ok(state) => state,
            Err(poisoned) => poisoned.into_inner(), // a panic elsewhere; the run fails by that
        }
    }

    /// All links from now on.
    pub fn set_conditions(&self, conditions: LinkConditions) {
        self.state().conditions = conditions;
    }

    /// Cuts the ways from some to others, or makes them whole again; the ways back stay as they are.
    pub fn cut(&self, from: &[usize], to: &[usize], cut: bool) {
        let mut state = self.state();
        for pair in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))) {
            let _ = if cut { state.cut.insert(pair) } else { state.cut.remove(&pair) };
        }
    }

    /// Has connections from some to others reset as soon as they come, or no more.
    pub fn reset(&self, from: &[usize], to: &[usize], on: bool) {
        let mut state = self.state();
        for pair in from.iter().flat_map(|a| to.iter().map(move |b| (*a, *b))) {
            let _ = if on { state.reset.insert(pair) } else { state.reset.remove(&pair) };
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.state().cut.contains(&(from, to))
    }

    /// When copies of a datagram are to be handed on; none where it is lost.
    fn fate(&self, from: usize, to: usize) -> Vec<Duration> {
        let mut state = self.state();
        let LinkConditions { loss, twice, delay_ms, limit } = state.conditions;
        if limit > 0 {
            let second = state.begun.elapsed().as_secs();
            let carried = state.carried.entry((from, to)).or_default();
            *carried = if carried.0 == second { (second, carried.1 + 1) } else { (second, 1) };
            if carried.1 > limit {
                return Vec::new();
            }
        }
        if state.cut.contains(&(from, to)) || state.rng.random::<f64>() < loss {
            return Vec::new();
        }
        let copies = 1 + usize::from(state.rng.random::<f64>() < twice);
        (0..copies).map(|_| Duration::from_secs_f64(delay_ms * state.rng.random::<f64>() / 1e3)).collect()
    }

    /// How late the next piece of a connection is.
    fn lag(&self) -> Duration {
        let mut state = self.state();
        let LinkConditions { loss, delay_ms, .. } = state.conditions;
        let mut ms = delay_ms * state.rng.random::<f64>();
        while state.rng.random::<f64>() < loss {
            ms += SENT_AGAIN_MS;
        }
        Duration::from_secs_f64(ms / 1e3)
    }

    async fn datagrams(self: Arc<Relay>, to: usize, sockets: Vec<Arc<UdpSocket>>) {
        let mut bytes = vec![0; 64 * 1024];
        loop {
            let Ok((length, source)) = sockets[to].recv_from(&mut bytes).await else { continue };
            let Some(from) = self.own.iter().position(|own| *own == source) else { continue };
            for after in self.fate(from, to) {
                let (socket, addr, bytes) = (sockets[from].clone(), self.own[to], bytes[..length].to_vec());
                tokio::spawn(async move {
                    tokio::time::sleep(after).await;
                    let _ = socket.send_to(&bytes, addr).await; // one that nobody takes is lost
                });
            }
        }
    }

    async fn connections(self: Arc<Relay>, to: usize, listener: TcpListener) {
        while let Ok((stream, source)) = listener.accept().await {
            let Some(from) = self.own.iter().position(|own| own.ip() == source.ip()) else { continue };
            let relay = self.clone();
            tokio::spawn(async move { relay.connection(from, to, stream).await });
        }
    }

    /// A cut link is silent: the connection is up, and nothing comes.
    async fn connection(self: Arc<Relay>, from: usize, to: usize, stream: TcpStream) {
        if self.state().reset.contains(&(from, to)) {
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO)); // a reset in place of an end
            return;
        }
        let Ok(socket) = TcpSocket::new_v4() else { return };
        if socket.bind(SocketAddr::from((host(KNOWN, from), 0))).is_err() {
            return;
        }
        let Ok(other) = socket.connect(self.own[to]).await else { return };
        let ((here, to_here), (there, to_there)) = (stream.into_split(), other.into_split());
        tokio::join!(self.pass(from, to, here, to_there), self.pass(to, from, there, to_here));
    }

    async fn pass(&self, from: usize, to: usize, mut here: OwnedReadHalf, mut there: OwnedWriteHalf) {
        let mut bytes = vec![0; 16 * 1024];
        while let Ok(n @ 1..) = here.read(&mut bytes).await {
            tokio::time::sleep(self.lag()).await;
            if !self.is_cut(from, to) && there.write_all(&bytes[..n]).await.is_err() {
                return;
            }
        }
    }
}
