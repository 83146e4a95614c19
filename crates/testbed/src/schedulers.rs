//! Processes of the scheduler program, which are started and stopped as operators do it.

mod config;
mod process;
mod signals;

use crate::free_address::free_address;
use crate::journal::{Journal, Observation};
use crate::relay::Relay;
use crate::scenario::{Members, Scenario};
use crate::wire::{self, Connection};
use anyhow::{bail, Context, Result};
use config::member_name;
use rustix::process::Signal;
use signals::{send_signal, send_signals};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::process::Child;

/// Time within which a scheduler must start or exit; otherwise the run fails.
const START_OR_EXIT_TIMEOUT: Duration = Duration::from_secs(20);

/// After SIGTERM operators wait for the longest deadline, but at most for this time, in milliseconds.
const MAX_DEADLINE_MS: f64 = 3_000.0;
/// Time that operators wait beyond the longest deadline before they send SIGKILL, in milliseconds.
pub const SHUTDOWN_GRACE_MS: f64 = 700.0;
/// The listen addresses of a scheduler.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The address for clients and for job status updates of workers.
    pub listen: SocketAddr,
    /// The address of the admin interface.
    pub admin: SocketAddr,
}

/// The membership view of a scheduler.
#[derive(Clone, Debug, PartialEq, Eq)]
struct View {
    /// One letter for each member, as in [`Observation::View`].
    states: String,
    minority: bool,
}

/// A scheduler and its current process.
pub struct Scheduler {
    number: usize,
    addresses: Addresses,
    binary: PathBuf,
    directory: PathBuf,
    discovery: SocketAddr,
    /// The endpoint list in the configuration of each of its processes: the first list of the run.
    known_endpoints: serde_json::Value,
    /// The `<members>` element of its setup; empty if it is not a member of a group.
    members_element: String,
    /// The view that was recorded last.
    recorded_view: Option<View>,
    child: Option<Child>,
    /// The number of processes started so far.
    process_count: u32,
    journal: Journal,
}

impl Scheduler {
    /// Creates a scheduler and its directory, without starting a process.
    ///
    /// # Errors
    /// Returns an error if the directory cannot be created.
    pub fn new(
        number: usize,
        binary: &Path,
        addresses: Addresses,
        discovery: SocketAddr,
        out: &Path,
        journal: Journal,
    ) -> Result<Scheduler> {
        let directory = out.join(format!("scheduler-{number}"));
        std::fs::create_dir_all(&directory)
            .with_context(|| format!("cannot create {}", directory.display()))?;
        let directory = directory.canonicalize()?;
        Ok(Scheduler {
            number,
            addresses,
            binary: binary.into(),
            directory,
            discovery,
            known_endpoints: serde_json::Value::Null,
            members_element: String::new(),
            recorded_view: None,
            child: None,
            process_count: 0,
            journal,
        })
    }

    /// Sets the endpoint list in the configuration of each of its processes.
    ///
    /// # Errors
    /// Returns an error if the list is not JSON.
    pub fn with_known_endpoints(self, list: &str) -> Result<Scheduler> {
        Ok(Scheduler { known_endpoints: serde_json::from_str(list)?, ..self })
    }

    /// Makes the scheduler a member of the group that the relay connects.
    pub fn with_members(mut self, members: &Members, relay: &Relay) -> Scheduler {
        self.members_element = config::members_element(self.number, members, relay);
        self
    }

    /// Starts a process and waits until it accepts clients.
    ///
    /// # Errors
    /// Returns an error if the process cannot be started, exits, or does not accept clients in time.
    pub async fn start(&mut self, scenario: &Scenario) -> Result<()> {
        self.child = Some(self.spawn(scenario, self.addresses.admin)?);
        self.wait_until_answered(self.addresses.listen, "GET /up").await?;
        self.journal.record(Observation::SchedulerUp { scheduler: self.number });
        Ok(())
    }

