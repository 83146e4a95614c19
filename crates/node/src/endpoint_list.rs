//! The workers on discovery's endpoint list with their ids, those that operators have disabled, and the next
//! call to discovery.

use crate::discovery::{Call, Entry, List, MAX_WAIT};
use crate::stable_hash::fnv1a;
use postusher_decision::{Endpoint, EndpointState, ListUpdate, WorkerId};
use postusher_settings::{micros_from_millis, SiteSettings};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// The number of a zone or machine kind that the settings do not name.
const UNKNOWN_NUMBER: u16 = u16::MAX;

/// A worker on the endpoint list.
pub struct ListedWorker {
    /// Discovery's name for it.
    pub name: Rc<str>,
    /// Where it listens.
    pub addr: SocketAddr,
}

/// The endpoint list as this scheduler holds it.
pub struct EndpointList {
    workers: HashMap<WorkerId, ListedWorker>,
    /// The ids of all workers that are listed or disabled. A name whose hash another name had first has the
    /// next id, and keeps it when that other worker is removed.
    ids: HashMap<Rc<str>, WorkerId>,
    /// The names of the workers that operators have disabled, whether they are listed or not.
    disabled: BTreeMap<WorkerId, Rc<str>>,
    version: Option<u64>,
    /// Discovery has answered the last call: the list held is as new as its own, and the next call may wait.
    is_confirmed: bool,
    zones: Vec<String>,
    machine_kinds: Vec<String>,
}

/// What a list has changed.
pub struct ListChange {
    /// Whether the list was complete.
    pub update: ListUpdate,
    /// Its entries, for the decision module.
    pub endpoints: Vec<Endpoint>,
    /// Workers that were removed or have another address: connections to them must not be used again.
    pub stale: Vec<WorkerId>,
}

impl EndpointList {
    /// An empty list.
    pub fn new(site: &SiteSettings) -> Self {
        EndpointList {
            workers: HashMap::new(),
            ids: HashMap::new(),
            disabled: BTreeMap::new(),
            version: None,
            is_confirmed: false,
            zones: site.zones.clone(),
            machine_kinds: site.machine_kinds.clone(),
        }
    }

    /// A worker, if it is listed.
    pub fn get(&self, id: WorkerId) -> Option<&ListedWorker> {
        self.workers.get(&id)
    }

    /// The workers on the list.
    pub fn listed_workers(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.workers.keys().copied()
    }

    /// Takes in a list or changes, in time in proportion to what is listed and held.
    pub fn apply(&mut self, list: List) -> ListChange {
        self.version = list.version.or(self.version);
        let mut endpoints = Vec::with_capacity(list.entries.len());
        let mut stale = Vec::new();
        for entry in list.entries {
            endpoints.push(self.apply_entry(entry, &mut stale));
        }
        let mut removed = if list.is_complete { self.workers_missing_in(&endpoints) } else { Vec::new() };
        for endpoint in &endpoints {
            if endpoint.state == EndpointState::Removed {
                removed.push(endpoint.worker);
            }
        }
        for id in removed {
            if let Some(worker) = self.workers.remove(&id) {
                self.release_id(&worker.name, id);
                stale.push(id);
            }
        }
        let update = if list.is_complete { ListUpdate::Complete } else { ListUpdate::Changes };
        ListChange { update, endpoints, stale }
    }

    /// The workers held that a complete list no longer names.
    fn workers_missing_in(&self, endpoints: &[Endpoint]) -> Vec<WorkerId> {
        let listed: HashSet<WorkerId> = endpoints.iter().map(|endpoint| endpoint.worker).collect();
        self.listed_workers().filter(|id| !listed.contains(id)).collect()
    }

