//! How the cost of adding, cancelling and releasing a job grows with the number of jobs that are held.

use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion};
use postusher_deferred_jobs::{
    DeferralQueue, DeferredJob, Dependency, FreeCapacity, JobEndStatus, JobId, Limits, StartConditions,
};
use std::hint::black_box;

const ALL: FreeCapacity = FreeCapacity { free: 1_000_000, total: 1_000_000, largest_free: 1_000 };

/// A queue with so many jobs: a third wait for a time, a third for one common job, a third each for one of their own.
fn full(n: u32) -> DeferralQueue {
    let mut queue = DeferralQueue::new(Limits {
        max_jobs: usize::MAX,
        max_jobs_per_client: usize::MAX,
        ..Limits::default()
    });
    queue.record_start("hub");
    for id in 0..n {
        let (name, own) = (format!("job-{id:08x}"), format!("own-{id:08x}"));
        let conditions = match id % 3 {
            0 => StartConditions { dependencies: Vec::new(), not_before: Some(1e6 + f64::from(id % 977)) },
            1 => StartConditions { dependencies: vec![Dependency::served("hub")], not_before: None },
            _ => {
                queue.record_start(&own);
                StartConditions { dependencies: vec![Dependency::served(&own)], not_before: None }
            }
        };
        queue.defer(DeferredJob::new(JobId(id), &name, 1e9, conditions), 0.0).unwrap();
    }
    queue
}

fn sizes(c: &mut Criterion) {
    for n in [1_000u32, 10_000, 100_000] {
        let mut group = c.benchmark_group("queue");
        let mut queue = full(n);
        let mut id = n;
        group.bench_function(BenchmarkId::new("add and cancel", n), |b| {
            b.iter(|| {
                id = id.wrapping_add(1).max(n);
                let conditions =
                    StartConditions { dependencies: vec![Dependency::served("hub")], not_before: Some(2e6) };
                queue.defer(DeferredJob::new(JobId(id), "new", 1e9, conditions), 0.0).unwrap();
                queue.record_end("new", JobEndStatus::Disconnected, 0.0);
            })
        });
        group.bench_function(BenchmarkId::new("ready and release", n), |b| {
            b.iter(|| {
                id = id.wrapping_add(1).max(n);
                queue.record_start("first");
                let conditions =
                    StartConditions { dependencies: vec![Dependency::served("first")], not_before: None };
                queue.defer(DeferredJob::new(JobId(id), "second", 1e9, conditions), 0.0).unwrap();
                queue.record_end("first", JobEndStatus::Served, 0.0);
                queue.release(ALL, 0.0);
                black_box(queue.take_decisions());
                queue.record_end("second", JobEndStatus::Served, 0.0);
            })
        });
        group.sample_size(10);
        group.bench_function(BenchmarkId::new("one job frees a third", n), |b| {
            b.iter_batched(
                || full(n),
                |mut queue| {
                    queue.record_end("hub", JobEndStatus::Served, 0.0);
                    queue
                },
                BatchSize::PerIteration,
            )
        });
        group.finish();
    }
}

criterion_group!(benches, sizes);
criterion_main!(benches);