    /// Waits until the current process answers a request with 200.
    async fn wait_until_answered(&mut self, addr: SocketAddr, request: &str) -> Result<()> {
        let until = std::time::Instant::now() + START_OR_EXIT_TIMEOUT;
        while std::time::Instant::now() < until {
            if matches!(http_request(addr, request).await, Ok((200, _))) {
                return Ok(());
            }
            if let Some(code) = self.child.as_mut().and_then(|child| child.try_wait().ok().flatten()) {
                bail!(
                    "scheduler {} exited with {code} before it answered {request:?}; logs: {}",
                    self.number,
                    self.directory.display()
                );
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        bail!(
            "scheduler {} did not answer {request:?} with 200 within {START_OR_EXIT_TIMEOUT:?}; logs: {}",
            self.number,
            self.directory.display()
        )
    }

    /// Kills the process by SIGKILL and starts another.
    ///
    /// # Errors
    /// Returns an error if the process cannot be killed or the new one does not start in time.
    pub async fn kill_and_restart(&mut self, scenario: &Scenario) -> Result<()> {
        self.kill().await?;
        self.start(scenario).await
    }

    /// Kills the process by SIGKILL.
    ///
    /// # Errors
    /// Returns an error if the operating system cannot kill it.
    pub async fn kill(&mut self) -> Result<()> {
        if let Some(mut child) = self.child.take() {
            self.journal.record(Observation::SchedulerKilled { scheduler: self.number });
            child.kill().await?;
        }
        Ok(())
    }

    /// Stops the process by SIGSTOP.
    ///
    /// # Errors
    /// Returns an error if there is no process, or it cannot be signalled.
    pub fn pause(&self) -> Result<()> {
        send_signal(self.child.as_ref().context("the scheduler is not running")?, Signal::STOP)
    }

    /// Continues the process by SIGCONT.
    ///
    /// # Errors
    /// Returns an error if there is no process, or it cannot be signalled.
    pub fn resume(&self) -> Result<()> {
        send_signal(self.child.as_ref().context("the scheduler is not running")?, Signal::CONT)
    }

    /// Ends the process by SIGTERM and waits for its exit.
    ///
    /// # Errors
    /// Returns an error if the process cannot be signalled or does not exit in time.
    pub async fn terminate(&mut self) -> Result<()> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        self.journal.record(Observation::SchedulerTerminated { scheduler: self.number });
        send_signal(&child, Signal::TERM)?;
        let code = tokio::time::timeout(START_OR_EXIT_TIMEOUT, child.wait()).await.with_context(|| {
            format!("scheduler {} did not exit within {START_OR_EXIT_TIMEOUT:?} after SIGTERM", self.number)
        })??;
        self.journal.record(Observation::SchedulerExited { scheduler: self.number, code: code.code() });
        Ok(())
    }

    /// Returns the address for clients.
    pub fn client_address(&self) -> SocketAddr {
        self.addresses.listen
    }

    /// Sends SIGHUP and SIGTERM several times in quick succession.
    ///
    /// # Errors
    /// Returns an error if there is no process, or it cannot be signalled.
    pub async fn send_signal_burst(&mut self) -> Result<()> {
        let child = self.child.as_ref().context("the scheduler is not running")?;
        send_signals(child, &[Signal::HUP, Signal::HUP]).await?;
        self.journal.record(Observation::SchedulerTerminated { scheduler: self.number });
        send_signals(child, &[Signal::TERM, Signal::HUP, Signal::TERM]).await
    }

    /// Ends the process by SIGTERM, and kills it as soon as operators may do so: after the longest
    /// deadline, but at most `MAX_DEADLINE_MS`, and [`SHUTDOWN_GRACE_MS`] more.
    ///
    /// # Errors
    /// Returns an error if a signal cannot be sent.
    pub async fn terminate_or_kill(&mut self, scenario: &Scenario) -> Result<()> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        self.journal.record(Observation::SchedulerTerminated { scheduler: self.number });
        send_signal(&child, Signal::TERM)?;
        let longest_deadline = scenario
            .class
            .iter()
            .map(|class| class.client_timeout_ms)
            .fold(0.0, f64::max)
            .min(MAX_DEADLINE_MS);
        let until_kill = Duration::from_secs_f64((longest_deadline + SHUTDOWN_GRACE_MS) / 1e3);
        match tokio::time::timeout(until_kill, child.wait()).await {
            Ok(code) => {
                self.journal
                    .record(Observation::SchedulerExited { scheduler: self.number, code: code?.code() });
            }
            Err(_) => {
                self.journal.record(Observation::SchedulerKilled { scheduler: self.number });
                child.kill().await?;
            }
        }
        Ok(())
    }

    /// Starts a successor beside the process, then ends the predecessor.
    ///
    /// # Errors
    /// Returns an error if the successor does not become ready or the predecessor does not exit in time.
    pub async fn upgrade(&mut self, scenario: &Scenario) -> Result<()> {
        self.upgrade_with_signals(scenario, &[]).await
    }

