//! Membership without its sockets: whole states as they go over a connection, and what operators get to see.

use crate::clock::Millis;
use crate::http::Outbox;
use postusher_membership::{Figures, View, KINDS, MOST_WHOLE};
use serde::{Serialize, Serializer};
use std::net::SocketAddr;

/// An exchange of whole states takes no longer.
pub const PATIENCE: Millis = 2_500.0;

/// A connection over which two members exchange their states: each sends one, behind its length.
pub struct StateExchange {
    /// This side has opened it.
    pub asked: bool,
    inbox: Vec<u8>,
    /// What waits to be written.
    pub outbox: Outbox,
    /// It may be closed once all is written.
    pub done: bool,
}

/// Why a connection is of no use any more.
#[derive(Debug, PartialEq)]
pub struct TooLong;

impl StateExchange {
    /// A new connection; whoever opened it sends its state at once.
    pub fn new(asked: bool) -> StateExchange {
        StateExchange { asked, inbox: Vec::new(), outbox: Outbox::default(), done: false }
    }

    /// Sends a state.
    pub fn give(&mut self, whole: &[u8]) {
        self.outbox.put(&(whole.len() as u32).to_be_bytes());
        self.outbox.put(whole);
    }

    /// Takes in bytes; gives the other's state once it is whole.
    ///
    /// # Errors
    /// It would be longer than a state can be.
    pub fn receive(&mut self, bytes: &[u8]) -> Result<Option<Vec<u8>>, TooLong> {
        if self.done {
            return Ok(None); // one state comes over a connection
        }
        self.inbox.extend(bytes);
        let Some((length, rest)) = self.inbox.split_first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MOST_WHOLE {
            return Err(TooLong);
        }
        let whole = rest.get(..length).map(<[u8]>::to_vec);
        self.done = whole.is_some();
        Ok(whole)
    }
}

/// The answer to `GET /members`.
#[derive(Serialize)]
struct Shown<'a> {
    name: &'a str,
    view: u64,
    minority: bool,
    members: Vec<ShownMember<'a>>,
}

#[derive(Serialize)]
struct ShownMember<'a> {
    name: &'a str,
    zone: &'a str,
    addr: SocketAddr,
    incarnation: u64,
    state: &'static str,
}

/// What a member believes of all, as JSON.
pub fn json(view: &View) -> String {
    let members = view.members.iter().map(|m| ShownMember {
        name: &m.record.name,
        zone: &m.record.zone,
        addr: m.record.addr,
        incarnation: m.record.incarnation,
        state: m.state(),
    });
    let (name, minority, number) = (view.name.as_str(), view.minority, view.view);
    let shown = Shown { name, view: number, minority, members: members.collect() };
    serde_json::to_string(&shown).unwrap_or_default() // text and numbers always have a form
}

/// What `GET /stats` has of membership.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct MembersGauges {
    alive: usize,
    suspect: usize,
    minority: bool,
    probes: u64,
    missed: u64,
    indirect: u64,
    suspected: u64,
    refuted: u64,
    removed: u64,
    false_removals: u64,
    #[serde(serialize_with = "by_kind")]
    sent: [u64; 8],
    datagrams_sent: u64,
    datagrams_taken: u64,
    bytes_sent: u64,
    exchanges: u64,
    garbage: u64,
    woken_late_ms: u64,
}

fn by_kind<S: Serializer>(parts: &[u64; 8], to: S) -> Result<S::Ok, S::Error> {
    to.collect_map(KINDS.iter().zip(parts))
}

impl MembersGauges {
    /// Of what a member believes and has counted.
    pub fn new(view: &View, f: Figures) -> MembersGauges {
        let states = |state: &str| view.members.iter().filter(|m| m.state() == state).count();
        MembersGauges {
            alive: states("alive"),
            suspect: states("suspect"),
            minority: view.minority,
            probes: f.probes,
            missed: f.missed,
            indirect: f.indirect,
            suspected: f.suspected,
            refuted: f.refuted,
            removed: f.removed,
            false_removals: f.false_removals,
            sent: f.parts,
            datagrams_sent: f.datagrams,
            datagrams_taken: f.taken,
            bytes_sent: f.bytes,
            exchanges: f.exchanges,
            garbage: f.garbage,
            woken_late_ms: f.slept,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use postusher_membership::{Config, Members};

    #[test]
    fn a_state_comes_whole_however_it_is_cut() {
        let mut sent = StateExchange::new(true);
        sent.give(b"all that I know");
        for cut in 0..sent.outbox.unsent().len() {
            let (first, rest) = sent.outbox.unsent().split_at(cut);
            let mut to = StateExchange::new(false);
            assert_eq!(to.receive(first), Ok(None));
            assert_eq!(to.receive(rest), Ok(Some(b"all that I know".to_vec())), "{cut}");
            assert!(to.done && to.receive(b"more") == Ok(None));
        }
        assert_eq!(StateExchange::new(false).receive(&[0xff; 9]), Err(TooLong));
    }

    #[test]
    fn operators_see_every_member_with_its_state() {
        let config = Config::new("c", "a1", "lamia", "127.0.0.11:7946".parse().unwrap());
        let mut a = Members::new(config, 1, 0.0);
        a.wake(0.0, &mut Vec::new());
        let shown: serde_json::Value = serde_json::from_str(&json(&a.view())).unwrap();
        let me = serde_json::json!({"name": "a1", "zone": "lamia", "addr": "127.0.0.11:7946", "incarnation": 1,
            "state": "alive"});
        assert_eq!(shown, serde_json::json!({"name": "a1", "view": 1, "minority": false, "members": [me]}));
        let gauges = serde_json::to_value(MembersGauges::new(&a.view(), a.figures())).unwrap();
        assert_eq!(gauges["sent"]["accusation"], serde_json::json!(0));
        assert_eq!((&gauges["alive"], &gauges["probes"]), (&serde_json::json!(1), &serde_json::json!(0)));
    }
}
