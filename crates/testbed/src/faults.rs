//! Injects the faults of a scenario, each at its time.

use crate::discovery::ResponseStyle;
use crate::flood::send_rejected_jobs;
use crate::journal::Observation;
use crate::partial_requests::send_partial_request;
use crate::relay::LinkConditions;
use crate::scenario::{Fault, FaultKind};
use crate::schedulers::Scheduler;
use crate::stage::TestEnvironment;
use crate::workers::{worker_name, Worker};
use anyhow::{Context, Result};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Longest delay of a datagram in bad link conditions, in milliseconds.
const MAX_LINK_DELAY_MS: f64 = 300.0;
/// Fraction of datagrams that are duplicated in bad link conditions.
const DUPLICATION: f64 = 0.1;
/// Period of throttling: a throttled scheduler is paused for the first part of each period, and runs for
/// the rest.
const THROTTLE_PERIOD: Duration = Duration::from_millis(100);
/// Period in which workers hold back new connections, and the time for which they do so.
const HOLD_PERIOD: Duration = Duration::from_millis(1_000);
const HELD_TIME: Duration = Duration::from_millis(600);

/// Injects all faults, and returns after the last one has ended.
///
/// # Errors
/// Returns an error if a scheduler cannot be signalled or does not exit or start in time.
pub async fn inject_all(environment: Arc<TestEnvironment>, faults: Vec<Fault>) -> Result<()> {
    let mut injections = JoinSet::new();
    for fault in faults {
        let environment = environment.clone();
        injections.spawn(async move {
            tokio::time::sleep_until(environment.journal.moment(fault.at_s * 1e3).into()).await;
            let description = format!("{:?} {:?}", fault.kind, fault.targets).to_lowercase();
            tracing::info!("fault started: at_s={} fault={description:?}", fault.at_s);
            environment.journal.record(Observation::Fault { description: description.clone() });
            inject_fault(&environment, &fault)
                .await
                .with_context(|| format!("cannot inject the fault {description:?} at {} s", fault.at_s))
        });
    }
    while let Some(result) = injections.join_next().await {
        result??;
    }
    Ok(())
}

async fn inject_fault(environment: &TestEnvironment, fault: &Fault) -> Result<()> {
    match fault.kind {
        FaultKind::Crash => crash(environment, fault).await,
        FaultKind::Drain => drain(environment, fault).await,
        FaultKind::Maint => disable(environment, fault).await,
        FaultKind::Hang
        | FaultKind::Slow
        | FaultKind::Refuse
        | FaultKind::Break
        | FaultKind::Fail
        | FaultKind::BreakThenFail
        | FaultKind::InvalidReports
        | FaultKind::Twice
        | FaultKind::Late => inject_worker_fault(environment, fault).await,
        FaultKind::LateConnections => delay_connections(environment, fault).await,
        FaultKind::Flood => flood(environment, fault).await?,
        FaultKind::CutLists => change_response_style(environment, fault, ResponseStyle::Cut).await,
        FaultKind::SlowLists => change_response_style(environment, fault, ResponseStyle::Slow).await,
        FaultKind::Replace => environment.discovery.replace_listed(),
        FaultKind::Discovery => stop_discovery(environment, fault).await,
        FaultKind::Crowd => open_idle_connections(environment, fault).await,
        FaultKind::PartialRequests => send_partial_requests(environment, fault).await,
        FaultKind::Cut => cut_links(environment, fault).await,
        FaultKind::Reset => reset_connections(environment, fault).await,
        FaultKind::Limit => {
            let limit = fault.factor as u32;
            let conditions = LinkConditions { limit, ..LinkConditions::default() };
            change_link_conditions(environment, fault, conditions).await;
        }
        FaultKind::Weather => {
            let loss = fault.factor;
            let conditions =
                LinkConditions { loss, duplication: DUPLICATION, delay_ms: MAX_LINK_DELAY_MS, limit: 0 };
            change_link_conditions(environment, fault, conditions).await;
        }
        FaultKind::Throttle => throttle(environment, fault).await?,
        FaultKind::Down | FaultKind::Pause => stop_schedulers(environment, fault).await?,
        FaultKind::Kill
        | FaultKind::Term
        | FaultKind::TermThenKill
        | FaultKind::Signals
        | FaultKind::Upgrade
        | FaultKind::UpgradeUnderSignals
        | FaultKind::Reload => {
            for number in &fault.targets {
                let Some(scheduler) = environment.schedulers.get(*number) else { continue };
                inject_process_fault(environment, fault.kind, &mut *scheduler.lock().await).await?;
            }
        }
    }
    Ok(())
}

/// Waits for the duration of a fault.
async fn wait_for_duration(fault: &Fault) {
    tokio::time::sleep(Duration::from_secs_f64(fault.duration_s)).await;
}

