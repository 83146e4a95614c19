//! A cluster of up to thousands of members over a simulated network in virtual time. The members run the
//! state machine of the scheduler program; links can lose, delay, duplicate and reorder datagrams, and can
//! be cut. A seed determines a run.

mod delivery;
mod event_queue;
mod links;
mod process;

use event_queue::{Event, EventQueue};
use links::CutLinks;
pub use links::LinkConditions;
use postusher_membership::{Mechanisms, Member, MemberStatus, Millis, TerminationReason};
use process::{Process, ProcessState};
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};

/// Port of all processes.
const PORT: u16 = 7946;
/// How long [`VirtualNetwork::settled`] runs a network before returning it.
const SETTLING_TIME: Millis = 30_000.0;

/// A change of the status of one member in the view of another.
#[derive(Clone, Debug, PartialEq)]
pub struct StatusChange {
    /// The time of the change, in milliseconds from the start of the network.
    pub at: Millis,
    /// The index of the observing member.
    pub observer: usize,
    /// The index of the observed member.
    pub subject: usize,
    /// The new status.
    pub status: MemberStatus,
}

/// The traffic that a member has sent since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Traffic {
    /// The number of bytes in datagrams.
    pub bytes: u64,
    /// The number of datagrams.
    pub datagrams: u64,
}

/// The network and all processes on it. Processes are identified by index.
pub struct VirtualNetwork {
    now: Millis,
    rng: ChaCha8Rng,
    link_conditions: LinkConditions,
    cut_links: CutLinks,
    queue: EventQueue,
    processes: Vec<Process>,
    /// All changes in the members' views, in order.
    pub status_changes: Vec<StatusChange>,
}

/// Returns the address of a process.
pub fn address_of(index: usize) -> SocketAddr {
    // Starts at 1, so that no process has an address that ends in 0.0.
    let [high, low] = (index as u16 + 1).to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 80, high, low), PORT))
}

/// Returns the index of the process at an address of this network; only the last two octets are read, and the
/// network may have no process with this index. Returns `None` if they are 0.0, or for an IPv6 address.
fn index_of(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [_, _, high, low] = address.ip().octets();
    usize::from(u16::from_be_bytes([high, low])).checked_sub(1)
}

/// Returns the name of a process. Names sort like indices.
pub fn name_of(index: usize) -> String {
    format!("m{index:04}")
}

impl VirtualNetwork {
    /// Creates a network of `count` processes that are assigned to `zones` zones in turn. No process runs
    /// yet.
    pub fn new(count: usize, zones: usize, seed: u64, mechanisms: Mechanisms) -> VirtualNetwork {
        VirtualNetwork {
            now: 0.0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            link_conditions: LinkConditions::default(),
            cut_links: CutLinks::default(),
            queue: EventQueue::default(),
            processes: (0..count).map(|index| Process::new(index, count, zones, mechanisms)).collect(),
            status_changes: Vec::new(),
        }
    }

    /// Creates a network whose processes have all started and found each other.
    pub fn settled(count: usize, zones: usize, seed: u64, mechanisms: Mechanisms) -> VirtualNetwork {
        let mut network = VirtualNetwork::new(count, zones, seed, mechanisms);
        for index in 0..count {
            network.start(index);
        }
        network.run_for(SETTLING_TIME);
        network.status_changes.clear();
        network
    }

    /// Returns the time, in milliseconds from the start of the network.
    pub fn now(&self) -> Millis {
        self.now
    }

    /// Advances the time by a duration in milliseconds.
    pub fn run_for(&mut self, duration: Millis) {
        let end = self.now + duration;
        while let Some((at, event)) = self.queue.pop_until(end) {
            self.now = self.now.max(at);
            self.handle_event(event);
        }
        self.now = end;
    }
}

/// Faults of the links.
impl VirtualNetwork {
    /// Sets the conditions of all links. They apply to messages sent later.
    pub fn set_link_conditions(&mut self, conditions: LinkConditions) {
        self.link_conditions = conditions;
    }

    /// Cuts the link from one process to another; the opposite direction is not affected.
    pub fn cut_link(&mut self, from: usize, to: usize) {
        self.cut_links.cut(from, to);
    }

    /// Cuts all links from some processes to others; the opposite directions are not affected.
    pub fn cut_links(&mut self, senders: &[usize], receivers: &[usize]) {
        for from in senders {
            for to in receivers {
                if from != to {
                    self.cut_link(*from, *to);
                }
            }
        }
    }

    /// Cuts all links between two groups of processes, in both directions.
    pub fn partition(&mut self, group: &[usize], others: &[usize]) {
        self.cut_links(group, others);
        self.cut_links(others, group);
    }

