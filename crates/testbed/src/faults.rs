//! Faults of a scenario, each at its time.

use crate::discovery::ResponseStyle;
use crate::journal::Observation;
use crate::relay::LinkConditions;
use crate::scenario::{Fault, FaultKind};
use crate::stage::Stage;
use crate::workers::name;
use anyhow::{Context, Result};
use std::sync::Arc;
use std::time::Duration;

/// The longest delay of a datagram in bad weather.
const WEATHER_DELAY_MS: f64 = 300.0;

/// A scheduler with a part of a core runs for that part of this time, and not for the rest.
const TURN: Duration = Duration::from_millis(100);

/// Plays all faults; ends with the last.
///
/// # Errors
/// A scheduler does not come back.
pub async fn play(stage: Arc<Stage>, faults: Vec<Fault>) -> Result<()> {
    let mut all = tokio::task::JoinSet::new();
    for fault in faults {
        let stage = stage.clone();
        all.spawn(async move {
            tokio::time::sleep_until(stage.journal.moment(fault.at_s * 1e3).into()).await;
            let what = format!("{:?} {:?}", fault.kind, fault.who).to_lowercase();
            tracing::info!(at_s = fault.at_s, "{what}");
            stage.journal.write(Observation::Fault { what: what.clone() });
            one(&stage, &fault).await.with_context(|| format!("{what} at {} s", fault.at_s))
        });
    }
    while let Some(ended) = all.join_next().await {
        ended??;
    }
    Ok(())
}

/// Idle clients fill a scheduler's descriptors.
async fn crowd(stage: &Stage, fault: &Fault, lasts: Duration) {
    let mut idle = Vec::new();
    for n in &fault.who {
        let Some(scheduler) = stage.schedulers.get(*n) else { continue };
        let listen = scheduler.lock().await.listens();
        for _ in 0..fault.factor as usize {
            idle.extend(tokio::net::TcpStream::connect(listen).await.ok());
        }
    }
    tokio::time::sleep(lasts).await;
}

