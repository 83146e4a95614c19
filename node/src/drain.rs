//! The end that SIGTERM begins: serve on for a while, finish what was taken, go.

use crate::clock::Millis;

/// A planned restart leaves this long for the longest deadline, at most, before the process is killed ...
const LONGEST: Millis = 3_000.0;
/// ... and this long besides.
const BESIDES: Millis = 700.0;
/// What is still open this long before that is given up, while its answer can still get out.
const MARGIN: Millis = 100.0;
/// The part of it all in which connections stay open. Guards against: clients that are sent away while no other
/// scheduler takes them, as when the one before in a rolling restart is not yet back.
const OPEN_PART: f64 = 0.55;

/// Whether the scheduler is on its way out.
pub struct Drain {
    lasts: Millis,
    since: Option<Millis>,
}

impl Drain {
    /// The way out of a scheduler whose clients wait so long at most.
    pub fn new(longest: Millis) -> Self {
        Drain { lasts: longest.min(LONGEST) + BESIDES - MARGIN, since: None }
    }

    /// SIGTERM has come; a second one changes nothing.
    pub fn begin(&mut self, now: Millis) {
        self.since.get_or_insert(now);
    }

    /// Whether it has begun.
    pub fn is_on(&self) -> bool {
        self.since.is_some()
    }

    /// When connections without work are closed, and the program may end once no work is left.
    pub fn closes_at(&self) -> Option<Millis> {
        self.since.map(|since| since + self.lasts * OPEN_PART)
    }

    /// Whether connections are closed by now.
    pub fn is_closing(&self, now: Millis) -> bool {
        self.closes_at().is_some_and(|at| now >= at)
    }

    /// By when what comes after SIGTERM must have its answer.
    pub fn ends_at(&self) -> Option<Millis> {
        self.since.map(|since| since + self.lasts)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_serves_on_for_over_half_the_time_left_from_the_first_signal() {
        let mut drain = Drain::new(20_000.0);
        assert!(!drain.is_on() && !drain.is_closing(1e9));
        drain.begin(100.0);
        drain.begin(900.0);
        assert!(drain.is_on() && drain.ends_at() == Some(3_700.0));
        assert!(!drain.is_closing(2_000.0) && drain.is_closing(2_100.0));
        let mut short = Drain::new(400.0);
        short.begin(0.0);
        assert!(short.ends_at() == Some(1_000.0) && short.is_closing(560.0));
    }
}
