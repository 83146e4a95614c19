//! Start of a scheduler's process.

use super::config::{self, SchedulerParameters};
use super::{Addresses, Scheduler};
use crate::memory_use::record_scheduler_memory;
use crate::scenario::Scenario;
use crate::scheduling_delays::record_scheduler_waits;
use anyhow::{Context, Result};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Stdio;
use tokio::process::{Child, Command};

/// Length of the name of a long directory, in bytes; the path in the address of a Unix socket has 107 at most.
const LONG_NAME_BYTES: usize = 120;

impl Scheduler {
    /// Returns the directory for the upgrade socket, and creates it. Every second scheduler has one whose path is
    /// too long for the address of a socket.
    fn temporary_directory(&self) -> Result<PathBuf> {
        let name = if self.number.is_multiple_of(2) { "t".into() } else { "t".repeat(LONG_NAME_BYTES) };
        let directory = self.directory.join(name);
        std::fs::create_dir_all(&directory)?;
        Ok(directory)
    }

    /// Starts a process with a new configuration file and a log of its own.
    pub(super) fn spawn(&mut self, scenario: &Scenario, admin: SocketAddr) -> Result<Child> {
        self.process_count += 1;
        let parameters = SchedulerParameters {
            number: self.number,
            addresses: Addresses { listen: self.addresses.listen, admin },
            discovery: self.discovery,
            known_endpoints: &self.known_endpoints,
        };
        let config = self.directory.join("config.json");
        std::fs::write(&config, serde_json::to_vec_pretty(&config::config(scenario, &parameters))?)?;
        let log = std::fs::File::create(self.directory.join(format!("log-{}.txt", self.process_count)))?;
        let mut command = Command::new(&self.binary);
        command.arg("serve").arg("--config").arg(&config);
        if scenario.setup.is_some() || !self.members_element.is_empty() {
            let path = self.directory.join("setup.xml");
            let setup = scenario.setup.as_deref().unwrap_or("<postusher></postusher>");
            let setup = setup.replacen("</postusher>", &format!("{}</postusher>", self.members_element), 1);
            std::fs::write(&path, setup)?;
            command.arg("--setup").arg(path);
        }
        command
            .env("TMPDIR", self.temporary_directory()?)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log);
        let child = command.kill_on_drop(true).spawn();
        let child = child.with_context(|| format!("cannot start {}", self.binary.display()))?;
        if let Some(process) = child.id() {
            tokio::spawn(record_scheduler_waits(self.journal.clone(), self.number, process));
            tokio::spawn(record_scheduler_memory(self.journal.clone(), self.number, process));
        }
        Ok(child)
    }
}
