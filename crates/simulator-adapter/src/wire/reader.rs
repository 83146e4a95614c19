//! Reads the fields of a frame one after another.

use super::error::{WireError, WireProblem};
use postusher_decision::Micros;
use postusher_settings::micros_from_millis;

/// Bytes of a number in a load report.
const F32_BYTES: usize = 4;

/// A position in a frame. Each method reads one field and moves on; `field` is its name in `WIRE-postusher.md`.
pub struct Reader<'a> {
    frame: &'a [u8],
    offset: usize,
}

impl<'a> Reader<'a> {
    /// Starts at the first byte of a frame.
    pub fn new(frame: &'a [u8]) -> Reader<'a> {
        Reader { frame, offset: 0 }
    }

    /// The next byte to read, from 0.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Whether the whole frame has been read.
    pub fn is_at_end(&self) -> bool {
        self.offset >= self.frame.len()
    }

    /// An error at the next byte to read.
    pub fn error(&self, problem: WireProblem) -> WireError {
        WireError { problem, offset: self.offset }
    }

    fn take<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], WireError> {
        let bytes = self.frame.get(self.offset..self.offset + N).and_then(|bytes| bytes.try_into().ok());
        let bytes = bytes.ok_or_else(|| self.error(WireProblem::TooShort { field }))?;
        self.offset += N;
        Ok(bytes)
    }

    /// A byte.
    pub fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        Ok(u8::from_be_bytes(self.take(field)?))
    }

    /// A whole number of two bytes.
    pub fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.take(field)?))
    }

    /// A whole number of four bytes.
    pub fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.take(field)?))
    }

    /// A whole number of eight bytes.
    pub fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.take(field)?))
    }

    /// A number of single precision.
    pub fn f32(&mut self, field: &'static str) -> Result<f64, WireError> {
        Ok(f64::from(f32::from_be_bytes(self.take(field)?)))
    }

    /// A time, which the wire has as milliseconds of double precision.
    pub fn millis(&mut self, field: &'static str) -> Result<Micros, WireError> {
        Ok(micros_from_millis(f64::from_be_bytes(self.take(field)?)))
    }

    /// Checks that so many entries of `entry_bytes` each fit in what is left of the frame.
    pub fn check_count(
        &self,
        count: usize,
        entry_bytes: usize,
        field: &'static str,
    ) -> Result<(), WireError> {
        let remaining = self.frame.len() - self.offset;
        match count.checked_mul(entry_bytes) {
            Some(needed) if needed <= remaining => Ok(()),
            _ => Err(self.error(WireProblem::TooManyEntries { field, count })),
        }
    }

    /// So many bytes.
    pub fn bytes(&mut self, count: usize, field: &'static str) -> Result<&'a [u8], WireError> {
        self.check_count(count, 1, field)?;
        let start = self.offset;
        self.offset += count;
        Ok(&self.frame[start..self.offset])
    }

    /// A load report: a count of one byte, then the figures.
    pub fn load_report(&mut self) -> Result<Vec<f64>, WireError> {
        const FIELD: &str = "Gauge";
        let count = usize::from(self.u8(FIELD)?);
        self.check_count(count, F32_BYTES, FIELD)?;
        (0..count).map(|_| self.f32(FIELD)).collect()
    }
}
