//! Scenarios: a fleet, its classes and load, deferred jobs, and faults. Files are TOML; an unknown key is an
//! error.

use anyhow::{bail, Context, Result};
use serde::{Deserialize, Serialize};
use std::path::Path;

mod fault_kind;

pub use fault_kind::FaultKind;

/// The content of a scenario file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// A one-line description.
    pub about: String,
    /// How long clients submit jobs, in seconds.
    pub seconds: f64,
    /// The rate of submitted jobs, as a fraction of the fleet's capacity.
    pub load: f64,
    /// The number of schedulers.
    #[serde(default = "default_schedulers")]
    pub schedulers: usize,
    /// The limit of open file descriptors of each scheduler.
    #[serde(default = "default_sockets")]
    pub sockets: usize,
    /// The memory limit of each scheduler, in MiB.
    #[serde(default = "default_memory_mib", rename = "memory_mb")]
    pub memory_mib: f64,
    /// The schedulers' timeout for connecting to a worker, in milliseconds.
    #[serde(default = "default_connect_timeout_ms")]
    pub connect_timeout_ms: f64,
    /// Whether the settings of the schedulers allow two attempts of a job at once.
    #[serde(default = "default_second_copies")]
    pub second_copies: bool,
    /// The content of the schedulers' setup file, if they have one.
    #[serde(default)]
    pub setup: Option<String>,
    /// Membership settings; if set, the schedulers form a group over links that can be cut.
    #[serde(default)]
    pub members: Option<Members>,
    /// The workers.
    pub fleet: Fleet,
    /// The classes of jobs.
    pub class: Vec<Class>,
    /// Deferred jobs.
    #[serde(default)]
    pub waiting: DeferredJobs,
    /// Groups of jobs that become ready at the same time.
    #[serde(default)]
    pub backlog: Vec<Backlog>,
    /// The faults to inject.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// The fraction of clients, not of backlogs, that disconnect early unless they have their answer by then.
    #[serde(default, rename = "leaving")]
    pub disconnect_fraction: f64,
}

/// The workers of a scenario.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// The number of workers.
    pub workers: usize,
    /// The slots of each worker.
    pub slots: u32,
    /// The queue limit of each worker.
    #[serde(default = "default_queue")]
    pub queue: usize,
    /// The speeds of the first and the last worker; those between are spread evenly.
    #[serde(default = "default_speed")]
    pub speed: [f64; 2],
    /// The fraction of its capacity that a worker has at the beginning of a slow start.
    #[serde(default = "default_slow_start_capacity", rename = "cold_from")]
    pub slow_start_capacity: f64,
    /// The duration of a slow start, in milliseconds.
    #[serde(default = "default_slow_start_ms", rename = "warm_ms")]
    pub slow_start_ms: f64,
    /// The number of workers in a cell, which is the deduplication scope.
    #[serde(default = "default_cell")]
    pub cell: usize,
    /// The number of additional workers on the endpoint list that are always draining. They make the list as
    /// long as that of a large fleet.
    #[serde(default)]
    pub listed: usize,
}

/// The membership settings of the schedulers.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Members {
    /// The number of zones; schedulers are assigned to them in turn.
    pub zones: usize,
    /// The interval between two pings of the same member by the same observer, in milliseconds.
    pub probe_ms: f64,
    /// The silence after which a member is accused, in milliseconds.
    pub suspicion_ms: f64,
}

/// A class of jobs.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The name.
    pub name: String,
    /// The share of all jobs, relative to the shares of other classes.
    pub share: f64,
    /// The mean running time on a worker of speed 1, in milliseconds.
    pub mean_ms: f64,
    /// The slots that a job occupies.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// How often a job may take effect.
    #[serde(default)]
    pub effect: Effect,
    /// The timeout of clients, in milliseconds; clients of deferred jobs wait longer.
    #[serde(rename = "give_up_ms")]
    pub client_timeout_ms: f64,
    /// The latency objective, in milliseconds.
    #[serde(default = "default_latency_objective_ms", rename = "goal_ms")]
    pub latency_objective_ms: f64,
    /// The time for which a cell drops repeats of an idempotency key, in milliseconds.
    #[serde(default = "default_deduplication_window_ms", rename = "window_ms")]
    pub deduplication_window_ms: f64,
}

