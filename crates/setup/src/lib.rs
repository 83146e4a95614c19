//! The setup file: what this scheduler can do beyond the platform's configuration, as XML. `deploy/postusher.xsd` is
//! its schema; the reader here says the same, with places and with what to write instead.
//!
//! ```
//! let setup = postusher_setup::read("<postusher><waiting grace=\"2s\"/></postusher>").unwrap();
//! assert_eq!(setup.waiting.unwrap().grace, 2_000.0);
//! let mistakes = postusher_setup::read("<postusher><waiting grace=\"2\"/></postusher>").unwrap_err();
//! assert_eq!((mistakes[0].line, mistakes[0].column), (1, 28));
//! ```
#![forbid(unsafe_code)]

mod element;
mod members;
pub mod pool;
mod units;

pub use members::Members;
pub use pool::{Pool, Repeat, Role, Route, State, Sticky, Worker};

use element::Element;
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

/// Everything that a setup file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Setup {
    /// The scheduler's name, where it stands alone.
    pub name: Option<String>,
    /// Where clients connect, where it stands alone.
    pub listen: Option<SocketAddr>,
    /// Where operators call, where it stands alone.
    pub mgmt: Option<SocketAddr>,
    /// Descriptors that the process may hold, where it stands alone.
    pub sockets: Option<usize>,
    /// Groups of workers that stand in this file.
    pub pools: Vec<Pool>,
    /// Jobs may wait for others or for a time.
    pub waiting: Option<Waiting>,
    /// Schedulers know of each other.
    pub members: Option<Members>,
}

/// The waiting room. Times are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Waiting {
    /// The most jobs held.
    pub jobs: usize,
    /// The most bytes that they hold.
    pub bytes: usize,
    /// The most jobs of one client's connection.
    pub per_client: usize,
    /// Outcomes that are remembered.
    pub remembered: usize,
    /// For how long.
    pub remember_for: f64,
    /// For so long a job that is named may still arrive.
    pub grace: f64,
    /// A job that is ready goes on or is refused within this time.
    pub longest: f64,
    /// How long a class of weight 1 gives way.
    pub ageing: f64,
    /// The part of the fleet's slots that is left to fresh jobs.
    pub reserve: f64,
    /// Weights of classes, by name.
    pub weights: BTreeMap<String, f64>,
}

impl Default for Waiting {
    fn default() -> Self {
        let defaults = postusher_deferred_jobs::Limits::default();
        Waiting {
            jobs: defaults.max_jobs,
            bytes: defaults.max_bytes,
            per_client: defaults.max_jobs_per_client,
            remembered: defaults.max_remembered_ends,
            remember_for: defaults.remember_ends_for,
            grace: defaults.dependency_grace,
            longest: defaults.max_ready_wait,
            ageing: defaults.aging,
            reserve: defaults.reserved_share,
            weights: BTreeMap::new(),
        }
    }
}

impl Waiting {
    /// The limits of the queue of deferred jobs, with classes by their numbers.
    pub fn limits<'a>(&self, classes: impl Iterator<Item = &'a str>) -> postusher_deferred_jobs::Limits {
        postusher_deferred_jobs::Limits {
            max_jobs: self.jobs,
            max_bytes: self.bytes,
            max_jobs_per_client: self.per_client,
            max_remembered_ends: self.remembered,
            remember_ends_for: self.remember_for,
            dependency_grace: self.grace,
            max_ready_wait: self.longest,
            aging: self.ageing,
            reserved_share: self.reserve,
            class_weights: classes.map(|name| self.weights.get(name).copied().unwrap_or(1.0)).collect(),
            ..postusher_deferred_jobs::Limits::default()
        }
    }
}

/// Something in a setup file that cannot be meant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mistake {
    /// From 1.
    pub line: u32,
    /// From 1, in characters.
    pub column: u32,
    /// What is wrong.
    pub what: String,
    /// What to write.
    pub instead: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: {}; {}", self.line, self.column, self.what, self.instead)
    }
}