/// Returns the workers that a fault affects.
fn workers_of<'a>(environment: &'a TestEnvironment, fault: &Fault) -> Vec<&'a Arc<Worker>> {
    fault.targets.iter().filter_map(|number| environment.workers.get(*number)).collect()
}

async fn crash(environment: &TestEnvironment, fault: &Fault) {
    for worker in workers_of(environment, fault) {
        worker.crash();
    }
    wait_for_duration(fault).await;
    for worker in workers_of(environment, fault) {
        worker.restart();
        environment.discovery.publish_start(worker.number);
    }
}

async fn drain(environment: &TestEnvironment, fault: &Fault) {
    for number in &fault.targets {
        environment.discovery.drain(*number, true);
    }
    wait_for_duration(fault).await;
    for number in &fault.targets {
        environment.discovery.drain(*number, false);
    }
}

async fn disable(environment: &TestEnvironment, fault: &Fault) {
    for number in &fault.targets {
        environment.admin_request_all(&format!("PUT /workers/{}/maint", worker_name(*number))).await;
    }
    wait_for_duration(fault).await;
    for number in &fault.targets {
        environment.admin_request_all(&format!("PUT /workers/{}/ready", worker_name(*number))).await;
    }
}

async fn inject_worker_fault(environment: &TestEnvironment, fault: &Fault) {
    set_worker_faults(environment, fault, true);
    wait_for_duration(fault).await;
    set_worker_faults(environment, fault, false);
}

fn set_worker_faults(environment: &TestEnvironment, fault: &Fault, is_on: bool) {
    for worker in workers_of(environment, fault) {
        worker.set_faults(|faults, machine| match fault.kind {
            FaultKind::Hang => machine.is_hung = is_on,
            FaultKind::Slow => machine.slowdown = if is_on { fault.factor } else { 1.0 },
            FaultKind::Refuse => faults.rejects_jobs = is_on,
            FaultKind::Break => faults.drops_connections = is_on,
            FaultKind::Twice => faults.duplicates_updates = is_on,
            FaultKind::Fail => faults.fails_jobs = is_on,
            FaultKind::BreakThenFail => faults.breaks_first_attempts = is_on,
            FaultKind::InvalidReports => faults.reports_invalid_load = is_on,
            FaultKind::LateConnections => faults.closes_connections = is_on,
            _ => faults.delays_updates = is_on,
        });
    }
}

/// Makes workers close connections after each answer, and hold back new ones for the first part of each
/// period.
async fn delay_connections(environment: &TestEnvironment, fault: &Fault) {
    set_worker_faults(environment, fault, true);
    let until = Instant::now() + Duration::from_secs_f64(fault.duration_s);
    while Instant::now() < until {
        hold_new_connections(environment, fault, true);
        tokio::time::sleep(HELD_TIME).await;
        hold_new_connections(environment, fault, false);
        tokio::time::sleep(HOLD_PERIOD - HELD_TIME).await;
    }
    set_worker_faults(environment, fault, false);
}

fn hold_new_connections(environment: &TestEnvironment, fault: &Fault, is_held: bool) {
    for worker in workers_of(environment, fault) {
        worker.hold_new_connections(is_held);
    }
}

/// Sends jobs that are rejected to schedulers, at full speed, from threads of their own.
async fn flood(environment: &TestEnvironment, fault: &Fault) -> Result<()> {
    let until = std::time::Instant::now() + Duration::from_secs_f64(fault.duration_s);
    let Some(class) = environment.scenario.class.first() else { return Ok(()) };
    let mut senders = JoinSet::new();
    for number in &fault.targets {
        let Some(scheduler) = environment.schedulers.get(*number) else { continue };
        let listen = scheduler.lock().await.client_address();
        for connection in 0..fault.factor as usize {
            let class = class.name.clone();
            senders.spawn_blocking(move || send_rejected_jobs(listen, &class, connection, until));
        }
    }
    let mut answers = 0;
    while let Some(sent) = senders.join_next().await {
        answers += sent?;
    }
    let description = format!("flood ended: answers={answers}");
    tracing::info!("{description}");
    environment.journal.record(Observation::Fault { description });
    Ok(())
}

async fn change_response_style(environment: &TestEnvironment, fault: &Fault, style: ResponseStyle) {
    environment.discovery.set_style(style);
    wait_for_duration(fault).await;
    environment.discovery.set_style(ResponseStyle::Whole);
}

async fn stop_discovery(environment: &TestEnvironment, fault: &Fault) {
    environment.discovery.set_unavailable(true);
    wait_for_duration(fault).await;
    environment.discovery.set_unavailable(false);
}

