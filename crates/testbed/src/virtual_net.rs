//! Member of a cluster by the thousand over a modelled network in virtual time: the program's own state machine, with links
//! that lose, delay, double, reorder and cut. The same seed plays the same to the byte.

use postusher_membership::{
    Action, Config, Mechanisms, Member, MemberStatus, Timing, MAX_DATAGRAM_BYTES, PROTOCOL_VERSION,
};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

/// What links do to messages.
#[derive(Clone, Copy, Debug)]
pub struct Links {
    /// Part that is lost.
    pub loss: f64,
    /// Part that comes twice.
    pub twice: f64,
    /// On the way, in milliseconds, at least and at most; what is sent later may come earlier.
    pub delay: (f64, f64),
}

impl Default for Links {
    fn default() -> Self {
        Links { loss: 0.0, twice: 0.0, delay: (0.5, 2.0) }
    }
}

#[derive(Debug)]
enum Event {
    Wake(usize, u64),
    Datagram {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
    },
    /// A state on its way; the first of an exchange is answered.
    Whole {
        to: usize,
        from: usize,
        bytes: Vec<u8>,
        answer: bool,
    },
}

/// A change of what one member believes of another.
#[derive(Clone, Debug, PartialEq)]
pub struct Seen {
    /// When, in milliseconds.
    pub at: f64,
    /// Who believes it.
    pub by: usize,
    /// Of whom.
    pub of: usize,
    /// What.
    pub status: MemberStatus,
}

struct Process {
    config: Config,
    machine: Member,
    runs: bool,
    /// Stopped: what comes waits until it goes on.
    stopped: bool,
    inbox: Vec<Event>,
    /// Wakes of earlier processes are void.
    life: u64,
    ended: Option<String>,
    believed: BTreeMap<String, MemberStatus>,
    view: u64,
}

/// The network and all processes on it.
pub struct Net {
    now: f64,
    rng: ChaCha8Rng,
    links: Links,
    cut: BTreeSet<(usize, usize)>,
    queue: BTreeMap<(u64, u64), Event>,
    queued: u64,
    processes: Vec<Process>,
    /// All changes of views, in order.
    pub seen: Vec<Seen>,
    /// Work of a process is done so much later: a machine that has a part of a core.
    slow: BTreeMap<usize, f64>,
    /// Processes that speak a later version.
    newer: BTreeSet<usize>,
    /// How far the clocks of processes are off, in milliseconds.
    off: BTreeMap<usize, f64>,
}

/// The address of a process.
pub fn addr(n: usize) -> SocketAddr {
    let [a, b] = (n as u16 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 80, a, b), 7946))
}

fn number(addr: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = addr else { return None };
    let [_, _, a, b] = v4.ip().octets();
    usize::from(u16::from_be_bytes([a, b])).checked_sub(1)
}

/// The name of a process; names sort as numbers do.
pub fn name(n: usize) -> String {
    format!("m{n:04}")
}

impl Net {
    /// So many processes in so many zones, in turn; none runs yet.
    pub fn new(n: usize, zones: usize, seed: u64, mechanisms: Mechanisms) -> Net {
        Net::with_timing(n, zones, seed, mechanisms, Timing::default())
    }

    /// With another timing.
    pub fn with_timing(n: usize, zones: usize, seed: u64, mechanisms: Mechanisms, timing: Timing) -> Net {
        let config = |i: usize| {
            let config = Config::new("lab", &name(i), &format!("z{}", i % zones), addr(i));
            Config { seeds: (0..n.min(3)).map(addr).collect(), mechanisms, timing, ..config }
        };
        let process = |i| {
            let config = config(i);
            Process {
                machine: Member::new(config.clone(), 0, 0.0),
                config,
                runs: false,
                stopped: false,
                inbox: Vec::new(),
                life: 0,
                ended: None,
                believed: BTreeMap::new(),
                view: 0,
            }
        };
        Net {
            now: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            links: Links::default(),
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            queued: 0,
            processes: (0..n).map(process).collect(),
            seen: Vec::new(),
            slow: BTreeMap::new(),
            newer: BTreeSet::new(),
            off: BTreeMap::new(),
        }
    }

    /// A cluster of this size that has come together.
    pub fn settled(n: usize, zones: usize, seed: u64, mechanisms: Mechanisms) -> Net {
        let mut net = Net::new(n, zones, seed, mechanisms);
        (0..n).for_each(|i| net.start(i));
        net.run(30_000.0);
        net.seen.clear();
        net
    }

    /// The time, in milliseconds from the start.
    pub fn now(&self) -> f64 {
        self.now
    }

    /// All links from now on.
    pub fn links(&mut self, links: Links) {
        self.links = links;
    }

