//! Cases of bad clients and spoilt answers: the memory of a scheduler, and its descriptors.

use crate::kit::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

/// The platform: kills the scheduler once it has more memory than its limit. Returns the peak in bytes.
fn watch_memory(
    pid: u32,
    limit: u64,
    record: &Record,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<(u64, bool)> {
    let (record, stop) = (record.clone(), stop.clone());
    thread::spawn(move || {
        let mut peak = 0;
        while !stop.load(Ordering::Relaxed) {
            let Some(memory) = memory_of(pid) else { break };
            peak = peak.max(memory);
            if memory > limit {
                record.line(format!("platform: memory {memory} of {limit} bytes, scheduler killed"));
                let _ =
                    std::process::Command::new("/bin/sh").arg("-c").arg(format!("kill -KILL {pid}")).status();
                return (peak, true);
            }
            sleep_ms(5);
        }
        (peak, false)
    })
}

/// Ends the run and returns its exit code.
fn judge(site: &Site, scheduler: &mut Scheduler, outcomes: &[Outcome], peak: u64, was_killed: bool) -> i32 {
    let alive = scheduler.is_alive();
    let counts = summarize(&site.record, outcomes);
    let unanswered = counts.get(&0).copied().unwrap_or(0);
    site.record.line(format!("peak memory={peak} killed for memory={was_killed} alive at the end={alive}"));
    scheduler.end();
    site.close(&[scheduler]);
    let broken = was_killed || !alive;
    site.record.line(format!("requests without an answer={unanswered}"));
    site.record.line(if broken { "RULE BROKEN: the scheduler crashed" } else { "rule held" });
    if counts.get(&200).copied().unwrap_or(0) < 20 && !broken {
        return 2;
    }
    i32::from(broken)
}

/// One answer of one worker carries a spoilt load report.
pub fn spoilt_report(folder: &Path) -> i32 {
    let done = Arc::new(AtomicU64::new(0));
    let is_on = trouble();
    let plan: Plan = Arc::new(move |_, _| {
        let number = done.fetch_add(1, Ordering::Relaxed);
        // The number of free slots fell to -1 in a counter without a sign.
        let report_x0 = (is_on && number == 60).then_some(u64::from(u32::MAX));
        Treatment { run_ms: 150, report_x0 }
    });
    let site = Site::new(folder, 1, 10, &Settings::lowell(2), plan);
    let tmpdir = site.tmpdir("tmp");
    let mut scheduler = Scheduler::start(&site.start(0, &tmpdir, "a", &Settings::lowell(2)));
    if !wait_ready(site.listen[0], 10_000) {
        scheduler.end();
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = watch_memory(scheduler.pid(), 64 << 20, &site.record, &stop);
    let load = Load::start(&site.record, &site.listen, 20, |_| ("aging-report", 5_000));
    sleep_ms(20_000);
    let outcomes = load.finish();
    stop.store(true, Ordering::Relaxed);
    let (peak, was_killed) = watcher.join().unwrap();
    judge(&site, &mut scheduler, &outcomes, peak, was_killed)
}

/// Hundreds of clients stop in the middle of a request and stay.
pub fn half_requests(folder: &Path) -> i32 {
    let site = Site::new(
        folder,
        1,
        10,
        &Settings::lowell(2),
        Arc::new(|_, _| Treatment { run_ms: 150, report_x0: None }),
    );
    let tmpdir = site.tmpdir("tmp");
    let mut start = site.start(0, &tmpdir, "a", &Settings::lowell(2));
    start.memory_mb = 48;
    start.sockets = 608;
    let limit = start.memory_mb << 20;
    let mut scheduler = Scheduler::start(&start);
    if !wait_ready(site.listen[0], 10_000) {
        scheduler.end();
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let watcher = watch_memory(scheduler.pid(), limit, &site.record, &stop);
    let load = Load::start(&site.record, &site.listen, 20, |_| ("aging-report", 5_000));
    sleep_ms(4_000);
    let held: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    if trouble() {
        let count = 400;
        site.record.line(format!("{count} clients each send a request without the end of its body and stay"));
        let threads: Vec<_> = (0..8)
            .map(|part| {
                let (held, address) = (held.clone(), site.listen[0]);
                thread::spawn(move || send_halves(address, (part..count).step_by(8).count(), &held))
            })
            .collect();
        for thread in threads {
            let _ = thread.join();
        }
        site.record.line(format!("sent by {} clients", held.lock().unwrap().len()));
    }
    sleep_ms(8_000);
    let outcomes = load.finish();
    stop.store(true, Ordering::Relaxed);
    let (peak, was_killed) = watcher.join().unwrap();
    judge(&site, &mut scheduler, &outcomes, peak, was_killed)
}

/// Time after its deadline up to which an answer is only worth nothing.
const LATE_MS: f64 = 500.0;

/// Clients that stop in the middle of a request and stay hold the descriptors.
pub fn crowd(folder: &Path) -> i32 {
    let plan: Plan = Arc::new(|_, _| Treatment { run_ms: 150, report_x0: None });
    let site = Site::new(folder, 1, 10, &Settings::lowell(2), plan);
    let tmpdir = site.tmpdir("tmp");
    let mut start = site.start(0, &tmpdir, "a", &Settings::lowell(2));
    start.sockets = 256;
    let mut scheduler = Scheduler::start(&start);
    if !wait_ready(site.listen[0], 10_000) {
        return 2;
    }
    let load = Load::start(&site.record, &site.listen, 20, |_| ("aging-report", 1_000));
    sleep_ms(4_000);
    let mut held = Vec::new();
    if trouble() {
        site.record.line("256 clients each send the half of a request and stay");
        let request = job_request("aging-report", &new_id(), 5_000, "0123456789");
        for _ in 0..256 {
            if let Ok(mut stream) = TcpStream::connect(site.listen[0]) {
                let _ = stream.write_all(&request.as_bytes()[..request.len() - 5]);
                held.push(stream);
            }
        }
        site.record.line(format!("sent by {}", held.len()));
    }
    sleep_ms(6_000);
    let outcomes = load.finish();
    let counts = summarize(&site.record, &outcomes);
    let mut lost = 0;
    for outcome in &outcomes {
        let late_ms = outcome.ended_at - outcome.sent_at - outcome.expires_ms as f64;
        if outcome.status == 0 || late_ms > LATE_MS + 50.0 {
            lost += 1;
            site.record.line(format!(
                "LOST id={} status={} {late_ms:.0} ms after its time",
                outcome.id, outcome.status
            ));
        }
    }
    let alive = scheduler.is_alive();
    scheduler.end();
    site.close(&[&scheduler]);
    site.record.line(format!("usual requests={} lost={lost}", outcomes.len()));
    site.record.line(if lost > 0 { "RULE BROKEN: taken requests were lost" } else { "rule held" });
    if !alive || counts.get(&200).copied().unwrap_or(0) < 50 {
        return 2;
    }
    i32::from(lost > 0)
}

fn send_halves(address: SocketAddr, count: usize, held: &Mutex<Vec<TcpStream>>) {
    for _ in 0..count {
        // The body comes in chunks; the first one is complete, the next one never comes.
        let head = job_request("aging-report", &new_id(), 5_000, "");
        let head = head.replace("Content-Length: 0", "Transfer-Encoding: chunked");
        let request = format!("{head}{:x}\r\n{}\r\n", 65_000, "x".repeat(65_000));
        if let Ok(mut stream) = TcpStream::connect(address) {
            let _ = stream.set_nodelay(true);
            let _ = stream.write_all(request.as_bytes());
            held.lock().unwrap().push(stream);
        }
    }
}
