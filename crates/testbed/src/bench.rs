//! A run: everything is started, played to its end and stopped.

use crate::clients::Clients;
use crate::discovery::Discovery;
use crate::faults;
use crate::journal::{Entry, Journal, Seen};
use crate::plan::Plan;
use crate::relay::Relay;
use crate::scenario::Scenario;
use crate::schedulers::{free_address, Place, Scheduler};
use crate::workers::Worker;
use anyhow::Result;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Mutex;

/// The laboratory looks at its own pace so often, and has stood still where that took this many milliseconds longer.
const HEARTBEAT: Duration = Duration::from_millis(10);
const STALL_MS: f64 = 25.0;
/// Figures are fetched so often.
const FIGURES_EVERY: Duration = Duration::from_millis(250);

/// All that a run consists of.
pub struct Stage {
    /// What is played.
    pub scenario: Scenario,
    /// The workers.
    pub workers: Vec<Arc<Worker>>,
    /// Their list.
    pub discovery: Arc<Discovery>,
    /// The schedulers.
    pub schedulers: Vec<Mutex<Scheduler>>,
    /// The links between schedulers, where they know of each other.
    pub relay: Option<Arc<Relay>>,
    /// What was seen.
    pub journal: Journal,
}

impl Stage {
    /// Makes an operator's call at every scheduler.
    pub async fn call_all(&self, line: &str) {
        for scheduler in &self.schedulers {
            if let Err(e) = scheduler.lock().await.call(line).await {
                tracing::warn!("{line}: {e:#}");
            }
        }
    }
}

/// What a run left.
pub struct Run {
    /// What was played.
    pub scenario: Scenario,
    /// The jobs.
    pub plan: Arc<Plan>,
    /// What was seen.
    pub entries: Vec<Entry>,
}

/// How a run is played.
pub struct Options {
    /// The program.
    pub binary: PathBuf,
    /// Where logs go.
    pub out: PathBuf,
    /// Seed of the jobs.
    pub seed: u64,
    /// Something between clients and a scheduler: gives the address at which clients then find it.
    pub between: Option<fn(SocketAddr) -> SocketAddr>,
}

/// Where the program lies that was built along with this one.
///
/// # Errors
/// This program's own place is not known.
pub fn beside(program: &str) -> Result<PathBuf> {
    let own = std::env::current_exe()?;
    let folder = own.parent().unwrap_or(Path::new("."));
    // Tests lie a folder below.
    let folder = if folder.ends_with("deps") { folder.parent().unwrap_or(folder) } else { folder };
    Ok(folder.join(program))
}

/// Plays a run to its end.
///
/// # Errors
/// Something of the laboratory's own did not work; what the program does wrong is no error here.
pub async fn play(
    scenario: &Scenario,
    options: &Options,
    progress: impl Fn(f64) + Send + 'static,
) -> Result<Run> {
    let plan = Arc::new(Plan::draw(scenario, options.seed));
    play_plan(scenario, plan, options, progress).await
}

/// Plays these jobs.
///
/// # Errors
/// As [`play`].
pub async fn play_plan(
    scenario: &Scenario,
    plan: Arc<Plan>,
    options: &Options,
    progress: impl Fn(f64) + Send + 'static,
) -> Result<Run> {
    let journal = Journal::default();
    let mut places = Vec::new();
    for _ in 0..scenario.schedulers {
        places.push(Place { listen: free_address()?, mgmt: free_address()? });
    }
    let listens: Vec<SocketAddr> = places.iter().map(|p| p.listen).collect();
    let mut workers = Vec::new();
    for n in 0..scenario.fleet.workers {
        workers.push(Worker::start(n, scenario, listens.clone(), plan.clone(), journal.clone()).await?);
    }
    let addrs = workers.iter().map(|w| w.addrs.clone()).collect();
    let discovery = Discovery::start(addrs, &scenario.fleet, scenario.schedulers, journal.clone()).await?;
    let relay = match &scenario.members {
        Some(_) => Some(Relay::start(scenario.schedulers, options.seed).await?),
        None => None,
    };
    let mut schedulers = Vec::new();
    for (n, place) in places.iter().enumerate() {
        let asks = discovery.addrs[n];
        let mut new = Scheduler::new(n, &options.binary, *place, asks, &options.out, journal.clone())?
            .knowing(&discovery.told(n, None).0)?;
        if let Some((members, relay)) = scenario.members.as_ref().zip(relay.as_deref()) {
            new = new.with_members(members, relay);
        }
        new.start(scenario).await?;
        schedulers.push(Mutex::new(new));
    }
    // Time for the first list.
    tokio::time::sleep(Duration::from_millis(300)).await;
    let scenario = scenario.clone();
    let stage = Arc::new(Stage { scenario, workers, discovery, schedulers, relay, journal: journal.clone() });
    // The plan's time begins now.
    let begun = journal.now();
    let shifted = Arc::new(Plan::of(plan.jobs.iter().cloned().map(|j| j_shifted(j, begun)).collect()));
    let mut faults = stage.scenario.fault.clone();
    faults.iter_mut().for_each(|f| f.at_s += begun / 1e3);
    let clients_at = listens.iter().map(|l| options.between.map_or(*l, |between| between(*l))).collect();
    let clients = Clients::new(&stage.scenario, clients_at, journal.clone());
    let heartbeat = tokio::spawn(watch_own_pace(journal.clone()));
    let figures = tokio::spawn({
        let (stage, seconds) = (stage.clone(), stage.scenario.seconds);
        async move {
            loop {
                for scheduler in &stage.schedulers {
                    // One that is being restarted is left alone.
                    if let Ok(mut scheduler) = scheduler.try_lock() {
                        scheduler.note_figures().await;
                        scheduler.note_view(stage.schedulers.len()).await;
                    }
                }
                progress(((stage.journal.now() - begun) / 1e3 / seconds).min(1.0));
                tokio::time::sleep(FIGURES_EVERY).await;
            }
        }
    });
    let (_, played) = tokio::join!(clients.run(shifted.clone()), faults::play(stage.clone(), faults));
    figures.abort();
    heartbeat.abort();
    played?;
    let mut ends = tokio::task::JoinSet::new();
    for n in 0..stage.schedulers.len() {
        let stage = stage.clone();
        ends.spawn(async move { stage.schedulers[n].lock().await.terminate().await });
    }
    while let Some(ended) = ends.join_next().await {
        ended??;
    }
    Ok(Run { scenario: stage.scenario.clone(), plan: shifted, entries: journal.entries() })
}

/// Writes down when the laboratory itself stands still.
async fn watch_own_pace(journal: Journal) {
    let mut last = journal.now();
    loop {
        tokio::time::sleep(HEARTBEAT).await;
        let now = journal.now();
        let ms = now - last - HEARTBEAT.as_secs_f64() * 1e3;
        if ms > STALL_MS {
            journal.write(Seen::Stalled { ms });
        }
        last = now;
    }
}

fn j_shifted(mut job: crate::plan::Job, by: f64) -> crate::plan::Job {
    job.at += by;
    job.start = job.start.map(|at| at + by);
    job
}

#[cfg(test)]
pub mod tests {
    /// A scenario for tests.
    pub const SMALL: &str = r#"
        about = "a small one"
        seconds = 4
        load = 0.5
        setup = "<postusher><waiting/></postusher>"
        [fleet]
        workers = 4
        slots = 4
        [[class]]
        name = "render"
        share = 1
        mean_ms = 60
        give_up_ms = 4000
        [waiting]
        share = 0.4
        after = 0.5
        names = 2
        delay_ms = [100, 900]
        patience_ms = 3000
    "#;
}
