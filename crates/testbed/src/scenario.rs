//! What is played: a fleet, its classes and load, jobs that wait, and faults. Files are TOML; what is unknown in one
//! is an error.

use anyhow::{bail, Context, Result};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// A scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it shows.
    pub about: String,
    /// For how long clients bring jobs, in seconds.
    pub seconds: f64,
    /// Jobs brought over what the fleet can do.
    pub load: f64,
    /// Schedulers, side by side.
    #[serde(default = "one")]
    pub schedulers: usize,
    /// Descriptors that each scheduler may hold.
    #[serde(default = "sockets")]
    pub sockets: usize,
    /// The setup file that schedulers get, if any.
    #[serde(default)]
    pub setup: Option<String>,
    /// Schedulers know of each other, over links that can be cut.
    #[serde(default)]
    pub members: Option<Members>,
    /// The workers.
    pub fleet: Fleet,
    /// The classes of jobs; shares are made to add up.
    pub class: Vec<Class>,
    /// Jobs that wait.
    #[serde(default)]
    pub waiting: Waiting,
    /// Jobs that come ready at one moment.
    #[serde(default)]
    pub backlog: Vec<Backlog>,
    /// What goes wrong.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// The part of the clients that leave before their answer.
    #[serde(default)]
    pub leaving: f64,
}

/// The workers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// How many.
    pub workers: usize,
    /// Slots of each.
    pub slots: u32,
    /// Jobs that wait at each, at most.
    #[serde(default = "queue")]
    pub queue: usize,
    /// Speeds, spread evenly from the first to the second.
    #[serde(default = "speed")]
    pub speed: [f64; 2],
    /// The part of its capacity with which one starts.
    #[serde(default = "cold_from")]
    pub cold_from: f64,
    /// It is warm after this time, in milliseconds.
    #[serde(default = "warm_ms")]
    pub warm_ms: f64,
    /// Workers to a cell, which drops repeats of a keyed job.
    #[serde(default = "cell")]
    pub cell: usize,
    /// Further workers on the list, which drain throughout and so take no jobs: they make it as long as a large fleet's.
    #[serde(default)]
    pub listed: usize,
}

/// Schedulers as members.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Members {
    /// Their zones, in turn.
    pub zones: usize,
    /// Between two pings, in milliseconds.
    pub probe_ms: f64,
    /// Silence after which a member is accused, in milliseconds.
    pub suspicion_ms: f64,
}

/// A class of jobs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Its part of all jobs.
    pub share: f64,
    /// Mean running time on a worker of speed 1, in milliseconds.
    pub mean_ms: f64,
    /// Slots that a job takes.
    #[serde(default = "one_slot")]
    pub slots: u32,
    /// How often a job may take effect.
    #[serde(default)]
    pub effect: Effect,
    /// For how long clients wait, in milliseconds, and what waits before it starts so much longer.
    pub give_up_ms: f64,
    /// In time within this time, in milliseconds.
    #[serde(default = "goal_ms")]
    pub goal_ms: f64,
}

/// How often a job may take effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Safe to repeat.
    #[default]
    Repeatable,
    /// Repeats are dropped in a cell for 30 s.
    ByKey,
    /// Never to run twice.
    Once,
}

/// For so long a cell drops repeats of a key, in milliseconds.
pub const WINDOW_MS: f64 = 30_000.0;
/// Work over this multiple of what a cold worker can do ...
pub const OVERLOAD: f64 = 3.0;
/// ... within this time, in milliseconds, makes it fall over.
pub const FALL_MS: f64 = 1_500.0;

/// Jobs that wait.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Waiting {
    /// Their part of all jobs.
    pub share: f64,
    /// Of those, the part that waits for others; the rest waits for a time.
    pub after: f64,
    /// Of the names in those, the part that takes any answer.
    pub any: f64,
    /// Names that a job waits for, at most.
    pub names: usize,
    /// Times that are waited for, in milliseconds, from the first to the second.
    pub delay_ms: [f64; 2],
    /// How much longer their clients wait than those of others, in milliseconds.
    pub patience_ms: f64,
}

/// Many jobs that come ready at one moment.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backlog {
    /// When they come ready, in seconds from the start.
    pub at_s: f64,
    /// They are brought in the time before that, in seconds.
    pub before_s: f64,
    /// How many.
    pub jobs: usize,
    /// By what they come ready.
    pub by: ReadyBy,
    /// How long their clients wait from then on, in seconds.
    pub patience_s: f64,
}

/// What makes a backlog come ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadyBy {
    /// A time.
    Hour,
    /// One job that all wait for.
    Job,
}

/// Something that goes wrong at a time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When, in seconds from the start.
    pub at_s: f64,
    /// What.
    pub kind: FaultKind,
    /// With which workers, by number, or with which scheduler.
    #[serde(default)]
    pub who: Vec<usize>,
    /// Schedulers that others may find to be gone because of it, though they run.
    #[serde(default)]
    pub grants: Vec<usize>,
    /// To which schedulers, where links are cut.
    #[serde(default)]
    pub to: Vec<usize>,
    /// For how long, in seconds, where it ends.
    #[serde(default)]
    pub for_s: f64,
    /// How much slower, where it is slow.
    #[serde(default = "factor")]
    pub factor: f64,
}

