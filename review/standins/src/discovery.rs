//! The list of workers, as the protocol page describes it: the whole list, and a watch on changes.

use crate::http::{response, Conn};
use crate::record::Record;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub cell: u16,
    pub state: &'static str,
    pub started_ms: u64,
    version: u64,
}

#[derive(Default)]
struct State {
    version: u64,
    entries: Vec<Entry>,
}

#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
    /// How long each answer takes, beside the time for which a watch waits.
    delay: Duration,
    record: Record,
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

impl Discovery {
    pub fn start(record: &Record, delay: Duration) -> std::io::Result<Discovery> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let state = State { version: 40, entries: Vec::new() };
        let discovery = Discovery {
            addr: listener.local_addr()?,
            shared: Arc::new((Mutex::new(state), Condvar::new())),
            delay,
            record: record.clone(),
        };
        let service = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let service = service.clone();
                thread::spawn(move || service.serve(Conn::new(stream)));
            }
        });
        Ok(discovery)
    }

    /// Adds a worker or changes the state of a listed one.
    pub fn set(&self, id: &str, addr: SocketAddr, cell: u16, state: &'static str, started_ms: u64) {
        let (lock, changed) = &*self.shared;
        let mut list = lock.lock().unwrap();
        list.version += 1;
        let version = list.version;
        let entry = Entry { id: id.to_string(), addr, cell, state, started_ms, version };
        list.entries.retain(|listed| listed.id != id);
        list.entries.push(entry);
        self.record.line(&format!("discovery version={version} worker={id} state={state}"));
        changed.notify_all();
    }

    /// The whole list in discovery's form.
    pub fn whole(&self) -> String {
        let list = self.shared.0.lock().unwrap();
        let listed: Vec<&Entry> = list.entries.iter().filter(|entry| entry.state != "removed").collect();
        json(list.version, true, &listed)
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(call)) = conn.read(None) {
            let target = call.target().to_string();
            let after = parameter(&target, "after");
            let wait = Duration::from_millis(parameter(&target, "wait_ms").unwrap_or(0).min(60_000));
            let body = match after {
                None => self.whole(),
                Some(after) => self.changes(after, wait),
            };
            thread::sleep(self.delay);
            self.record.line(&format!("discovery call={target} answer={body}"));
            if conn.send(&response(200, "Content-Type: application/json\r\n", body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn changes(&self, after: u64, wait: Duration) -> String {
        let (lock, changed) = &*self.shared;
        let until = Instant::now() + wait;
        let mut list = lock.lock().unwrap();
        while list.version <= after {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            list = changed.wait_timeout(list, left).unwrap().0;
        }
        let newer: Vec<&Entry> = list.entries.iter().filter(|entry| entry.version > after).collect();
        json(list.version, false, &newer)
    }
}

fn json(version: u64, full: bool, entries: &[&Entry]) -> String {
    let servers: Vec<String> = entries
        .iter()
        .map(|entry| {
            format!(
                "{{\"id\":\"{}\",\"addr\":\"{}\",\"zone\":\"a\",\"kind\":\"m\",\"cell\":{},\"state\":\"{}\",\
                 \"weight\":1.0,\"started_ms\":{}}}",
                entry.id, entry.addr, entry.cell, entry.state, entry.started_ms
            )
        })
        .collect();
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{}]}}", servers.join(","))
}

fn parameter(target: &str, name: &str) -> Option<u64> {
    let query = target.split_once('?')?.1;
    let pair = query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name)?;
    pair.1.parse::<f64>().ok().map(|value| value as u64)
}
