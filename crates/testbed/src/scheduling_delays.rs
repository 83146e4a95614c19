//! Observation of how long the operating system keeps processes waiting for a processor although they could run,
//! from `/proc`. Without it, a delay of the machine cannot be told from one of the program.

use crate::journal::{Journal, Observation};
use std::collections::HashMap;
use std::path::Path;
use std::time::Duration;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Wait from which a sample is recorded, in milliseconds.
const MIN_RECORDED_WAIT_MS: f64 = 5.0;

/// Records the waits of the process of a scheduler until the process ends.
pub async fn record_scheduler_waits(journal: Journal, scheduler: usize, process: u32) {
    let path = format!("/proc/{process}/schedstat");
    let mut total_ms = 0.0;
    while let Some(new_total_ms) = total_wait_ms(Path::new(&path)) {
        let ms = new_total_ms - total_ms;
        total_ms = new_total_ms;
        if ms >= MIN_RECORDED_WAIT_MS {
            journal.record(Observation::SchedulerWaited { scheduler, ms });
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Records the longest wait of a thread of the test bed in each interval, until aborted.
pub async fn record_own_waits(journal: Journal) {
    let mut totals_ms = HashMap::new();
    loop {
        let ms = longest_thread_wait_ms(&mut totals_ms);
        if ms >= MIN_RECORDED_WAIT_MS {
            journal.record(Observation::TestBedWaited { ms });
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Returns the longest wait of a thread of this process since the totals were read last, and updates them.
fn longest_thread_wait_ms(totals_ms: &mut HashMap<std::ffi::OsString, f64>) -> f64 {
    let Ok(threads) = std::fs::read_dir("/proc/self/task") else { return 0.0 };
    let mut longest_ms: f64 = 0.0;
    for thread in threads.flatten() {
        let Some(total_ms) = total_wait_ms(&thread.path().join("schedstat")) else { continue };
        let earlier_ms = totals_ms.insert(thread.file_name(), total_ms).unwrap_or(total_ms);
        longest_ms = longest_ms.max(total_ms - earlier_ms);
    }
    longest_ms
}

/// Reads the total time for which a thread has waited for a processor; `None` if it has ended or the system
/// does not report it.
fn total_wait_ms(path: &Path) -> Option<f64> {
    parse_total_wait_ms(&std::fs::read_to_string(path).ok()?)
}

/// Parses the second field of `schedstat`, in nanoseconds.
fn parse_total_wait_ms(text: &str) -> Option<f64> {
    let nanoseconds: f64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(nanoseconds / 1e6)
}

#[cfg(test)]
mod tests;
