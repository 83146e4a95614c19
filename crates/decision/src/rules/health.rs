//! Which workers are left alone.

use super::*;

const RECENT: usize = 21; // outcomes over which the fleet's usual strain is taken: their median
const EJECT_ONE_IN: usize = 3; // at most: past that it's the fleet that is in trouble, not the worker
const LIE_OUT: Micros = 500_000; // an ejected worker's tokens, at first; doubled by each failed trial

impl Dispatcher {
    /// One health estimate for slow, silent and failing workers alike.
    pub(crate) fn observe(&mut self, id: WorkerId, sample: f64) {
        self.recent.push(sample, RECENT);
        let median = self.recent.median();
        let Some(w) = self.workers.get_mut(&id) else { return };
        w.strain += SMOOTH * (sample - w.strain);
        // A failure proves nothing good, even where the whole fleet fails.
        let relapse = w.on_trial() && sample >= FAILED;
        w.strikes *= u32::from(w.ejected() || relapse || sample - median > SICK);
        if !w.ejected() && (relapse || w.strain - median > SICK) {
            self.eject(id);
        }
    }

    fn eject(&mut self, id: WorkerId) {
        let on_trial = |id: &&WorkerId| self.workers.get(id).is_some_and(Worker::on_trial);
        let gone = self.watched.iter().filter(on_trial).count();
        let lie_out = (LIE_OUT as f64 * (0.75 + self.rng.next() / 2.0)) as Micros;
        let may = |w: &&mut Worker| w.strikes > 0 || (gone + 1) * EJECT_ONE_IN <= self.round.len();
        let Some(w) = self.workers.get_mut(&id).filter(may) else { return };
        w.ejected_until = self.now + (lie_out << w.strikes.min(4));
        w.strikes += 1;
        self.sync(id);
    }

    /// Silence: attempts in flight past their expected time count as if they ended now.
    pub(crate) fn overdue(&mut self, id: WorkerId) {
        let Some(w) = self.workers.get(&id).filter(|w| !w.ejected()) else { return };
        let mut strain = w.strain;
        for (r, l) in self.attempts_at(id) {
            let due = l.heard + 2 * self.set.progress_interval;
            let silent = l.started.is_some() && self.set.progress_interval > 0 && self.now > due;
            let late = ((self.now - l.sent).max(1) as f64 / self.expected(r)).ln().min(FAILED);
            strain += SMOOTH * (if silent { FAILED } else { late } - strain).max(0.0);
        }
        if strain > SICK && strain - self.recent.median() > SICK {
            self.eject(id);
        }
    }

    /// 'Full' answers by class: a worker that turns a class away is left alone by it, for longer each time.
    pub(crate) fn fares(&mut self, id: WorkerId, class: u16, result: AttemptResult, roomy: bool) {
        let full = result == AttemptResult::Overloaded;
        let told = full || result == AttemptResult::Success;
        let Some(l) = self.learned.get_mut(usize::from(class)).filter(|_| told) else { return };
        l.full += LEARN * (f64::from(full) - l.full);
        if let Some(shut) = self.workers.get_mut(&id).map(|w| w.shut_for(class)) {
            shut.until = if full { self.now + (LIE_OUT << shut.strikes.min(4)) } else { 0 };
            shut.strikes = if full { shut.strikes + 1 } else { 0 };
        }
        if full && !roomy {
            self.no_slot(id, DEFAULT_TOKENS);
        }
    }

    pub(crate) fn no_slot(&mut self, id: WorkerId, waiting: i64) {
        let known = self.workers.get(&id).map_or(0, |w| self.known(w));
        if let Some(w) = self.workers.get_mut(&id) {
            w.others = w.others.max((known - w.held + waiting) as f64);
            w.reported = self.now.max(1);
        }
    }
}
