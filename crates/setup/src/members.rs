//! The setup element on membership among schedulers.

use crate::element::Element;
use crate::{units, Mistake};
use postusher_membership::Config;
use std::net::SocketAddr;

/// The cluster that a member belongs to where the setup names none.
const DEFAULT_CLUSTER: &str = "postusher";
/// The shortest suspicion timeout in probe intervals: an observer is in doubt from two on, and needs some more pings to be
/// sure of anything.
const MIN_SUSPICION_INTERVALS: f64 = 4.0;

/// This scheduler as a member of a cluster.
#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    /// The address of its sockets, for datagrams and for connections.
    pub listen: SocketAddr,
    /// The settings of the membership protocol.
    pub config: Config,
}

/// Reads the element; adds what is wrong with it to the mistakes.
pub(crate) fn read(mut element: Element, mistakes: &mut Vec<Mistake>) -> Members {
    let mut listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut advertise = None;
    let mut config = Config::new(DEFAULT_CLUSTER, "", "", listen);
    let timing = &mut config.timing;
    let mistakes_before = mistakes.len();
    element.need("name", mistakes, units::label, &mut config.name);
    element.need("zone", mistakes, units::label, &mut config.zone);
    element.need("listen", mistakes, units::fixed_address, &mut listen);
    element.read("advertise", mistakes, |text| units::fixed_address(text).map(Some), &mut advertise);
    element.read("cluster", mistakes, units::label, &mut config.cluster);
    element.read("probe", mistakes, units::positive_duration, &mut timing.probe_interval);
    element.read("suspicion", mistakes, units::positive_duration, &mut timing.suspicion_timeout);
    element.read("removal", mistakes, units::duration, &mut timing.removal_delay);
    element.read("forget", mistakes, units::positive_duration, &mut timing.forget_after);
    element.no_more_attributes(mistakes);
    config.seeds = read_seeds(&mut element, listen, mistakes);
    // The two times are compared only where both are as they were meant.
    if mistakes.len() == mistakes_before {
        check_suspicion(&element, &config, mistakes);
    }
    config.addr = advertise.unwrap_or(listen);
    Members { listen, config }
}

fn read_seeds(element: &mut Element, listen: SocketAddr, mistakes: &mut Vec<Mistake>) -> Vec<SocketAddr> {
    let mut seeds = Vec::new();
    for mut child in element.children(mistakes) {
        if !child.is("seed") {
            child.unknown(mistakes, &["seed"]);
            continue;
        }
        let mut addr = listen;
        child.need("addr", mistakes, units::fixed_address, &mut addr);
        child.no_more_attributes(mistakes);
        child.no_children(mistakes);
        seeds.push(addr);
    }
    seeds
}

fn check_suspicion(element: &Element, config: &Config, mistakes: &mut Vec<Mistake>) {
    let suspicion = config.timing.suspicion_timeout;
    let probe = config.timing.probe_interval;
    let minimum = MIN_SUSPICION_INTERVALS * probe;
    if suspicion < minimum {
        element.wrong(
            mistakes,
            format!("suspicion is {suspicion} ms, {:.1} times probe", suspicion / probe),
            format!("write 4 times probe at least, such as suspicion=\"{minimum}ms\""),
        );
    }
}
