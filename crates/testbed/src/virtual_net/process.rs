//! A process of the virtual network: a member, whether it runs, and its last recorded view of the others.

use super::event_queue::Message;
use super::{address_of, name_of, StatusChange};
use postusher_membership::{
    Config, Mechanisms, Member, MemberStatus, Millis, TerminationReason, MAX_DATAGRAM_BYTES, PROTOCOL_VERSION,
};
use std::collections::BTreeMap;

/// Name of the cluster of all processes.
const CLUSTER: &str = "lab";
/// Number of seeds: the first processes are the seeds of all processes.
const SEED_COUNT: usize = 3;
/// Offset of the protocol version in an encoded message.
const VERSION_OFFSET: usize = 2;
/// A section that the current version does not define: tag, length (two bytes), content.
const UNKNOWN_SECTION: [u8; 6] = [201, 0, 3, 1, 2, 3];

/// The state of a process.
pub(super) enum ProcessState {
    /// Not started yet, crashed, or left the cluster.
    NotRunning,
    /// Handling messages and timers.
    Running,
    /// Stopped by a signal; messages wait until it resumes.
    Paused,
    /// Terminated by itself.
    Terminated(TerminationReason),
}

/// A member and the state of the process that runs it.
pub(super) struct Process {
    pub(super) index: usize,
    config: Config,
    pub(super) member: Member,
    pub(super) state: ProcessState,
    /// Messages received during a pause.
    pub(super) inbox: Vec<Message>,
    /// The number of starts and ends so far; timers of earlier generations are ignored.
    pub(super) generation: u64,
    /// The statuses in the view that was recorded last, by name.
    recorded_statuses: BTreeMap<String, MemberStatus>,
    /// The version of the view that was recorded last.
    recorded_view_version: u64,
    /// The longest delay of its timers and messages, in milliseconds.
    pub(super) max_processing_delay: Millis,
    /// How far its clock is ahead, in milliseconds.
    pub(super) clock_offset: Millis,
    /// Whether it uses the next version of the protocol.
    pub(super) uses_newer_version: bool,
}

impl Process {
    /// Creates a process that does not run yet, in a network of `count` processes in `zones` zones.
    pub(super) fn new(index: usize, count: usize, zones: usize, mechanisms: Mechanisms) -> Process {
        let zone = format!("z{}", index % zones);
        let mut config = Config::new(CLUSTER, &name_of(index), &zone, address_of(index));
        config.seeds = (0..count.min(SEED_COUNT)).map(address_of).collect();
        config.mechanisms = mechanisms;
        Process {
            index,
            member: Member::new(config.clone(), 0, 0.0),
            config,
            state: ProcessState::NotRunning,
            inbox: Vec::new(),
            generation: 0,
            recorded_statuses: BTreeMap::new(),
            recorded_view_version: 0,
            max_processing_delay: 0.0,
            clock_offset: 0.0,
            uses_newer_version: false,
        }
    }

    /// Returns whether the process has started and not ended; a paused process counts as running.
    pub(super) fn is_running(&self) -> bool {
        match self.state {
            ProcessState::Running | ProcessState::Paused => true,
            ProcessState::NotRunning | ProcessState::Terminated(_) => false,
        }
    }

    /// Returns the time by the clock of the process.
    pub(super) fn local_time(&self, now: Millis) -> Millis {
        now + self.clock_offset
    }

    /// Sets the name to that of another process, with effect from the next start.
    pub(super) fn rename_to(&mut self, name_owner: usize) {
        self.config.name = name_of(name_owner);
    }

    /// Starts a new member without any knowledge of the cluster.
    pub(super) fn start(&mut self, seed: u64, now: Millis) {
        self.member = Member::new(self.config.clone(), seed, self.local_time(now));
        self.state = ProcessState::Running;
        self.generation += 1;
        self.inbox.clear();
        self.recorded_statuses.clear();
    }

    /// Ends the process without a message to the others.
    pub(super) fn end(&mut self, state: ProcessState) {
        self.state = state;
        self.generation += 1;
    }

    /// Returns a message as the protocol version of this process encodes it. The next version has a higher
    /// version number, and adds a section that the current version does not define if it fits into a
    /// datagram.
    pub(super) fn encode_for_version(&self, mut bytes: Vec<u8>) -> Vec<u8> {
        if self.uses_newer_version {
            bytes[VERSION_OFFSET] = PROTOCOL_VERSION + 1;
            if bytes.len() + UNKNOWN_SECTION.len() <= MAX_DATAGRAM_BYTES {
                bytes.extend(UNKNOWN_SECTION);
            }
        }
        bytes
    }

    /// Returns the changes in the member's view since the last call.
    pub(super) fn take_status_changes(&mut self, at: Millis) -> Vec<StatusChange> {
        let mut changes = Vec::new();
        let view_version = self.member.view_version();
        if view_version == self.recorded_view_version {
            return changes;
        }
        self.recorded_view_version = view_version;
        for record in self.member.records() {
            let previous = self.recorded_statuses.insert(record.name.clone(), record.status);
            if previous != Some(record.status) {
                let subject = record.name.trim_start_matches('m').parse().unwrap_or(usize::MAX);
                changes.push(StatusChange { at, observer: self.index, subject, status: record.status });
            }
        }
        changes
    }
}