async fn one(stage: &Stage, fault: &Fault) -> Result<()> {
    let lasts = Duration::from_secs_f64(fault.for_s);
    let workers = || fault.who.iter().filter_map(|n| stage.workers.get(*n));
    match fault.kind {
        FaultKind::Crash => {
            workers().for_each(|w| w.die());
            tokio::time::sleep(lasts).await;
            for w in workers() {
                w.revive();
                stage.discovery.started(w.number);
            }
        }
        FaultKind::Drain => {
            fault.who.iter().for_each(|n| stage.discovery.drain(*n, true));
            tokio::time::sleep(lasts).await;
            fault.who.iter().for_each(|n| stage.discovery.drain(*n, false));
        }
        FaultKind::Maint => {
            for n in &fault.who {
                stage.call_all(&format!("PUT /workers/{}/maint", name(*n))).await;
            }
            tokio::time::sleep(lasts).await;
            for n in &fault.who {
                stage.call_all(&format!("PUT /workers/{}/ready", name(*n))).await;
            }
        }
        FaultKind::CutLists | FaultKind::SlowLists => {
            let style =
                if fault.kind == FaultKind::CutLists { ResponseStyle::Cut } else { ResponseStyle::Slow };
            stage.discovery.set_style(style);
            tokio::time::sleep(lasts).await;
            stage.discovery.set_style(ResponseStyle::Whole);
        }
        FaultKind::Crowd => crowd(stage, fault, lasts).await,
        FaultKind::Replace => stage.discovery.replace_listed(),
        FaultKind::Discovery => {
            stage.discovery.set_down(true);
            tokio::time::sleep(lasts).await;
            stage.discovery.set_down(false);
        }
        FaultKind::Cut => {
            let Some(relay) = &stage.relay else { return Ok(()) };
            relay.cut(&fault.who, &fault.to, true);
            tokio::time::sleep(lasts).await;
            relay.cut(&fault.who, &fault.to, false);
        }
        FaultKind::Reset => {
            let Some(relay) = &stage.relay else { return Ok(()) };
            relay.reset(&fault.who, &fault.to, true);
            tokio::time::sleep(lasts).await;
            relay.reset(&fault.who, &fault.to, false);
        }
        FaultKind::Limit => {
            let Some(relay) = &stage.relay else { return Ok(()) };
            relay.set_conditions(LinkConditions { limit: fault.factor as u32, ..LinkConditions::default() });
            tokio::time::sleep(lasts).await;
            relay.set_conditions(LinkConditions::default());
        }
        FaultKind::Weather => {
            let Some(relay) = &stage.relay else { return Ok(()) };
            relay.set_conditions(LinkConditions {
                loss: fault.factor,
                twice: 0.1,
                delay_ms: WEATHER_DELAY_MS,
                limit: 0,
            });
            tokio::time::sleep(lasts).await;
            relay.set_conditions(LinkConditions::default());
        }
        FaultKind::Throttle => {
            for n in &fault.who {
                let Some(scheduler) = stage.schedulers.get(*n) else { continue };
                let scheduler = scheduler.lock().await;
                let until = tokio::time::Instant::now() + lasts;
                while tokio::time::Instant::now() < until {
                    scheduler.pause(true)?;
                    tokio::time::sleep(TURN.mul_f64(1.0 - fault.factor)).await;
                    scheduler.pause(false)?;
                    tokio::time::sleep(TURN.mul_f64(fault.factor)).await;
                }
            }
        }
        FaultKind::Down | FaultKind::Pause => {
            // Nobody else asks one that is down or stopped for anything.
            let mut these = Vec::new();
            for n in &fault.who {
                if let Some(scheduler) = stage.schedulers.get(*n) {
                    these.push(scheduler.lock().await);
                }
            }
            for scheduler in &mut these {
                match fault.kind {
                    FaultKind::Down => scheduler.down().await?,
                    _ => scheduler.pause(true)?,
                }
            }
            tokio::time::sleep(lasts).await;
            for scheduler in &mut these {
                match fault.kind {
                    FaultKind::Down => scheduler.start(&stage.scenario).await?,
                    _ => scheduler.pause(false)?,
                }
            }
        }
        FaultKind::Kill
        | FaultKind::Term
        | FaultKind::TermThenKill
        | FaultKind::Signals
        | FaultKind::Upgrade
        | FaultKind::Reload => {
            for n in &fault.who {
                let Some(scheduler) = stage.schedulers.get(*n) else { continue };
                let mut scheduler = scheduler.lock().await;
                match fault.kind {
                    FaultKind::Kill => scheduler.kill(&stage.scenario).await?,
                    FaultKind::Upgrade => scheduler.upgrade(&stage.scenario).await?,
                    FaultKind::Reload => scheduler.reload()?,
                    FaultKind::Signals => {
                        scheduler.signals_in_series().await?;
                        scheduler.end_by_deadline(&stage.scenario).await?;
                        scheduler.start(&stage.scenario).await?;
                    }
                    FaultKind::TermThenKill => {
                        scheduler.end_by_deadline(&stage.scenario).await?;
                        scheduler.start(&stage.scenario).await?;
                    }
                    _ => {
                        scheduler.terminate().await?;
                        scheduler.start(&stage.scenario).await?;
                    }
                }
            }
        }
        FaultKind::Hang
        | FaultKind::Slow
        | FaultKind::Refuse
        | FaultKind::Break
        | FaultKind::Twice
        | FaultKind::Late => {
            let set = |on: bool| {
                for w in workers() {
                    w.behave(|misbehavior, machine| match fault.kind {
                        FaultKind::Hang => machine.hangs = on,
                        FaultKind::Slow => machine.slower = if on { fault.factor } else { 1.0 },
                        FaultKind::Refuse => misbehavior.refuses = on,
                        FaultKind::Break => misbehavior.breaks = on,
                        FaultKind::Twice => misbehavior.twice = on,
                        _ => misbehavior.late = on,
                    });
                }
            };
            set(true);
            tokio::time::sleep(lasts).await;
            set(false);
        }
    }
    Ok(())
}
