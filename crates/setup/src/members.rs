//! The `<members>` element: membership in a cluster of schedulers.

use crate::element::Element;
use crate::{units, Diagnostic};
use postusher_membership::Config;
use std::net::SocketAddr;

/// The name of the cluster if the setup does not set one.
const DEFAULT_CLUSTER: &str = "postusher";
/// The minimum suspicion timeout, in probe intervals. A member without an acknowledged ping for two intervals
/// is overdue. It is then pinged more often, also through other members, and some of these pings must remain
/// unanswered before it can be suspected.
const MIN_SUSPICION_INTERVALS: f64 = 4.0;

/// The settings of this scheduler as a member of a cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct MembershipSettings {
    /// The local address of the sockets for datagrams and connections from and to other members.
    pub listen: SocketAddr,
    /// The settings of the membership protocol.
    pub config: Config,
}

/// Reads the `<members>` element.
pub(crate) fn read(mut element: Element, diagnostics: &mut Vec<Diagnostic>) -> MembershipSettings {
    let mut listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut advertise = None;
    let mut config = Config::new(DEFAULT_CLUSTER, "", "", listen);
    let timing = &mut config.timing;
    let diagnostics_before = diagnostics.len();
    element.read_required("name", diagnostics, units::label, &mut config.name);
    element.read_required("zone", diagnostics, units::label, &mut config.zone);
    element.read_required("listen", diagnostics, units::fixed_address, &mut listen);
    element.read("advertise", diagnostics, |text| units::fixed_address(text).map(Some), &mut advertise);
    element.read("cluster", diagnostics, units::label, &mut config.cluster);
    element.read("probe", diagnostics, units::positive_duration, &mut timing.probe_interval);
    element.read("suspicion", diagnostics, units::positive_duration, &mut timing.suspicion_timeout);
    element.read("removal", diagnostics, units::duration, &mut timing.removal_delay);
    element.read("forget", diagnostics, units::positive_duration, &mut timing.forget_after);
    element.check_no_unknown_attributes(diagnostics);
    config.seeds = read_seeds(&mut element, listen, diagnostics);
    // The suspicion timeout and the probe interval can be compared only if both are valid.
    if diagnostics.len() == diagnostics_before {
        check_suspicion(&element, &config, diagnostics);
    }
    config.addr = advertise.unwrap_or(listen);
    MembershipSettings { listen, config }
}

/// Reads the addresses of the `<seed>` elements.
fn read_seeds(
    element: &mut Element,
    listen: SocketAddr,
    diagnostics: &mut Vec<Diagnostic>,
) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for mut child in element.children(diagnostics) {
        if !child.has_name("seed") {
            child.report_unknown(diagnostics, &["seed"]);
            continue;
        }
        let mut addr = listen;
        child.read_required("addr", diagnostics, units::fixed_address, &mut addr);
        child.check_no_unknown_attributes(diagnostics);
        child.check_no_children(diagnostics);
        seeds.push(addr);
    }
    seeds
}

/// Reports an error if the suspicion timeout is shorter than [`MIN_SUSPICION_INTERVALS`].
fn check_suspicion(element: &Element, config: &Config, diagnostics: &mut Vec<Diagnostic>) {
    let suspicion = config.timing.suspicion_timeout;
    let probe = config.timing.probe_interval;
    let minimum = MIN_SUSPICION_INTERVALS * probe;
    if suspicion < minimum {
        element.report(
            diagnostics,
            format!("suspicion is {suspicion} ms, only {:.1} times probe", suspicion / probe),
            format!("write at least 4 times probe, such as suspicion=\"{minimum}ms\""),
        );
    }
}
