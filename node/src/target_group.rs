//! Discovery's list of targets, and the watch that keeps it up to date.

use crate::clock::Millis;
use crate::http::{self, Decoder, Message, Outbox, RequestLine, StatusLine};
use crate::intake::fnv;
use postusher::{ListKind, Member, Readiness, WorkerId};
use postusher_settings::{micros, Site};
use serde::Deserialize;
use serde_json::Value;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

/// For so long discovery may hold a call in which nothing changes. Guards against: a watch that falls silent, which
/// shows only once this is over; until then targets that drain or are gone count as they were.
const WAIT: Millis = 4_000.0;
/// An answer that has not come so long after that never will. What such a watch has to tell counts as told 2 s after
/// the wait, so that this leaves time to ask again.
const PATIENCE: Millis = 1_000.0;
/// The whole list comes within this time, or never.
const LIST_PATIENCE: Millis = 1_500.0;

/// A list, or changes to one, as discovery tells it.
#[derive(Debug, Default)]
pub struct List {
    version: Option<u64>,
    full: bool,
    /// Its entries.
    pub entries: Vec<Entry>,
}

/// One target as discovery tells it.
#[derive(Debug, Deserialize)]
pub struct Entry {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u16,
    state: String,
    #[serde(default = "usual_weight")]
    weight: f64,
    #[serde(default)]
    started_ms: f64,
}

fn usual_weight() -> f64 {
    1.0
}

impl List {
    /// Reads a list. An entry that cannot be read is left out: the others are still good.
    pub fn read(json: &Value) -> Result<List, String> {
        let entries = json.get("servers").and_then(Value::as_array).ok_or("no list of servers")?;
        let entry = |json: &Value| match Entry::deserialize(json) {
            Ok(entry) => Some(entry),
            Err(e) => {
                log::warn!("discovery: an entry cannot be read: {e}");
                None
            }
        };
        Ok(List {
            version: json.get("version").and_then(Value::as_u64),
            full: json.get("full").and_then(Value::as_bool).unwrap_or(false),
            entries: entries.iter().filter_map(entry).collect(),
        })
    }
}

/// A target as the scheduler knows it.
pub struct Target {
    /// Discovery's name for it.
    pub name: Rc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// The targets that the list has named.
pub struct TargetGroup {
    targets: HashMap<WorkerId, Target>,
    /// Those that an operator has taken out, on the list or not: their numbers stay theirs.
    taken_out: BTreeMap<WorkerId, Rc<str>>,
    version: Option<u64>,
    /// The last call to discovery was answered: what is held is as new as discovery's own list, and the next call may wait.
    confirmed: bool,
    zones: Vec<String>,
    models: Vec<String>,
}

/// What a list has changed.
pub struct Applied {
    /// Whether it was a whole list.
    pub kind: ListKind,
    /// Its lines, for the module.
    pub members: Vec<Member>,
    /// Targets that are gone or have another address: connections to them are of no more use.
    pub stale: Vec<WorkerId>,
}

/// A name's place among those the settings list; one that they lack is no other's.
fn place(names: &[String], name: &str) -> u16 {
    names.iter().position(|n| n == name).map_or(u16::MAX, |i| i as u16)
}

impl TargetGroup {
    /// No targets.
    pub fn new(site: &Site) -> Self {
        let (zones, models) = (site.zones.clone(), site.models.clone());
        let (targets, taken_out) = (HashMap::new(), BTreeMap::new());
        TargetGroup { targets, taken_out, version: None, confirmed: false, zones, models }
    }

    /// A target that the list has named.
    pub fn get(&self, id: WorkerId) -> Option<&Target> {
        self.targets.get(&id)
    }

    /// The targets on the list.
    pub fn listed(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.targets.keys().copied()
    }

    /// Takes in a list or changes.
    pub fn apply(&mut self, list: List) -> Applied {
        self.version = list.version.or(self.version);
        let before: Vec<(WorkerId, SocketAddr)> = self.targets.iter().map(|(id, t)| (*id, t.addr)).collect();
        let members: Vec<Member> = list.entries.into_iter().map(|e| self.member(e)).collect();
        if list.full {
            let listed: Vec<WorkerId> = members.iter().map(|m| m.worker).collect();
            self.targets.retain(|id, _| listed.contains(id));
        }
        for gone in members.iter().filter(|m| m.readiness == Readiness::Gone) {
            self.targets.remove(&gone.worker);
        }
        // Guards against: a job sent to where its target no longer is, over a connection from before.
        let there = |id: &WorkerId, addr| self.targets.get(id).is_some_and(|t| t.addr == addr);
        let stale = before.into_iter().filter(|(id, addr)| !there(id, *addr)).map(|(id, _)| id).collect();
        Applied { kind: if list.full { ListKind::Full } else { ListKind::Delta }, members, stale }
    }

    /// The list comes from another service from now on. Guards against: a call for the changes since a version
    /// that only the service before it knows.
    pub fn moved(&mut self) {
        (self.version, self.confirmed) = (None, false);
    }

