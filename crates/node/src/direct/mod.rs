//! A scheduler that stands alone: its pools stand in the setup file, and their workers answer requests themselves.
//! Answers go back to clients as they came, in pieces and within bounded memory.

mod event_loop;
mod service;

use crate::clock::Clock;
use crate::event_loop::EventLoop as Signalled;
use postusher_setup::Setup;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Descriptors that the process may hold where the setup does not say.
const SOCKETS: usize = 4_096;
/// Fewer cannot serve anybody.
const FEWEST_SOCKETS: usize = 64;

/// Serves the pools of a setup file until SIGTERM.
///
/// # Errors
/// Why it cannot start or go on, in one line or in one for each mistake.
pub fn serve(path: PathBuf, listen: Option<SocketAddr>) -> Result<(), String> {
    let signals = Signalled::signals().map_err(|e| format!("signals: {e}"))?;
    let (setup, listen) = load(&path, listen)?;
    let name = setup.name.clone().unwrap_or_else(|| "postusher".into());
    let sockets = setup.sockets.unwrap_or(SOCKETS);
    let mut serving = event_loop::EventLoop::new(setup, path, listen, sockets, signals, Clock::system())
        .map_err(|e| format!("{name}: {e}"))?;
    serving.run().map_err(|e| format!("{name}: {e}"))
}

/// Reads a setup that stands alone.
fn load(path: &Path, listen: Option<SocketAddr>) -> Result<(Setup, SocketAddr), String> {
    let setup = postusher_setup::load(path)?;
    let path = path.display();
    if setup.pools.is_empty() {
        return Err(format!("{path}: there is no <pool>; add one, or say --config for the platform's"));
    }
    if setup.waiting.is_some() {
        return Err(format!(
            "{path}: <waiting> is for jobs of the platform's protocol; leave it out beside pools"
        ));
    }
    if setup.members.is_some() {
        return Err(format!(
            "{path}: <members> is for schedulers of the platform's protocol; leave it out beside pools"
        ));
    }
    if let Some(few) = setup.sockets.filter(|n| *n < FEWEST_SOCKETS) {
        return Err(format!("{path}: sockets is {few}; {FEWEST_SOCKETS} at least"));
    }
    let listen = listen.or(setup.listen);
    let listen = listen.ok_or_else(|| {
        format!("{path}: nothing says where to listen; add listen=\"127.0.0.1:8080\" or --listen")
    })?;
    Ok((setup, listen))
}
