//! The cases. Each starts a small deployment, with or without its disruption, and checks one rule.

mod crowd;
mod cut;
mod direct;
mod flood;
mod moved;
mod report;
mod slow_list;
mod stuck;
mod window;

use crate::client::Outcome;
use crate::discovery::{unix_ms, Discovery};
use crate::record::Record;
use crate::scheduler::{free_address, Plan, Scheduler};
use crate::worker::Worker;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Runs a case; returns whether its rule held.
pub fn run(case: &str, folder: &Path, trouble: bool) -> io::Result<bool> {
    let record = Record::create(&folder.join("record.txt"))?;
    record.line(&format!("case={case} trouble={trouble}"));
    match case {
        "crowd" => crowd::run(&record, trouble),
        "report" => report::run(&record, trouble),
        "flood" => flood::run(&record, trouble),
        "direct" => direct::run(&record, trouble),
        "window" => window::run(&record, trouble),
        // Not cases, as there are to be three at most: the report names them.
        "cut" => cut::run(&record, trouble),
        "moved" => moved::run(&record, trouble),
        "slow-list" => slow_list::run(&record, trouble),
        "stuck" => stuck::run(&record, trouble),
        _ => Err(io::Error::other("no such case")),
    }
}

/// The settings of a small deployment: three classes, one of each effect.
pub fn settings() -> String {
    settings_with(100, 30_000, true)
}

/// The same with this connect time-out, this window for repeats of the keyed class, and probes or none.
pub fn settings_with(connect_timeout_ms: u32, window_ms: u32, probes: bool) -> String {
    format!(
        "{{\"Clients\":{{\"MarksRetry\":false}},\"Discovery\":\"ask\",\"DomainType\":\"jobs\",\"Me\":0,\
         \"Models\":[\"m\"],\"MyZone\":0,\
         \"Permissions\":{{\"Cancel\":true,\"ConnectTimeoutMs\":{connect_timeout_ms},\"KeepaliveMs\":5000,\"MaxAttempts\":5,\
         \"MaxOpen\":20000,\"MaxRetryAfterMs\":2000,\"MaxStreams\":1,\"Peers\":false,\"Probes\":{probes},\
         \"RetryAfter\":true,\"SecondCopies\":true}},\
         \"Realms\":[],\"Report\":{{\"Fields\":[\"concurrent\",\"x0\"],\"Source\":\"inline\"}},\"RoundMs\":4,\
         \"Rules\":{{\"AnswerSlackMs\":16,\"AskWithinMs\":10000,\"ColdFrom\":0.37,\"FallMs\":1500,\
         \"OverloadFactor\":3,\"StopSendingWithinMs\":750,\"WarmAfterMs\":8400}},\
         \"Services\":[\
         {{\"Name\":\"report\",\"Effect\":\"repeatable\",\"Group\":\"all\",\"GoalTimeMs\":400,\"HardLimitMs\":5000,\
         \"LateValue\":0.3,\"Credit\":1,\"Stream\":false,\"WindowMs\":5000}},\
         {{\"Name\":\"fund\",\"Effect\":\"by_key\",\"Group\":\"cell\",\"GoalTimeMs\":1000,\"HardLimitMs\":20000,\
         \"LateValue\":0.25,\"Credit\":5,\"Stream\":false,\"WindowMs\":{window_ms}}},\
         {{\"Name\":\"book\",\"Effect\":\"once\",\"Group\":\"all\",\"GoalTimeMs\":800,\"HardLimitMs\":5000,\
         \"LateValue\":0.3,\"Credit\":1,\"Stream\":false,\"WindowMs\":0}}],\
         \"Siblings\":1,\
         \"Specifics\":{{\"ClassKind\":[-1,-1,-1],\"ClassPriority\":[0,0,0],\"ClassStretch\":[1.75,2,2],\
         \"ProgressMs\":0,\"QueueOrder\":\"fifo\",\"ReportX0\":\"free slots\",\"TellsStart\":false}},\
         \"Stage\":0,\"Tiers\":[\"workers\"],\"Weights\":\"off\",\"WorthBy\":\"work\",\"Zones\":[\"a\"]}}"
    )
}

