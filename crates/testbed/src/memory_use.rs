//! Observation of the memory that scheduler processes use, from `/proc`.

use crate::journal::{Journal, Observation};
use std::os::unix::fs::MetadataExt;
use std::time::Duration;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
/// Growth of the peak from which it is recorded again, in KiB.
const MIN_RECORDED_GROWTH_KIB: u64 = 1024;

/// Records the peak of the resident memory of a scheduler's process until the process ends.
pub async fn record_scheduler_memory(journal: Journal, scheduler: usize, process: u32) {
    let path = format!("/proc/{process}/status");
    let mut recorded_kib = 0;
    loop {
        // Checked first: once the process executes the scheduler, its status is that of the scheduler.
        let is_test_bed = executes_test_bed(process);
        let status = std::fs::read_to_string(&path).ok();
        let Some(peak_kib) = status.and_then(|text| parse_peak_kib(&text)) else { return };
        if !is_test_bed && peak_kib >= recorded_kib + MIN_RECORDED_GROWTH_KIB {
            recorded_kib = peak_kib;
            journal.record(Observation::SchedulerMemory { scheduler, peak_kib });
        }
        tokio::time::sleep(SAMPLE_INTERVAL).await;
    }
}

/// Returns whether a process still executes the test bed, because it has not begun to execute the scheduler. Its
/// memory is that of the test bed until then.
fn executes_test_bed(process: u32) -> bool {
    let file_of = |path: &str| std::fs::metadata(path).ok().map(|file| (file.dev(), file.ino()));
    let own_file = file_of("/proc/self/exe");
    own_file.is_some() && file_of(&format!("/proc/{process}/exe")) == own_file
}

/// Parses the peak of the resident memory in a process status; `None` if the process has exited.
fn parse_peak_kib(status: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"))?;
    line.split_whitespace().next()?.parse().ok()
}

#[cfg(test)]
mod tests;
