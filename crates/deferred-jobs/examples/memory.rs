//! Prints the resident memory of deferred jobs without their bodies (Linux only). The optional argument is
//! the number of jobs.

use postusher_deferred_jobs::{
    DeferralError, DeferralQueue, DeferredJob, Dependency, JobId, Limits, StartConditions,
};

const DEFAULT_JOBS: u32 = 100_000;

fn resident_kib() -> Option<u64> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let size = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    size.trim().trim_end_matches(" kB").parse().ok()
}

fn main() -> Result<(), DeferralError> {
    let jobs = std::env::args().nth(1).and_then(|text| text.parse().ok()).unwrap_or(DEFAULT_JOBS);
    let before = resident_kib();
    let limits = Limits { max_jobs: usize::MAX, max_jobs_per_client: usize::MAX, ..Limits::default() };
    let mut queue = DeferralQueue::new(limits);
    for id in 0..jobs {
        let dependency = format!("{:032x}", u64::from(id) << 20);
        let trace_id = format!("{:032x}", (u64::from(id) << 20) + 1);
        queue.record_start(&dependency);
        let conditions = StartConditions {
            dependencies: vec![Dependency::served(&dependency), Dependency::any_outcome("hub")],
            not_before: Some(f64::from(id)),
        };
        queue.defer(DeferredJob::new(JobId(id), &trace_id, 1e9, conditions), 0.0)?;
    }
    let (Some(before), Some(after)) = (before, resident_kib()) else {
        println!("resident memory is not available: /proc/self/status cannot be read");
        return Ok(());
    };
    let deferred = queue.statistics(0.0).deferred;
    let kib = (after - before) as f64;
    let mib = kib / 1024.0;
    let bytes_per_job = kib * 1024.0 / f64::from(jobs);
    println!(
        "{deferred} jobs with two dependencies and a start time: {mib:.1} MiB, {bytes_per_job:.0} bytes each"
    );
    Ok(())
}
