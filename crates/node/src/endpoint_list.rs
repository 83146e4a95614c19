//! The endpoint list of this scheduler: the listed workers with their ids, the workers that operators have
//! disabled, and the next call to discovery.

use crate::discovery::{Call, Entry, List, MAX_WAIT};
use crate::stable_hash::fnv1a;
use postusher_decision::{Endpoint, EndpointState, ListUpdate, WorkerId};
use postusher_settings::{micros_from_millis, SiteSettings};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// Number that stands for every zone or machine kind that the settings do not name.
const UNKNOWN_NUMBER: u16 = u16::MAX;

/// A worker on the endpoint list.
pub struct ListedWorker {
    /// Name of the worker in discovery.
    pub name: Rc<str>,
    /// Address at which the worker listens.
    pub addr: SocketAddr,
}

/// The endpoint list that this scheduler uses.
pub struct EndpointList {
    /// The listed workers.
    workers: HashMap<WorkerId, ListedWorker>,
    /// Ids of all workers that are listed or disabled. If the hash of a name is already taken as an id by
    /// another name, the worker gets the next free id and keeps it when the other worker is removed.
    ids: HashMap<Rc<str>, WorkerId>,
    /// Names of the workers that operators have disabled, whether they are listed or not.
    disabled: BTreeMap<WorkerId, Rc<str>>,
    /// Version of the list; `None` until a list with a version is applied, and again after
    /// [`EndpointList::discovery_moved`].
    version: Option<u64>,
    /// Whether discovery has answered the last call. If it has, this list is up to date and the next call may
    /// wait for changes.
    is_confirmed: bool,
    /// Names of the zones in the settings, by number.
    zones: Vec<String>,
    /// Names of the machine kinds in the settings, by number.
    machine_kinds: Vec<String>,
}

/// Result of applying a complete list or changes.
pub struct ListChange {
    /// Kind of the update: a complete list or changes.
    pub update: ListUpdate,
    /// Entries of the list, in the form of the decision module.
    pub endpoints: Vec<Endpoint>,
    /// Workers that were removed or whose address has changed; connections to them must not be reused.
    pub stale: Vec<WorkerId>,
}

impl EndpointList {
    /// Creates an empty list.
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

    /// Returns a worker if it is listed.
    pub fn get(&self, id: WorkerId) -> Option<&ListedWorker> {
        self.workers.get(&id)
    }

    /// Returns the ids of the listed workers.
    pub fn listed_workers(&self) -> impl Iterator<Item = WorkerId> + '_ {
        self.workers.keys().copied()
    }

    /// Applies a complete list or changes. The running time is linear in the number of received entries and
    /// listed workers.
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

    /// Returns the listed workers that are missing in a new complete list.
    fn workers_missing_in(&self, endpoints: &[Endpoint]) -> Vec<WorkerId> {
        let listed: HashSet<WorkerId> = endpoints.iter().map(|endpoint| endpoint.worker).collect();
        self.listed_workers().filter(|id| !listed.contains(id)).collect()
    }

    /// Applies one entry; adds the worker to `stale` if its address has changed.
    fn apply_entry(&mut self, entry: Entry, stale: &mut Vec<WorkerId>) -> Endpoint {
        let worker = self.assign_id(&entry.name);
        let name = match self.workers.get(&worker) {
            Some(listed) => listed.name.clone(),
            None => Rc::from(entry.name.as_str()),
        };
        let previous = self.workers.insert(worker, ListedWorker { name, addr: entry.addr });
        if previous.is_some_and(|previous| previous.addr != entry.addr) {
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

    /// Resets the version, so that the next call requests the complete list. This is necessary after a change
    /// of the address of discovery, as the service at the new address may count versions differently, at the
    /// start of a successor, and after discovery has sent an older list.
    pub fn discovery_moved(&mut self) {
        self.version = None;
        self.is_confirmed = false;
    }

    /// Returns whether this list is newer than one that discovery has sent; false if either has no version.
    pub fn is_newer_than(&self, received: &List) -> bool {
        match (self.version, received.version) {
            (Some(current), Some(received)) => received < current,
            _ => false,
        }
    }

    /// Sets whether discovery has answered the last call.
    pub fn set_confirmed(&mut self, confirmed: bool) {
        self.is_confirmed = confirmed;
    }

    /// Returns the id of a worker, without assigning it. The id of a worker that is neither listed nor
    /// disabled is the hash of its name, so that all schedulers find the same worker for a key, or the next
    /// free id if another worker has that one.
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

    /// Returns the id of a worker and assigns it to the worker for as long as that is listed or disabled.
    fn assign_id(&mut self, name: &str) -> WorkerId {
        let id = self.id(name);
        if !self.ids.contains_key(name) {
            self.ids.insert(name.into(), id);
        }
        id
    }

    /// Releases the id of a worker if it is neither listed nor disabled.
    fn release_id(&mut self, name: &str, id: WorkerId) {
        if !self.workers.contains_key(&id) && !self.disabled.contains_key(&id) {
            self.ids.remove(name);
        }
    }

    /// Returns the name of a worker that is listed or disabled.
    fn name(&self, id: WorkerId) -> Option<&Rc<str>> {
        match self.workers.get(&id) {
            Some(worker) => Some(&worker.name),
            None => self.disabled.get(&id),
        }
    }

    /// Disables a worker at an operator's request. Returns `None` if the worker is neither listed nor already
    /// disabled, as the name may be mistyped.
    pub fn disable(&mut self, name: &str) -> Option<WorkerId> {
        let id = self.id(name);
        let name = self.name(id)?.clone();
        self.disabled.insert(id, name);
        Some(id)
    }

    /// Disables a worker that the other process of an upgrade has disabled and that may not be listed in this
    /// process.
    pub fn disable_unlisted(&mut self, name: &str) -> WorkerId {
        let id = self.assign_id(name);
        self.disabled.insert(id, name.into());
        id
    }

    /// Returns the names of the disabled workers.
    pub fn disabled_names(&self) -> impl Iterator<Item = &str> + '_ {
        self.disabled.values().map(|name| &**name)
    }

    /// Enables a worker at an operator's request, regardless of how often it was disabled. Returns `None` if
    /// the worker is neither listed nor disabled.
    pub fn enable(&mut self, name: &str) -> Option<WorkerId> {
        let id = self.id(name);
        self.name(id)?;
        self.disabled.remove(&id);
        self.release_id(name, id);
        Some(id)
    }

    /// Returns the next call to discovery: for the changes since the version of this list, or for the
    /// complete list if there is no version. After a start or a failed call, the call does not wait for
    /// changes, because it would be unknown during the wait whether this list is still valid.
    pub fn next_call(&self) -> Call {
        Call { after: self.version, wait: if self.is_confirmed { MAX_WAIT } else { 0.0 } }
    }
}

/// Returns the index of a name in the names of the settings, or [`UNKNOWN_NUMBER`].
fn number_of(names: &[String], name: &str) -> u16 {
    match names.iter().position(|candidate| candidate == name) {
        Some(number) => number as u16,
        None => UNKNOWN_NUMBER,
    }
}

#[cfg(test)]
mod tests;
