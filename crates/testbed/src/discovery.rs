//! A mock of discovery that serves the endpoint list, complete or as a watch on changes. Each scheduler has
//! its own discovery address, and its own addresses for the workers.

use crate::journal::{Journal, Observation};
use crate::scenario::Fleet;
use crate::wire::{self, Connection, StartLine};
use crate::workers::worker_name;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// A worker on the endpoint list.
#[derive(Clone)]
struct Entry {
    /// The worker's name.
    id: String,
    /// The worker's address for each scheduler.
    addrs: Vec<SocketAddr>,
    cell: usize,
    drains: bool,
    /// When the worker started, in milliseconds of Unix time.
    started_ms: u64,
    /// The version of the list in which the entry changed last.
    version: u64,
}

/// How discovery sends its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ResponseStyle {
    /// Complete and at once.
    #[default]
    Whole,
    /// Truncated in the middle; then the connection is closed.
    Cut,
    /// In parts, with a pause after each.
    Slow,
}

/// Number of parts of a slow answer.
const SLOW_PARTS: usize = 4;
/// Pause after each part of a slow answer.
const SLOW_PART_PAUSE: Duration = Duration::from_millis(40);

/// Address without a listener (the discard port), for workers that are only listed.
const UNUSED_ADDRESS: ([u8; 4], u16) = ([127, 0, 0, 1], 9);
/// Longest time that a watch waits, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

/// An answer of discovery.
pub struct ListAnswer {
    /// The endpoint list as JSON.
    pub body: String,
    /// The workers of the run that it contains, without those that are only listed.
    listed_workers: Vec<ListedWorker>,
}

/// The state of a worker in an answer.
struct ListedWorker {
    worker: usize,
    drains: bool,
}

/// The mock service that publishes the endpoint list.
pub struct Discovery {
    /// The entries of the workers of the run, then of those that are only listed.
    list: Mutex<Vec<Entry>>,
    /// The number of workers of the run.
    workers: usize,
    version: watch::Sender<u64>,
    unavailable: watch::Sender<bool>,
    style: watch::Sender<ResponseStyle>,
    /// The service's address for each scheduler.
    pub addrs: Vec<SocketAddr>,
    journal: Journal,
}

fn unix_ms() -> u64 {
    let elapsed = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64)
}

