//! Shares of requests by weight.

use crate::rig::{block_on, import_samples, imported, load, stand_in, Scheduler};
use postusher_setup::{Pool, Role, State, Worker};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The part of a pool's requests that each worker is meant to have: by weight, within the lowest set that is live.
fn intended(pool: &Pool) -> BTreeMap<String, f64> {
    let gets = |w: &&Worker| w.state == State::Live && w.role == Role::Active;
    let set = pool.workers.iter().filter(gets).map(|w| w.set).min().unwrap();
    let of: Vec<&Worker> = pool.workers.iter().filter(gets).filter(|w| w.set == set).collect();
    let total: f64 = of.iter().map(|w| w.weight).sum();
    of.into_iter().map(|w| (w.addr.clone(), w.weight / total)).collect()
}

/// Within 2 points of the whole or 5% of the share, whichever is more.
fn within(had: &BTreeMap<String, usize>, meant: &BTreeMap<String, f64>, what: &str) {
    let total: usize = had.values().sum();
    for (name, count) in had {
        assert!(meant.contains_key(name), "{what}: {name} has {count} and is meant to have none");
    }
    for (name, share) in meant {
        let got = had.get(name).copied().unwrap_or(0) as f64 / total as f64;
        assert!(
            (got - share).abs() <= 0.02f64.max(0.05 * share),
            "{what}: {name} has {got:.3}, meant {share:.3}: {had:?}"
        );
    }
}

#[test]
fn every_import_sample_runs_with_the_intended_shares() {
    block_on(async {
        let samples = import_samples();
        let mut folders: Vec<PathBuf> =
            std::fs::read_dir(samples).unwrap().map(|e| e.unwrap().path()).collect();
        folders.sort();
        let (mut ran, mut table) = (0, String::new());
        for folder in folders {
            let name = folder.file_name().unwrap().to_string_lossy().into_owned();
            let Some(mut pools) = imported(&folder) else { continue };
            let meant: Vec<_> = pools.iter().map(intended).collect();
            let stand_ins = stand_in(&mut pools, |n| Duration::from_millis(n as u64 % 3)).await;
            let scheduler = Scheduler::start(&name, &pools).await;
            for (pool, meant) in pools.iter().zip(&meant) {
                let route = pool.routes.iter().find(|r| !r.except).cloned().unwrap_or_default();
                let host = route.host.unwrap_or_else(|| "any.example.org".into());
                let path = route.path.unwrap_or_else(|| "/".into());
                let had = load(scheduler.addr, &host, &path, 600, 6).await;
                within(&had, meant, &format!("{name}, pool {}", pool.name));
                for (worker, share) in meant {
                    let got = 100.0 * had.get(worker).copied().unwrap_or(0) as f64 / 600.0;
                    table += &format!("{name} {} {worker} {:.1} {got:.1}\n", pool.name, 100.0 * share);
                }
            }
            drop(stand_ins);
            ran += 1;
        }
        std::fs::write(Path::new(env!("CARGO_TARGET_TMPDIR")).join("shares.txt"), table).unwrap();
        assert!(ran >= 25, "{ran} samples ran");
    });
}
