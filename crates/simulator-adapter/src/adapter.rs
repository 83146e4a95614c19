//! The main loop: replies to batches until the input ends.

#[cfg(test)]
mod tests;

use crate::frame::{read_frame, FrameError};
use crate::host::{Host, HostError};
use crate::wire::{self, WireError};
use std::io::{self, Read, Write};
use thiserror::Error;

/// The reason why the adapter stopped before the end of the input.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// The input is not a sequence of complete frames.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// A frame is not a valid batch.
    #[error("malformed batch: {0}")]
    Batch(#[from] WireError),
    /// A batch could not be processed.
    #[error(transparent)]
    Host(#[from] HostError),
    /// A reply could not be written.
    #[error("cannot write reply: {0}")]
    Reply(io::Error),
}

/// Reads batches, processes them and writes a reply to each.
///
/// # Errors
/// Stops with an error at the first batch that cannot be read or processed, or whose reply cannot be written.
pub fn run(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    while let Some(frame) = read_frame(input)? {
        let batch = wire::decode(&frame)?;
        let reply = host.process_batch(batch)?;
        output.write_all(&reply).map_err(AdapterError::Reply)?;
        output.flush().map_err(AdapterError::Reply)?;
    }
    Ok(())
}
