//! The end that SIGTERM begins: serve on for a while, finish what was taken, go.

use crate::clock::Millis;

/// For so long new connections are taken and nobody is sent away: the front needs time to notice.
const SERVE_ON: Millis = 1_000.0;

/// Whether the scheduler is on its way out.
#[derive(Default)]
pub struct Drain {
    since: Option<Millis>,
}

impl Drain {
    /// SIGTERM has come; a second one changes nothing.
    pub fn begin(&mut self, now: Millis) {
        self.since.get_or_insert(now);
    }

    /// Whether it has begun.
    pub fn is_on(&self) -> bool {
        self.since.is_some()
    }

    /// When connections without work may be closed, and the program may end once no work is left.
    pub fn closes_at(&self) -> Option<Millis> {
        self.since.map(|since| since + SERVE_ON)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn it_serves_on_for_a_second_from_the_first_signal() {
        let mut drain = Drain::default();
        assert!(!drain.is_on() && drain.closes_at().is_none());
        drain.begin(100.0);
        drain.begin(900.0);
        assert!(drain.is_on() && drain.closes_at() == Some(1_100.0));
    }
}
