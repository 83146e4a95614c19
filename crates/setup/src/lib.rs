//! The setup file: what this scheduler can do beyond the platform's configuration, as XML. `deploy/postusher.xsd` is
//! its schema; the reader here accepts the same files, and says of a mistake where it is and what to write instead.
//!
//! ```
//! let setup = postusher_setup::read("<postusher><waiting grace=\"2s\"/></postusher>").unwrap();
//! assert_eq!(setup.waiting.unwrap().grace, 2_000.0);
//! let mistakes = postusher_setup::read("<postusher><waiting grace=\"2\"/></postusher>").unwrap_err();
//! assert_eq!((mistakes[0].line, mistakes[0].column), (1, 28));
//! ```

mod deferred_jobs;
mod element;
mod error;
mod members;
pub mod pool;
mod units;

pub use deferred_jobs::DeferredJobs;
pub use error::{LoadError, Mistake};
pub use members::Members;
pub use pool::{Pool, Repeat, Role, Route, State, Sticky, Worker};

use element::Element;
use std::net::SocketAddr;
use std::path::Path;

/// Everything that a setup file says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Setup {
    /// The scheduler's name, where there is no configuration of the platform.
    pub name: Option<String>,
    /// Where clients connect, where there is no configuration of the platform.
    pub listen: Option<SocketAddr>,
    /// The address of the admin interface, where there is no configuration of the platform.
    pub mgmt: Option<SocketAddr>,
    /// The most file descriptors that the process may hold, where there is no configuration of the platform.
    pub sockets: Option<usize>,
    /// Pools of workers that stand in this file.
    pub pools: Vec<Pool>,
    /// Limits of deferred jobs; `None`: jobs cannot be deferred.
    pub waiting: Option<DeferredJobs>,
    /// Membership in a group of schedulers.
    pub members: Option<Members>,
}

/// Reads a setup.
///
/// # Errors
/// All mistakes in it, by their places; only the first where it is no XML.
pub fn read(text: &str) -> Result<Setup, Vec<Mistake>> {
    let document = element::parse(text).map_err(|mistake| vec![mistake])?;
    let mut mistakes = Vec::new();
    let root = Element::root(&document, &mut mistakes);
    let setup = read_root(root, &mut mistakes);
    mistakes.sort();
    if mistakes.is_empty() {
        Ok(setup)
    } else {
        Err(mistakes)
    }
}

/// Reads a setup file.
///
/// # Errors
/// The file cannot be read, or has mistakes; the error's text has a line for each, with the file's name.
pub fn load(path: &Path) -> Result<Setup, LoadError> {
    let bytes = std::fs::read(path).map_err(|cause| LoadError::Read { path: path.into(), cause })?;
    let text = String::from_utf8(bytes).map_err(|error| {
        let valid = &error.as_bytes()[..error.utf8_error().valid_up_to()];
        let line = 1 + valid.iter().filter(|byte| **byte == b'\n').count();
        LoadError::NotUtf8 { path: path.into(), line }
    })?;
    read(&text).map_err(|mistakes| LoadError::Mistakes { path: path.into(), mistakes })
}

fn read_root(mut root: Element, mistakes: &mut Vec<Mistake>) -> Setup {
    let mut setup = Setup::default();
    if !root.is("postusher") {
        let problem = format!("<{}> is no setup", root.name());
        root.wrong(mistakes, problem, "the outermost element is <postusher>".into());
        return setup;
    }
    root.read("name", mistakes, |text| Ok(Some(text.to_string())), &mut setup.name);
    root.read("listen", mistakes, |text| units::address(text).map(Some), &mut setup.listen);
    root.read("mgmt", mistakes, |text| units::address(text).map(Some), &mut setup.mgmt);
    root.read("sockets", mistakes, |text| units::count(text).map(Some), &mut setup.sockets);
    for child in root.children(mistakes) {
        read_part(child, &mut setup, mistakes);
    }
    root.no_more_attributes(mistakes);
    setup
}

fn read_part(element: Element, setup: &mut Setup, mistakes: &mut Vec<Mistake>) {
    match element.name() {
        "pool" => pool::read(element, &mut setup.pools, mistakes),
        "waiting" if setup.waiting.is_some() => {
            element.wrong(mistakes, "<waiting> stands here twice".into(), "join the two".into());
        }
        // The schema has an order for these two.
        "waiting" if setup.members.is_some() => {
            element.wrong(mistakes, "<waiting> stands after <members>".into(), "move it before".into());
        }
        "waiting" => setup.waiting = Some(deferred_jobs::read(element, mistakes)),
        "members" if setup.members.is_some() => {
            element.wrong(mistakes, "<members> stands here twice".into(), "join the two".into());
        }
        "members" => setup.members = Some(members::read(element, mistakes)),
        _ => element.unknown(mistakes, &["pool", "waiting", "members"]),
    }
}