    /// Whether an answer to a call for what is newer than the version held is older than that.
    pub fn is_newer_than(&self, list: &List) -> bool {
        self.version.zip(list.version).is_some_and(|(held, told)| told < held)
    }

    /// Discovery has answered a call, or has not.
    pub fn set_confirmed(&mut self, confirmed: bool) {
        self.confirmed = confirmed;
    }

    fn member(&mut self, e: Entry) -> Member {
        let worker = self.id(&e.id);
        self.targets.insert(worker, Target { name: e.id.into(), addr: e.addr });
        Member {
            worker,
            readiness: match e.state.as_str() {
                "up" => Readiness::Ready,
                "removed" => Readiness::Gone,
                _ => Readiness::Draining, // a state that is not known wants nothing new
            },
            heft: e.weight,
            up_since: micros(e.started_ms),
            cell: e.cell,
            kind: place(&self.models, &e.kind),
            zone: place(&self.zones, &e.zone),
        }
    }

    /// A name's number: by hash, so that all schedulers find the same target for a key; the next where that
    /// is taken by another name.
    pub fn id(&self, name: &str) -> WorkerId {
        let mut id = WorkerId(fnv(name.as_bytes()) as u32);
        while self.name(id).is_some_and(|n| **n != *name) {
            id.0 = id.0.wrapping_add(1);
        }
        id
    }

    /// Whose number this is.
    fn name(&self, id: WorkerId) -> Option<&Rc<str>> {
        self.targets.get(&id).map(|t| &t.name).or_else(|| self.taken_out.get(&id))
    }

    /// An operator takes a target out; `None` if the list does not name it and it is not out already. Guards
    /// against: a slip of the pen that is taken for a target.
    pub fn take_out(&mut self, name: &str) -> Option<WorkerId> {
        let id = self.id(name);
        let name = self.name(id)?.clone();
        self.taken_out.insert(id, name);
        Some(id)
    }

    /// Another process of this scheduler has taken a target out, be it listed here or not.
    pub fn hold(&mut self, name: &str) -> WorkerId {
        let id = self.id(name);
        self.taken_out.insert(id, name.into());
        id
    }

    /// The names of the targets that are out.
    pub fn names_out(&self) -> impl Iterator<Item = &str> + '_ {
        self.taken_out.values().map(|name| &**name)
    }

    /// An operator takes a target back, likewise; one call undoes any number of those out.
    pub fn take_back(&mut self, name: &str) -> Option<WorkerId> {
        let id = self.id(name);
        self.name(id)?;
        self.taken_out.remove(&id);
        Some(id)
    }

    /// The next call to discovery, and how long its answer may take: the changes since the version held, or
    /// the whole list where none is held. Guards against: a list from before a start or a failed call, of which nobody
    /// knows for the length of a wait whether it still holds.
    pub fn call(&self, host: SocketAddr) -> (Vec<u8>, Millis) {
        let wait = if self.confirmed { WAIT } else { 0.0 };
        // A call that does not wait is given up no sooner: a busy discovery has it in its queue, and answers others later for each
        // call that is made again too early.
        let (target, patience) = match self.version {
            Some(version) => (format!("/discovery/hosts?after={version}&wait_ms={wait}"), WAIT + PATIENCE),
            None => ("/discovery/hosts".to_string(), LIST_PATIENCE),
        };
        let line = RequestLine { method: "GET".into(), target };
        let host = host.to_string();
        (http::request(&line, &[("Host", host.as_bytes())], b""), patience)
    }
}

/// A connection to discovery, without its socket.
pub struct Connection {
    decoder: Decoder<StatusLine>,
    /// The call on its way.
    pub outbox: Outbox,
}

impl Connection {
    /// A connection with its first call.
    pub fn new(call: &[u8]) -> Self {
        let mut new = Connection { decoder: Decoder::new(), outbox: Outbox::default() };
        new.outbox.put(call);
        new
    }

    /// Makes a further call.
    pub fn call(&mut self, call: &[u8]) {
        self.outbox.put(call);
    }

    /// Takes in what was read; gives the list once it is whole, and whether the connection stays.
    pub fn receive(&mut self, bytes: &[u8]) -> Option<Result<(List, bool), String>> {
        self.decoder.feed(bytes);
        let message = self.decoder.next().map_err(|_| "no HTTP".to_string()).transpose()?;
        Some(message.and_then(read))
    }

    /// It has ended: a list that goes to the end of the connection is whole now.
    pub fn end(&mut self) -> Result<(List, bool), String> {
        self.decoder.end().ok_or("the connection ended".to_string()).and_then(read)
    }
}

