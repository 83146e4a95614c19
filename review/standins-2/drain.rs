//! Workers that begin to drain.

use crate::kit::*;
use std::net::TcpListener;
use std::path::Path;
use std::sync::Arc;

/// Time after the first silence of discovery at which it can be reached again.
const CUT_MS: u64 = 16_900;
/// Time after its return at which every change counts as told.
const TOLD_MS: f64 = 6_000.0;
/// Added to every time limit on sockets.
const SLACK_MS: f64 = 50.0;
/// Added to the bound for the way to the worker and for the stand-in's threads.
const DELIVERY_MS: f64 = 50.0;

/// Discovery is cut off twice; each time a worker begins to drain.
pub fn long_cut(folder: &Path) -> i32 {
    let settings = Settings::athens(6);
    let plan: Plan = Arc::new(|_, _| Treatment { run_ms: 300, report_x0: None });
    let site = Site::new(folder, 6, 10, &settings, plan);
    let tmpdir = site.tmpdir("tmp");
    let mut schedulers = Vec::new();
    for number in 0..6 {
        schedulers.push(Scheduler::start(&site.start(number, &tmpdir, "a", &settings)));
    }
    let ready = site.listen.iter().all(|address| wait_ready(*address, 10_000));
    let load = Load::start(&site.record, &site.listen, 20, |_| ("slot-search", 8_000));
    sleep_ms(2_000);
    let mut bounds = Vec::new();
    for worker in ["s-00000002", "s-00000006"] {
        site.discovery.set_state("s-00000009", "up"); // every watch is answered and begins again
        sleep_ms(300);
        let since = site.record.t();
        if trouble() {
            site.discovery.set_cut(true);
        }
        sleep_ms(10_000);
        site.discovery.set_state(worker, "draining");
        sleep_ms(CUT_MS - 10_000);
        let back = site.record.t();
        if trouble() {
            site.discovery.set_cut(false);
        }
        site.record.line(format!("discovery was away for {:.0} ms", back - since));
        let bound = back + TOLD_MS + settings.grace_ms + SLACK_MS;
        site.record.line(format!("nothing new to {worker} later than {bound:.0}"));
        bounds.push((worker, bound));
        sleep_ms(11_000);
    }
    let outcomes = load.finish();
    let counts = summarize(&site.record, &outcomes);
    let alive = schedulers.iter_mut().all(Scheduler::is_alive);
    let mut late = 0;
    for attempt in site.attempts.lock().unwrap().iter() {
        for (worker, bound) in &bounds {
            if attempt.worker == *worker && attempt.t > bound + DELIVERY_MS {
                late += 1;
                let by = attempt.t - bound;
                site.record.line(format!(
                    "SENT LATE worker={worker} scheduler={} id={} {by:.0} ms after the bound",
                    attempt.scheduler, attempt.id
                ));
            }
        }
    }
    for scheduler in &mut schedulers {
        scheduler.end();
    }
    site.close(&schedulers.iter().collect::<Vec<_>>());
    site.record.line(if late > 0 { "RULE BROKEN: sent to a draining worker" } else { "rule held" });
    if !ready || !alive || counts.get(&200).copied().unwrap_or(0) < 100 {
        return 2;
    }
    i32::from(late > 0)
}

/// New configurations in quick succession, each of which moves discovery, while discovery is slow.
pub fn configurations(folder: &Path) -> i32 {
    let settings = Settings::athens(3);
    let plan: Plan = Arc::new(|_, _| Treatment { run_ms: 500, report_x0: None });
    let mut site = Site::new(folder, 1, 10, &settings, plan);
    let tmpdir = site.tmpdir("tmp");
    let mut scheduler = Scheduler::start(&site.start(0, &tmpdir, "a", &settings));
    let ready = wait_ready(site.listen[0], 10_000);
    let load = Load::start(&site.record, &site.listen, 40, |_| ("slot-search", 8_000));
    site.discovery.set_delay(2_500);
    sleep_ms(6_000);
    let worker = "s-00000002";
    site.discovery.set_state(worker, "draining");
    let had_at = site.record.t();
    let mut first = None;
    for _ in 0..if trouble() { 4 } else { 0 } {
        let listener = TcpListener::bind(free_address()).unwrap();
        site.discovery_addresses[0] = listener.local_addr().unwrap();
        let served = site.discovery.serve(0, listener, site.worker_addresses[0].clone());
        let old = std::mem::replace(&mut site.discovery_served[0], served);
        site.start(0, &tmpdir, "a", &settings).write_config();
        scheduler.signal("HUP");
        old.retire();
        first.get_or_insert(site.record.t());
        site.record.line(format!("new configuration, SIGHUP: discovery={}", site.discovery_addresses[0]));
        sleep_ms(2_000);
    }
    // 4 s after the first SIGHUP, or 6 s after discovery had the change, whichever is later.
    let told = (had_at + TOLD_MS).max(first.unwrap_or(had_at) + 4_000.0);
    let bound = told + settings.grace_ms + SLACK_MS;
    site.record.line(format!("nothing new to {worker} later than {bound:.0}"));
    sleep_ms(8_000);
    let outcomes = load.finish();
    let counts = summarize(&site.record, &outcomes);
    let alive = scheduler.is_alive();
    let mut late = 0;
    for attempt in site.attempts.lock().unwrap().iter() {
        if attempt.worker == worker && attempt.t > bound + DELIVERY_MS {
            late += 1;
            site.record.line(format!(
                "SENT LATE id={} {:.0} ms after the bound",
                attempt.id,
                attempt.t - bound
            ));
        }
    }
    scheduler.end();
    site.close(&[&scheduler]);
    site.record.line(if late > 0 { "RULE BROKEN: sent to a draining worker" } else { "rule held" });
    if !ready || !alive || counts.get(&200).copied().unwrap_or(0) < 100 {
        return 2;
    }
    i32::from(late > 0)
}
