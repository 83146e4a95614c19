//! Plays the faults of a scenario, each at its time.

use crate::discovery::ResponseStyle;
use crate::journal::Observation;
use crate::relay::LinkConditions;
use crate::scenario::{Fault, FaultKind};
use crate::schedulers::Scheduler;
use crate::stage::Stage;
use crate::workers::{name, Worker};
use anyhow::{Context, Result};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// The longest delay of a datagram in bad link conditions, in milliseconds.
const MAX_DELAY_MS: f64 = 300.0;
/// The fraction of datagrams that are doubled in bad link conditions.
const DOUBLED: f64 = 0.1;
/// A throttled scheduler runs for a part of each such period, and is stopped for the rest.
const THROTTLE_PERIOD: Duration = Duration::from_millis(100);

/// Plays all faults; ends with the last.
///
/// # Errors
/// A scheduler does not come back.
pub async fn play(stage: Arc<Stage>, faults: Vec<Fault>) -> Result<()> {
    let mut all = JoinSet::new();
    for fault in faults {
        let stage = stage.clone();
        all.spawn(async move {
            tokio::time::sleep_until(stage.journal.moment(fault.at_s * 1e3).into()).await;
            let what = format!("{:?} {:?}", fault.kind, fault.who).to_lowercase();
            tracing::info!("fault started: at_s={} fault={what:?}", fault.at_s);
            stage.journal.write(Observation::Fault { what: what.clone() });
            play_fault(&stage, &fault).await.with_context(|| format!("{what} at {} s", fault.at_s))
        });
    }
    while let Some(ended) = all.join_next().await {
        ended??;
    }
    Ok(())
}

async fn play_fault(stage: &Stage, fault: &Fault) -> Result<()> {
    match fault.kind {
        FaultKind::Crash => crash(stage, fault).await,
        FaultKind::Drain => drain(stage, fault).await,
        FaultKind::Maint => disable(stage, fault).await,
        FaultKind::Hang
        | FaultKind::Slow
        | FaultKind::Refuse
        | FaultKind::Break
        | FaultKind::Twice
        | FaultKind::Late => misbehave(stage, fault).await,
        FaultKind::CutLists => answer_in_style(stage, fault, ResponseStyle::Cut).await,
        FaultKind::SlowLists => answer_in_style(stage, fault, ResponseStyle::Slow).await,
        FaultKind::Replace => stage.discovery.replace_listed(),
        FaultKind::Discovery => stop_discovery(stage, fault).await,
        FaultKind::Crowd => open_idle_connections(stage, fault).await,
        FaultKind::Cut => cut_links(stage, fault).await,
        FaultKind::Reset => reset_connections(stage, fault).await,
        FaultKind::Limit => {
            let limit = fault.factor as u32;
            let conditions = LinkConditions { limit, ..LinkConditions::default() };
            change_links(stage, fault, conditions).await;
        }
        FaultKind::Weather => {
            let loss = fault.factor;
            let conditions = LinkConditions { loss, twice: DOUBLED, delay_ms: MAX_DELAY_MS, limit: 0 };
            change_links(stage, fault, conditions).await;
        }
        FaultKind::Throttle => throttle(stage, fault).await?,
        FaultKind::Down | FaultKind::Pause => stop_schedulers(stage, fault).await?,
        FaultKind::Kill
        | FaultKind::Term
        | FaultKind::TermThenKill
        | FaultKind::Signals
        | FaultKind::Upgrade
        | FaultKind::Reload => {
            for number in &fault.who {
                let Some(scheduler) = stage.schedulers.get(*number) else { continue };
                restart(stage, fault.kind, &mut *scheduler.lock().await).await?;
            }
        }
    }
    Ok(())
}

/// Waits as long as a fault lasts.
async fn last(fault: &Fault) {
    tokio::time::sleep(Duration::from_secs_f64(fault.for_s)).await;
}

/// The workers that a fault concerns.
fn workers_of<'a>(stage: &'a Stage, fault: &Fault) -> Vec<&'a Arc<Worker>> {
    fault.who.iter().filter_map(|number| stage.workers.get(*number)).collect()
}

async fn crash(stage: &Stage, fault: &Fault) {
    for worker in workers_of(stage, fault) {
        worker.die();
    }
    last(fault).await;
    for worker in workers_of(stage, fault) {
        worker.revive();
        stage.discovery.started(worker.number);
    }
}

async fn drain(stage: &Stage, fault: &Fault) {
    for number in &fault.who {
        stage.discovery.drain(*number, true);
    }
    last(fault).await;
    for number in &fault.who {
        stage.discovery.drain(*number, false);
    }
}

async fn disable(stage: &Stage, fault: &Fault) {
    for number in &fault.who {
        stage.call_all(&format!("PUT /workers/{}/maint", name(*number))).await;
    }
    last(fault).await;
    for number in &fault.who {
        stage.call_all(&format!("PUT /workers/{}/ready", name(*number))).await;
    }
}