fn read(message: Message<StatusLine>) -> Result<(List, bool), String> {
    if message.line.status != 200 {
        return Err(format!("status {}", message.line.status));
    }
    let json: Value = serde_json::from_slice(&message.body).map_err(|e| e.to_string())?;
    Ok((List::read(&json)?, message.keep_alive))
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::tests::config;
    use serde_json::json;

    fn list(full: bool, servers: Value) -> List {
        List::read(&json!({"version": 43, "full": full, "servers": servers})).unwrap()
    }

    fn server(id: &str, state: &str) -> Value {
        json!({"id": id, "addr": "127.0.0.1:9", "zone": "b", "kind": "k1", "cell": 2, "state": state,
            "weight": 1.5, "started_ms": 1_700_000_000_123.5})
    }

    #[test]
    fn entries_become_members_and_only_listed_targets_have_an_address() {
        let mut group = TargetGroup::new(&config().site);
        let Applied { kind, members, stale } =
            group.apply(list(true, json!([server("s-1", "up"), server("s-2", "draining")])));
        let m = &members[0];
        assert!(stale.is_empty());
        assert_eq!((kind, m.zone, m.kind, m.cell, m.heft), (ListKind::Full, 1, 1, 2, 1.5));
        assert_eq!((m.readiness, m.up_since), (Readiness::Ready, 1_700_000_000_123_500));
        assert_eq!(members[1].readiness, Readiness::Draining);
        let Applied { kind, members: gone, stale } =
            group.apply(list(false, json!([server("s-1", "removed")])));
        assert_eq!(stale, vec![m.worker]);
        assert_eq!((kind, gone[0].readiness, gone[0].worker), (ListKind::Delta, Readiness::Gone, m.worker));
        assert!(group.get(m.worker).is_none() && group.get(members[1].worker).is_some());
        let mut moved = server("s-2", "up");
        moved["addr"] = json!("127.0.0.2:9");
        assert_eq!(group.apply(list(false, json!([moved]))).stale, vec![members[1].worker]);
        group.apply(list(true, json!([])));
        assert!(group.get(members[1].worker).is_none());
    }

    #[test]
    fn a_target_out_keeps_its_number_off_the_list_and_an_unknown_one_is_none() {
        let mut group = TargetGroup::new(&config().site);
        assert!(group.take_out("s-1").is_none() && group.take_back("s-1").is_none());
        let id = group.apply(list(true, json!([server("s-1", "up")]))).members[0].worker;
        assert_eq!((group.take_out("s-1"), group.take_out("s-1")), (Some(id), Some(id)));
        group.apply(list(true, json!([])));
        assert_eq!(group.take_out("s-1"), Some(id));
        assert_eq!(group.apply(list(true, json!([server("s-1", "up")]))).members[0].worker, id);
        assert_eq!(group.take_back("s-1"), Some(id));
        assert_eq!(group.take_back("s-1"), Some(id)); // a second call back changes nothing
                                                      // The other process of an upgrade may have read of a target first.
        let held = group.hold("s-2");
        assert_eq!(group.names_out().collect::<Vec<_>>(), ["s-2"]);
        assert_eq!(group.apply(list(false, json!([server("s-2", "up")]))).members[0].worker, held);
    }

    #[test]
    fn a_bad_entry_is_left_out_and_a_bad_list_is_an_error() {
        assert_eq!(list(true, json!([{"id": "s-1"}, server("s-2", "up")])).entries.len(), 1);
        assert!(List::read(&json!({"version": 1})).is_err());
    }

    #[test]
    fn a_watch_goes_on_from_the_version_held() {
        let mut group = TargetGroup::new(&config().site);
        let text = |group: &TargetGroup| String::from_utf8(group.call(([127, 0, 0, 1], 9).into()).0).unwrap();
        assert!(text(&group).starts_with("GET /discovery/hosts HTTP/1.1\r\n"));
        group.apply(list(false, json!([])));
        // What a start or a failed call leaves in doubt is asked for without a wait, and answered soon or never.
        assert!(text(&group).starts_with("GET /discovery/hosts?after=43&wait_ms=0 HTTP/1.1\r\n"));
        // Guards against: calls made again while a crowded discovery still has the first in its queue, which keeps it crowded.
        assert!(group.call(([127, 0, 0, 1], 9).into()).1 >= 4_000.0);
        group.set_confirmed(true);
        assert!(text(&group).starts_with("GET /discovery/hosts?after=43&wait_ms=4000 HTTP/1.1\r\n"));
        // A silent watch is asked again well before what it had to tell counts as told: 2 s after the wait.
        assert!(group.call(([127, 0, 0, 1], 9).into()).1 <= 4_000.0 + 1_500.0);
        group.set_confirmed(false);
        assert!(text(&group).contains("wait_ms=0"));
    }

    #[test]
    fn an_answer_is_a_list_or_a_failure() {
        let answer =
            |status: u16, body: &[u8]| Connection::new(b"").receive(&http::response(status, &[], body, true));
        let body = json!({"version": 7, "full": false, "servers": []}).to_string();
        assert!(answer(200, body.as_bytes()).unwrap().is_ok_and(|(l, keep)| l.version == Some(7) && keep));
        assert!(answer(503, b"").unwrap().is_err() && answer(200, b"{").unwrap().is_err());
        assert!(Connection::new(b"").receive(b"HTTP/1.1 200 OK\r\nContent-Le").is_none());
        assert!(Connection::new(b"").end().is_err());
    }
}
