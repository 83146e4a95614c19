//! Runs a scenario: starts all components, submits the planned jobs, injects the faults, and stops
//! everything.

use crate::clients::Clients;
use crate::discovery::Discovery;
use crate::faults;
use crate::free_address::free_address;
use crate::journal::{Entry, Journal, Observation};
use crate::plan::{Job, Plan};
use crate::relay::Relay;
use crate::scenario::Scenario;
use crate::schedulers::{Addresses, Scheduler};
use crate::scheduling_delays;
use crate::stage::TestEnvironment;
use crate::workers::Worker;
use anyhow::Result;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// Interval at which the test bed checks its own scheduling delay.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(10);
/// Delay of a heartbeat from which the test bed counts as stalled, in milliseconds.
const STALL_MS: f64 = 25.0;
/// Interval at which the schedulers' statistics are read.
const STATS_INTERVAL: Duration = Duration::from_millis(250);
/// Time given to the schedulers to get their first endpoint list.
const FIRST_LIST_DELAY: Duration = Duration::from_millis(300);

/// The result of a run.
pub struct Run {
    /// The scenario.
    pub scenario: Scenario,
    /// The jobs, with times relative to the start of the journal.
    pub plan: Arc<Plan>,
    /// The journal entries.
    pub entries: Vec<Entry>,
}

/// The options of a run.
pub struct Options {
    /// The scheduler program.
    pub binary: PathBuf,
    /// The directory for the files and logs of the schedulers.
    pub out: PathBuf,
    /// The seed of the jobs and of the relay.
    pub seed: u64,
    /// Starts a proxy between the clients and a scheduler: maps the scheduler's address to the one that
    /// clients use.
    pub client_proxy: Option<fn(SocketAddr) -> SocketAddr>,
}

/// Returns the path of a program built into the same directory as the running one.
///
/// # Errors
/// Returns an error if the path of the running program is unknown.
pub fn built_program(name: &str) -> Result<PathBuf> {
    let running_program = std::env::current_exe()?;
    let directory = running_program.parent().unwrap_or(Path::new("."));
    // Test programs are in a subdirectory.
    let directory =
        if directory.ends_with("deps") { directory.parent().unwrap_or(directory) } else { directory };
    Ok(directory.join(name))
}

/// Runs a scenario with jobs generated from the seed.
///
/// # Errors
/// Returns an error if the test bed itself fails. Broken rules are no error here; they show in the journal.
pub async fn run_scenario(
    scenario: &Scenario,
    options: &Options,
    progress: impl Fn(f64) + Send + 'static,
) -> Result<Run> {
    let plan = Arc::new(Plan::generate(scenario, options.seed));
    run_plan(scenario, plan, options, progress).await
}

/// Runs a scenario with the given jobs; `progress` is called with the fraction of the time that has passed.
///
/// # Errors
/// As for [`run_scenario`].
pub async fn run_plan(
    scenario: &Scenario,
    plan: Arc<Plan>,
    options: &Options,
    progress: impl Fn(f64) + Send + 'static,
) -> Result<Run> {
    let mut addresses = Vec::new();
    for _ in 0..scenario.schedulers {
        addresses.push(Addresses { listen: free_address()?, admin: free_address()? });
    }
    let environment = Arc::new(start(scenario, plan.clone(), options, &addresses).await?);
    tokio::time::sleep(FIRST_LIST_DELAY).await;
    // The times of the plan are relative to this moment.
    let journal = environment.journal.clone();
    let start_ms = journal.now();
    let plan = Arc::new(Plan::of(plan.jobs.iter().map(|job| delayed(job, start_ms)).collect()));
    let mut faults = environment.scenario.fault.clone();
    for fault in &mut faults {
        fault.at_s += start_ms / 1e3;
    }
    let mut client_addresses = Vec::new();
    for address in &addresses {
        client_addresses.push(match options.client_proxy {
            Some(client_proxy) => client_proxy(address.listen),
            None => address.listen,
        });
    }
    let clients = Clients::new(&environment.scenario, client_addresses, journal.clone());
    let heartbeat = tokio::spawn(record_stalls(journal.clone()));
    let own_waits = tokio::spawn(scheduling_delays::record_own_waits(journal.clone()));
    let stats = tokio::spawn(record_stats(environment.clone(), start_ms, progress));
    let (_, faults_result) =
        tokio::join!(clients.run(plan.clone()), faults::inject_all(environment.clone(), faults));
    stats.abort();
    heartbeat.abort();
    own_waits.abort();
    faults_result?;
    terminate_all(&environment).await?;
    Ok(Run { scenario: environment.scenario.clone(), plan, entries: journal.entries() })
}

