//! Parser of the setup file, an XML file with settings of a scheduler that are not part of its JSON
//! configuration. `deploy/postusher.xsd` is its schema. The parser accepts the same files as the schema and
//! reports each error with its position and a correction.
//!
//! ```
//! let setup = postusher_setup::read("<postusher><waiting grace=\"2s\"/></postusher>").unwrap();
//! assert_eq!(setup.deferred_jobs.unwrap().dependency_grace, 2_000.0);
//! let diagnostics = postusher_setup::read("<postusher><waiting grace=\"2\"/></postusher>").unwrap_err();
//! assert_eq!((diagnostics[0].line, diagnostics[0].column), (1, 28));
//! ```

mod deferred_jobs;
mod element;
mod error;
mod members;
pub mod pool;
mod units;

pub use deferred_jobs::DeferredJobs;
pub use error::{Diagnostic, LoadError};
pub use members::MembershipSettings;
pub use pool::{Pool, RetryPolicy, Role, Route, State, Sticky, Worker};

use element::Element;
use std::net::SocketAddr;
use std::path::Path;

/// The contents of a setup file.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Setup {
    /// The name of a scheduler that runs without a JSON configuration.
    pub name: Option<String>,
    /// The address to listen on for clients, of a scheduler that runs without a JSON configuration.
    pub listen: Option<SocketAddr>,
    /// The address of the admin interface, of a scheduler that runs without a JSON configuration.
    pub admin_address: Option<SocketAddr>,
    /// The maximum number of file descriptors of the process, of a scheduler that runs without a JSON
    /// configuration.
    pub max_descriptors: Option<usize>,
    /// The direct pools, whose workers are listed in the file.
    pub pools: Vec<Pool>,
    /// The limits on deferred jobs; if `None`, jobs cannot be deferred.
    pub deferred_jobs: Option<DeferredJobs>,
    /// The settings of the membership in a cluster of schedulers; if `None`, the scheduler belongs to no
    /// cluster.
    pub membership: Option<MembershipSettings>,
}

/// Parses the text of a setup file.
///
/// # Errors
/// All errors in the setup, ordered by position; only the first one if the text is not well-formed XML.
pub fn read(text: &str) -> Result<Setup, Vec<Diagnostic>> {
    let document = element::parse(text).map_err(|diagnostic| vec![diagnostic])?;
    let mut diagnostics = Vec::new();
    let root = Element::root(&document, &mut diagnostics);
    let setup = read_root(root, &mut diagnostics);
    diagnostics.sort();
    if diagnostics.is_empty() {
        Ok(setup)
    } else {
        Err(diagnostics)
    }
}

/// Reads and parses a setup file.
///
/// # Errors
/// The file cannot be read, is not UTF-8 text, or has errors.
pub fn load(path: &Path) -> Result<Setup, LoadError> {
    let bytes = std::fs::read(path).map_err(|cause| LoadError::Read { path: path.into(), cause })?;
    let text = String::from_utf8(bytes).map_err(|error| {
        let valid = &error.as_bytes()[..error.utf8_error().valid_up_to()];
        let line = 1 + valid.iter().filter(|byte| **byte == b'\n').count();
        LoadError::NotUtf8 { path: path.into(), line }
    })?;
    read(&text).map_err(|diagnostics| LoadError::Invalid { path: path.into(), diagnostics })
}

fn read_root(mut root: Element, diagnostics: &mut Vec<Diagnostic>) -> Setup {
    let mut setup = Setup::default();
    if !root.has_name("postusher") {
        let message = format!("unexpected root element <{}>", root.name());
        root.report(diagnostics, message, "the root element must be <postusher>".into());
        return setup;
    }
    root.read("name", diagnostics, |text| Ok(Some(text.to_string())), &mut setup.name);
    root.read("listen", diagnostics, |text| units::address(text).map(Some), &mut setup.listen);
    root.read("mgmt", diagnostics, |text| units::address(text).map(Some), &mut setup.admin_address);
    root.read("sockets", diagnostics, |text| units::count(text).map(Some), &mut setup.max_descriptors);
    for child in root.children(diagnostics) {
        read_child(child, &mut setup, diagnostics);
    }
    root.check_no_unknown_attributes(diagnostics);
    setup
}

fn read_child(element: Element, setup: &mut Setup, diagnostics: &mut Vec<Diagnostic>) {
    match element.name() {
        "pool" => pool::read(element, &mut setup.pools, diagnostics),
        "waiting" if setup.deferred_jobs.is_some() => {
            element.report(
                diagnostics,
                "duplicate element <waiting>".into(),
                "merge the two elements".into(),
            );
        }
        // The schema requires <waiting> before <members>.
        "waiting" if setup.membership.is_some() => {
            element.report(
                diagnostics,
                "<waiting> must precede <members>".into(),
                "move it before <members>".into(),
            );
        }
        "waiting" => setup.deferred_jobs = Some(deferred_jobs::read(element, diagnostics)),
        "members" if setup.membership.is_some() => {
            element.report(
                diagnostics,
                "duplicate element <members>".into(),
                "merge the two elements".into(),
            );
        }
        "members" => setup.membership = Some(members::read(element, diagnostics)),
        _ => element.report_unknown(diagnostics, &["pool", "waiting", "members"]),
    }
}