/// What can go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Workers die with all that they have, and start again cold after the time.
    Crash,
    /// Workers take jobs and answer none.
    Hang,
    /// Workers run slower by the factor.
    Slow,
    /// Workers turn all jobs away, unseen.
    Refuse,
    /// Workers break connections before they say that they have a job.
    Break,
    /// Workers drain, by the list, and come back after the time.
    Drain,
    /// Workers tell each piece of news twice.
    Twice,
    /// Workers tell their news a second late.
    Late,
    /// Discovery answers nothing.
    Discovery,
    /// The further workers on the list are replaced: the lines of all of them change.
    Replace,
    /// Discovery's answers are cut off in the middle.
    CutLists,
    /// Discovery's answers come in pieces, slowly.
    SlowLists,
    /// Idle connections, so many (the factor), are opened to a scheduler and closed after the time.
    Crowd,
    /// A scheduler gets SIGHUP and SIGTERM several times in quick succession, and is started again once it has ended.
    Signals,
    /// A scheduler is killed outright and started again.
    Kill,
    /// A scheduler is killed outright and started again after the time.
    Down,
    /// A scheduler is stopped by SIGSTOP, and goes on after the time.
    Pause,
    /// A scheduler has this part (the factor) of a core only, by SIGSTOP and SIGCONT in turn.
    Throttle,
    /// Links from schedulers to others are cut, one way.
    Cut,
    /// Connections from schedulers to others are reset.
    Reset,
    /// Each link between schedulers carries so many datagrams a second (the factor) and loses the rest.
    Limit,
    /// All links between schedulers lose this part (the factor) and delay by up to 300 ms, and double a tenth.
    Weather,
    /// A scheduler gets SIGTERM and is started again once it has ended.
    Term,
    /// A scheduler gets SIGTERM, SIGKILL at the earliest moment that operators allow, and is started again.
    TermThenKill,
    /// A scheduler is followed by a new process, then gets SIGTERM.
    Upgrade,
    /// A scheduler gets SIGHUP.
    Reload,
    /// A worker is taken out by hand and put back after the time.
    Maint,
}

fn one() -> usize {
    1
}
fn one_slot() -> u32 {
    1
}
fn sockets() -> usize {
    4096
}
fn queue() -> usize {
    16
}
fn speed() -> [f64; 2] {
    [1.0, 1.0]
}
fn cold_from() -> f64 {
    0.4
}
fn warm_ms() -> f64 {
    6_000.0
}
fn cell() -> usize {
    2
}
fn goal_ms() -> f64 {
    500.0
}
fn factor() -> f64 {
    5.0
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    /// What is wrong with it, with its place.
    pub fn load(path: &Path) -> Result<Scenario> {
        let text = std::fs::read_to_string(path).with_context(|| format!("{}", path.display()))?;
        Scenario::read(&text).with_context(|| format!("{}", path.display()))
    }

    /// Reads a scenario.
    ///
    /// # Errors
    /// What is wrong with it.
    pub fn read(text: &str) -> Result<Scenario> {
        let scenario: Scenario = toml::from_str(text)?;
        let s = &scenario;
        let shares = s.class.iter().all(|c| c.share >= 0.0 && c.mean_ms > 0.0 && c.slots > 0);
        if s.class.is_empty() || !shares || s.class.iter().map(|c| c.share).sum::<f64>() <= 0.0 {
            bail!("a scenario has classes with shares, running times and slots above 0");
        }
        if s.fleet.workers == 0 || s.fleet.slots == 0 || s.schedulers == 0 {
            bail!("a scenario has workers with slots, and a scheduler");
        }
        if !(s.seconds > 0.0 && s.load >= 0.0 && (0.0..=1.0).contains(&s.waiting.share)) {
            bail!("seconds is above 0, load is not below 0, waiting.share is a part of 1");
        }
        for fault in &s.fault {
            let count = if fault.kind.concerns_workers() { s.fleet.workers } else { s.schedulers };
            let links = matches!(
                fault.kind,
                FaultKind::Cut | FaultKind::Reset | FaultKind::Limit | FaultKind::Weather
            );
            if links && s.members.is_none() {
                bail!("a {:?} at {} s needs [members]", fault.kind, fault.at_s);
            }
            if fault.kind == FaultKind::Weather && !(0.0..1.0).contains(&fault.factor) {
                bail!("the factor of weather at {} s is the part that is lost, from 0 to 1", fault.at_s);
            }
            if fault.kind == FaultKind::Throttle && !(fault.factor > 0.0 && fault.factor < 1.0) {
                bail!("the factor of a throttle at {} s is a part of a core, between 0 and 1", fault.at_s);
            }
            if let Some(other) = fault.who.iter().chain(&fault.to).find(|who| **who >= count) {
                bail!("a {:?} at {} s names number {other}; there are {count}", fault.kind, fault.at_s);
            }
        }
        Ok(scenario)
    }

    /// Jobs a second that the fleet can do.
    pub fn capacity(&self) -> f64 {
        let [from, to] = self.fleet.speed;
        let slots = self.fleet.workers as f64 * f64::from(self.fleet.slots) * (from + to) / 2.0;
        let shares: f64 = self.class.iter().map(|c| c.share).sum();
        let mean = |c: &Class| c.share / shares * c.mean_ms * f64::from(c.slots);
        1e3 * slots / self.class.iter().map(mean).sum::<f64>()
    }

    /// The speed of a worker.
    pub fn speed_of(&self, worker: usize) -> f64 {
        let [from, to] = self.fleet.speed;
        let last = (self.fleet.workers - 1).max(1) as f64;
        from + (to - from) * worker as f64 / last
    }
}

impl FaultKind {
    /// Whether it befalls workers; else schedulers or discovery.
    pub fn concerns_workers(self) -> bool {
        use FaultKind::*;
        matches!(self, Crash | Hang | Slow | Refuse | Break | Drain | Twice | Late | Maint)
    }
}
