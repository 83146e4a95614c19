//! The frames of `WIRE-postusher.md`: big-endian and unpadded, with lengths checked before use. The names of
//! that format occur only in error messages.

mod codes;
mod decode;
mod encode;
mod error;
mod reader;
#[cfg(test)]
mod tests;

pub use decode::decode;
pub use encode::Reply;
pub use error::WireError;

use postusher_decision::{Event, Micros};

/// The number of a simulated scheduler.
pub type InstanceId = u16;

/// One record of a batch.
#[derive(Debug)]
pub enum Record {
    /// A scheduler starts.
    Launch {
        /// The seed of its random numbers.
        seed: u64,
        /// Its settings as JSON text.
        settings: Vec<u8>,
    },
    /// A scheduler is killed.
    Kill,
    /// An event for a running scheduler.
    Event(Event),
    /// A record that dispatchers do not use.
    Ignored,
}

/// One frame of input.
#[derive(Debug)]
pub struct Batch {
    /// The time of all records.
    pub now: Micros,
    /// The records in order, each with the scheduler that it is addressed to.
    pub records: Vec<(InstanceId, Record)>,
}
