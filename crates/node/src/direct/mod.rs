//! A standalone scheduler: its pools are configured in the setup file, and a worker's HTTP response is the
//! answer to the client's request. Answer bodies are passed to clients unchanged, in parts and with bounded
//! memory.

mod event_loop;
mod pool;
mod response;
mod service;

use crate::clock::Clock;
use crate::event_loop::EventLoop as PlatformEventLoop;
use postusher_setup::Setup;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Default descriptor limit of the process, if the setup does not set one.
const DEFAULT_DESCRIPTORS: usize = 4_096;
/// Minimum descriptor limit. A fixed number of descriptors is reserved; the connections of clients and those
/// to workers share the rest.
const MIN_DESCRIPTORS: usize = 64;

/// Reason why the pools cannot be served.
#[derive(Debug, thiserror::Error)]
pub enum ServeError {
    /// The signal handlers cannot be registered.
    #[error("cannot register the signal handlers: {0}")]
    Signals(io::Error),
    /// The setup cannot be read. The message has one line per error, with its position.
    #[error("{0}")]
    Setup(String),
    /// The setup has no pool.
    #[error("{}: no <pool> element; add one, or use --config for the platform's protocol", .0.display())]
    NoPool(PathBuf),
    /// The setup has an element that belongs to the platform's protocol.
    #[error(
        "{}: {element} applies only to {applies_to} of the platform's protocol; \
         remove it from a setup with pools",
        .path.display()
    )]
    PlatformOnly {
        /// The setup file.
        path: PathBuf,
        /// The element.
        element: &'static str,
        /// What the element configures in the platform's protocol, in the plural.
        applies_to: &'static str,
    },
    /// The setup allows too few descriptors.
    #[error("{}: sockets is {descriptors}, the minimum is {MIN_DESCRIPTORS}", .path.display())]
    TooFewDescriptors {
        /// The setup file.
        path: PathBuf,
        /// The configured limit.
        descriptors: usize,
    },
    /// Neither the setup nor the command line specifies an address.
    #[error(
        "{}: no listen address; add listen=\"127.0.0.1:8080\" or --listen", .0.display()
    )]
    NoAddress(PathBuf),
    /// The event loop failed to start or to continue.
    #[error("{name}: {source}")]
    EventLoop {
        /// Name of the scheduler.
        name: String,
        /// The underlying error.
        source: io::Error,
    },
}

/// Serves the pools of a setup file until SIGTERM. `listen` is the address from the command line; it takes
/// precedence over the one in the setup.
///
/// # Errors
/// The scheduler cannot start or continue; see [`ServeError`].
pub fn serve(path: PathBuf, listen: Option<SocketAddr>) -> Result<(), ServeError> {
    let signals = PlatformEventLoop::register_signals().map_err(ServeError::Signals)?;
    let StandaloneSetup { setup, listen } = load(&path, listen)?;
    let name = setup.name.clone().unwrap_or_else(|| "postusher".into());
    let descriptors = setup.max_descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
    event_loop::EventLoop::new(setup, path, listen, descriptors, signals, Clock::system())
        .and_then(|mut event_loop| event_loop.run())
        .map_err(|source| ServeError::EventLoop { name, source })
}

/// The checked setup of a standalone scheduler, and its listen address.
struct StandaloneSetup {
    setup: Setup,
    /// Address on which the scheduler listens for clients.
    listen: SocketAddr,
}

/// Reads and checks the setup of a standalone scheduler. `listen` is the address from the command line; it
/// takes precedence over the one in the setup.
fn load(path: &Path, listen: Option<SocketAddr>) -> Result<StandaloneSetup, ServeError> {
    let setup = postusher_setup::load(path).map_err(|e| ServeError::Setup(e.to_string()))?;
    let path = path.to_path_buf();
    if setup.pools.is_empty() {
        return Err(ServeError::NoPool(path));
    }
    if setup.deferred_jobs.is_some() {
        return Err(ServeError::PlatformOnly { path, element: "<waiting>", applies_to: "jobs" });
    }
    if setup.membership.is_some() {
        return Err(ServeError::PlatformOnly { path, element: "<members>", applies_to: "schedulers" });
    }
    if let Some(descriptors) = setup.max_descriptors.filter(|descriptors| *descriptors < MIN_DESCRIPTORS) {
        return Err(ServeError::TooFewDescriptors { path, descriptors });
    }
    match listen.or(setup.listen) {
        Some(listen) => Ok(StandaloneSetup { setup, listen }),
        None => Err(ServeError::NoAddress(path)),
    }
}