    /// Cuts the way from one to another; the way back stays.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cut.insert((from, to));
    }

    /// Cuts all ways from some to others.
    pub fn cut_all(&mut self, from: &[usize], to: &[usize]) {
        from.iter().for_each(|a| to.iter().filter(|b| *b != a).for_each(|b| self.cut(*a, *b)));
    }

    /// Cuts all ways between some and others.
    pub fn cut_apart(&mut self, some: &[usize], others: &[usize]) {
        self.cut_all(some, others);
        self.cut_all(others, some);
    }

    /// All links work again.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// All that a process does comes so much later, by chance up to that, in milliseconds.
    pub fn slow(&mut self, n: usize, by: f64) {
        self.slow.insert(n, by);
    }

    /// The next process in this place starts with a clock that is so far off, in milliseconds.
    pub fn clock_off(&mut self, n: usize, by: f64) {
        self.off.insert(n, by);
    }

    /// The time by a process's own clock.
    fn its_time(&self, n: usize) -> f64 {
        self.now + self.off.get(&n).copied().unwrap_or(0.0)
    }

    /// A message as its sender's version writes it: a later one has its number, and a part that the present one does not know.
    fn spoken_by(&self, from: usize, mut bytes: Vec<u8>) -> Vec<u8> {
        const PART: [u8; 6] = [201, 0, 3, 1, 2, 3];
        if self.newer.contains(&from) {
            bytes[2] = PROTOCOL_VERSION + 1;
            let fits = bytes.len() + PART.len() <= MAX_DATAGRAM_BYTES;
            bytes.extend(PART.iter().filter(|_| fits));
        }
        bytes
    }

    /// From now on a process speaks a later version of the protocol.
    pub fn speaks_newer(&mut self, n: usize) {
        self.newer.insert(n);
    }

    /// Starts a process, or another one in its place, which knows nothing.
    pub fn start(&mut self, n: usize) {
        self.start_as(n, None);
    }

    /// Starts a process under another's name; at its own address.
    pub fn start_as(&mut self, n: usize, called: Option<usize>) {
        let (now, its, seed) = (self.now, self.its_time(n), self.rng.random());
        let p = &mut self.processes[n];
        if let Some(other) = called {
            p.config.name = name(other);
        }
        p.machine = Member::new(p.config.clone(), seed, its);
        (p.runs, p.stopped, p.ended) = (true, false, None);
        p.life += 1;
        p.inbox.clear();
        p.believed.clear();
        let life = p.life;
        self.put(now, Event::Wake(n, life));
    }

    /// Ends a process without a word.
    pub fn kill(&mut self, n: usize) {
        self.processes[n].runs = false;
        self.processes[n].life += 1;
    }

    /// Ends a process in words.
    pub fn leave(&mut self, n: usize) {
        let mut out = Vec::new();
        let its = self.its_time(n);
        self.processes[n].machine.leave(its, &mut out);
        self.carry_out(n, out);
        self.kill(n);
    }

    /// Stops a process; what comes waits, as in a socket's buffer.
    pub fn stop(&mut self, n: usize) {
        self.processes[n].stopped = true;
    }

    /// Lets it go on: first all that has come, then its wake.
    pub fn go_on(&mut self, n: usize) {
        let p = &mut self.processes[n];
        p.stopped = false;
        let (inbox, life) = (std::mem::take(&mut p.inbox), p.life);
        for event in inbox {
            self.put(self.now, event);
        }
        self.put(self.now, Event::Wake(n, life));
    }

    /// The state machine of a process.
    pub fn machine(&self, n: usize) -> &Member {
        &self.processes[n].machine
    }

    /// Why a process has ended by itself, if it has.
    pub fn ended(&self, n: usize) -> Option<&str> {
        self.processes[n].ended.as_deref()
    }

    /// Whether a process runs and has joined.
    pub fn is_in(&self, n: usize) -> bool {
        self.processes[n].runs && self.machine(n).has_joined()
    }

    /// What a process believes: the numbers of those that are there, suspect ones included.
    pub fn there(&self, n: usize) -> BTreeSet<usize> {
        let all = 0..self.processes.len();
        let alive =
            |of: &usize| self.machine(n).record(&name(*of)).is_some_and(|r| r.status == MemberStatus::Alive);
        all.filter(alive).collect()
    }

    /// Changes of the views of those that count, since the changes were last cleared.
    pub fn changes(&self, by: impl Fn(usize) -> bool) -> usize {
        self.seen.iter().filter(|s| by(s.by)).count()
    }

    fn put(&mut self, at: f64, event: Event) {
        self.queued += 1;
        self.queue.insert(((at * 1e3) as u64, self.queued), event);
    }

    /// Lets so much time pass, in milliseconds.
    pub fn run(&mut self, by: f64) {
        let end = self.now + by;
        while let Some(next) = self.queue.first_entry().filter(|e| e.key().0 <= (end * 1e3) as u64) {
            let ((at, _), event) = next.remove_entry();
            self.now = self.now.max(at as f64 / 1e3);
            self.happens(event);
        }
        self.now = end;
    }

    fn happens(&mut self, event: Event) {
        let (n, life) = match &event {
            Event::Wake(n, life) => (*n, Some(*life)),
            Event::Datagram { to, .. } | Event::Whole { to, .. } => (*to, None),
        };
        let (now, its) = (self.now, self.its_time(n));
        let p = &mut self.processes[n];
        if !p.runs || life.is_some_and(|life| life != p.life) {
            return;
        }
        if p.stopped {
            // A wake that came meanwhile is not missed: there is one when it goes on.
            if life.is_none() {
                p.inbox.push(event);
            }
            return;
        }
        let mut out = Vec::new();
        match event {
            Event::Wake(..) => {
                p.machine.advance(its, &mut out);
                let late = self.slow.get(&n).copied().unwrap_or(0.0);
                let at = p.machine.next_timer().map(|at| at - its + now + late * self.rng.random::<f64>());
                let life = p.life;
                at.into_iter().for_each(|at| self.put(at, Event::Wake(n, life)));
            }
            Event::Datagram { from, bytes, .. } => {
                p.machine.receive_datagram(addr(from), &bytes, its, &mut out)
            }
            Event::Whole { from, bytes, answer, .. } => {
                if answer {
                    let bytes = p.machine.encode_state();
                    self.whole(n, from, bytes, false);
                }
                self.processes[n].machine.merge_state(&bytes, its, &mut out);
            }
        }
        self.carry_out(n, out);
        self.look(n);
    }

    fn carry_out(&mut self, n: usize, out: Vec<Action>) {
        for action in out {
            match action {
                Action::SendDatagram { to, bytes } => self.datagram(n, to, bytes),
                Action::ExchangeState { with } => {
                    let bytes = self.processes[n].machine.encode_state();
                    number(with).into_iter().for_each(|to| self.whole(n, to, bytes.clone(), true));
                }
                Action::Terminate { reason } => {
                    self.processes[n].ended = Some(reason.to_string());
                    self.kill(n);
                }
            }
        }
    }

    fn way(&mut self, from: usize, to: usize) -> f64 {
        let (least, most) = self.links.delay;
        let late = |n| self.slow.get(&n).copied().unwrap_or(0.0);
        least + (most - least + late(from) + late(to)) * self.rng.random::<f64>()
    }

    fn datagram(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let Some(to) = number(to).filter(|to| *to < self.processes.len()) else { return };
        let bytes = self.spoken_by(from, bytes);
        let times = 1 + usize::from(self.rng.random::<f64>() < self.links.twice);
        for _ in 0..times {
            let lost = self.rng.random::<f64>() < self.links.loss || self.cut.contains(&(from, to));
            let at = self.now + self.way(from, to);
            if !lost {
                self.put(at, Event::Datagram { to, from, bytes: bytes.clone() });
            }
        }
    }

    /// A connection needs both ways, and is repaired where messages are lost.
    fn whole(&mut self, from: usize, to: usize, bytes: Vec<u8>, answer: bool) {
        let cut = self.cut.contains(&(from, to)) || self.cut.contains(&(to, from));
        let bytes = self.spoken_by(from, bytes);
        if to < self.processes.len() && !cut {
            let at = self.now + 3.0 * self.way(from, to);
            self.put(at, Event::Whole { to, from, bytes, answer });
        }
    }

    /// Notes what has changed in a process's view.
    fn look(&mut self, n: usize) {
        let (now, p) = (self.now, &mut self.processes[n]);
        let view = p.machine.view_version();
        if view == p.view {
            return;
        }
        p.view = view;
        let mut seen = Vec::new();
        for record in p.machine.records() {
            let old = p.believed.insert(record.name.clone(), record.status);
            if old != Some(record.status) {
                let of = record.name.trim_start_matches('m').parse().unwrap_or(usize::MAX);
                seen.push(Seen { at: now, by: n, of, status: record.status });
            }
        }
        self.seen.extend(seen);
    }

    /// Whether all that run and have joined believe the same of who is there, and that is they.
    pub fn agree(&self) -> bool {
        let running: BTreeSet<usize> = (0..self.processes.len()).filter(|n| self.is_in(*n)).collect();
        running.iter().all(|n| self.there(*n) == running)
    }

    /// Bytes and datagrams sent by a process since its start.
    pub fn sent(&self, n: usize) -> (u64, u64) {
        let metrics = self.machine(n).metrics();
        (metrics.bytes_sent, metrics.datagrams_sent)
    }
}
