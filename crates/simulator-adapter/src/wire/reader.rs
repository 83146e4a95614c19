//! Reads the fields of a frame in order.

use super::error::{WireError, WireErrorKind};
use postusher_decision::Micros;
use postusher_settings::micros_from_millis;

/// Size of a number in a load report in bytes.
const F32_BYTES: usize = 4;

/// A cursor over a frame. Each read method reads one field and advances the cursor; `field` is the field's
/// name in `WIRE-postusher.md`.
pub struct Reader<'a> {
    frame: &'a [u8],
    offset: usize,
}

impl<'a> Reader<'a> {
    /// Returns a reader at the first byte of a frame.
    pub fn new(frame: &'a [u8]) -> Reader<'a> {
        Reader { frame, offset: 0 }
    }

    /// Returns the offset of the next byte to read, from 0.
    pub fn offset(&self) -> usize {
        self.offset
    }

    /// Returns whether the whole frame has been read.
    pub fn is_at_end(&self) -> bool {
        self.offset >= self.frame.len()
    }

    /// Returns an error at the offset of the next byte to read.
    pub fn error(&self, kind: WireErrorKind) -> WireError {
        WireError { kind, offset: self.offset }
    }

    fn take<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], WireError> {
        let bytes = self.frame.get(self.offset..self.offset + N).and_then(|bytes| bytes.try_into().ok());
        let bytes = bytes.ok_or_else(|| self.error(WireErrorKind::TooShort { field }))?;
        self.offset += N;
        Ok(bytes)
    }

    /// Reads an unsigned integer of one byte.
    pub fn u8(&mut self, field: &'static str) -> Result<u8, WireError> {
        Ok(u8::from_be_bytes(self.take(field)?))
    }

    /// Reads an unsigned integer of two bytes.
    pub fn u16(&mut self, field: &'static str) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.take(field)?))
    }

    /// Reads an unsigned integer of four bytes.
    pub fn u32(&mut self, field: &'static str) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.take(field)?))
    }

    /// Reads an unsigned integer of eight bytes.
    pub fn u64(&mut self, field: &'static str) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.take(field)?))
    }

    /// Reads a single-precision floating-point number.
    pub fn f32(&mut self, field: &'static str) -> Result<f64, WireError> {
        Ok(f64::from(f32::from_be_bytes(self.take(field)?)))
    }

    /// Reads a time, encoded as milliseconds in double precision.
    pub fn millis(&mut self, field: &'static str) -> Result<Micros, WireError> {
        Ok(micros_from_millis(f64::from_be_bytes(self.take(field)?)))
    }

    /// Checks that `count` entries of `entry_bytes` each fit into the remaining bytes of the frame.
    pub fn check_count(
        &self,
        count: usize,
        entry_bytes: usize,
        field: &'static str,
    ) -> Result<(), WireError> {
        let remaining = self.frame.len() - self.offset;
        match count.checked_mul(entry_bytes) {
            Some(needed) if needed <= remaining => Ok(()),
            _ => Err(self.error(WireErrorKind::TooManyEntries { field, count })),
        }
    }

    /// Reads `count` bytes.
    pub fn bytes(&mut self, count: usize, field: &'static str) -> Result<&'a [u8], WireError> {
        self.check_count(count, 1, field)?;
        let start = self.offset;
        self.offset += count;
        Ok(&self.frame[start..self.offset])
    }

    /// Reads a load report: a count of one byte, followed by the values.
    pub fn load_report(&mut self) -> Result<Vec<f64>, WireError> {
        const FIELD: &str = "Gauge";
        let count = usize::from(self.u8(FIELD)?);
        self.check_count(count, F32_BYTES, FIELD)?;
        (0..count).map(|_| self.f32(FIELD)).collect()
    }
}
