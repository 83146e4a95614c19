//! Reload of the configuration while the scheduler runs: which changes take effect and which need a restart.

use crate::config::{Config, ConfigError, Setup};
use postusher_deferred_jobs::Limits;
use postusher_settings::SiteSettings;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Paths of the configuration files, and the parts of the initial configuration that stay in effect until a
/// restart.
pub struct Reload {
    path: PathBuf,
    setup_path: Option<PathBuf>,
    name: String,
    listen: SocketAddr,
    admin_address: Option<SocketAddr>,
    site: SiteSettings,
    setup: Setup,
}

/// The parts of a reloaded configuration that take effect in a running scheduler.
#[derive(Debug, PartialEq)]
pub struct ReloadedConfig {
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Maximum number of file descriptors of the scheduler; the two processes of an upgrade share them.
    pub max_descriptors: usize,
    /// Limits of deferred jobs; `None` if the setup does not allow jobs to be deferred.
    pub deferral_limits: Option<Limits>,
    /// Keys of the configuration and elements of the setup that have changed since the start and take effect
    /// only after a restart.
    pub restart_required: Vec<&'static str>,
}

impl Reload {
    /// Stores the parts of the initial configuration that are compared with the files at a reload. The seed
    /// and the cached endpoint list are not among them, as they are only used at the start.
    pub fn new(path: PathBuf, setup_path: Option<PathBuf>, config: &Config) -> Self {
        Reload {
            path,
            setup_path,
            name: config.name.clone(),
            listen: config.listen,
            admin_address: config.admin_address,
            site: config.site.clone(),
            setup: config.setup.clone(),
        }
    }

    /// Reads the files again and returns the parts that take effect in the running scheduler.
    ///
    /// # Errors
    /// Returns an error if a file cannot be read or is invalid; no change takes effect then.
    pub fn read(&self) -> Result<ReloadedConfig, ConfigError> {
        let config = Config::load(&self.path, self.setup_path.as_deref())?;
        Ok(ReloadedConfig {
            discovery: config.discovery,
            max_descriptors: config.max_descriptors,
            deferral_limits: config.setup.limits(&self.site),
            restart_required: self.parts_requiring_restart(&config),
        })
    }

    /// Returns the changed keys and elements that take effect only after a restart.
    fn parts_requiring_restart(&self, config: &Config) -> Vec<&'static str> {
        let new = &config.setup.0;
        let old = &self.setup.0;
        let parts = [
            ("name", config.name != self.name),
            ("listen", config.listen != self.listen),
            ("mgmt", config.admin_address != self.admin_address),
            ("settings", config.site != self.site),
            ("<waiting>", new.deferred_jobs.is_some() != old.deferred_jobs.is_some()),
            ("<members>", new.membership != old.membership),
        ];
        parts.into_iter().filter(|(_, has_changed)| *has_changed).map(|(part, _)| part).collect()
    }
}

#[cfg(test)]
mod tests;
