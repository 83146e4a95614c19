//! Converts the balancer sections of Apache configurations and the worker files of mod_jk to a setup of
//! postusher, with a report on the outcome of each directive. The output depends only on the input files and
//! options. The importer does not use the network, and reads only the given files and the files that they
//! include.

pub mod account;
pub mod ajp;
pub mod apache;
mod error;
pub mod files;
pub mod mod_jk;
pub mod replay;
mod text;
pub mod write;

pub use account::{Entry, ImportReport, Outcome, Position, Verdict};
pub use ajp::{AjpMapping, AjpMappingError};
pub use error::{ImportError, ImportProblem};

use postusher_setup::Pool;

/// The result of an import.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Imported {
    /// The pools, in the order in which the files first refer to them.
    pub pools: Vec<Pool>,
    /// The outcome of each directive.
    pub report: ImportReport,
}

impl Imported {
    /// Returns the text of the setup file.
    pub fn setup_xml(&self) -> String {
        write::setup_xml(&self.pools)
    }
}
