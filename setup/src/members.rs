//! The part on membership among schedulers.

use crate::element::Element;
use crate::{units, Mistake};
use std::net::SocketAddr;

/// Schedulers that know of each other. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Members {
    /// This one's name, no other's.
    pub name: String,
    /// Where it stands.
    pub zone: String,
    /// Which members belong together.
    pub cluster: String,
    /// Where it hears others, by datagrams and by connections.
    pub listen: SocketAddr,
    /// Where others reach it, where that is another address.
    pub advertise: Option<SocketAddr>,
    /// Where others may be found at first.
    pub seeds: Vec<SocketAddr>,
    /// Between two pings of one member.
    pub probe: f64,
    /// Silence after which a member is accused.
    pub suspicion: f64,
    /// For so long enough accusations have to stand.
    pub removal: f64,
    /// Members that went so long ago are forgotten.
    pub forget: f64,
}

impl Default for Members {
    fn default() -> Self {
        let times = postusher_members::Times::default();
        Members {
            name: String::new(),
            zone: String::new(),
            cluster: "postusher".into(),
            listen: ([127, 0, 0, 1], 0).into(),
            advertise: None,
            seeds: Vec::new(),
            probe: times.probe,
            suspicion: times.suspicion,
            removal: times.removal,
            forget: times.forget,
        }
    }
}

impl Members {
    /// As the state machine takes it.
    pub fn config(&self) -> postusher_members::Config {
        let addr = self.advertise.unwrap_or(self.listen);
        let (probe, suspicion, removal, forget) = (self.probe, self.suspicion, self.removal, self.forget);
        postusher_members::Config {
            seeds: self.seeds.clone(),
            times: postusher_members::Times { probe, suspicion, removal, forget },
            ..postusher_members::Config::new(&self.cluster, &self.name, &self.zone, addr)
        }
    }
}

/// Reads it.
pub(crate) fn read(mut e: Element, mistakes: &mut Vec<Mistake>) -> Members {
    let mut m = Members::default();
    let before = mistakes.len();
    e.need("name", mistakes, units::label, &mut m.name);
    e.need("zone", mistakes, units::label, &mut m.zone);
    e.need("listen", mistakes, units::fixed_address, &mut m.listen);
    e.read("advertise", mistakes, |t| units::fixed_address(t).map(Some), &mut m.advertise);
    e.read("cluster", mistakes, units::label, &mut m.cluster);
    e.read("probe", mistakes, units::positive_duration, &mut m.probe);
    e.read("suspicion", mistakes, units::positive_duration, &mut m.suspicion);
    e.read("removal", mistakes, units::duration, &mut m.removal);
    e.read("forget", mistakes, units::positive_duration, &mut m.forget);
    e.no_more_attributes(mistakes);
    for mut child in e.children(mistakes) {
        if !child.is("seed") {
            child.unknown(mistakes, &["seed"]);
            continue;
        }
        let mut addr = m.listen;
        child.need("addr", mistakes, units::fixed_address, &mut addr);
        child.no_more_attributes(mistakes);
        child.no_children(mistakes);
        m.seeds.push(addr);
    }
    // In doubt from two intervals on, it takes some pings more to be sure of anything.
    if mistakes.len() == before && m.suspicion < 4.0 * m.probe {
        let (is, least) = (m.suspicion, 4.0 * m.probe);
        e.wrong(
            mistakes,
            format!("suspicion is {is} ms, {:.1} times probe", is / m.probe),
            format!("write 4 times probe at least, such as suspicion=\"{least}ms\""),
        );
    }
    m
}
