//! Reads frames from a stream. The first four bytes of a frame are its length, which counts the whole frame.

use std::io::{self, Read};
use thiserror::Error;

/// Bytes of a frame's length field.
const LENGTH_BYTES: usize = 4;
/// Bytes of the length field and the clock, which every frame has.
const MIN_FRAME_BYTES: usize = 12;
/// A frame that claims to be longer is taken for garbage.
const MAX_FRAME_BYTES: usize = 1 << 28;
/// Room for a usual frame, in bytes.
const INITIAL_CAPACITY: usize = 4096;

/// Why a frame could not be read.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The stream failed inside a length field.
    #[error("reading a frame's length: {0}")]
    ReadLength(#[source] io::Error),
    /// The stream failed inside a frame.
    #[error("reading a frame: {0}")]
    ReadFrame(#[source] io::Error),
    /// The input ends inside a length field.
    #[error("input ends inside a frame's length")]
    LengthCut,
    /// The length is that of no frame.
    #[error("frame length {length} is outside {MIN_FRAME_BYTES} to {MAX_FRAME_BYTES}")]
    InvalidLength {
        /// The length field.
        length: usize,
    },
    /// The input ends inside a frame.
    #[error("input ends after {received} bytes of a frame of {length}")]
    FrameCut {
        /// Bytes that are there.
        received: usize,
        /// The length field.
        length: usize,
    },
}

/// Reads one frame, its length field included; `None` at the end of input.
///
/// # Errors
/// The input fails, ends inside the frame, or begins with a length that no frame has.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, FrameError> {
    let mut frame = Vec::with_capacity(INITIAL_CAPACITY);
    input.take(LENGTH_BYTES as u64).read_to_end(&mut frame).map_err(FrameError::ReadLength)?;
    if frame.is_empty() {
        return Ok(None);
    }
    let Ok(length_field) = <[u8; LENGTH_BYTES]>::try_from(frame.as_slice()) else {
        return Err(FrameError::LengthCut);
    };
    let length = u32::from_be_bytes(length_field) as usize;
    if !(MIN_FRAME_BYTES..=MAX_FRAME_BYTES).contains(&length) {
        return Err(FrameError::InvalidLength { length });
    }
    let remaining = (length - LENGTH_BYTES) as u64;
    input.take(remaining).read_to_end(&mut frame).map_err(FrameError::ReadFrame)?;
    if frame.len() < length {
        return Err(FrameError::FrameCut { received: frame.len(), length });
    }
    Ok(Some(frame))
}
