//! Keyed jobs fail at their first worker; the connection to the worker for the retry comes up late.

use super::{settings_with, Limits, Site};
use crate::client::{Client, Job};
use crate::http::{request, response, Conn, Message};
use crate::record::Record;
use crate::scheduler::free_address;
use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

extern "C" {
    fn listen(socket: i32, backlog: i32) -> i32;
}

/// `WindowMs` of the class: the workers of a cell drop a repeat for this time.
const WINDOW_MS: f64 = 3_000.0;
/// The slack of the protocol page for every time limit.
const SLACK_MS: f64 = 50.0;
/// A job ends as `failed` this long after its first worker got it.
const FAILS_AFTER: Duration = Duration::from_millis(2_600);
/// How long before the failure the other worker of the cell stops accepting connections, and how long it takes
/// until it accepts them again. A connection that is begun meanwhile comes up with the system's next try, one
/// second later.
const STOPS_BEFORE: Duration = Duration::from_millis(200);
const STOPS_FOR: Duration = Duration::from_millis(600);
const JOBS: usize = 6;

/// What the workers know together.
#[derive(Default)]
struct Fleet {
    /// When the workers of a cell first got a key, and when they applied it, by cell and key.
    keys: HashMap<(usize, String), Vec<f64>>,
    /// The attempts of each job: the worker, and when its first byte and its last byte had come.
    attempts: HashMap<String, Vec<(usize, f64, f64)>>,
}

struct Worker {
    number: usize,
    addr: SocketAddr,
    /// Until when the worker accepts no connection.
    stopped_until: Mutex<Instant>,
    listener: TcpListener,
}

struct Context {
    workers: Vec<Arc<Worker>>,
    fleet: Mutex<Fleet>,
    scheduler: OnceLock<SocketAddr>,
    /// Whether the retry of this job meets a late connection.
    late_jobs: Mutex<Vec<String>>,
    record: Record,
}

