//! From Apache's balancer sections and mod_jk's worker files to a setup of postusher, with an account that says of each
//! directive what became of it. Same input, same bytes; nothing touches the network, and only named files are read.
#![forbid(unsafe_code)]

pub mod account;
pub mod ajp;
pub mod apache;
pub mod files;
pub mod mod_jk;
pub mod replay;
mod text;
pub mod write;

pub use account::{Account, Entry, Place, Unreadable, Verdict};
pub use ajp::Ajp;

use postusher_setup::Pool;

/// What came of an import.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Imported {
    /// The groups of workers, in the order of their first mention.
    pub pools: Vec<Pool>,
    /// What became of each directive.
    pub account: Account,
}

impl Imported {
    /// The setup file.
    pub fn setup(&self) -> String {
        write::setup(&self.pools)
    }
}
