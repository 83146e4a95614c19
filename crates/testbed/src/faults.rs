//! Faults of a scenario, each at its time.

use crate::discovery::Manners;
use crate::journal::Seen;
use crate::relay::Weather;
use crate::scenario::{Fault, Kind};
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
            stage.journal.write(Seen::Fault { what: what.clone() });
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
        Kind::Crash => {
            workers().for_each(|w| w.die());
            tokio::time::sleep(lasts).await;
            for w in workers() {
                w.revive();
                stage.discovery.started(w.number);
            }
        }
        Kind::Drain => {
            fault.who.iter().for_each(|n| stage.discovery.drain(*n, true));
            tokio::time::sleep(lasts).await;
            fault.who.iter().for_each(|n| stage.discovery.drain(*n, false));
        }
        Kind::Maint => {
            for n in &fault.who {
                stage.call_all(&format!("PUT /workers/{}/maint", name(*n))).await;
            }
            tokio::time::sleep(lasts).await;
            for n in &fault.who {
                stage.call_all(&format!("PUT /workers/{}/ready", name(*n))).await;
            }
        }
        Kind::CutLists | Kind::SlowLists => {
            let manners = if fault.kind == Kind::CutLists { Manners::Cut } else { Manners::Slow };
            stage.discovery.behave(manners);
            tokio::time::sleep(lasts).await;
            stage.discovery.behave(Manners::Well);
        }
        Kind::Crowd => crowd(stage, fault, lasts).await,
        Kind::Replace => stage.discovery.replace_listed(),
        Kind::Discovery => {
            stage.discovery.set_down(true);
            tokio::time::sleep(lasts).await;
            stage.discovery.set_down(false);
        }
        Kind::Cut => {
            let Some(relay) = &stage.relay else { return Ok(()) };
            relay.cut(&fault.who, &fault.to, true);
            tokio::time::sleep(lasts).await;
            relay.cut(&fault.who, &fault.to, false);
        }
        Kind::Reset => {
            let Some(relay) = &stage.relay else { return Ok(()) };
            relay.reset(&fault.who, &fault.to, true);
            tokio::time::sleep(lasts).await;
            relay.reset(&fault.who, &fault.to, false);
        }
        Kind::Limit => {
            let Some(relay) = &stage.relay else { return Ok(()) };
            relay.weather(Weather { limit: fault.factor as u32, ..Weather::default() });
            tokio::time::sleep(lasts).await;
            relay.weather(Weather::default());
        }
        Kind::Weather => {
            let Some(relay) = &stage.relay else { return Ok(()) };
            relay.weather(Weather { loss: fault.factor, twice: 0.1, delay_ms: WEATHER_DELAY_MS, limit: 0 });
            tokio::time::sleep(lasts).await;
            relay.weather(Weather::default());
        }
        Kind::Throttle => {
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
        Kind::Down | Kind::Pause => {
            // Nobody else asks one that is down or stopped for anything.
            let mut these = Vec::new();
            for n in &fault.who {
                if let Some(scheduler) = stage.schedulers.get(*n) {
                    these.push(scheduler.lock().await);
                }
            }
            for scheduler in &mut these {
                match fault.kind {
                    Kind::Down => scheduler.down().await?,
                    _ => scheduler.pause(true)?,
                }
            }
            tokio::time::sleep(lasts).await;
            for scheduler in &mut these {
                match fault.kind {
                    Kind::Down => scheduler.start(&stage.scenario).await?,
                    _ => scheduler.pause(false)?,
                }
            }
        }
        Kind::Kill | Kind::Term | Kind::TermThenKill | Kind::Signals | Kind::Upgrade | Kind::Reload => {
            for n in &fault.who {
                let Some(scheduler) = stage.schedulers.get(*n) else { continue };
                let mut scheduler = scheduler.lock().await;
                match fault.kind {
                    Kind::Kill => scheduler.kill(&stage.scenario).await?,
                    Kind::Upgrade => scheduler.upgrade(&stage.scenario).await?,
                    Kind::Reload => scheduler.reload()?,
                    Kind::Signals => {
                        scheduler.signals_in_series().await?;
                        scheduler.end_by_deadline(&stage.scenario).await?;
                        scheduler.start(&stage.scenario).await?;
                    }
                    Kind::TermThenKill => {
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
        Kind::Hang | Kind::Slow | Kind::Refuse | Kind::Break | Kind::Twice | Kind::Late => {
            let set = |on: bool| {
                for w in workers() {
                    w.behave(|manners, machine| match fault.kind {
                        Kind::Hang => machine.hangs = on,
                        Kind::Slow => machine.slower = if on { fault.factor } else { 1.0 },
                        Kind::Refuse => manners.refuses = on,
                        Kind::Break => manners.breaks = on,
                        Kind::Twice => manners.twice = on,
                        _ => manners.late = on,
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