/// Starts all components except the clients.
async fn start(
    scenario: &Scenario,
    plan: Arc<Plan>,
    options: &Options,
    addresses: &[Addresses],
) -> Result<TestEnvironment> {
    let journal = Journal::default();
    let listen_addresses: Vec<SocketAddr> = addresses.iter().map(|address| address.listen).collect();
    let mut workers = Vec::new();
    for number in 0..scenario.fleet.workers {
        let worker = Worker::start(number, scenario, listen_addresses.clone(), plan.clone(), journal.clone());
        workers.push(worker.await?);
    }
    let addrs = workers.iter().map(|worker| worker.addrs.clone()).collect();
    let discovery = Discovery::start(addrs, &scenario.fleet, scenario.schedulers, journal.clone()).await?;
    let relay = match &scenario.members {
        Some(_) => Some(Relay::start(scenario.schedulers, options.seed).await?),
        None => None,
    };
    let mut schedulers = Vec::new();
    for (number, address) in addresses.iter().enumerate() {
        let addr = discovery.addrs[number];
        let scheduler =
            Scheduler::new(number, &options.binary, *address, addr, &options.out, journal.clone())?;
        let mut scheduler = scheduler.with_known_endpoints(&discovery.list_for(number, None).body)?;
        if let (Some(members), Some(relay)) = (&scenario.members, &relay) {
            scheduler = scheduler.with_members(members, relay);
        }
        scheduler.start(scenario).await?;
        schedulers.push(Mutex::new(scheduler));
    }
    Ok(TestEnvironment { scenario: scenario.clone(), workers, discovery, schedulers, relay, journal })
}

/// Records the schedulers' statistics and views until aborted.
async fn record_stats(environment: Arc<TestEnvironment>, start_ms: f64, progress: impl Fn(f64)) {
    loop {
        for scheduler in &environment.schedulers {
            // A scheduler that is being restarted is locked, and is skipped.
            if let Ok(mut scheduler) = scheduler.try_lock() {
                scheduler.record_stats().await;
                scheduler.record_view(environment.schedulers.len()).await;
            }
        }
        let passed_s = (environment.journal.now() - start_ms) / 1e3;
        progress((passed_s / environment.scenario.seconds).min(1.0));
        tokio::time::sleep(STATS_INTERVAL).await;
    }
}

/// Ends all schedulers at the same time by SIGTERM, and waits for their exits.
async fn terminate_all(environment: &Arc<TestEnvironment>) -> Result<()> {
    let mut terminations = JoinSet::new();
    for number in 0..environment.schedulers.len() {
        let environment = environment.clone();
        terminations.spawn(async move { environment.schedulers[number].lock().await.terminate().await });
    }
    while let Some(result) = terminations.join_next().await {
        result??;
    }
    Ok(())
}

/// Records stalls of the test bed itself until aborted.
async fn record_stalls(journal: Journal) {
    let mut last = journal.now();
    loop {
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        let now = journal.now();
        let late_ms = now - last - HEARTBEAT_INTERVAL.as_secs_f64() * 1e3;
        if late_ms > STALL_MS {
            journal.record(Observation::TestBedStalled { ms: late_ms });
        }
        last = now;
    }
}

/// Returns a job with its times shifted by the given number of milliseconds.
fn delayed(job: &Job, millis: f64) -> Job {
    let mut job = job.clone();
    job.submit_at += millis;
    job.start_at = job.start_at.map(|start| start + millis);
    job
}