/// Opens idle connections to schedulers, which use up their file descriptors.
async fn open_idle_connections(environment: &TestEnvironment, fault: &Fault) {
    let mut idle = Vec::new();
    for number in &fault.targets {
        let Some(scheduler) = environment.schedulers.get(*number) else { continue };
        let listen = scheduler.lock().await.client_address();
        for _ in 0..fault.factor as usize {
            idle.extend(TcpStream::connect(listen).await.ok());
        }
    }
    wait_for_duration(fault).await;
}

/// Sends requests without their end to schedulers, from clients that then stay.
async fn send_partial_requests(environment: &TestEnvironment, fault: &Fault) {
    let Some(class) = environment.scenario.class.first() else { return };
    let mut senders = JoinSet::new();
    for number in &fault.targets {
        let Some(scheduler) = environment.schedulers.get(*number) else { continue };
        let listen = scheduler.lock().await.client_address();
        for client in 0..fault.factor as usize {
            senders.spawn(send_partial_request(listen, class.name.clone(), client));
        }
    }
    let mut clients = Vec::new();
    while let Some(client) = senders.join_next().await {
        clients.extend(client.ok().flatten());
    }
    wait_for_duration(fault).await;
}

async fn cut_links(environment: &TestEnvironment, fault: &Fault) {
    let Some(relay) = &environment.relay else { return };
    relay.cut(&fault.targets, &fault.peers, true);
    wait_for_duration(fault).await;
    relay.cut(&fault.targets, &fault.peers, false);
}

async fn reset_connections(environment: &TestEnvironment, fault: &Fault) {
    let Some(relay) = &environment.relay else { return };
    relay.reset(&fault.targets, &fault.peers, true);
    wait_for_duration(fault).await;
    relay.reset(&fault.targets, &fault.peers, false);
}

async fn change_link_conditions(environment: &TestEnvironment, fault: &Fault, conditions: LinkConditions) {
    let Some(relay) = &environment.relay else { return };
    relay.set_conditions(conditions);
    wait_for_duration(fault).await;
    relay.set_conditions(LinkConditions::default());
}

/// Throttles schedulers, one after another: pauses each of them for a part of each period, for the duration
/// of the fault.
async fn throttle(environment: &TestEnvironment, fault: &Fault) -> Result<()> {
    for number in &fault.targets {
        let Some(scheduler) = environment.schedulers.get(*number) else { continue };
        let scheduler = scheduler.lock().await;
        let until = Instant::now() + Duration::from_secs_f64(fault.duration_s);
        while Instant::now() < until {
            scheduler.pause()?;
            tokio::time::sleep(THROTTLE_PERIOD.mul_f64(1.0 - fault.factor)).await;
            scheduler.resume()?;
            tokio::time::sleep(THROTTLE_PERIOD.mul_f64(fault.factor)).await;
        }
    }
    Ok(())
}

/// Kills or pauses schedulers for the duration of the fault. They stay locked, so that no other task calls
/// them.
async fn stop_schedulers(environment: &TestEnvironment, fault: &Fault) -> Result<()> {
    let mut schedulers = Vec::new();
    for number in &fault.targets {
        if let Some(scheduler) = environment.schedulers.get(*number) {
            schedulers.push(scheduler.lock().await);
        }
    }
    for scheduler in &mut schedulers {
        match fault.kind {
            FaultKind::Down => scheduler.kill().await?,
            _ => scheduler.pause()?,
        }
    }
    wait_for_duration(fault).await;
    for scheduler in &mut schedulers {
        match fault.kind {
            FaultKind::Down => scheduler.start(&environment.scenario).await?,
            _ => scheduler.resume()?,
        }
    }
    Ok(())
}

/// Kills, terminates, upgrades or reloads a scheduler, depending on the kind of the fault; an ended
/// scheduler is started again.
async fn inject_process_fault(
    environment: &TestEnvironment,
    kind: FaultKind,
    scheduler: &mut Scheduler,
) -> Result<()> {
    match kind {
        FaultKind::Kill => scheduler.kill_and_restart(&environment.scenario).await,
        FaultKind::Upgrade => scheduler.upgrade(&environment.scenario).await,
        FaultKind::UpgradeUnderSignals => scheduler.upgrade_under_signals(&environment.scenario).await,
        FaultKind::Reload => scheduler.reload(),
        FaultKind::Signals => {
            scheduler.send_signal_burst().await?;
            scheduler.terminate_or_kill(&environment.scenario).await?;
            scheduler.start(&environment.scenario).await
        }
        FaultKind::TermThenKill => {
            scheduler.terminate_or_kill(&environment.scenario).await?;
            scheduler.start(&environment.scenario).await
        }
        _ => {
            scheduler.terminate().await?;
            scheduler.start(&environment.scenario).await
        }
    }
}
