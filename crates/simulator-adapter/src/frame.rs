//! Reads frames from a stream. A frame starts with its length in four bytes, which counts the whole frame.

use std::io::{self, Read};
use thiserror::Error;

/// Size of a frame's length field in bytes.
const LENGTH_BYTES: usize = 4;
/// Size of the length field and the clock, which every frame has, in bytes.
const MIN_FRAME_BYTES: usize = 12;
/// Maximum size of a frame in bytes; a larger length field is treated as invalid input.
const MAX_FRAME_BYTES: usize = 1 << 28;
/// Initial size of the frame buffer in bytes, enough for a typical frame.
const INITIAL_BUFFER_BYTES: usize = 4096;

/// The reason why a frame could not be read.
#[derive(Debug, Error)]
pub enum FrameError {
    /// Reading a length field failed.
    #[error("cannot read a frame's length: {0}")]
    ReadLength(#[source] io::Error),
    /// Reading a frame failed after its length field.
    #[error("cannot read a frame: {0}")]
    ReadFrame(#[source] io::Error),
    /// The input ends inside a length field.
    #[error("input ends inside a frame's length field")]
    TruncatedLength,
    /// The length field is outside the allowed range.
    #[error("frame length {length} is outside {MIN_FRAME_BYTES} to {MAX_FRAME_BYTES} bytes")]
    InvalidLength {
        /// The length field.
        length: usize,
    },
    /// The input ends inside a frame.
    #[error("input ends after {received} bytes of a frame of {length} bytes")]
    TruncatedFrame {
        /// Number of bytes received.
        received: usize,
        /// The length field.
        length: usize,
    },
}

/// Reads one frame, its length field included. Returns `None` at the end of input.
///
/// # Errors
/// Returns an error if reading fails, the input ends inside the frame, or the length field is outside the
/// allowed range.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, FrameError> {
    let mut frame = Vec::with_capacity(INITIAL_BUFFER_BYTES);
    input.take(LENGTH_BYTES as u64).read_to_end(&mut frame).map_err(FrameError::ReadLength)?;
    if frame.is_empty() {
        return Ok(None);
    }
    let Ok(length_field) = <[u8; LENGTH_BYTES]>::try_from(frame.as_slice()) else {
        return Err(FrameError::TruncatedLength);
    };
    let length = u32::from_be_bytes(length_field) as usize;
    if !(MIN_FRAME_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(FrameError::InvalidLength { length });
    }
    let remaining = (length - LENGTH_BYTES) as u64;
    input.take(remaining).read_to_end(&mut frame).map_err(FrameError::ReadFrame)?;
    if frame.len() < length {
        return Err(FrameError::TruncatedFrame { received: frame.len(), length });
    }
    Ok(Some(frame))
}
