//! A clock in milliseconds, which tests can set.

use postusher_decision::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A point in time, or a duration, in milliseconds.
pub type Millis = f64;

const MILLIS_PER_SECOND: f64 = 1e3;
const MICROS_PER_MILLI: f64 = 1e3;

/// Converts microseconds, the unit of the decision module, to milliseconds.
pub fn millis_from_micros(micros: Micros) -> Millis {
    micros as f64 / MICROS_PER_MILLI
}

/// Returns the earliest of several optional times.
pub fn earliest(times: impl IntoIterator<Item = Option<Millis>>) -> Option<Millis> {
    times.into_iter().flatten().reduce(f64::min)
}

/// Clock that returns milliseconds since 1970 and never goes backwards: it reads the system clock once and
/// advances with a monotonic clock.
#[derive(Clone)]
pub struct Clock(TimeSource);

/// Source of the time of a clock.
#[derive(Clone)]
enum TimeSource {
    /// The system clock, read once, and the monotonic clock.
    System {
        /// Time of the monotonic clock when the clock was created.
        start: Instant,
        /// Time of the system clock when the clock was created.
        unix_at_start: Millis,
    },
    /// A time that a test sets.
    #[cfg(test)]
    Manual(std::rc::Rc<std::cell::Cell<Millis>>),
}

impl Clock {
    /// Creates a clock that starts at the system time.
    pub fn system() -> Clock {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let unix_at_start = since_epoch.map_or(0.0, |time| time.as_secs_f64() * MILLIS_PER_SECOND);
        Clock(TimeSource::System { start: Instant::now(), unix_at_start })
    }

    /// Creates a clock that returns the time in a cell.
    #[cfg(test)]
    pub fn manual(cell: std::rc::Rc<std::cell::Cell<Millis>>) -> Clock {
        Clock(TimeSource::Manual(cell))
    }

    /// Returns the current time.
    pub fn now(&self) -> Millis {
        match &self.0 {
            TimeSource::System { start, unix_at_start } => {
                unix_at_start + start.elapsed().as_secs_f64() * MILLIS_PER_SECOND
            }
            #[cfg(test)]
            TimeSource::Manual(cell) => cell.get(),
        }
    }
}

#[cfg(test)]
mod tests;