impl Discovery {
    /// Starts the service. `workers` has, for each worker, its address for each scheduler.
    ///
    /// # Errors
    /// Returns an error if the operating system has no free address.
    pub async fn start(
        workers: Vec<Vec<SocketAddr>>,
        fleet: &Fleet,
        schedulers: usize,
        journal: Journal,
    ) -> std::io::Result<Arc<Discovery>> {
        let run_entry = |(number, addrs): (usize, Vec<SocketAddr>)| {
            let (id, cell) = (worker_name(number), number / fleet.cell.max(1));
            Entry { id, addrs, cell, drains: false, started_ms: 0, version: 1 }
        };
        let unused_address = SocketAddr::from(UNUSED_ADDRESS);
        let listed_entry = |n: usize| Entry {
            id: format!("listed-{n:04}"),
            addrs: vec![unused_address; schedulers],
            cell: n,
            drains: true,
            started_ms: 0,
            version: 1,
        };
        let (worker_count, listed) = (workers.len(), (0..fleet.listed).map(listed_entry));
        let list = workers.into_iter().enumerate().map(run_entry).chain(listed).collect();
        let mut addrs = Vec::new();
        let mut listeners = Vec::new();
        for _ in 0..schedulers {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addrs.push(listener.local_addr()?);
            listeners.push(listener);
        }
        let discovery = Arc::new(Discovery {
            list: Mutex::new(list),
            workers: worker_count,
            version: watch::channel(1).0,
            unavailable: watch::channel(false).0,
            style: watch::channel(ResponseStyle::Whole).0,
            addrs,
            journal,
        });
        for (scheduler, listener) in listeners.into_iter().enumerate() {
            let discovery = discovery.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    if *discovery.unavailable.borrow() {
                        continue;
                    }
                    let (discovery, mut unavailable) = (discovery.clone(), discovery.unavailable.subscribe());
                    tokio::spawn(async move {
                        tokio::select! {
                            _ = discovery.serve(scheduler, Connection::new(stream)) => {}
                            _ = unavailable.wait_for(|unavailable| *unavailable) => {}
                        }
                    });
                }
            });
        }
        Ok(discovery)
    }

    fn list(&self) -> MutexGuard<'_, Vec<Entry>> {
        match self.list.lock() {
            Ok(list) => list,
            Err(poisoned) => poisoned.into_inner(), // the panic of the other task fails the run
        }
    }

    fn change_entry(&self, worker: usize, change: impl FnOnce(&mut Entry)) {
        let next = *self.version.borrow() + 1;
        if let Some(entry) = self.list().get_mut(worker) {
            change(entry);
            entry.version = next;
        }
        self.version.send_replace(next);
    }

    /// Publishes new start times for all workers that are only listed, as if other processes had replaced
    /// them.
    pub fn replace_listed(&self) {
        let next = *self.version.borrow() + 1;
        for entry in self.list().iter_mut().skip(self.workers) {
            entry.started_ms = unix_ms();
            entry.version = next;
        }
        self.version.send_replace(next);
    }

    /// Marks a worker as draining, or as up again.
    pub fn drain(&self, worker: usize, drains: bool) {
        self.change_entry(worker, |entry| entry.drains = drains);
    }

    /// Publishes that a worker has started.
    pub fn publish_start(&self, worker: usize) {
        self.change_entry(worker, |entry| {
            entry.drains = false;
            entry.started_ms = unix_ms();
        });
    }

    /// Makes the service unavailable, which closes its connections too, or available again.
    pub fn set_unavailable(&self, unavailable: bool) {
        self.unavailable.send_replace(unavailable);
    }

    /// Changes how answers are sent.
    pub fn set_style(&self, style: ResponseStyle) {
        self.style.send_replace(style);
    }

    /// Sends an answer in the current style. Returns whether the connection can be used further.
    async fn send_response(&self, connection: &mut Connection, answer: &[u8]) -> bool {
        let style = *self.style.borrow();
        match style {
            ResponseStyle::Whole => connection.send(answer).await.is_ok(),
            ResponseStyle::Cut => {
                // The connection is closed whether or not this succeeds.
                let _ = connection.send(&answer[..answer.len() / 2]).await;
                false
            }
            ResponseStyle::Slow => {
                for part in answer.chunks(answer.len().div_ceil(SLOW_PARTS)) {
                    if connection.send(part).await.is_err() {
                        return false;
                    }
                    tokio::time::sleep(SLOW_PART_PAUSE).await;
                }
                true
            }
        }
    }

    async fn serve(&self, scheduler: usize, mut connection: Connection) {
        while let Ok(Some(message)) = connection.message().await {
            let StartLine::Request(_, path) = &message.line else { return };
            let after = query_number(path, "after");
            if let Some(after) = after {
                let wait_ms = query_number(path, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
                let mut version = self.version.subscribe();
                let newer = version.wait_for(|version| *version > after);
                // On timeout the answer has no changes.
                let _ = tokio::time::timeout(Duration::from_millis(wait_ms), newer).await;
            }
            let answer = self.list_for(scheduler, after);
            // A scheduler counts as notified when the answer is sent, even if it does not arrive
            // completely: the drain grace begins then.
            for ListedWorker { worker, drains } in answer.listed_workers {
                self.journal.record(Observation::DrainNotified { worker, scheduler, drains });
            }
            if !self.send_response(&mut connection, &wire::response(200, &[], answer.body.as_bytes())).await {
                return;
            }
        }
    }

    /// Returns the complete list for a scheduler, or the changes since a version.
    pub fn list_for(&self, scheduler: usize, after: Option<u64>) -> ListAnswer {
        let version = *self.version.borrow();
        let list = self.list();
        let mut entries = Vec::new();
        let mut listed_workers = Vec::new();
        for (worker, entry) in list.iter().enumerate() {
            if after.is_some_and(|after| entry.version <= after) {
                continue;
            }
            if worker < self.workers {
                listed_workers.push(ListedWorker { worker, drains: entry.drains });
            }
            let state = if entry.drains { "draining" } else { "up" };
            entries.push(format!(
                r#"{{"id":"{}","addr":"{}","zone":"a","kind":"k","cell":{},"state":"{state}","weight":1.0,"started_ms":{}}}"#,
                entry.id, entry.addrs[scheduler], entry.cell, entry.started_ms
            ));
        }
        let full = after.is_none();
        let servers = entries.join(",");
        let body = format!(r#"{{"version":{version},"full":{full},"servers":[{servers}]}}"#);
        ListAnswer { body, listed_workers }
    }
}

/// Returns the number that a key has in the query of a path; `None` if the key is missing or its value is not
/// a number.
fn query_number(path: &str, key: &str) -> Option<u64> {
    let (_, query) = path.split_once('?')?;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let (_, value) = pairs.find(|(name, _)| *name == key)?;
    value.parse().ok()
}