    /// Restores all links.
    pub fn heal_links(&mut self) {
        self.cut_links.heal();
    }
}

/// Starting, ending and faults of processes.
impl VirtualNetwork {
    /// Starts a process without any knowledge of the cluster; one that runs already is replaced.
    pub fn start(&mut self, index: usize) {
        let seed = self.rng.random();
        let process = &mut self.processes[index];
        process.start(seed, self.now);
        let generation = process.generation;
        self.queue.schedule(self.now, Event::Timer { process: index, generation });
    }

    /// Starts a process with the name of another one, at its own address.
    pub fn start_under_name_of(&mut self, index: usize, name_owner: usize) {
        self.processes[index].rename_to(name_owner);
        self.start(index);
    }

    /// Ends a process without a message to the others.
    pub fn crash(&mut self, index: usize) {
        self.processes[index].end(ProcessState::NotRunning);
    }

    /// Ends a process after it has announced to the others that it leaves.
    pub fn leave(&mut self, index: usize) {
        let mut actions = Vec::new();
        let process = &mut self.processes[index];
        let local_time = process.local_time(self.now);
        process.member.leave(local_time, &mut actions);
        self.perform_actions(index, actions);
        self.crash(index);
    }

    /// Stops a running process, like SIGSTOP does. Messages wait as in a socket's buffer.
    pub fn pause(&mut self, index: usize) {
        let process = &mut self.processes[index];
        if process.is_running() {
            process.state = ProcessState::Paused;
        }
    }

    /// Continues a paused process: it first handles the waiting messages, then its timer expires.
    pub fn resume(&mut self, index: usize) {
        let process = &mut self.processes[index];
        if !process.is_running() {
            return;
        }
        process.state = ProcessState::Running;
        for message in std::mem::take(&mut process.inbox) {
            self.queue.schedule(self.now, Event::Message(message));
        }
        let generation = process.generation;
        self.queue.schedule(self.now, Event::Timer { process: index, generation });
    }

    /// Delays the timers and messages of a process by random times up to the given one, in milliseconds, as
    /// on an overloaded machine.
    pub fn set_max_processing_delay(&mut self, index: usize, delay: Millis) {
        self.processes[index].max_processing_delay = delay;
    }

    /// Sets how far the clock of a process is ahead, in milliseconds. Only for a process that does not run,
    /// as the clock of a running process only moves forward.
    pub fn set_clock_offset(&mut self, index: usize, offset: Millis) {
        self.processes[index].clock_offset = offset;
    }

    /// Makes a process use the next version of the protocol.
    pub fn use_newer_version(&mut self, index: usize) {
        self.processes[index].uses_newer_version = true;
    }
}

/// Queries.
impl VirtualNetwork {
    /// Returns the member that a process runs, or ran last.
    pub fn member(&self, index: usize) -> &Member {
        &self.processes[index].member
    }

    /// Returns why a process has terminated itself, or `None` if it has not.
    pub fn termination_reason(&self, index: usize) -> Option<&TerminationReason> {
        match &self.processes[index].state {
            ProcessState::Terminated(reason) => Some(reason),
            ProcessState::NotRunning | ProcessState::Running | ProcessState::Paused => None,
        }
    }

    /// Returns whether a process runs and has joined.
    pub fn has_joined(&self, index: usize) -> bool {
        self.processes[index].is_running() && self.member(index).has_joined()
    }

    /// Returns the processes that are alive in the view of a member, including suspects.
    pub fn alive_in_view_of(&self, observer: usize) -> BTreeSet<usize> {
        let member = self.member(observer);
        let is_alive = |subject: &usize| {
            let record = member.record(&name_of(*subject));
            record.is_some_and(|record| record.status == MemberStatus::Alive)
        };
        (0..self.processes.len()).filter(is_alive).collect()
    }

    /// Returns the number of recorded status changes in the views of the observers that the filter selects.
    pub fn count_changes(&self, is_selected: impl Fn(usize) -> bool) -> usize {
        self.status_changes.iter().filter(|change| is_selected(change.observer)).count()
    }

    /// Returns whether all members that run and have joined agree that exactly these members are alive.
    pub fn all_agree(&self) -> bool {
        let joined: BTreeSet<usize> =
            (0..self.processes.len()).filter(|index| self.has_joined(*index)).collect();
        joined.iter().all(|index| self.alive_in_view_of(*index) == joined)
    }

    /// Returns the traffic that a process has sent since its start.
    pub fn traffic(&self, index: usize) -> Traffic {
        let metrics = self.member(index).metrics();
        Traffic { bytes: metrics.bytes_sent, datagrams: metrics.datagrams_sent }
    }
}
