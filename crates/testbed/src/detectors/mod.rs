//! Models of other failure detectors, for comparison with that of the scheduler program: SWIM with
//! suspicion, and phi accrual over heartbeats. They run in virtual time over links with the same
//! conditions as in [`crate::virtual_net`], and follow the published descriptions. Where a description leaves
//! a choice open, the model takes the one that favours the detector. The models are used for measurements
//! only.

mod model;
mod phi_accrual;
mod swim;
#[cfg(test)]
mod tests;

use crate::virtual_net::LinkConditions;
use model::Model;
use postusher_membership::Millis;
use std::collections::BTreeSet;

/// Interval between the pings of a SWIM member, or the heartbeats under phi accrual.
const PROBE_INTERVAL: Millis = 1_000.0;
/// Interval between the ticks of a member.
const TICK_INTERVAL: Millis = 250.0;
/// The time at which the faults begin, from the start of the simulation.
const FAULTS_BEGIN: Millis = 30_000.0;

/// The modelled failure detectors.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Detector {
    /// SWIM (Das, Gupta, Motivala, 2002) with suspicion. Each message carries all beliefs of its sender, and
    /// a member that receives the belief that it is removed rejoins under a higher incarnation.
    Swim,
    /// The phi accrual failure detector (Hayashibara and others, 2004), over heartbeats of each member to all
    /// others.
    PhiAccrual,
}

/// A pause of one member that begins when the faults begin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Pause {
    /// The index of the member.
    pub member: usize,
    /// The duration, in milliseconds.
    pub duration: Millis,
}

/// A cluster and the faults in it.
#[derive(Clone, Debug, Default)]
pub struct FaultCase {
    /// The number of members.
    pub members: usize,
    /// The conditions of all links, from the start.
    pub link_conditions: LinkConditions,
    /// Links that are cut when the faults begin, by sender and receiver.
    pub cut_links: BTreeSet<(usize, usize)>,
    /// The member that crashes when the faults begin.
    pub crashed: Option<usize>,
    /// The member that pauses.
    pub paused: Option<Pause>,
    /// How long the cluster runs after the faults begin, in milliseconds.
    pub duration: Millis,
}

/// The removal of a member that runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FalseRemoval {
    /// The index of the member that removed it.
    pub observer: usize,
    /// The index of the removed member.
    pub subject: usize,
}

/// The removals that the members of a cluster made.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Detections {
    /// When each observer removed the crashed member, in milliseconds from the crash.
    pub crash_detection_times: Vec<Millis>,
    /// Removals of members that run.
    pub false_removals: Vec<FalseRemoval>,
}

/// Simulates a case under a detector. The same seed gives the same detections.
pub fn simulate(detector: Detector, case: &FaultCase, seed: u64) -> Detections {
    Model::new(detector, case, seed).run()
}
