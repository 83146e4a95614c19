//! The settings of a member.

use crate::Millis;
use std::net::SocketAddr;

/// What a member is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Which members belong together; messages of other clusters are dropped.
    pub cluster: String,
    /// The member's name, unique in the cluster.
    pub name: String,
    /// The zone that it runs in.
    pub zone: String,
    /// Where other members reach it.
    pub addr: SocketAddr,
    /// Where other members may be found at the start.
    pub seeds: Vec<SocketAddr>,
    /// The times of the protocol.
    pub timing: Timing,
    /// The mechanisms that are in use.
    pub mechanisms: Mechanisms,
}

impl Config {
    /// A configuration with the default times and no seeds.
    pub fn new(cluster: &str, name: &str, zone: &str, addr: SocketAddr) -> Config {
        Config {
            cluster: cluster.into(),
            name: name.into(),
            zone: zone.into(),
            addr,
            seeds: Vec::new(),
            timing: Timing::default(),
            mechanisms: Mechanisms::default(),
        }
    }
}

/// The times of the protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// The time between two pings of one member by one observer.
    pub probe_interval: Millis,
    /// The time without proof of life after which an observer accuses.
    pub suspicion_timeout: Millis,
    /// For how long a quorum of accusations has to stand before a member is removed.
    pub removal_delay: Millis,
    /// How long a member that was removed or left is remembered.
    pub forget_after: Millis,
}

impl Default for Timing {
    fn default() -> Self {
        Timing {
            probe_interval: 1_000.0,
            suspicion_timeout: 5_000.0,
            removal_delay: 1_000.0,
            forget_after: 86_400_000.0,
        }
    }
}

/// Mechanisms of the protocol that can be switched off, to measure what each contributes and to prove that tests notice
/// when it is missing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mechanisms {
    /// Other members are asked to ping in one's place.
    pub indirect_pings: bool,
    /// A removal needs a majority of observers; otherwise one is enough.
    pub quorum: bool,
    /// An accused member says that it lives.
    pub refutation: bool,
    /// A refutation raises the incarnation.
    pub raised_incarnation: bool,
    /// A member's own pauses are taken out of all times.
    pub pause_compensation: bool,
    /// The smaller side of a partition removes nobody.
    pub majority: bool,
}

impl Default for Mechanisms {
    fn default() -> Self {
        Mechanisms {
            indirect_pings: true,
            quorum: true,
            refutation: true,
            raised_incarnation: true,
            pause_compensation: true,
            majority: true,
        }
    }
}
