//! A configuration read again: what a running scheduler takes over of it, and what it cannot.

use crate::config::{Config, ConfigError, Setup};
use postusher_deferred_jobs::Limits;
use postusher_settings::SiteSettings;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Where the configuration is read again, and what of the first reading is in force until a restart.
pub struct Reload {
    path: PathBuf,
    setup_path: Option<PathBuf>,
    name: String,
    listen: SocketAddr,
    mgmt: Option<SocketAddr>,
    site: SiteSettings,
    setup: Setup,
}

/// What a configuration read again says.
#[derive(Debug, PartialEq)]
pub struct New {
    /// Where discovery answers now.
    pub discovery: SocketAddr,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bounds of the waiting room.
    pub waiting: Option<Limits>,
    /// Parts that have changed and are not taken over.
    pub restart: Vec<&'static str>,
}

impl Reload {
    /// Remembers what a scheduler starts with. Its seed and the list that it knew are for a start alone.
    pub fn new(path: PathBuf, setup_path: Option<PathBuf>, config: &Config) -> Self {
        let (name, site, setup) = (config.name.clone(), config.site.clone(), config.setup.clone());
        Reload { path, setup_path, name, listen: config.listen, mgmt: config.mgmt, site, setup }
    }

    /// Reads the file again; a file with anything wrong in it is of no use as a whole.
    pub fn read(&self) -> Result<New, ConfigError> {
        let config = Config::load(&self.path, self.setup_path.as_deref())?;
        let has_waiting = |setup: &Setup| setup.0.waiting.is_some();
        let parts = [
            ("name", config.name != self.name),
            ("listen", config.listen != self.listen),
            ("mgmt", config.mgmt != self.mgmt),
            ("settings", config.site != self.site),
            ("<waiting>", has_waiting(&config.setup) != has_waiting(&self.setup)),
        ];
        let members = ("<members>", config.setup.0.members != self.setup.0.members);
        let restart = parts
            .into_iter()
            .chain([members])
            .filter(|(_, changed)| *changed)
            .map(|(part, _)| part)
            .collect();
        let waiting = config.setup.limits(&self.site);
        Ok(New { discovery: config.discovery, sockets: config.sockets, waiting, restart })
    }
}

#[cfg(test)]
mod tests;
