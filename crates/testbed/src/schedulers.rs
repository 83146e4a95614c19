//! The real program, one or several of it, started and stopped as its operators would.

use crate::journal::{Journal, Observation};
use crate::relay::Relay;
use crate::scenario::{Effect, Members, Scenario, FALL_MS, OVERLOAD, WINDOW_MS};
use crate::wire::{self, Wire};
use anyhow::{bail, Context, Result};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

/// A scheduler takes clients within this time, or the run has failed.
const PATIENCE: Duration = Duration::from_secs(20);

/// After SIGTERM a scheduler has the longest deadline, this many milliseconds of it at most ...
const LONGEST_MS: f64 = 3_000.0;
/// ... and this many more.
pub const BESIDES_MS: f64 = 700.0;
/// Signals in series come so close together.
const BETWEEN_SIGNALS: Duration = Duration::from_millis(30);

/// Where a scheduler is found: an address of its own for clients and one for operators, free when asked for.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// For clients and for news.
    pub listen: SocketAddr,
    /// For operators.
    pub mgmt: SocketAddr,
}

/// An address that nobody uses now. Guards against: a port that a connection going out takes before a scheduler has it. Those
/// leave from 127.0.0.1; each of these is on a host of its own, as far as there are any.
///
/// # Errors
/// The system has none.
pub fn free_address() -> Result<SocketAddr> {
    static COUNT: AtomicU32 = AtomicU32::new(0);
    let host = |n: u32| (n % 250) as u8 + 1;
    let (process, nth) = (host(std::process::id()), host(COUNT.fetch_add(1, Ordering::Relaxed)));
    Ok(TcpListener::bind((Ipv4Addr::new(127, 83, process, nth), 0))?.local_addr()?)
}

/// The name under which others know a scheduler.
fn member(n: usize) -> String {
    format!("s{n}")
}

/// One scheduler.
pub struct Scheduler {
    number: usize,
    place: Place,
    binary: PathBuf,
    folder: PathBuf,
    discovery: SocketAddr,
    /// The list that each of its processes starts with: the first that there was.
    known: serde_json::Value,
    /// What is in its setup on membership.
    members: String,
    seen: Option<(String, bool)>,
    child: Option<Child>,
    /// How many processes there have been.
    starts: u32,
    journal: Journal,
}

impl Scheduler {
    /// Writes its files; nothing is started yet.
    ///
    /// # Errors
    /// A file cannot be written.
    pub fn new(
        number: usize,
        binary: &Path,
        place: Place,
        discovery: SocketAddr,
        out: &Path,
        journal: Journal,
    ) -> Result<Scheduler> {
        let folder = out.join(format!("scheduler-{number}"));
        std::fs::create_dir_all(&folder).with_context(|| format!("{}", folder.display()))?;
        let folder = folder.canonicalize()?;
        let (child, starts, members, seen) = (None, 0, String::new(), None);
        let (binary, known) = (binary.into(), serde_json::Value::Null);
        Ok(Scheduler {
            number,
            place,
            binary,
            folder,
            discovery,
            known,
            members,
            seen,
            child,
            starts,
            journal,
        })
    }

    /// Has each of its processes start with this list.
    ///
    /// # Errors
    /// It is no JSON.
    pub fn knowing(self, list: &str) -> Result<Scheduler> {
        Ok(Scheduler { known: serde_json::from_str(list)?, ..self })
    }

    /// Makes it a member of all that the relay joins.
    pub fn with_members(mut self, members: &Members, relay: &Relay) -> Scheduler {
        let n = self.number;
        let seeds = relay.known.iter().take(3).map(|addr| format!("<seed addr=\"{addr}\"/>"));
        let seeds: String = seeds.collect();
        self.members = format!(
            "<members name=\"{}\" zone=\"z{}\" listen=\"{}\" advertise=\"{}\" probe=\"{}ms\" suspicion=\"{}ms\" removal=\"{}ms\">{seeds}</members>",
            member(n), n % members.zones.max(1), relay.own[n], relay.known[n], members.probe_ms, members.suspicion_ms, members.probe_ms,
        );
        self
    }