    /// Takes in one entry; `stale` gets the worker if it has another address than before.
    fn apply_entry(&mut self, entry: Entry, stale: &mut Vec<WorkerId>) -> Endpoint {
        let worker = self.assign_id(&entry.name);
        let name = match self.workers.get(&worker) {
            Some(listed) => listed.name.clone(),
            None => Rc::from(entry.name.as_str()),
        };
        let before = self.workers.insert(worker, ListedWorker { name, addr: entry.addr });
        if before.is_some_and(|before| before.addr != entry.addr) {
            stale.push(worker);
        }
        Endpoint {
            worker,
            state: entry.state,
            capacity_weight: entry.weight,
            started_at: micros_from_millis(entry.started_at),
            cell: entry.cell,
            kind: number_of(&self.machine_kinds, &entry.kind),
            zone: number_of(&self.zones, &entry.zone),
        }
    }

    /// The list comes from another service from now on, which does not know the versions of the one before.
    pub fn discovery_moved(&mut self) {
        self.version = None;
        self.is_confirmed = false;
    }

    /// Whether the list held is newer than one that discovery has sent.
    pub fn is_newer_than(&self, list: &List) -> bool {
        match (self.version, list.version) {
            (Some(held), Some(received)) => received < held,
            _ => false,
        }
    }

    /// Discovery has answered a call, or has failed to.
    pub fn set_confirmed(&mut self, confirmed: bool) {
        self.is_confirmed = confirmed;
    }

    /// The id of a worker: the one that it has, else one by the hash of its name, so that all schedulers find
    /// the same worker for a key; the next one where another worker has that id.
    pub fn id(&self, name: &str) -> WorkerId {
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let mut id = WorkerId(fnv1a(name.as_bytes()) as u32);
        while self.name(id).is_some() {
            id.0 = id.0.wrapping_add(1);
        }
        id
    }

    /// The id of a worker, which it keeps for as long as it is listed or disabled.
    fn assign_id(&mut self, name: &str) -> WorkerId {
        let id = self.id(name);
        if !self.ids.contains_key(name) {
            self.ids.insert(name.into(), id);
        }
        id
    }

    /// Frees the id of a worker that is neither listed nor disabled.
    fn release_id(&mut self, name: &str, id: WorkerId) {
        if !self.workers.contains_key(&id) && !self.disabled.contains_key(&id) {
            self.ids.remove(name);
        }
    }

    /// The name of a worker that is listed or disabled.
    fn name(&self, id: WorkerId) -> Option<&Rc<str>> {
        match self.workers.get(&id) {
            Some(worker) => Some(&worker.name),
            None => self.disabled.get(&id),
        }
    }

    /// An operator disables a worker; `None` if it is neither listed nor disabled, as the name may be
    /// mistyped.
    pub fn disable(&mut self, name: &str) -> Option<WorkerId> {
        let id = self.id(name);
        let name = self.name(id)?.clone();
        self.disabled.insert(id, name);
        Some(id)
    }

    /// Another process of this scheduler has disabled a worker, which may not be listed here.
    pub fn disable_unlisted(&mut self, name: &str) -> WorkerId {
        let id = self.assign_id(name);
        self.disabled.insert(id, name.into());
        id
    }

    /// The names of the disabled workers.
    pub fn disabled_names(&self) -> impl Iterator<Item = &str> + '_ {
        self.disabled.values().map(|name| &**name)
    }

    /// An operator enables a worker, however often it was disabled; `None` if it is neither listed nor
    /// disabled.
    pub fn enable(&mut self, name: &str) -> Option<WorkerId> {
        let id = self.id(name);
        self.name(id)?;
        self.disabled.remove(&id);
        self.release_id(name, id);
        Some(id)
    }

    /// The next call to discovery: for the changes since the version held, or for the complete list if none
    /// is held. After a start or a failed call it does not wait for changes, as nobody would know in that
    /// time whether the list held is still right.
    pub fn next_call(&self) -> Call {
        Call { after: self.version, wait: if self.is_confirmed { MAX_WAIT } else { 0.0 } }
    }
}

/// The place of a name among those of the settings.
fn number_of(names: &[String], name: &str) -> u16 {
    match names.iter().position(|other| other == name) {
        Some(number) => number as u16,
        None => UNKNOWN_NUMBER,
    }
}

#[cfg(test)]
mod tests;
