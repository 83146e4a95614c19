//! A new configuration moves discovery to an address where each answer takes 3.5 s, and where one worker drains.

use super::{settings, Limits, Site};
use crate::client::{Client, Job};
use crate::discovery::Discovery;
use crate::record::Record;
use std::io;
use std::thread;
use std::time::Duration;

/// How long an answer takes: less than the 4 s after which the list counts as told.
const DELAY: Duration = Duration::from_millis(3_500);
/// After SIGHUP: 4 s until the list counts as told, the grace of 750 ms and the slack of 50 ms.
const LAST_SEND_MS: f64 = 4_800.0;
const JOBS_AFTER: usize = 100;

pub fn run(record: &Record, trouble: bool) -> io::Result<bool> {
    let mut site = Site::start(record, "slow-list", 4, Limits { sockets: 1024, memory_mb: 192 }, settings())?;
    let next = Discovery::start(record, if trouble { DELAY } else { Duration::ZERO })?;
    for (number, worker) in site.workers.iter().enumerate() {
        let state = if number == 0 { "draining" } else { "up" };
        next.set(&worker.id, worker.addr, (number / 2) as u16, state, 0);
    }
    let mut client = Client::new(site.listen, record);
    let mut send = |number: usize| {
        let id = format!("job-{number:03}");
        client.send(&Job { class: "report", id, key: None, expires_ms: 5_000, micros: 100_000 }, 1_000);
        thread::sleep(Duration::from_millis(50));
    };
    (0..10).for_each(&mut send);
    site.scheduler.move_discovery(next.addr)?;
    let moved_at = record.now();
    record.line("the configuration names the new address; SIGHUP");
    (10..10 + JOBS_AFTER).for_each(&mut send);
    site.check_running()?;
    let attempts = site.workers[0].attempts.lock().unwrap();
    let late: Vec<f64> =
        attempts.iter().map(|at| at - moved_at).filter(|after| *after > LAST_SEND_MS).collect();
    if let Some(last) = late.last() {
        record.say(&format!("the draining worker got its last job {last:.0} ms after SIGHUP"));
    }
    record
        .say(&format!("jobs after SIGHUP={JOBS_AFTER} sent to the draining worker too late={}", late.len()));
    record.line(&site.log());
    Ok(late.is_empty())
}