/// Reads a setup.
///
/// # Errors
/// All mistakes in it, by their places; only the first where it is no XML.
pub fn read(text: &str) -> Result<Setup, Vec<Mistake>> {
    let document = element::parse(text).map_err(|mistake| vec![mistake])?;
    let mut mistakes = Vec::new();
    let root = Element::root(&document, &mut mistakes);
    let setup = postusher(root, &mut mistakes);
    mistakes.sort();
    match mistakes.is_empty() {
        true => Ok(setup),
        false => Err(mistakes),
    }
}

/// Reads a setup file; a mistake is a line of its own, with the file's name.
///
/// # Errors
/// Why it cannot be read, or all that is wrong with it.
pub fn load(path: &Path) -> Result<Setup, String> {
    let bytes = std::fs::read(path).map_err(|e| format!("{}: {e}", path.display()))?;
    let text = String::from_utf8(bytes).map_err(|e| {
        let valid = e.utf8_error().valid_up_to();
        let before = &e.as_bytes()[..valid];
        let line = 1 + before.iter().filter(|b| **b == b'\n').count();
        format!("{}:{line}:1: this is not UTF-8; save the file as UTF-8", path.display())
    })?;
    let all = |mistakes: Vec<Mistake>| {
        let lines: Vec<String> = mistakes.iter().map(|m| format!("{}:{m}", path.display())).collect();
        lines.join("\n")
    };
    read(&text).map_err(all)
}

fn postusher(mut root: Element, mistakes: &mut Vec<Mistake>) -> Setup {
    let mut setup = Setup::default();
    if !root.is("postusher") {
        root.wrong(
            mistakes,
            format!("<{}> is no setup", root.name()),
            "the outermost element is <postusher>".into(),
        );
        return setup;
    }
    let text = |text: &str| Ok(text.to_string());
    let mut name = String::new();
    if root.read("name", mistakes, text, &mut name) {
        setup.name = Some(name);
    }
    root.read("listen", mistakes, |t| units::address(t).map(Some), &mut setup.listen);
    root.read("mgmt", mistakes, |t| units::address(t).map(Some), &mut setup.mgmt);
    root.read("sockets", mistakes, |t| units::count(t).map(Some), &mut setup.sockets);
    for child in root.children(mistakes) {
        match child.name() {
            "pool" => pool::read(child, &mut setup.pools, mistakes),
            "waiting" if setup.waiting.is_none() && setup.members.is_some() => {
                child.wrong(mistakes, "<waiting> stands after <members>".into(), "move it before".into());
            }
            "waiting" if setup.waiting.is_none() => setup.waiting = Some(waiting(child, mistakes)),
            "waiting" => child.wrong(mistakes, "<waiting> stands here twice".into(), "join the two".into()),
            "members" if setup.members.is_none() => setup.members = Some(members::read(child, mistakes)),
            "members" => child.wrong(mistakes, "<members> stands here twice".into(), "join the two".into()),
            _ => child.unknown(mistakes, &["pool", "waiting", "members"]),
        }
    }
    root.no_more_attributes(mistakes);
    setup
}

fn waiting(mut e: Element, mistakes: &mut Vec<Mistake>) -> Waiting {
    let mut w = Waiting::default();
    e.read("most-jobs", mistakes, units::count, &mut w.jobs);
    e.read("most-bytes", mistakes, units::bytes, &mut w.bytes);
    e.read("most-per-client", mistakes, units::count, &mut w.per_client);
    e.read("remember", mistakes, units::count, &mut w.remembered);
    e.read("remember-for", mistakes, units::duration, &mut w.remember_for);
    e.read("grace", mistakes, units::duration, &mut w.grace);
    e.read("longest", mistakes, units::positive_duration, &mut w.longest);
    e.read("ageing", mistakes, units::duration, &mut w.ageing);
    e.read("reserve", mistakes, units::part, &mut w.reserve);
    e.no_more_attributes(mistakes);
    for mut child in e.children(mistakes) {
        if !child.is("weight") {
            child.unknown(mistakes, &["weight"]);
            continue;
        }
        let (mut class, mut value) = (String::new(), 1.0);
        child.need("class", mistakes, units::name, &mut class);
        child.need("value", mistakes, units::weight, &mut value);
        child.no_more_attributes(mistakes);
        child.no_children(mistakes);
        if !class.is_empty() && w.weights.insert(class.clone(), value).is_some() {
            child.wrong(mistakes, format!("class {class:?} has two weights"), "leave one of them out".into());
        }
    }
    w
}
