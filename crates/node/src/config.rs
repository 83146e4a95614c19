//! Configuration of a scheduler: a JSON file, an optional setup file, and the environment.

use crate::discovery::{List, ListError};
use crate::stable_hash::fnv1a;
use postusher_settings::{SettingsError, SiteSettings};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::io;
use std::net::{AddrParseError, SocketAddr};
use std::num::ParseIntError;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Environment variable with the address of the admin interface, used if the file does not set one.
const ADMIN_ADDRESS_VARIABLE: &str = "NODE_MGMT";
/// Smallest number of file descriptors with which a process can serve clients.
const MIN_DESCRIPTORS: usize = 64;
/// Memory limit, in MB, if the file does not set one: the smallest limit that any deployment sets.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Ratio of the memory limit to the maximum size of an endpoint list. While a list is parsed, it is in memory
/// twice, as text and as entries, in addition to the list in use.
const MEMORY_TO_LIST_RATIO: f64 = 8.0;
/// Ratio of the memory limit to the maximum memory of requests and answers. Requests within an even share of
/// that memory are never rejected for lack of it, so that it may be used twice; endpoint lists and the rest of
/// the process need the other half.
const MEMORY_TO_BUFFERS_RATIO: f64 = 4.0;
/// Lower bound of the maximum memory of requests and answers, so that several of the largest ones fit.
const MIN_BUFFER_LIMIT_BYTES: usize = 1 << 20;
/// Lower bound of the size limit of an endpoint list, so that the list of the largest fleet fits.
const MIN_LIST_LIMIT_BYTES: usize = 2 << 20;

/// Reason why a configuration cannot be used. The message is a single line, except for the errors of a setup
/// file.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// The configuration file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The error returned by the operating system.
        source: io::Error,
    },
    /// The configuration file is invalid.
    #[error("{}: {source}", path.display())]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// The error in the file.
        source: ConfigFileError,
    },
    /// The address of the admin interface in the environment is invalid.
    #[error(transparent)]
    AdminAddress(#[from] AdminAddressError),
    /// The setup file cannot be read or is invalid; the message has one error per line.
    #[error("{0}")]
    Setup(String),
    /// The setup file has a pool of workers, which can only be served without a configuration.
    #[error("{}: pool {pool:?} cannot be combined with --config; omit --config", path.display())]
    PoolBesideConfiguration {
        /// The path of the setup file.
        path: PathBuf,
        /// The name of the pool.
        pool: String,
    },
    /// The setup file names a class that is not in the settings.
    #[error("{}: there is no class {class:?}; there are {known}", path.display())]
    UnknownClass {
        /// The path of the setup file.
        path: PathBuf,
        /// The unknown name.
        class: String,
        /// The names of all classes in the settings.
        known: String,
    },
}

/// An error in a configuration file.
#[derive(Debug, Error)]
pub enum ConfigFileError {
    /// The file is not JSON, lacks a required key or has a value of the wrong type.
    #[error("{0}")]
    Malformed(serde_json::Error),
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("invalid seed {text:?}, expected a hexadecimal number of 64 bits: {source}")]
    Seed {
        /// The seed in the file.
        text: String,
        /// The error of the parser.
        source: ParseIntError,
    },
    /// The limit of file descriptors is too low.
    #[error("limits.sockets is {0}, expected at least {MIN_DESCRIPTORS}")]
    TooFewDescriptors(usize),
    /// The cached endpoint list is malformed.
    #[error("invalid endpoint list in the key known: {0}")]
    CachedList(ListError),
    /// The settings are invalid.
    #[error("{0}")]
    Settings(SettingsError),
}

/// Error for a value of the environment variable `NODE_MGMT` that is not an address with a port.
#[derive(Clone, Debug, Error, PartialEq)]
#[error("invalid {ADMIN_ADDRESS_VARIABLE} {text:?}, expected an address with a port: {source}")]
pub struct AdminAddressError {
    text: String,
    source: AddrParseError,
}

/// The parsed and checked configuration.
pub struct Config {
    /// Name of the scheduler.
    pub name: String,
    /// Address to which clients connect, as well as workers that send job status updates.
    pub listen: SocketAddr,
    /// Address of the admin interface, if there is one.
    pub admin_address: Option<SocketAddr>,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the random numbers of the decision module, and part of the seed of membership.
    pub seed: u64,
    /// Maximum number of file descriptors of the scheduler; the two processes of an upgrade share them.
    pub max_descriptors: usize,
    /// Maximum size of an endpoint list, in bytes.
    pub max_list_bytes: usize,
    /// Maximum memory of requests and answers, in bytes.
    pub max_buffered_bytes: usize,
    /// The endpoint list in the file, which is applied at the start; empty if there is none.
    pub cached_list: List,
    /// The settings, with the names of classes, customers, zones and machine kinds.
    pub site: SiteSettings,
    /// Digest of the settings in the file, by which the processes of an upgrade compare their settings.
    pub settings_digest: u64,
    /// The setup; empty if there is no setup file.
    pub setup: Setup,
}

/// The setup of a scheduler that also has a configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Setup(pub postusher_setup::Setup);