impl Worker {
    fn bind(number: usize) -> io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        // A short queue: connections wait for the worker as soon as it accepts none.
        unsafe { listen(listener.as_raw_fd(), 0) };
        Ok(Worker {
            number,
            addr: listener.local_addr()?,
            stopped_until: Mutex::new(Instant::now()),
            listener,
        })
    }

    fn cell(&self) -> usize {
        self.number / 2
    }

    fn name(&self) -> String {
        format!("s-{}", self.number)
    }

    fn accept(self: Arc<Worker>, context: Arc<Context>) {
        loop {
            let until = *self.stopped_until.lock().unwrap();
            let wait = until.saturating_duration_since(Instant::now());
            if !wait.is_zero() {
                thread::sleep(wait);
            }
            let Ok((stream, _)) = self.listener.accept() else { return };
            let (worker, context) = (self.clone(), context.clone());
            thread::spawn(move || worker.serve(Conn::new(stream), &context));
        }
    }

    /// Accepts nothing for a while. Connections of its own fill the queue, so that the system holds back others.
    fn stop_accepting(self: &Arc<Worker>, context: &Arc<Context>) {
        *self.stopped_until.lock().unwrap() = Instant::now() + STOPS_FOR;
        context.record.line(&format!("worker={} accepts no connection for {STOPS_FOR:?}", self.name()));
        let addr = self.addr;
        // The first of these ends the accept that is waiting already; the others fill the queue.
        for _ in 0..3 {
            thread::spawn(move || {
                let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(2));
                thread::sleep(Duration::from_secs(2));
                drop(stream);
            });
            thread::sleep(Duration::from_millis(20));
        }
    }

    fn serve(self: Arc<Worker>, mut conn: Conn, context: &Arc<Context>) {
        loop {
            let Ok(first) = conn.wait_for_first_byte() else { return };
            if !first {
                return;
            }
            let first_byte = context.record.now();
            let Ok(Some(message)) = conn.read(None) else { return };
            let answer = match message.method() {
                "POST" => self.clone().take(&message, first_byte, context),
                _ => response(200, "", b"inflight=0, x0=5"),
            };
            if conn.send(&answer).is_err() || message.method() == "POST" {
                return; // the answer says that the connection closes
            }
        }
    }

    fn take(self: Arc<Worker>, message: &Message, first_byte: f64, context: &Arc<Context>) -> Vec<u8> {
        let now = context.record.now();
        let id = message.header("X-Trace-Id").unwrap_or("").to_string();
        let key = message.header("Idempotency-Key").unwrap_or("").to_string();
        let mut fleet = context.fleet.lock().unwrap();
        let attempts = fleet.attempts.entry(id.clone()).or_default();
        attempts.push((self.number, first_byte, now));
        let number = attempts.len();
        context.record.line(&format!(
            "worker={} cell={} attempt={number} id={id} key={key}",
            self.name(),
            self.cell()
        ));
        // The workers of a cell drop a repeat within the window: it is answered and not applied again.
        let applied = fleet.keys.entry((self.cell(), key.clone())).or_default();
        if applied.last().is_none_or(|at| now > at + WINDOW_MS) {
            applied.push(now);
            context.record.line(&format!("worker={} applies key={key}", self.name()));
        } else {
            context.record.line(&format!("worker={} drops the repeat of key={key}", self.name()));
        }
        drop(fleet);
        let (worker, context) = (self.clone(), context.clone());
        thread::spawn(move || worker.run(&id, number, &context));
        response(202, "Connection: close\r\n", b"")
    }

    fn run(&self, id: &str, attempt: usize, context: &Arc<Context>) {
        if attempt > 1 {
            thread::sleep(Duration::from_millis(200));
            return self.tell(id, "done", context);
        }
        thread::sleep(FAILS_AFTER - STOPS_BEFORE);
        if context.late_jobs.lock().unwrap().iter().any(|late| late == id) {
            let other = &context.workers[self.number ^ 1];
            other.stop_accepting(context);
            thread::sleep(STOPS_BEFORE - Duration::from_millis(60));
        } else {
            thread::sleep(STOPS_BEFORE);
        }
        self.tell(id, "failed", context);
    }

    fn tell(&self, id: &str, state: &str, context: &Arc<Context>) {
        let body = format!(
            "{{\"id\":\"{id}\",\"from\":\"{}\",\"state\":\"{state}\",\"result\":\"{}\",\
             \"load\":{{\"inflight\":0,\"x0\":5}}}}",
            self.name(),
            crate::worker::result_of(id)
        );
        let call = request("POST /_jobs/news", "Host: scheduler\r\nConnection: close\r\n", body.as_bytes());
        for _ in 0..10 {
            let Some(addr) = context.scheduler.get() else { return };
            let answer = Conn::connect(*addr, Duration::from_secs(1)).and_then(|mut conn| {
                conn.send(&call)?;
                conn.read(Some(Instant::now() + Duration::from_secs(1)))
            });
            if let Ok(Some(answer)) = answer {
                let status = answer.status();
                return context
                    .record
                    .line(&format!("worker={} tells id={id} state={state} answer={status}", self.name()));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let mut workers = Vec::new();
    for number in 0..4 {
        workers.push(Arc::new(Worker::bind(number)?));
    }
    let listed: Vec<(String, SocketAddr)> =
        workers.iter().map(|worker| (worker.name(), worker.addr)).collect();
    let context = Arc::new(Context {
        workers: workers.clone(),
        fleet: Mutex::default(),
        scheduler: OnceLock::new(),
        late_jobs: Mutex::default(),
        record: record.clone(),
    });
    for worker in &workers {
        let (worker, context) = (worker.clone(), context.clone());
        thread::spawn(move || worker.accept(context));
    }
    let settings = settings_with(1_500, WINDOW_MS as u32, false);
    let limits = Limits { sockets: 1024, memory_mb: 192 };
    let mut site = Site::start_at(record, "window", free_address()?, &listed, limits, settings)?;
    let _ = context.scheduler.set(site.listen);
    let mut client = Client::new(site.listen, record);
    for number in 0..JOBS {
        let job = Job {
            class: "fund",
            id: format!("fund-{number}"),
            key: Some(format!("invoice-{number}")),
            expires_ms: 20_000,
            micros: 1_000_000,
        };
        if trouble && number % 2 == 1 {
            context.late_jobs.lock().unwrap().push(job.id.clone());
        }
        client.send(&job, 1_000);
        thread::sleep(Duration::from_millis(1_000));
    }
    site.check_running()?;
    let mut broken = 0;
    let fleet = context.fleet.lock().unwrap();
    let mut ids: Vec<&String> = fleet.attempts.keys().collect();
    ids.sort();
    for id in ids {
        let attempts = &fleet.attempts[id];
        let (first_worker, _, first_at) = attempts[0];
        for (worker, first_byte, _) in &attempts[1..] {
            let after = first_byte - first_at;
            if after > WINDOW_MS + SLACK_MS {
                broken += 1;
                record.say(&format!(
                    "job {id}: sent to s-{first_worker}, and again to s-{worker} {after:.0} ms later; the window is {WINDOW_MS} ms"
                ));
            }
            if worker / 2 != first_worker / 2 {
                broken += 1;
                record.say(&format!("job {id}: sent to s-{first_worker}, and to s-{worker} of another cell"));
            }
        }
    }
    let twice = fleet.keys.values().filter(|applied| applied.len() > 1).count();
    record.say(&format!("jobs={JOBS} sent again after the window={broken} applied twice={twice}"));
    record.line(&site.log());
    Ok(broken == 0)
}
