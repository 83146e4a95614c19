//! How the cost of adding, cancelling and releasing a job grows with the number of jobs that are held.

use criterion::{criterion_group, criterion_main, BatchSize, BenchmarkId, Criterion};
use postusher_deferred_jobs::*;
use std::hint::black_box;

const ALL: FreeCapacity = FreeCapacity { free: 1_000_000, total: 1_000_000, largest_free: 1_000 };

/// A room with so many jobs: a third wait for a time, a third for one job, a third each for one of their own.
fn full(n: u32) -> Room {
    let mut room = Room::new(Limits { jobs: usize::MAX, per_client: usize::MAX, ..Limits::default() });
    room.opened("hub");
    for id in 0..n {
        let (name, own) = (format!("job-{id:08x}"), format!("own-{id:08x}"));
        let wish = match id % 3 {
            0 => Wish { after: Vec::new(), start: Some(1e6 + f64::from(id % 977)) },
            1 => Wish { after: vec![After::served("hub")], start: None },
            _ => {
                room.opened(&own);
                Wish { after: vec![After::served(&own)], start: None }
            }
        };
        room.hold(Newcomer::new(JobId(id), &name, 1e9, wish), 0.0).unwrap();
    }
    room
}

fn sizes(c: &mut Criterion) {
    for n in [1_000u32, 10_000, 100_000] {
        let mut group = c.benchmark_group("room");
        let mut room = full(n);
        let mut id = n;
        group.bench_function(BenchmarkId::new("add and cancel", n), |b| {
            b.iter(|| {
                id = id.wrapping_add(1).max(n);
                let wish = Wish { after: vec![After::served("hub")], start: Some(2e6) };
                room.hold(Newcomer::new(JobId(id), "newcomer", 1e9, wish), 0.0).unwrap();
                room.ended("newcomer", JobEndStatus::Disconnected, 0.0);
            })
        });
        group.bench_function(BenchmarkId::new("ready and release", n), |b| {
            b.iter(|| {
                id = id.wrapping_add(1).max(n);
                room.opened("first");
                let wish = Wish { after: vec![After::served("first")], start: None };
                room.hold(Newcomer::new(JobId(id), "second", 1e9, wish), 0.0).unwrap();
                room.ended("first", JobEndStatus::Served, 0.0);
                room.release(ALL, 0.0);
                black_box(room.decisions());
                room.ended("second", JobEndStatus::Served, 0.0);
            })
        });
        group.sample_size(10);
        group.bench_function(BenchmarkId::new("one job frees a third", n), |b| {
            b.iter_batched(
                || full(n),
                |mut room| {
                    room.ended("hub", JobEndStatus::Served, 0.0);
                    room
                },
                BatchSize::PerIteration,
            )
        });
        group.finish();
    }
}

criterion_group!(benches, sizes);
criterion_main!(benches);