/// Counts and reports the jobs that had no whole answer half a second after their time.
pub fn lost(record: &Record, outcomes: &[Outcome]) -> usize {
    let mut lost = 0;
    for outcome in outcomes {
        let due = outcome.sent_at + outcome.expires_ms as f64 + 500.0;
        if outcome.answer.is_some_and(|(at, _)| at <= due) {
            continue;
        }
        lost += 1;
        if lost <= 5 {
            let end = match outcome.answer {
                Some((at, status)) => format!("answer {status} after {:.0} ms", at - outcome.sent_at),
                None => outcome.end.to_string(),
            };
            record.say(&format!("lost: job {} with {} ms to wait: {end}", outcome.id, outcome.expires_ms));
        }
    }
    let foreign = outcomes.iter().filter(|outcome| outcome.is_foreign()).count();
    record.say(&format!("jobs={} lost={lost} foreign={foreign}", outcomes.len()));
    lost + foreign
}

/// A free address other than `first`.
pub fn other_address(first: SocketAddr) -> io::Result<SocketAddr> {
    loop {
        let address = free_address()?;
        if address != first {
            return Ok(address);
        }
    }
}

/// Creates a folder for the files of a run.
pub fn temporary_folder(name: &str) -> io::Result<PathBuf> {
    let folder = std::env::temp_dir().join(format!("review-{name}-{}-{}", std::process::id(), unix_ms()));
    std::fs::create_dir_all(&folder)?;
    Ok(folder)
}

/// The limits that the configuration states.
pub struct Limits {
    pub sockets: u32,
    pub memory_mb: u32,
}

/// A small deployment: one scheduler, its discovery and some workers.
pub struct Site {
    pub scheduler: Scheduler,
    pub workers: Vec<Worker>,
    pub listen: SocketAddr,
    tmp: PathBuf,
}

impl Site {
    /// Starts a scheduler with this number of workers that run jobs.
    pub fn start(
        record: &Record,
        name: &str,
        workers: usize,
        limits: Limits,
        settings: String,
    ) -> io::Result<Site> {
        let listen = free_address()?;
        let mut started = Vec::new();
        for number in 0..workers {
            started.push(Worker::start(&format!("s-{number}"), 5, listen, record)?);
        }
        let listed: Vec<(String, SocketAddr)> =
            started.iter().map(|worker| (worker.id.clone(), worker.addr)).collect();
        let mut site = Site::start_at(record, name, listen, &listed, limits, settings)?;
        site.workers = started;
        Ok(site)
    }

    /// Starts a scheduler for these workers; two each form a cell.
    pub fn start_at(
        record: &Record,
        name: &str,
        listen: SocketAddr,
        listed: &[(String, SocketAddr)],
        limits: Limits,
        settings: String,
    ) -> io::Result<Site> {
        let mgmt = other_address(listen)?;
        let discovery = Discovery::start(record, Duration::ZERO)?;
        for (number, (id, addr)) in listed.iter().enumerate() {
            discovery.set(id, *addr, (number / 2) as u16, "up", 0);
        }
        let tmp = temporary_folder(name)?;
        let plan = Plan {
            listen,
            mgmt,
            discovery: discovery.addr,
            memory_mb: limits.memory_mb,
            sockets: limits.sockets,
            known: discovery.whole(),
            settings,
        };
        let scheduler = Scheduler::start(plan, &tmp)?;
        let mut site = Site { scheduler, workers: Vec::new(), listen, tmp };
        site.scheduler.wait_until_up(Duration::from_secs(15))?;
        record.line("scheduler up");
        Ok(site)
    }

    /// Fails if the scheduler has ended.
    pub fn check_running(&mut self) -> io::Result<()> {
        match self.scheduler.ended() {
            Some(status) => Err(io::Error::other(format!("the scheduler has ended: {status}"))),
            None => Ok(()),
        }
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(self.tmp.join("log")).unwrap_or_default()
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.scheduler.end();
        let _ = std::fs::remove_dir_all(&self.tmp);
    }
}