/// How often a job may take effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Effect {
    /// Any number of times: the job is idempotent.
    #[default]
    Repeatable,
    /// Once in a cell within the deduplication window: the job is idempotent by its key.
    ByKey,
    /// Once: the job is not idempotent.
    Once,
}

/// A worker in slow start is overloaded if the work that arrives within [`OVERLOAD_WINDOW_MS`] exceeds this
/// multiple of its capacity; the largest of the jobs does not count.
pub const OVERLOAD_FACTOR: f64 = 3.0;
/// The time window of [`OVERLOAD_FACTOR`], in milliseconds.
pub const OVERLOAD_WINDOW_MS: f64 = 1_500.0;

/// How deferred jobs are generated.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DeferredJobs {
    /// The fraction of all jobs that is deferred.
    pub share: f64,
    /// The fraction of deferred jobs that waits for other jobs; the rest waits for a start time.
    #[serde(rename = "after")]
    pub dependent_fraction: f64,
    /// The fraction of dependencies that any answer satisfies.
    #[serde(rename = "any")]
    pub any_answer_fraction: f64,
    /// The maximum number of dependencies of a job.
    #[serde(rename = "names")]
    pub max_dependencies: usize,
    /// The shortest and the longest delay of a start time, in milliseconds.
    pub delay_ms: [f64; 2],
    /// The time that clients of deferred jobs wait in addition to the timeout of their class, in
    /// milliseconds.
    #[serde(rename = "patience_ms")]
    pub extra_timeout_ms: f64,
}

/// A group of jobs that become ready at the same time.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Backlog {
    /// When the jobs become ready, in seconds from the start.
    pub at_s: f64,
    /// The time before `at_s` within which the jobs are submitted, in seconds.
    pub before_s: f64,
    /// The number of jobs.
    pub jobs: usize,
    /// What makes the jobs ready.
    #[serde(rename = "by")]
    pub ready_by: ReadyBy,
    /// How long the clients wait after `at_s`, in seconds.
    #[serde(rename = "patience_s")]
    pub client_timeout_s: f64,
}

/// What makes a backlog ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReadyBy {
    /// A start time.
    #[serde(rename = "hour")]
    Time,
    /// A job that all others depend on.
    Job,
}

/// A scheduled fault.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When the fault begins, in seconds from the start.
    pub at_s: f64,
    /// The kind of the fault.
    pub kind: FaultKind,
    /// The numbers of the affected workers or schedulers.
    #[serde(default, rename = "who")]
    pub targets: Vec<usize>,
    /// Schedulers that others may remove because of the fault although they run.
    #[serde(default, rename = "grants")]
    pub allowed_removals: Vec<usize>,
    /// The schedulers at the other ends of the affected links.
    #[serde(default, rename = "to")]
    pub peers: Vec<usize>,
    /// The duration in seconds, for faults that end.
    #[serde(default, rename = "for_s")]
    pub duration_s: f64,
    /// The strength of the fault; its meaning depends on the kind.
    #[serde(default = "default_factor")]
    pub factor: f64,
}

