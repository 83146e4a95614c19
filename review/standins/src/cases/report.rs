//! One worker tells one load report with a wrong number of free slots, while clients send jobs.

use super::{lost, settings, Limits, Site};
use crate::client::{Client, Job, Outcome};
use crate::record::Record;
use std::io;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The memory limit that the configuration states, which the platform enforces.
const MEMORY_MB: u32 = 192;
const CLIENTS: usize = 12;
const JOBS_EACH: usize = 10;
/// The spoilt number: one below zero in 32 bits without a sign.
const SPOILT_FREE_SLOTS: u32 = u32::MAX;

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let mut site =
        Site::start(record, "report", 4, Limits { sockets: 1024, memory_mb: MEMORY_MB }, settings())?;
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
    // The platform: kills the scheduler when it goes over its memory limit, and sees whether it ends.
    let start = Instant::now();
    let mut spoilt = false;
    let mut crash = None;
    let mut peak: f64 = 0.0;
    while threads.iter().any(|thread| !thread.is_finished()) {
        if trouble && !spoilt && start.elapsed() > Duration::from_secs(3) {
            site.workers[0].spoil_next_report(SPOILT_FREE_SLOTS);
            spoilt = true;
        }
        if crash.is_none() {
            peak = peak.max(site.scheduler.memory_mb());
            if let Some(status) = site.scheduler.ended() {
                crash = Some(format!("the scheduler has ended: {status}"));
            } else if peak > f64::from(MEMORY_MB) {
                site.scheduler.kill();
                crash = Some(format!("the scheduler holds {peak:.0} MB, its limit is {MEMORY_MB}: killed"));
            }
            if let Some(crash) = &crash {
                record.say(crash);
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    record.say(&format!("peak memory: {peak:.0} MB of {MEMORY_MB} MB"));
    let lost = lost(record, &outcomes.lock().unwrap());
    record.line(&site.log());
    Ok(crash.is_none() && lost == 0)
}
