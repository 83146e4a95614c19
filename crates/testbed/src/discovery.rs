//! Stand-in discovery: the list of workers, whole or as a watch on changes, for each scheduler with addresses of its
//! own.

use crate::journal::{Journal, Observation};
use crate::scenario::Fleet;
use crate::wire::{self, Line, Wire};
use crate::workers::name;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;

#[derive(Clone)]
struct Entry {
    /// Its name on the list.
    id: String,
    addrs: Vec<SocketAddr>,
    cell: usize,
    drains: bool,
    started_ms: u64,
    version: u64,
}

/// How discovery writes its answers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ResponseStyle {
    /// Whole.
    #[default]
    Whole,
    /// Cut off in the middle, and the connection with it.
    Cut,
    /// In pieces, with a rest after each.
    Slow,
}

/// A slow answer is written in so many pieces, with this rest after each.
const PIECES: usize = 4;
const REST: Duration = Duration::from_millis(40);

/// The list and who asks for it.
pub struct Discovery {
    /// The workers of the run, then those that are only listed.
    list: Mutex<Vec<Entry>>,
    /// How many of them are workers of the run.
    workers: usize,
    version: watch::Sender<u64>,
    down: watch::Sender<bool>,
    style: watch::Sender<ResponseStyle>,
    /// Where each scheduler asks.
    pub addrs: Vec<SocketAddr>,
    journal: Journal,
}

fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |t| t.as_millis() as u64)
}

impl Discovery {
    /// Starts it, with these workers' addresses, one list for each scheduler.
    ///
    /// # Errors
    /// No address could be had.
    pub async fn start(
        workers: Vec<Vec<SocketAddr>>,
        fleet: &Fleet,
        schedulers: usize,
        journal: Journal,
    ) -> std::io::Result<Arc<Discovery>> {
        let entry = |(n, addrs): (usize, Vec<SocketAddr>)| {
            let (id, cell) = (name(n), n / fleet.cell.max(1));
            Entry { id, addrs, cell, drains: false, started_ms: 0, version: 1 }
        };
        let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
        let listed = |n: usize| Entry {
            id: format!("listed-{n:04}"),
            addrs: vec![nowhere; schedulers],
            cell: n,
            drains: true,
            started_ms: 0,
            version: 1,
        };
        let (count, listed) = (workers.len(), (0..fleet.listed).map(listed));
        let list = workers.into_iter().enumerate().map(entry).chain(listed).collect();
        let (mut addrs, mut listeners) = (Vec::new(), Vec::new());
        for _ in 0..schedulers {
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            addrs.push(listener.local_addr()?);
            listeners.push(listener);
        }
        let discovery = Arc::new(Discovery {
            list: Mutex::new(list),
            workers: count,
            version: watch::channel(1).0,
            down: watch::channel(false).0,
            style: watch::channel(ResponseStyle::Whole).0,
            addrs,
            journal,
        });
        for (scheduler, listener) in listeners.into_iter().enumerate() {
            let discovery = discovery.clone();
            tokio::spawn(async move {
                while let Ok((stream, _)) = listener.accept().await {
                    if *discovery.down.borrow() {
                        continue;
                    }
                    let (discovery, mut down) = (discovery.clone(), discovery.down.subscribe());
                    tokio::spawn(async move {
                        tokio::select! {
                            _ = discovery.serve(scheduler, Wire::new(stream)) => {}
                            _ = down.wait_for(|down| *down) => {}
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
            Err(poisoned) => poisoned.into_inner(), // a panic elsewhere; the run fails by that
        }
    }

    fn change(&self, worker: usize, change: impl FnOnce(&mut Entry)) {
        let next = *self.version.borrow() + 1;
        if let Some(entry) = self.list().get_mut(worker) {
            change(entry);
            entry.version = next;
        }
        self.version.send_replace(next);
    }

    /// All that are only listed are replaced.
    pub fn replace_listed(&self) {
        let next = *self.version.borrow() + 1;
        for entry in self.list().iter_mut().skip(self.workers) {
            (entry.started_ms, entry.version) = (unix_ms(), next);
        }
        self.version.send_replace(next);
    }

    /// A worker drains, or no more.
    pub fn drain(&self, worker: usize, drains: bool) {
        self.change(worker, |e| e.drains = drains);
    }

    /// A worker has started.
    pub fn started(&self, worker: usize) {
        self.change(worker, |e| (e.drains, e.started_ms) = (false, unix_ms()));
    }

    /// It goes down, with all that is asked of it, or comes back.
    pub fn set_down(&self, down: bool) {
        self.down.send_replace(down);
    }

    /// It writes its answers so from now on.
    pub fn set_style(&self, style: ResponseStyle) {
        self.style.send_replace(style);
    }

    /// Writes an answer in the present style; says whether the connection goes on.
    async fn write(&self, wire: &mut Wire, answer: &[u8]) -> bool {
        let style = *self.style.borrow();
        match style {
            ResponseStyle::Whole => wire.send(answer).await.is_ok(),
            ResponseStyle::Cut => {
                let _ = wire.send(&answer[..answer.len() / 2]).await; // it ends here in any case
                false
            }
            ResponseStyle::Slow => {
                for piece in answer.chunks(answer.len().div_ceil(PIECES)) {
                    if wire.send(piece).await.is_err() {
                        return false;
                    }
                    tokio::time::sleep(REST).await;
                }
                true
            }
        }
    }

    async fn serve(&self, scheduler: usize, mut wire: Wire) {
        while let Ok(Some(message)) = wire.message().await {
            let Line::Request(_, path) = &message.line else { return };
            let query = path.split_once('?').map_or("", |(_, q)| q);
            let number = |key: &str| {
                let pairs = query.split('&').filter_map(|p| p.split_once('='));
                pairs.into_iter().find(|(k, _)| *k == key).and_then(|(_, v)| v.parse::<u64>().ok())
            };
            let after = number("after");
            if let Some(after) = after {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0).min(60_000));
                let mut version = self.version.subscribe();
                let _ = tokio::time::timeout(wait, version.wait_for(|v| *v > after)).await;
                // or nothing is new
            }
            let (body, told) = self.told(scheduler, after);
            // Told once it is written, whether or not it arrives whole: from then on the time for drains counts.
            for (worker, drains) in told {
                self.journal.write(Observation::Told { worker, scheduler, drains });
            }
            if !self.write(&mut wire, &wire::answer(200, &[], body.as_bytes())).await {
                return;
            }
        }
    }

    /// The list for a scheduler, or what is new in it since a version; and what that tells of drains.
    pub fn told(&self, scheduler: usize, after: Option<u64>) -> (String, Vec<(usize, bool)>) {
        let version = *self.version.borrow();
        let list = self.list();
        let new = list.iter().enumerate().filter(|(_, e)| after.is_none_or(|after| e.version > after));
        let (mut entries, mut told) = (Vec::new(), Vec::new());
        for (n, e) in new {
            if n < self.workers {
                told.push((n, e.drains));
            }
            let state = if e.drains { "draining" } else { "up" };
            entries.push(format!(
                r#"{{"id":"{}","addr":"{}","zone":"a","kind":"k","cell":{},"state":"{state}","weight":1.0,"started_ms":{}}}"#,
                e.id, e.addrs[scheduler], e.cell, e.started_ms
            ));
        }
        let full = after.is_none();
        let servers = entries.join(",");
        (format!(r#"{{"version":{version},"full":{full},"servers":[{servers}]}}"#), told)
    }
}
