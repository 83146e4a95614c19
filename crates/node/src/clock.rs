//! Time: milliseconds as a floating-point number, from one clock that tests can set, and timers on it.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A point in time or a length of time, in milliseconds.
pub type Millis = f64;

/// Milliseconds since 1970 that never go back: the system's clock is read once, a monotonic one goes on.
#[derive(Clone)]
pub struct Clock(Source);

#[derive(Clone)]
enum Source {
    System {
        start: Instant,
        unix: Millis,
    },
    #[cfg(test)]
    Set(std::rc::Rc<std::cell::Cell<Millis>>),
}

impl Clock {
    /// The system's time.
    pub fn system() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |t| t.as_secs_f64() * 1e3);
        Clock(Source::System { start: Instant::now(), unix })
    }

    /// A clock that shows what is put into the cell.
    #[cfg(test)]
    pub fn set(cell: std::rc::Rc<std::cell::Cell<Millis>>) -> Clock {
        Clock(Source::Set(cell))
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        match &self.0 {
            Source::System { start, unix } => unix + start.elapsed().as_secs_f64() * 1e3,
            #[cfg(test)]
            Source::Set(cell) => cell.get(),
        }
    }
}

/// What is to happen at given times, the earliest first; at one time in the order of setting.
pub struct Timers<T> {
    heap: BinaryHeap<Entry<T>>,
    set: u64,
}

struct Entry<T> {
    at: Millis,
    nth: u64,
    what: T,
}

impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.nth.cmp(&self.nth))
    }
}

impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Entry<T> {}

impl<T> Timers<T> {
    /// No timers.
    pub fn new() -> Self {
        Timers { heap: BinaryHeap::new(), set: 0 }
    }

    /// Sets a timer.
    pub fn set(&mut self, at: Millis, what: T) {
        self.set += 1;
        self.heap.push(Entry { at, nth: self.set, what });
    }

    /// When the next one is due.
    pub fn next(&self) -> Option<Millis> {
        self.heap.peek().map(|e| e.at)
    }

    /// Takes out one that is due.
    pub fn due(&mut self, now: Millis) -> Option<T> {
        self.heap.peek().filter(|e| e.at <= now)?;
        self.heap.pop().map(|e| e.what)
    }
}

#[cfg(test)]
mod tests;
