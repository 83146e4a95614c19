//! Bad clients send hundreds of requests at once, and the same again the moment they are turned away, while ordinary
//! clients send jobs.

use super::{lost, settings, Limits, Site};
use crate::client::{Client, Job, Outcome};
use crate::record::Record;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The memory limit that the configuration states, which the platform enforces.
const MEMORY_MB: u32 = 32;
const CLIENTS: usize = 12;
const JOBS_EACH: usize = 30;
const BAD_CLIENTS: usize = 8;
const REQUESTS_AT_ONCE: usize = 200;

/// Sends requests until `stop`. Each of them asks for more slots than any worker has, and is turned away.
fn send_at_full_speed(
    addr: SocketAddr,
    client: usize,
    stop: &AtomicBool,
    count: &AtomicUsize,
) -> io::Result<()> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let mut buffer = vec![0; 1 << 18];
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let mut requests = String::new();
        for _ in 0..REQUESTS_AT_ONCE {
            number += 1;
            requests += &format!(
                "POST /fund HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: bad-{client}-{number}\r\nX-Qos: fund\r\n\
                 X-Expires-In: 20000m\r\nX-Props: slots=64\r\nIdempotency-Key: k{client}-{number}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
        }
        stream.write_all(requests.as_bytes())?;
        let mut answers = 0;
        while answers < REQUESTS_AT_ONCE {
            let length = stream.read(&mut buffer)?;
            if length == 0 {
                return Ok(());
            }
            // An answer that is split between two reads is not counted; the next requests then come a little later.
            answers += buffer[..length].windows(9).filter(|window| window == b"HTTP/1.1 ").count();
        }
        count.fetch_add(REQUESTS_AT_ONCE, Ordering::Relaxed);
    }
    Ok(())
}

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let limits = Limits { sockets: 1024, memory_mb: MEMORY_MB };
    let mut site = Site::start(record, "flood", 4, limits, settings())?;
    let outcomes: Arc<Mutex<Vec<Outcome>>> = Arc::default();
    let listen = site.listen;
    let mut threads = Vec::new();
    for client in 0..CLIENTS {
        let (record, outcomes) = (record.clone(), outcomes.clone());
        threads.push(thread::spawn(move || {
            let mut sender = Client::new(listen, &record);
            for number in 0..JOBS_EACH {
                let job = Job {
                    class: if client % 2 == 0 { "report" } else { "book" },
                    id: format!("c{client:02}-{number:02}"),
                    key: None,
                    expires_ms: 5_000,
                    micros: 300_000,
                };
                let outcome = sender.send(&job, 1_000);
                outcomes.lock().unwrap().push(outcome);
                thread::sleep(Duration::from_millis(400));
            }
        }));
    }
    let stop = Arc::new(AtomicBool::new(false));
    let count = Arc::new(AtomicUsize::new(0));
    let start = Instant::now();
    let (mut bad_clients_came, mut crash, mut peak) = (false, None, 0.0f64);
    let mut last_line = 0.0;
    while threads.iter().any(|thread| !thread.is_finished()) {
        if trouble && !bad_clients_came && start.elapsed() > Duration::from_secs(3) {
            bad_clients_came = true;
            record.line(&format!("{BAD_CLIENTS} bad clients come"));
            for client in 0..BAD_CLIENTS {
                let (stop, count) = (stop.clone(), count.clone());
                thread::spawn(move || send_at_full_speed(listen, client, &stop, &count));
            }
        }
        if crash.is_none() {
            peak = peak.max(site.scheduler.memory_mb());
            if record.now() > last_line + 500.0 {
                last_line = record.now();
                let requests = count.load(Ordering::Relaxed);
                record.line(&format!(
                    "scheduler: peak memory {peak:.0} MB; requests of bad clients turned away: {requests}"
                ));
            }
            if let Some(status) = site.scheduler.ended() {
                crash = Some(format!("the scheduler has ended: {status}"));
            } else if peak > f64::from(MEMORY_MB) {
                site.scheduler.kill();
                crash = Some(format!("the scheduler holds {peak:.0} MB, its limit is {MEMORY_MB}: killed"));
            }
            if let Some(crash) = &crash {
                stop.store(true, Ordering::Relaxed);
                record.say(&format!(
                    "{crash}, {:.1} s after the bad clients came",
                    start.elapsed().as_secs_f64() - 3.0
                ));
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    stop.store(true, Ordering::Relaxed);
    record.say(&format!(
        "peak memory: {peak:.0} MB of {MEMORY_MB} MB; requests of bad clients: {}",
        count.load(Ordering::Relaxed)
    ));
    let lost = lost(record, &outcomes.lock().unwrap());
    record.line(&site.log());
    Ok(crash.is_none() && lost == 0)
}
