//! Answers batches until the input ends.

#[cfg(test)]
mod tests;

use crate::frame::{read_frame, FrameError};
use crate::host::{Host, HostError};
use crate::wire::{self, WireError};
use std::io::{self, Read, Write};
use thiserror::Error;

/// Why the adapter stopped before the end of the input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input is not a sequence of whole frames.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// A frame is not a batch.
    #[error("malformed batch: {0}")]
    Batch(#[from] WireError),
    /// A batch cannot be played.
    #[error(transparent)]
    Host(#[from] HostError),
    /// A reply cannot be written.
    #[error("reply: {0}")]
    Reply(io::Error),
}

/// Reads batches, plays them and writes a reply to each.
///
/// # Errors
/// The first batch that cannot be read, played or answered ends the run.
pub fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    while let Some(frame) = read_frame(input)? {
        let batch = wire::decode(&frame)?;
        let reply = host.play(batch)?;
        output.write_all(&reply).map_err(AdapterError::Reply)?;
        output.flush().map_err(AdapterError::Reply)?;
    }
    Ok(())
}