    fn config(&self, scenario: &Scenario, mgmt: SocketAddr) -> serde_json::Value {
        let service = |c: &crate::scenario::Class| {
            let (effect, group) = match c.effect {
                Effect::Repeatable => ("repeatable", ""),
                Effect::ByKey => ("by_key", "cell"),
                Effect::Once => ("once", ""),
            };
            json!({"Name": c.name, "Effect": effect, "Group": group, "WindowMs": WINDOW_MS,
                "GoalTimeMs": c.goal_ms, "HardLimitMs": c.give_up_ms, "LateValue": 0.3, "Credit": 1.0})
        };
        let classes: Vec<_> = scenario.class.iter().map(service).collect();
        json!({"name": format!("lab-{}", self.number), "listen": self.place.listen.to_string(),
            "mgmt": mgmt.to_string(), "discovery": self.discovery.to_string(),
            "seed": format!("{:x}", 7 + self.number),
            "limits": {"cores": 1.0, "memory_mb": 1024, "sockets": scenario.sockets},
            "known": self.known,
            "settings": {"Discovery": "ask", "Siblings": scenario.schedulers, "Zones": ["a"], "Models": ["k"],
                "Permissions": {"Cancel": true, "ConnectTimeoutMs": 200, "KeepaliveMs": 10_000, "MaxAttempts": 5,
                    "MaxRetryAfterMs": 60_000, "RetryAfter": true, "SecondCopies": true, "Probes": true},
                "Report": {"Fields": ["inflight", "x0"], "Source": "inline"},
                "Rules": {"ColdFrom": scenario.fleet.cold_from, "FallMs": FALL_MS, "OverloadFactor": OVERLOAD,
                    "WarmAfterMs": scenario.fleet.warm_ms},
                "Services": classes,
                "Specifics": {"ReportX0": "free slots", "TellsStart": true, "ProgressMs": 1_000}}})
    }

    fn spawn(&mut self, scenario: &Scenario, mgmt: SocketAddr) -> Result<Child> {
        self.starts += 1;
        let config = self.folder.join("config.json");
        std::fs::write(&config, serde_json::to_vec_pretty(&self.config(scenario, mgmt))?)?;
        let log = std::fs::File::create(self.folder.join(format!("log-{}.txt", self.starts)))?;
        let mut command = Command::new(&self.binary);
        command.arg("serve").arg("--config").arg(&config);
        if scenario.setup.is_some() || !self.members.is_empty() {
            let path = self.folder.join("setup.xml");
            let plain = scenario.setup.as_deref().unwrap_or("<postusher></postusher>");
            let setup = plain.replacen("</postusher>", &format!("{}</postusher>", self.members), 1);
            std::fs::write(&path, setup)?;
            command.arg("--setup").arg(path);
        }
        command.env("TMPDIR", &self.folder).stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        command.kill_on_drop(true).spawn().with_context(|| format!("{}", self.binary.display()))
    }

    /// Starts it and waits until it takes clients.
    ///
    /// # Errors
    /// It does not start.
    pub async fn start(&mut self, scenario: &Scenario) -> Result<()> {
        self.child = Some(self.spawn(scenario, self.place.mgmt)?);
        self.wait_until(self.place.listen, "GET /up").await?;
        self.journal.write(Observation::Up { scheduler: self.number });
        Ok(())
    }

