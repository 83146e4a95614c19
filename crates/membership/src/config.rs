//! The configuration of a member.

use crate::Millis;
use std::net::SocketAddr;

/// The configuration of a member.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// The name of the cluster; messages of other clusters are dropped.
    pub cluster: String,
    /// The member's name, unique in the cluster.
    pub name: String,
    /// The zone in which the member runs.
    pub zone: String,
    /// The address at which other members reach the member.
    pub addr: SocketAddr,
    /// Addresses of members that are asked at the start for the members of the cluster. Without seeds, the
    /// member forms a cluster of its own.
    pub seeds: Vec<SocketAddr>,
    /// The timing of the protocol.
    pub timing: Timing,
    /// The enabled mechanisms of the protocol.
    pub mechanisms: Mechanisms,
}

impl Config {
    /// Creates a configuration with the default timing, all mechanisms and no seeds.
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

/// The timing of the protocol.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Timing {
    /// Approximate interval between two regular pings of the same member by the same observer; an overdue
    /// member is pinged more often.
    pub probe_interval: Millis,
    /// Time since the latest acknowledged ping after which an observer accuses a member.
    pub suspicion_timeout: Millis,
    /// Duration for which a quorum of accusations must stand before a member is removed.
    pub removal_delay: Millis,
    /// Duration for which the record of a removed or left member is kept.
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

/// Mechanisms of the protocol. Each can be disabled, to measure its contribution and to verify that the tests
/// detect its absence.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mechanisms {
    /// Whether other members are asked to ping on behalf of an observer.
    pub indirect_pings: bool,
    /// Whether a removal needs accusations by a majority of the observers; otherwise one accusation is
    /// enough.
    pub quorum: bool,
    /// Whether an accused member refutes the accusation.
    pub refutation: bool,
    /// Whether a refutation increases the incarnation.
    pub raised_incarnation: bool,
    /// Whether the times by which other members are judged are shifted by pauses of the member's own process.
    pub pause_compensation: bool,
    /// Whether the smaller side of a partition is prevented from removing members.
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