fn default_schedulers() -> usize {
    1
}
fn default_slots() -> u32 {
    1
}
fn default_sockets() -> usize {
    4096
}
fn default_queue() -> usize {
    16
}
fn default_speed() -> [f64; 2] {
    [1.0, 1.0]
}
fn default_slow_start_capacity() -> f64 {
    0.4
}
fn default_slow_start_ms() -> f64 {
    6_000.0
}
fn default_cell() -> usize {
    2
}
fn default_memory_mib() -> f64 {
    1024.0
}
fn default_connect_timeout_ms() -> f64 {
    200.0
}
fn default_second_copies() -> bool {
    true
}
fn default_deduplication_window_ms() -> f64 {
    30_000.0
}
fn default_latency_objective_ms() -> f64 {
    500.0
}
fn default_factor() -> f64 {
    5.0
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or is not a valid scenario.
    pub fn load(path: &Path) -> Result<Scenario> {
        let text =
            std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
        Scenario::parse(&text).with_context(|| format!("invalid scenario {}", path.display()))
    }

    /// Parses a scenario.
    ///
    /// # Errors
    /// Returns an error if the text is not a scenario, or its values are invalid or contradict each other.
    pub fn parse(text: &str) -> Result<Scenario> {
        let scenario: Scenario = toml::from_str(text)?;
        scenario.check_load()?;
        for fault in &scenario.fault {
            scenario.check_fault(fault)?;
        }
        Ok(scenario)
    }

    fn check_load(&self) -> Result<()> {
        let is_valid = |class: &Class| class.share >= 0.0 && class.mean_ms > 0.0 && class.slots > 0;
        let total_share: f64 = self.class.iter().map(|class| class.share).sum();
        if self.class.is_empty() || !self.class.iter().all(is_valid) || total_share <= 0.0 {
            bail!("[[class]] needs mean_ms and slots above 0, and shares that are not below 0 and not all 0");
        }
        if self.fleet.workers == 0 || self.fleet.slots == 0 || self.schedulers == 0 {
            bail!("fleet.workers, fleet.slots and schedulers must be above 0");
        }
        let Scenario { seconds, load, waiting: DeferredJobs { share, .. }, .. } = self;
        let is_fraction = (0.0..=1.0).contains(share);
        if !(*seconds > 0.0 && *load >= 0.0 && is_fraction) {
            let rule = "seconds must be above 0, load not below 0, waiting.share from 0 to 1";
            bail!("{rule}, but they are {seconds}, {load} and {share}");
        }
        Ok(())
    }

    fn check_fault(&self, fault: &Fault) -> Result<()> {
        let Fault { kind, at_s, factor, .. } = fault;
        let affects_links =
            matches!(kind, FaultKind::Cut | FaultKind::Reset | FaultKind::Limit | FaultKind::Weather);
        if affects_links && self.members.is_none() {
            bail!("the fault {kind:?} at {at_s} s affects links, but the scenario has no [members]");
        }
        if *kind == FaultKind::Weather && !(0.0..1.0).contains(factor) {
            bail!("the factor {factor} of Weather at {at_s} s is no fraction of datagrams from 0 to below 1");
        }
        if *kind == FaultKind::Throttle && !(*factor > 0.0 && *factor < 1.0) {
            bail!("the factor {factor} of Throttle at {at_s} s is no fraction of a core between 0 and 1");
        }
        let count = if kind.affects_workers() { self.fleet.workers } else { self.schedulers };
        if let Some(unknown) = fault.targets.iter().chain(&fault.peers).find(|number| **number >= count) {
            bail!("the fault {kind:?} at {at_s} s affects number {unknown}, but there are only {count}");
        }
        Ok(())
    }

    /// Returns the number of jobs per second that the fleet can run.
    pub fn capacity(&self) -> f64 {
        let [from, to] = self.fleet.speed;
        // In slots of a worker of speed 1.
        let slots = self.fleet.workers as f64 * f64::from(self.fleet.slots) * (from + to) / 2.0;
        let total_share: f64 = self.class.iter().map(|class| class.share).sum();
        let slot_ms = |class: &Class| class.share / total_share * class.mean_ms * f64::from(class.slots);
        1e3 * slots / self.class.iter().map(slot_ms).sum::<f64>()
    }

    /// Returns the speed of a worker, as a multiple of the speed for which running times are given.
    pub fn speed_of(&self, worker: usize) -> f64 {
        let [from, to] = self.fleet.speed;
        let last = (self.fleet.workers - 1).max(1) as f64;
        from + (to - from) * worker as f64 / last
    }
}
