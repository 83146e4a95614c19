//! Membership among schedulers: who is there, who is gone and who is only slow, while processes pause, messages are lost
//! and links are cut in one direction. `docs/design/members.md` says how and why.
//!
//! [`Members`] is a state machine: it is handed datagrams, whole states and the time, and says what to send. It has no
//! sockets, no clock, no threads and no randomness but what its seed gives.
//!
//! ```
//! use postusher_membership::*;
//!
//! let config = Config::new("demo", "a1", "lamia", "127.0.0.11:7946".parse().unwrap());
//! let mut a = Members::new(config, 7, 0.0);
//! let mut out = Vec::new();
//! a.wake(0.0, &mut out);
//! assert!(out.is_empty() && a.view().members.len() == 1, "it has no seeds, and begins alone");
//! ```
#![forbid(unsafe_code)]

mod figures;
mod gossip;
mod member;
mod record;
mod rings;
mod roster;
mod wire;

pub use figures::{Figures, KINDS};
pub use member::{Action, Members, View, Viewed};
pub use record::{Id, Instance, Record, Standing};
pub use roster::{Accusation, Change, Devices, Roster};
pub use wire::{MOST_BYTES, MOST_WHOLE, VERSION};

use std::net::SocketAddr;

/// A point in time or a length of time, in milliseconds on a clock that only moves forward.
pub type Millis = f64;

/// What a member is told at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Config {
    /// Which members belong together; messages of others are dropped.
    pub cluster: String,
    /// Its name, no other member's.
    pub name: String,
    /// Where it stands.
    pub zone: String,
    /// Where others reach it.
    pub addr: SocketAddr,
    /// Where others may be found at first.
    pub seeds: Vec<SocketAddr>,
    /// See [`Times`].
    pub times: Times,
    /// See [`Devices`].
    pub devices: Devices,
}

impl Config {
    /// With the usual times and no seeds.
    pub fn new(cluster: &str, name: &str, zone: &str, addr: SocketAddr) -> Config {
        Config {
            cluster: cluster.into(),
            name: name.into(),
            zone: zone.into(),
            addr,
            seeds: Vec::new(),
            times: Times::default(),
            devices: Devices::default(),
        }
    }
}

/// The times of the protocol, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    /// Between two pings of one member by one observer.
    pub probe: Millis,
    /// Silence after which an observer accuses.
    pub suspicion: Millis,
    /// For so long enough accusations have to stand before a member is gone.
    pub removal: Millis,
    /// A member that was gone or left for so long is forgotten.
    pub forget: Millis,
}

impl Default for Times {
    fn default() -> Self {
        Times { probe: 1_000.0, suspicion: 5_000.0, removal: 1_000.0, forget: 86_400_000.0 }
    }
}
