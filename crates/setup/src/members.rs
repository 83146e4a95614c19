//! The part on membership among schedulers.

use crate::element::Element;
use crate::{units, Mistake};
use postusher_membership::Config;
use std::net::SocketAddr;

/// Schedulers that know of each other.
#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    /// Where it hears others, by datagrams and by connections.
    pub listen: SocketAddr,
    /// As the state machine takes it.
    pub config: Config,
}

/// Reads it.
pub(crate) fn read(mut e: Element, mistakes: &mut Vec<Mistake>) -> Members {
    let (mut listen, mut advertise) = (SocketAddr::from(([127, 0, 0, 1], 0)), None);
    let mut m = Config::new("postusher", "", "", listen);
    let before = mistakes.len();
    e.need("name", mistakes, units::label, &mut m.name);
    e.need("zone", mistakes, units::label, &mut m.zone);
    e.need("listen", mistakes, units::fixed_address, &mut listen);
    e.read("advertise", mistakes, |t| units::fixed_address(t).map(Some), &mut advertise);
    e.read("cluster", mistakes, units::label, &mut m.cluster);
    e.read("probe", mistakes, units::positive_duration, &mut m.timing.probe_interval);
    e.read("suspicion", mistakes, units::positive_duration, &mut m.timing.suspicion_timeout);
    e.read("removal", mistakes, units::duration, &mut m.timing.removal_delay);
    e.read("forget", mistakes, units::positive_duration, &mut m.timing.forget_after);
    e.no_more_attributes(mistakes);
    for mut child in e.children(mistakes) {
        if !child.is("seed") {
            child.unknown(mistakes, &["seed"]);
            continue;
        }
        let mut addr = listen;
        child.need("addr", mistakes, units::fixed_address, &mut addr);
        child.no_more_attributes(mistakes);
        child.no_children(mistakes);
        m.seeds.push(addr);
    }
    // In doubt from two intervals on, it takes some pings more to be sure of anything.
    if mistakes.len() == before && m.timing.suspicion_timeout < 4.0 * m.timing.probe_interval {
        let (is, least) = (m.timing.suspicion_timeout, 4.0 * m.timing.probe_interval);
        e.wrong(
            mistakes,
            format!("suspicion is {is} ms, {:.1} times probe", is / m.timing.probe_interval),
            format!("write 4 times probe at least, such as suspicion=\"{least}ms\""),
        );
    }
    m.addr = advertise.unwrap_or(listen);
    Members { listen, config: m }
}