impl Setup {
    /// Loads the setup file, if there is one, and checks it against the settings.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, is invalid or contradicts the settings.
    pub fn load(path: Option<&Path>, site: &SiteSettings) -> Result<Setup, ConfigError> {
        let Some(path) = path else { return Ok(Setup::default()) };
        let setup = postusher_setup::load(path).map_err(|error| ConfigError::Setup(error.to_string()))?;
        if let Some(pool) = setup.pools.first() {
            return Err(ConfigError::PoolBesideConfiguration { path: path.into(), pool: pool.name.clone() });
        }
        let known_classes: Vec<&str> = site.classes.iter().map(|class| class.name.as_str()).collect();
        let mut weighted = setup.deferred_jobs.iter().flat_map(|deferral| deferral.class_weights.keys());
        if let Some(unknown) = weighted.find(|name| !known_classes.contains(&name.as_str())) {
            return Err(ConfigError::UnknownClass {
                path: path.into(),
                class: unknown.clone(),
                known: known_classes.join(", "),
            });
        }
        Ok(Setup(setup))
    }

    /// Returns the limits of deferred jobs; `None` if jobs cannot be deferred.
    pub fn limits(&self, site: &SiteSettings) -> Option<postusher_deferred_jobs::Limits> {
        let deferral = self.0.deferred_jobs.as_ref()?;
        Some(deferral.limits(site.classes.iter().map(|class| class.name.as_str())))
    }
}

/// JSON form of the configuration file.
#[derive(Deserialize)]
struct File {
    #[serde(default)]
    name: String,
    listen: SocketAddr,
    #[serde(default)]
    mgmt: Option<SocketAddr>,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    #[serde(default)]
    known: Option<Box<RawValue>>,
    settings: serde_json::Value,
}

/// JSON form of the limits of the process.
#[derive(Deserialize)]
struct Limits {
    sockets: usize,
    #[serde(default = "default_memory_mb")]
    memory_mb: f64,
}

fn default_memory_mb() -> f64 {
    DEFAULT_MEMORY_MB
}

impl Limits {
    /// Returns the maximum size of an endpoint list, in bytes.
    fn max_list_bytes(&self) -> usize {
        let limit = (self.memory_mb * 1e6 / MEMORY_TO_LIST_RATIO) as usize;
        limit.max(MIN_LIST_LIMIT_BYTES)
    }

    /// Returns the maximum memory of requests and answers, in bytes.
    fn max_buffered_bytes(&self) -> usize {
        let limit = (self.memory_mb * 1e6 / MEMORY_TO_BUFFERS_RATIO) as usize;
        limit.max(MIN_BUFFER_LIMIT_BYTES)
    }
}

/// Parses the address of the admin interface in the environment; an empty variable counts as unset.
fn admin_address(text: Option<String>) -> Result<Option<SocketAddr>, AdminAddressError> {
    let Some(text) = text.filter(|text| !text.is_empty()) else { return Ok(None) };
    match text.parse() {
        Ok(address) => Ok(Some(address)),
        Err(source) => Err(AdminAddressError { text, source }),
    }
}

impl Config {
    /// Loads a configuration file, the setup file if there is one, and the environment.
    ///
    /// # Errors
    /// Returns an error if a file cannot be read or if one of the sources is invalid.
    pub fn load(path: &Path, setup: Option<&Path>) -> Result<Config, ConfigError> {
        let text =
            std::fs::read(path).map_err(|source| ConfigError::Unreadable { path: path.into(), source })?;
        let mut config =
            Config::read(&text).map_err(|source| ConfigError::Invalid { path: path.into(), source })?;
        config.setup = Setup::load(setup, &config.site)?;
        let from_environment = admin_address(std::env::var(ADMIN_ADDRESS_VARIABLE).ok())?;
        config.admin_address = config.admin_address.or(from_environment);
        Ok(config)
    }

    fn read(text: &[u8]) -> Result<Config, ConfigFileError> {
        let file: File = serde_json::from_slice(text).map_err(ConfigFileError::Malformed)?;
        let seed = match u64::from_str_radix(&file.seed, 16) {
            Ok(seed) => seed,
            Err(source) => return Err(ConfigFileError::Seed { text: file.seed, source }),
        };
        if file.limits.sockets < MIN_DESCRIPTORS {
            return Err(ConfigFileError::TooFewDescriptors(file.limits.sockets));
        }
        let cached_list = match &file.known {
            Some(known) => List::read(known.get()).map_err(ConfigFileError::CachedList)?,
            None => List::default(),
        };
        let site = SiteSettings::from_value(&file.settings).map_err(ConfigFileError::Settings)?;
        Ok(Config {
            name: file.name,
            listen: file.listen,
            admin_address: file.mgmt,
            discovery: file.discovery,
            seed,
            max_descriptors: file.limits.sockets,
            max_list_bytes: file.limits.max_list_bytes(),
            max_buffered_bytes: file.limits.max_buffered_bytes(),
            cached_list,
            site,
            settings_digest: fnv1a(file.settings.to_string().as_bytes()),
            setup: Setup::default(),
        })
    }
}

#[cfg(test)]
pub mod tests;