    /// As [`Scheduler::upgrade`], with SIGHUP in quick succession: to the predecessor while the successor
    /// starts, and to both as the predecessor ends.
    ///
    /// # Errors
    /// As for [`Scheduler::upgrade`], or a process cannot be signalled.
    pub async fn upgrade_under_signals(&mut self, scenario: &Scenario) -> Result<()> {
        self.upgrade_with_signals(scenario, &[Signal::HUP, Signal::HUP, Signal::HUP]).await
    }

    async fn upgrade_with_signals(&mut self, scenario: &Scenario, signals: &[Signal]) -> Result<()> {
        let admin = free_address()?;
        let successor = self.spawn(scenario, admin)?;
        let predecessor = self.child.replace(successor);
        if let Some(predecessor) = &predecessor {
            send_signals(predecessor, signals).await?;
        }
        self.wait_until_answered(admin, "GET /healthcheck").await?;
        let successor = self.child.take();
        self.child = predecessor;
        for process in [&successor, &self.child].into_iter().flatten() {
            send_signals(process, signals).await?;
        }
        self.terminate().await?;
        self.child = successor;
        self.addresses.admin = admin;
        // The exit of the predecessor is not an end of the scheduler.
        self.journal.record(Observation::SchedulerUp { scheduler: self.number });
        Ok(())
    }

    /// Makes the process reload its files, by SIGHUP.
    ///
    /// # Errors
    /// Returns an error if there is no process, or it cannot be signalled.
    pub fn reload(&self) -> Result<()> {
        send_signal(self.child.as_ref().context("the scheduler is not running")?, Signal::HUP)
    }

    /// Sends a request, given as method and target, to the admin interface. Returns the status and the body
    /// of the answer.
    ///
    /// # Errors
    /// Returns an error if there is no answer within 2 s.
    pub async fn admin_request(&self, request: &str) -> Result<(u16, Vec<u8>)> {
        http_request(self.addresses.admin, request).await
    }

    /// Records the scheduler's view of the members, if it has changed.
    pub async fn record_view(&mut self, schedulers: usize) {
        if self.members_element.is_empty() {
            return;
        }
        let Ok((200, body)) = self.admin_request("GET /members").await else { return };
        let Ok(reported) = serde_json::from_slice::<serde_json::Value>(&body) else { return };
        let mut states = vec!['-'; schedulers];
        for member in reported["members"].as_array().into_iter().flatten() {
            let number = (0..schedulers).find(|number| member["name"] == member_name(*number));
            let letter = member["state"].as_str().and_then(|state| state.chars().next());
            if let (Some(number), Some(letter)) = (number, letter) {
                states[number] = letter;
            }
        }
        let view = View { states: states.into_iter().collect(), minority: reported["minority"] == true };
        if self.recorded_view.as_ref() == Some(&view) {
            return;
        }
        let View { states, minority } = view.clone();
        self.journal.record(Observation::View { scheduler: self.number, states, minority });
        self.recorded_view = Some(view);
    }

    /// Records the scheduler's statistics.
    pub async fn record_stats(&self) {
        let Ok((200, body)) = self.admin_request("GET /stats").await else { return };
        let Ok(stats) = serde_json::from_slice::<serde_json::Value>(&body) else { return };
        let stat = |name: &str| stats.get(name).and_then(serde_json::Value::as_u64).unwrap_or(0);
        self.journal.record(Observation::SchedulerStats {
            scheduler: self.number,
            held: stat("held"),
            in_flight: stat("in_flight"),
            released: stat("released"),
            longest_wait_ms: stat("longest_wait_ms"),
            resident_kib: self.child.as_ref().and_then(Child::id).and_then(resident_kib).unwrap_or(0),
        });
    }
}

/// Returns the resident memory of a process in KiB; `None` if the operating system does not report it.
pub fn resident_kib(id: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    text.lines().find_map(|line| line.strip_prefix("VmRSS:"))?.trim().trim_end_matches(" kB").parse().ok()
}

/// Sends a request, given as method and target, on a new connection. Returns the status and the body of the
/// answer.
///
/// # Errors
/// Returns an error if there is no answer within 2 s.
pub async fn http_request(addr: SocketAddr, request: &str) -> Result<(u16, Vec<u8>)> {
    let exchange = async {
        let mut connection = Connection::new(TcpStream::connect(addr).await?);
        connection
            .send(&wire::message(
                &format!("{request} HTTP/1.1\r\n"),
                &[("Host", "s"), ("Connection", "close")],
                b"",
            ))
            .await?;
        let message = connection
            .message()
            .await?
            .with_context(|| format!("{addr} closed the connection without an answer to {request:?}"))?;
        Ok((message.status(), message.body))
    };
    tokio::time::timeout(Duration::from_secs(2), exchange).await?
}
