//! Sending clients away: for good after SIGTERM (serve on for a while, finish what was taken, go), and at an
//! operator's call until the next.

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

/// The same where a newer process takes clients: those that use a connection are told to open another, and few are
/// left whose next request could cross its end.
const SUCCEEDED_PART: f64 = 0.85;
/// The front asks every 100 ms and sends nobody new 200 ms after a no: so long after an operator's call, a client sent
/// away could come back to here.
const UNNOTICED: Millis = 400.0;
/// After an operator's call open connections are served for so long; 2 s after it none may stand idle.
const SERVED_ON: Millis = 1_500.0;

/// Whether the scheduler sends clients away, for one cause or two: SIGTERM, which nothing undoes, and an operator's call.
pub struct Drain {
    lasts: Millis,
    since: Option<Millis>,
    called: Option<Millis>,
    /// The call came to the other process of an upgrade.
    inherited: bool,
    /// A newer process takes clients in the place of this one.
    successor: bool,
}

impl Drain {
    /// The way out of a scheduler whose clients wait so long at most.
    pub fn new(longest: Millis) -> Self {
        Drain {
            lasts: longest.min(LONGEST) + BESIDES - MARGIN,
            since: None,
            called: None,
            inherited: false,
            successor: false,
        }
    }

    /// SIGTERM has come; a second one changes nothing.
    pub fn start_shutdown(&mut self, now: Millis) {
        self.since.get_or_insert(now);
    }

    /// An operator sends clients away; a second call changes nothing.
    pub fn start_by_operator(&mut self, now: Millis) {
        self.called.get_or_insert(now);
        self.inherited = false;
    }

    /// An operator has sent clients away from the other process of an upgrade. What was said here counts for more.
    pub fn start_inherited(&mut self, now: Millis) {
        if self.called.is_none() {
            (self.called, self.inherited) = (Some(now), true);
        }
    }

    /// A newer process takes clients in the place of this one, or does so no more.
    pub fn set_successor(&mut self, by_newer: bool) {
        self.successor = by_newer;
    }

    /// Whether a newer process takes clients.
    pub fn has_successor(&self) -> bool {
        self.successor
    }

    /// An operator lets clients come again, however far the drain has come. The way out goes on.
    pub fn cancel_by_operator(&mut self) {
        self.called = None;
    }

    /// Whether clients are sent away. On the way out of an upgrade they are not: the scheduler takes them.
    pub fn is_on(&self) -> bool {
        self.since.is_some() && !self.successor || self.called.is_some()
    }

    /// Whether an operator sends clients away.
    pub fn is_operator_drain(&self) -> bool {
        self.called.is_some()
    }

    /// Whether the process is fit to take clients. A drain taken over does not count here, as an upgrade in a drain
    /// would never end.
    pub fn is_healthy(&self) -> bool {
        self.since.is_none() && (self.called.is_none() || self.inherited)
    }

    /// Whether SIGTERM has come.
    pub fn is_shutting_down(&self) -> bool {
        self.since.is_some()
    }

    /// When connections without work are closed; on the way out the program may end then, once no work is left.
    pub fn closes_idle_at(&self) -> Option<Millis> {
        let part = if self.successor { SUCCEEDED_PART } else { OPEN_PART };
        let leaving = self.since.map(|since| since + self.lasts * part);
        leaving.into_iter().chain(self.called.map(|called| called + SERVED_ON)).reduce(f64::min)
    }

    /// Whether connections are closed by now.
    pub fn closes_idle(&self, now: Millis) -> bool {
        self.closes_idle_at().is_some_and(|at| now >= at)
    }

    /// Whether the program may end once no work is left. Guards against: an end right after SIGTERM, as a drain by call was far on
    /// already, while new connections still come.
    pub fn may_exit(&self, now: Millis) -> bool {
        self.since.is_some_and(|since| now >= since + UNNOTICED) && self.closes_idle(now)
    }

    /// Whether the time for all that is still open is over.
    pub fn is_past_deadline(&self, now: Millis) -> bool {
        self.shutdown_deadline().is_some_and(|end| now >= end)
    }

    /// Whether connections outlive their answers; one that turns a client away is to end its connection sooner, so
    /// that the client does not come back to here at once.
    pub fn keeps_connections(&self, now: Millis, turned_away: bool) -> bool {
        let noticed = self.called.is_some_and(|called| now >= called + UNNOTICED);
        !(noticed || self.successor || self.closes_idle(now) || self.is_on() && turned_away)
    }

    /// Whether jobs are turned away: an operator wants no work here, and the time for open connections is over.
    pub fn rejects_jobs(&self, now: Millis) -> bool {
        self.called.is_some_and(|called| now >= called + SERVED_ON)
    }

    /// By when what comes after SIGTERM must have its answer.
    pub fn shutdown_deadline(&self) -> Option<Millis> {
        self.since.map(|since| since + self.lasts)
    }
}

#[cfg(test)]
mod tests;