async fn misbehave(stage: &Stage, fault: &Fault) {
    set_misbehavior(stage, fault, true);
    last(fault).await;
    set_misbehavior(stage, fault, false);
}

fn set_misbehavior(stage: &Stage, fault: &Fault, is_on: bool) {
    for worker in workers_of(stage, fault) {
        worker.behave(|misbehavior, machine| match fault.kind {
            FaultKind::Hang => machine.hangs = is_on,
            FaultKind::Slow => machine.slower = if is_on { fault.factor } else { 1.0 },
            FaultKind::Refuse => misbehavior.refuses = is_on,
            FaultKind::Break => misbehavior.breaks = is_on,
            FaultKind::Twice => misbehavior.twice = is_on,
            _ => misbehavior.late = is_on,
        });
    }
}

async fn answer_in_style(stage: &Stage, fault: &Fault, style: ResponseStyle) {
    stage.discovery.set_style(style);
    last(fault).await;
    stage.discovery.set_style(ResponseStyle::Whole);
}

async fn stop_discovery(stage: &Stage, fault: &Fault) {
    stage.discovery.set_down(true);
    last(fault).await;
    stage.discovery.set_down(false);
}

/// Fills the descriptors of schedulers.
async fn open_idle_connections(stage: &Stage, fault: &Fault) {
    let mut idle = Vec::new();
    for number in &fault.who {
        let Some(scheduler) = stage.schedulers.get(*number) else { continue };
        let listen = scheduler.lock().await.client_address();
        for _ in 0..fault.factor as usize {
            idle.extend(TcpStream::connect(listen).await.ok());
        }
    }
    last(fault).await;
}

async fn cut_links(stage: &Stage, fault: &Fault) {
    let Some(relay) = &stage.relay else { return };
    relay.cut(&fault.who, &fault.to, true);
    last(fault).await;
    relay.cut(&fault.who, &fault.to, false);
}

async fn reset_connections(stage: &Stage, fault: &Fault) {
    let Some(relay) = &stage.relay else { return };
    relay.reset(&fault.who, &fault.to, true);
    last(fault).await;
    relay.reset(&fault.who, &fault.to, false);
}

async fn change_links(stage: &Stage, fault: &Fault, conditions: LinkConditions) {
    let Some(relay) = &stage.relay else { return };
    relay.set_conditions(conditions);
    last(fault).await;
    relay.set_conditions(LinkConditions::default());
}

/// Stops each scheduler for a part of each period, one scheduler after another.
async fn throttle(stage: &Stage, fault: &Fault) -> Result<()> {
    for number in &fault.who {
        let Some(scheduler) = stage.schedulers.get(*number) else { continue };
        let scheduler = scheduler.lock().await;
        let until = Instant::now() + Duration::from_secs_f64(fault.for_s);
        while Instant::now() < until {
            scheduler.pause()?;
            tokio::time::sleep(THROTTLE_PERIOD.mul_f64(1.0 - fault.factor)).await;
            scheduler.resume()?;
            tokio::time::sleep(THROTTLE_PERIOD.mul_f64(fault.factor)).await;
        }
    }
    Ok(())
}

/// Kills or pauses schedulers for the time of the fault. They stay locked, so that nobody calls them meanwhile.
async fn stop_schedulers(stage: &Stage, fault: &Fault) -> Result<()> {
    let mut schedulers = Vec::new();
    for number in &fault.who {
        if let Some(scheduler) = stage.schedulers.get(*number) {
            schedulers.push(scheduler.lock().await);
        }
    }
    for scheduler in &mut schedulers {
        match fault.kind {
            FaultKind::Down => scheduler.kill().await?,
            _ => scheduler.pause()?,
        }
    }
    last(fault).await;
    for scheduler in &mut schedulers {
        match fault.kind {
            FaultKind::Down => scheduler.start(&stage.scenario).await?,
            _ => scheduler.resume()?,
        }
    }
    Ok(())
}

/// Signals, replaces or restarts a scheduler.
async fn restart(stage: &Stage, kind: FaultKind, scheduler: &mut Scheduler) -> Result<()> {
    match kind {
        FaultKind::Kill => scheduler.kill_and_restart(&stage.scenario).await,
        FaultKind::Upgrade => scheduler.upgrade(&stage.scenario).await,
        FaultKind::Reload => scheduler.reload(),
        FaultKind::Signals => {
            scheduler.signals_in_series().await?;
            scheduler.end_by_deadline(&stage.scenario).await?;
            scheduler.start(&stage.scenario).await
        }
        FaultKind::TermThenKill => {
            scheduler.end_by_deadline(&stage.scenario).await?;
            scheduler.start(&stage.scenario).await
        }
        _ => {
            scheduler.terminate().await?;
            scheduler.start(&stage.scenario).await
        }
    }
}