    async fn wait_until(&mut self, addr: SocketAddr, call: &str) -> Result<()> {
        let until = std::time::Instant::now() + PATIENCE;
        while std::time::Instant::now() < until {
            if matches!(ask(addr, call).await, Ok((200, _))) {
                return Ok(());
            }
            if let Some(code) = self.child.as_mut().and_then(|c| c.try_wait().ok().flatten()) {
                let logs = self.folder.display();
                bail!(
                    "scheduler {} ended with {code} before it took clients; its log is in {logs}",
                    self.number
                );
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        bail!("scheduler {} does not take clients after {PATIENCE:?}", self.number)
    }

    fn signal(child: &Child, signal: Signal) -> Result<()> {
        let id = child.id().and_then(|id| Pid::from_raw(id as i32));
        Ok(kill_process(id.context("the process has ended")?, signal)?)
    }

    /// Kills it outright and starts it again.
    ///
    /// # Errors
    /// It does not start again.
    pub async fn kill(&mut self, scenario: &Scenario) -> Result<()> {
        self.down().await?;
        self.start(scenario).await
    }

    /// Kills it outright.
    ///
    /// # Errors
    /// The system does not do it.
    pub async fn down(&mut self) -> Result<()> {
        if let Some(mut child) = self.child.take() {
            self.journal.write(Observation::Killed { scheduler: self.number });
            child.kill().await?;
        }
        Ok(())
    }

    /// Stops it, or lets it go on.
    ///
    /// # Errors
    /// It has ended.
    pub fn pause(&self, stop: bool) -> Result<()> {
        let signal = if stop { Signal::STOP } else { Signal::CONT };
        Scheduler::signal(self.child.as_ref().context("it does not run")?, signal)
    }

    /// Has it end by SIGTERM, and waits for that.
    ///
    /// # Errors
    /// It does not end.
    pub async fn terminate(&mut self) -> Result<()> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        self.journal.write(Observation::Terminated { scheduler: self.number });
        Scheduler::signal(&child, Signal::TERM)?;
        let code =
            tokio::time::timeout(PATIENCE, child.wait()).await.context("it does not end on SIGTERM")??;
        self.journal.write(Observation::Exited { scheduler: self.number, code: code.code() });
        Ok(())
    }

    /// Where clients reach it.
    pub fn listens(&self) -> SocketAddr {
        self.place.listen
    }

    /// Sends it SIGHUP and SIGTERM several times, close together.
    ///
    /// # Errors
    /// It has ended.
    pub async fn signals_in_series(&mut self) -> Result<()> {
        let child = self.child.as_ref().context("it does not run")?;
        for signal in [Signal::HUP, Signal::HUP, Signal::TERM, Signal::HUP, Signal::TERM] {
            if signal == Signal::TERM {
                self.journal.write(Observation::Terminated { scheduler: self.number });
            }
            Scheduler::signal(child, signal)?;
            tokio::time::sleep(BETWEEN_SIGNALS).await;
        }
        Ok(())
    }

    /// Has it end, and kills it at the earliest moment that operators allow: its longest deadline (3 s at most) and 0.7 s after
    /// SIGTERM.
    ///
    /// # Errors
    /// The system does not do it.
    pub async fn end_by_deadline(&mut self, scenario: &Scenario) -> Result<()> {
        let Some(mut child) = self.child.take() else { return Ok(()) };
        self.journal.write(Observation::Terminated { scheduler: self.number });
        Scheduler::signal(&child, Signal::TERM)?;
        let longest = scenario.class.iter().map(|c| c.give_up_ms).fold(0.0, f64::max).min(LONGEST_MS);
        let until_kill = Duration::from_secs_f64((longest + BESIDES_MS) / 1e3);
        match tokio::time::timeout(until_kill, child.wait()).await {
            Ok(code) => {
                self.journal.write(Observation::Exited { scheduler: self.number, code: code?.code() });
            }
            Err(_) => {
                self.journal.write(Observation::Killed { scheduler: self.number });
                child.kill().await?;
            }
        }
        Ok(())
    }

    /// Starts a new process beside it, which takes over; then has the old one end.
    ///
    /// # Errors
    /// The new one does not get ready, or the old one does not end.
    pub async fn upgrade(&mut self, scenario: &Scenario) -> Result<()> {
        let mgmt = free_address()?;
        let new = self.spawn(scenario, mgmt)?;
        let old = self.child.replace(new);
        self.wait_until(mgmt, "GET /healthcheck").await?;
        let new = self.child.take();
        self.child = old;
        self.terminate().await?;
        (self.child, self.place.mgmt) = (new, mgmt);
        Ok(())
    }

    /// Has it read its files again.
    ///
    /// # Errors
    /// It has ended.
    pub fn reload(&self) -> Result<()> {
        Scheduler::signal(self.child.as_ref().context("it does not run")?, Signal::HUP)
    }

    /// Makes an operator's call.
    ///
    /// # Errors
    /// It does not answer.
    pub async fn call(&self, line: &str) -> Result<(u16, Vec<u8>)> {
        ask(self.place.mgmt, line).await
    }

    /// Writes down what it believes of the others, if that has changed.
    pub async fn note_view(&mut self, schedulers: usize) {
        if self.members.is_empty() {
            return;
        }
        let Ok((200, body)) = self.call("GET /members").await else { return };
        let Ok(shown) = serde_json::from_slice::<serde_json::Value>(&body) else { return };
        let mut states = vec!['-'; schedulers];
        for m in shown["members"].as_array().into_iter().flatten() {
            let of = (0..schedulers).find(|n| m["name"] == member(*n));
            let letter = m["state"].as_str().and_then(|state| state.chars().next());
            of.zip(letter).into_iter().for_each(|(n, letter)| states[n] = letter);
        }
        let new = (states.into_iter().collect::<String>(), shown["minority"] == true);
        if self.seen.as_ref() != Some(&new) {
            let (states, minority) = new.clone();
            self.journal.write(Observation::View { scheduler: self.number, states, minority });
            self.seen = Some(new);
        }
    }

    /// Writes its figures down.
    pub async fn note_figures(&self) {
        let Ok((200, body)) = self.call("GET /stats").await else { return };
        let Ok(figures) = serde_json::from_slice::<serde_json::Value>(&body) else { return };
        let figure = |name: &str| figures.get(name).and_then(serde_json::Value::as_u64).unwrap_or(0);
        self.journal.write(Observation::Figures {
            scheduler: self.number,
            held: figure("held"),
            in_flight: figure("in_flight"),
            released: figure("released"),
            longest_wait_ms: figure("longest_wait_ms"),
            resident_kib: self.child.as_ref().and_then(Child::id).and_then(resident_kib).unwrap_or(0),
        });
    }
}

/// Resident memory of a process, in KiB, where the system tells.
pub fn resident_kib(id: u32) -> Option<u64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    text.lines().find_map(|l| l.strip_prefix("VmRSS:"))?.trim().trim_end_matches(" kB").parse().ok()
}

/// Asks something of a scheduler, on a connection of its own.
///
/// # Errors
/// There is no answer.
pub async fn ask(addr: SocketAddr, line: &str) -> Result<(u16, Vec<u8>)> {
    let exchange = async {
        let mut wire = Wire::new(TcpStream::connect(addr).await?);
        wire.send(&wire::message(
            &format!("{line} HTTP/1.1\r\n"),
            &[("Host", "s"), ("Connection", "close")],
            b"",
        ))
        .await?;
        let message = wire.message().await?.context("no answer")?;
        Ok((message.status(), message.body))
    };
    tokio::time::timeout(Duration::from_secs(2), exchange).await?
}
