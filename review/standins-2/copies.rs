//! Attempts of one request that are out at the same time where second copies are not allowed.

use crate::kit::*;
use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;

/// One attempt of a request as a worker has it.
struct Held {
    id: String,
    worker: &'static str,
    number: usize,
}

#[derive(Default)]
struct Fleet {
    /// Attempts that neither ended nor were given up.
    held: Vec<Held>,
    /// How many attempts of each request came.
    counts: HashMap<String, usize>,
    /// Requests whose first attempt was cut off already.
    cut: HashSet<String>,
    copies: usize,
}

/// A worker: it runs what it gets, whatever becomes of the connection, and tells the scheduler.
struct Server {
    name: &'static str,
    scheduler: SocketAddr,
    fleet: Arc<Mutex<Fleet>>,
    record: Record,
}

impl Server {
    fn start(self, listener: TcpListener) {
        let this = Arc::new(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let this = this.clone();
                thread::spawn(move || this.connection(Conn::new(stream)));
            }
        });
    }

    fn connection(self: Arc<Self>, mut conn: Conn) {
        while let Ok(Some(request)) = conn.message() {
            if request.method() == "DELETE" {
                let id = request.target().rsplit('/').next().unwrap_or("").to_string();
                self.record.line(format!("given up worker={} id={id}", self.name));
                let mut fleet = self.fleet.lock().unwrap();
                fleet.held.retain(|held| held.id != id || held.worker != self.name);
            }
            if request.method() != "POST" {
                let _ = conn.write(&response(200, "", "TEXT qps=1, inflight=0, x0=5"));
                continue;
            }
            let id = request.header("X-Trace-Id").unwrap_or("").to_string();
            let is_tested = request.header("X-Qos") == Some("debtor-check");
            let mut fleet = self.fleet.lock().unwrap();
            let count = fleet.counts.entry(id.clone()).or_default();
            *count += 1;
            let number = *count;
            let out = fleet.held.iter().find(|held| held.id == id).map(|held| (held.worker, held.number));
            if let Some((worker, other)) = out {
                fleet.copies += 1;
                self.record.line(format!(
                    "SECOND COPY id={id}: attempt {number} came to {}, attempt {other} is out at {worker}",
                    self.name
                ));
            }
            let cuts = is_tested && number == 1 && trouble() && fleet.cut.insert(id.clone());
            if !cuts {
                fleet.held.push(Held { id: id.clone(), worker: self.name, number });
            }
            drop(fleet);
            self.record.line(format!("attempt {number} worker={} id={id} connection ends={cuts}", self.name));
            let this = self.clone();
            thread::spawn(move || this.run(&id, number, is_tested));
            if cuts {
                return; // the connection ends before the 202: this attempt has ended as a reset
            }
            if conn.write(&response(202, "", "")).is_err() {
                return;
            }
        }
    }

    fn run(&self, id: &str, number: usize, is_tested: bool) {
        // The first attempt of a tested request fails after 0.6 s, every other one is done after a while.
        let fails = is_tested && number == 1;
        sleep_ms(if fails {
            600
        } else if is_tested {
            2_500
        } else {
            100
        });
        {
            let mut fleet = self.fleet.lock().unwrap();
            fleet.held.retain(|held| held.id != id || held.number != number);
        }
        let name = self.name;
        let body = if fails {
            format!("{{\"id\":\"{id}\",\"from\":\"{name}\",\"state\":\"failed\"}}")
        } else {
            format!("{{\"id\":\"{id}\",\"from\":\"{name}\",\"state\":\"done\",\"result\":\"result-{id}\"}}")
        };
        self.record.line(format!("told by {name} about attempt {number}: {body}"));
        for _ in 0..10 {
            let told = (|| -> std::io::Result<bool> {
                let mut conn = Conn::open(self.scheduler, 1_000)?;
                conn.read_timeout(1_000);
                let head =
                    format!("POST /_jobs/news HTTP/1.1\r\nHost: s\r\nContent-Length: {}\r\n\r\n", body.len());
                conn.write(format!("{head}{body}").as_bytes())?;
                Ok(conn.message()?.is_some())
            })();
            if matches!(told, Ok(true)) {
                return;
            }
            sleep_ms(100);
        }
    }
}

/// A connection to a worker ends under a request; the worker runs the request nevertheless and it fails.
pub fn copies(folder: &Path) -> i32 {
    let mut settings = Settings::lowell(2);
    settings.second_copies = false;
    let plan: Plan = Arc::new(|_, _| Treatment { run_ms: 100, report_x0: None });
    let mut site = Site::new(folder, 1, 0, &settings, plan);
    let fleet: Arc<Mutex<Fleet>> = Arc::default();
    let mut entries = Vec::new();
    let mut addresses = HashMap::new();
    for (name, state) in [("s-0000000a", "up"), ("s-0000000b", "removed")] {
        let listener = TcpListener::bind(free_address()).unwrap();
        addresses.insert(name.to_string(), listener.local_addr().unwrap());
        let (fleet, record) = (fleet.clone(), site.record.clone());
        Server { name, scheduler: site.listen[0], fleet, record }.start(listener);
        let (zone, kind) = ("lowell".into(), "fast-5".into());
        entries.push(Entry { name: name.into(), zone, kind, cell: 1, state, started_ms: 0.0 });
    }
    site.discovery = Discovery::new(&site.record, entries);
    site.worker_addresses[0] = addresses.clone();
    let listener = TcpListener::bind(free_address()).unwrap();
    site.discovery_addresses[0] = listener.local_addr().unwrap();
    site.discovery.serve(0, listener, addresses);
    let tmpdir = site.tmpdir("tmp");
    let mut scheduler = Scheduler::start(&site.start(0, &tmpdir, "a", &settings));
    let ready = wait_ready(site.listen[0], 10_000);
    let kept = Kept::default();
    let mut outcomes = Vec::new();
    for _ in 0..4 {
        // Two ordinary jobs, so that an idle connection to the worker is there.
        for _ in 0..2 {
            outcomes.push(submit(&site.record, &kept, 0, site.listen[0], "aging-report", 5_000));
            sleep_ms(200);
        }
        let (record, listen) = (site.record.clone(), site.listen[0]);
        let job = thread::spawn(move || submit(&record, &Kept::default(), 0, listen, "debtor-check", 5_000));
        sleep_ms(300);
        site.discovery.set_state("s-0000000b", "up"); // a worker joins
        outcomes.push(job.join().unwrap());
        site.discovery.set_state("s-0000000b", "removed");
        sleep_ms(1_500);
    }
    let counts = summarize(&site.record, &outcomes);
    let alive = scheduler.is_alive();
    scheduler.end();
    site.close(&[&scheduler]);
    let copies = fleet.lock().unwrap().copies;
    site.record.line(if copies > 0 {
        "RULE BROKEN: two attempts of a request were out at once"
    } else {
        "rule held"
    });
    if !ready || !alive || counts.get(&200).copied().unwrap_or(0) < 8 {
        return 2;
    }
    i32::from(copies > 0)
}
