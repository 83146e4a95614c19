//! Signals to the processes of schedulers.

use anyhow::{Context, Result};
use rustix::process::{kill_process, Pid, Signal};
use std::time::Duration;
use tokio::process::Child;

/// Pause after each signal of a series: shorter than a reload for some, longer for others.
const SIGNAL_PAUSES: [Duration; 3] =
    [Duration::from_millis(1), Duration::from_millis(4), Duration::from_millis(30)];

/// Sends a signal to a process.
///
/// # Errors
/// Returns an error if the process has exited or cannot be signalled.
pub(super) fn send_signal(child: &Child, signal: Signal) -> Result<()> {
    let id = child.id().and_then(|id| Pid::from_raw(id as i32));
    Ok(kill_process(id.context("the scheduler process has exited")?, signal)?)
}

/// Sends signals to a process in quick succession.
///
/// # Errors
/// As for [`send_signal`].
pub(super) async fn send_signals(child: &Child, signals: &[Signal]) -> Result<()> {
    for (signal, pause) in signals.iter().zip(SIGNAL_PAUSES.iter().cycle()) {
        send_signal(child, *signal)?;
        tokio::time::sleep(*pause).await;
    }
    Ok(())
}
