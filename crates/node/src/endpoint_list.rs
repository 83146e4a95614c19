//! The workers that discovery's list names, and what is asked of discovery next.

use crate::discovery::{self, Call, Entry, List};
use crate::stable_hash::fnv1a;
use postusher_decision::{Endpoint, EndpointState, ListUpdate, WorkerId};
use postusher_settings::{micros_from_millis, SiteSettings};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// A worker as the scheduler knows it.
pub struct ListedWorker {
    /// Discovery's name for it.
    pub name: Rc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// The workers that the list has named.
pub struct EndpointList {
    workers: HashMap<WorkerId, ListedWorker>,
    /// The numbers of all names that stand on the list or are taken out. Guards against: a name whose number is another's hash,
    /// which would have two numbers once that other has gone, and go on under the one of which no more is heard.
    numbers: HashMap<Rc<str>, WorkerId>,
    /// Those that an operator has taken out, on the list or not: their numbers stay theirs.
    disabled: BTreeMap<WorkerId, Rc<str>>,
    version: Option<u64>,
    /// The last call to discovery was answered: what is held is as new as discovery's own list, and the next call may wait.
    confirmed: bool,
    zones: Vec<String>,
    machine_kinds: Vec<String>,
}

/// What a list has changed.
pub struct ListChange {
    /// Whether it was a whole list.
    pub update: ListUpdate,
    /// Its lines, for the module.
    pub endpoints: Vec<Endpoint>,
    /// Targets that are gone or have another address: connections to them are of no more use.
    pub stale: Vec<WorkerId>,
}

/// A name's place among those the settings list; one that they lack is no other's.
fn place(names: &[String], name: &str) -> u16 {
    names.iter().position(|n| n == name).map_or(u16::MAX, |i| i as u16)
}

impl EndpointList {
    /// No workers.
    pub fn new(site: &SiteSettings) -> Self {
        let (zones, machine_kinds) = (site.zones.clone(), site.machine_kinds.clone());
        let (workers, numbers, disabled) = (HashMap::new(), HashMap::new(), BTreeMap::new());
        EndpointList { workers, numbers, disabled, version: None, confirmed: false, zones, machine_kinds }
    }

    /// A worker that the list has named.
    pub fn get(&self, id: WorkerId) -> Option<&ListedWorker> {
        self.workers.get(&id)
    }

    /// The workers on the list.
    pub fn listed_workers(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.workers.keys().copied()
    }

    /// Takes in a list or changes. Costs time in proportion to what is listed and held.
    pub fn apply(&mut self, list: List) -> ListChange {
        self.version = list.version.or(self.version);
        let full = list.full;
        let mut stale = Vec::new();
        let endpoints: Vec<Endpoint> =
            list.entries.into_iter().map(|entry| self.endpoint(entry, &mut stale)).collect();
        let gone: Vec<WorkerId> = if full {
            let listed: HashSet<WorkerId> = endpoints.iter().map(|m| m.worker).collect();
            self.workers.keys().filter(|id| !listed.contains(id)).copied().collect()
        } else {
            Vec::new()
        };
        let removed = endpoints.iter().filter(|m| m.state == EndpointState::Removed).map(|m| m.worker);
        for id in gone.into_iter().chain(removed) {
            if let Some(worker) = self.workers.remove(&id) {
                self.forget_number(&worker.name, id);
                stale.push(id);
            }
        }
        ListChange { update: if full { ListUpdate::Complete } else { ListUpdate::Changes }, endpoints, stale }
    }

    /// A name that is neither listed nor taken out has no number any more.
    fn forget_number(&mut self, name: &str, id: WorkerId) {
        if !self.workers.contains_key(&id) && !self.disabled.contains_key(&id) {
            self.numbers.remove(name);
        }
    }

    /// The list comes from another service from now on. Guards against: a call for the changes since a version
    /// that only the service before it knows.
    pub fn discovery_moved(&mut self) {
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

    /// Takes in one line; `stale` gets a worker that has moved, as jobs must not be sent over connections from before.
    fn endpoint(&mut self, e: Entry, stale: &mut Vec<WorkerId>) -> Endpoint {
        let worker = self.number(&e.id);
        let name = self.workers.get(&worker).map_or_else(|| Rc::from(e.id.as_str()), |t| t.name.clone());
        let before = self.workers.insert(worker, ListedWorker { name, addr: e.addr });
        stale.extend(before.filter(|t| t.addr != e.addr).map(|_| worker));
        Endpoint {
            worker,
            state: match e.state.as_str() {
                "up" => EndpointState::Ready,
                "removed" => EndpointState::Removed,
                _ => EndpointState::Draining, // a state that is not known wants nothing new
            },
            capacity_weight: e.weight,
            started_at: micros_from_millis(e.started_ms),
            cell: e.cell,
            kind: place(&self.machine_kinds, &e.kind),
            zone: place(&self.zones, &e.zone),
        }
    }

    /// A name's number: the one that it has, else by hash, so that all schedulers find the same worker for a key; the next
    /// where that is taken by another name.
    pub fn id(&self, name: &str) -> WorkerId {
        if let Some(id) = self.numbers.get(name) {
            return *id;
        }
        let mut id = WorkerId(fnv1a(name.as_bytes()) as u32);
        while self.name(id).is_some() {
            id.0 = id.0.wrapping_add(1);
        }
        id
    }

    /// The same, and keeps it for as long as the name is listed or taken out.
    fn number(&mut self, name: &str) -> WorkerId {
        let id = self.id(name);
        if !self.numbers.contains_key(name) {
            self.numbers.insert(name.into(), id);
        }
        id
    }

    /// Whose number this is.
    fn name(&self, id: WorkerId) -> Option<&Rc<str>> {
        self.workers.get(&id).map(|t| &t.name).or_else(|| self.disabled.get(&id))
    }

    /// An operator takes a worker out; `None` if the list does not name it and it is not out already. Guards
    /// against: a slip of the pen that is taken for a worker.
    pub fn disable(&mut self, name: &str) -> Option<WorkerId> {
        let id = self.id(name);
        let name = self.name(id)?.clone();
        self.disabled.insert(id, name);
        Some(id)
    }

    /// Another process of this scheduler has taken a worker out, be it listed here or not.
    pub fn disable_unlisted(&mut self, name: &str) -> WorkerId {
        let id = self.number(name);
        self.disabled.insert(id, name.into());
        id
    }

    /// The names of the workers that are out.
    pub fn disabled_names(&self) -> impl Iterator<Item = &str> + '_ {
        self.disabled.values().map(|name| &**name)
    }

    /// An operator takes a worker back, likewise; one call undoes any number of those out.
    pub fn enable(&mut self, name: &str) -> Option<WorkerId> {
        let id = self.id(name);
        self.name(id)?;
        self.disabled.remove(&id);
        self.forget_number(name, id);
        Some(id)
    }

    /// The next call to discovery: for the changes since the version held, or for the whole list where none is held. It waits for
    /// changes only where the last was answered. Guards against: a list from before a start or a failed call, of which nobody
    /// knows for the length of a wait whether it still holds.
    pub fn next_call(&self) -> Call {
        Call { after: self.version, wait: if self.confirmed { discovery::WAIT } else { 0.0 } }
    }
}

#[cfg(test)]
mod tests;
