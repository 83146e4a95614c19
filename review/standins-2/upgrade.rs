//! Upgrades to a second process.

use crate::kit::*;
use std::path::Path;
use std::sync::Arc;

/// An upgrade with a temporary folder whose path is long, while a worker is out.
pub fn long_folder(folder: &Path) -> i32 {
    let settings = Settings::lowell(2);
    let plan: Plan = Arc::new(|_, _| Treatment { run_ms: 400, report_x0: None });
    let site = Site::new(folder, 1, 10, &settings, plan);
    let tmpdir = site.tmpdir("pods/5a0c8f0e-77d1-4b52-9f0a-3c1d2e4f5a6b/volumes/empty-dir/scratch");
    site.record.line(format!("TMPDIR has {} bytes", tmpdir.as_os_str().len()));
    let (mgmt, next_mgmt) = (free_address(), free_address());
    let mut start = site.start(0, &tmpdir, "a", &settings);
    start.mgmt = Some(mgmt);
    let mut old = Scheduler::start(&start);
    if !wait_ready(site.listen[0], 10_000) {
        return 2;
    }
    let load = Load::start(&site.record, &site.listen, 30, |_| ("aging-report", 5_000));
    sleep_ms(3_000);
    let out = "s-00000004";
    let status = call(mgmt, "PUT", &format!("/workers/{out}/maint"), 1_000).0;
    let bound = site.record.t() + settings.grace_ms + 50.0;
    site.record.line(format!("PUT /workers/{out}/maint: {status}; nothing new to it later than {bound:.0}"));
    sleep_ms(4_000);
    let mut logs = Vec::new();
    if trouble() {
        let mut start = site.start(0, &tmpdir, "b", &settings);
        start.mgmt = Some(next_mgmt);
        let next = Scheduler::start(&start);
        site.record.line("second process started");
        while call(next_mgmt, "GET", "/healthcheck", 1_000).0 != 200 && site.record.t() < 20_000.0 {
            sleep_ms(20);
        }
        site.record.line("second process says yes, SIGTERM to the first one");
        old.signal("TERM");
        for _ in 0..370 {
            if !old.is_alive() {
                break;
            }
            sleep_ms(10);
        }
        site.record.line("SIGKILL to the first process, if it still runs");
        old.end();
        logs.push(old);
        old = next;
    }
    sleep_ms(3_000);
    let outcomes = load.finish();
    let counts = summarize(&site.record, &outcomes);
    let attempts = site.attempts.lock().unwrap().clone();
    let late: Vec<_> =
        attempts.iter().filter(|attempt| attempt.worker == out && attempt.t > bound + 50.0).collect();
    for attempt in &late {
        site.record.line(format!("SENT TO A WORKER THAT IS OUT id={} at {:.0}", attempt.id, attempt.t));
    }
    old.end();
    logs.push(old);
    site.close(&logs.iter().collect::<Vec<_>>());
    site.record.line(if late.is_empty() {
        "rule held"
    } else {
        "RULE BROKEN: the ban did not hold over the upgrade"
    });
    if status != 200 || counts.get(&200).copied().unwrap_or(0) < 50 {
        return 2;
    }
    i32::from(!late.is_empty())
}
