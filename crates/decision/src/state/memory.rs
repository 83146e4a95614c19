//! What was learned, from one process to the next.

use super::*;
use crate::rules::{LEARN, SMOOTH};

/// Part of a report over the widest of its kind that counts: reports are noisy.
const WIDEN: f64 = 0.3;

impl Dispatcher {
    /// All that another process of this dispatcher could go on from.
    pub fn learned_state(&self) -> LearnedState {
        let health = |w: &Worker| WorkerHistory {
            max_free_slots: w.slots,
            foreign_slots: w.others,
            report_age: (w.reported > 0).then(|| self.now - w.reported.min(self.now)),
            health_score: w.strain,
            ejected_for: if w.ejected() { w.ejected_until.saturating_sub(self.now).max(1) } else { 0 },
            consecutive_ejections: w.strikes,
        };
        let class = |l: &Learned| ClassEstimates {
            log_duration: l.log.0,
            mean_duration: l.mean.0,
            rejection_rate: l.full,
        };
        let mut workers: Vec<_> = self.workers.iter().map(|(id, w)| (*id, health(w))).collect();
        workers.sort_unstable_by_key(|(id, _)| *id);
        let means = [self.run, self.mean_slots].into_iter().chain(self.starts);
        LearnedState {
            fleet_means: means.map(|mean| mean.0).collect(),
            queueing_delay: self.lay,
            recent_scores: self.recent.0.iter().copied().collect(),
            classes: self.learned.iter().map(class).collect(),
            kinds: self.kinds.iter().map(|(kind, mean)| (*kind, mean.0)).collect(),
            quota_balances: self.accounts.iter().map(|a| a.left).collect(),
            workers,
        }
    }

    /// Goes on from what another process has learned; of workers that are not known here nothing is kept.
    pub(crate) fn remember(&mut self, memory: &LearnedState) {
        let [a, b, c, d] = &mut self.starts;
        let means = [&mut self.run, &mut self.mean_slots, a, b, c, d];
        means.into_iter().zip(&memory.fleet_means).for_each(|(mean, known)| mean.0 = known.or(mean.0));
        self.lay = memory.queueing_delay;
        self.recent = Recent(memory.recent_scores.iter().copied().collect());
        for (l, c) in self.learned.iter_mut().zip(&memory.classes) {
            *l = Learned { log: Mean(c.log_duration), mean: Mean(c.mean_duration), full: c.rejection_rate };
        }
        self.kinds = memory.kinds.iter().map(|(kind, mean)| (*kind, Mean(*mean))).collect();
        for (account, left) in self.accounts.iter_mut().zip(&memory.quota_balances) {
            (account.left, account.earned) = (*left, self.now.max(1));
        }
        for (id, h) in &memory.workers {
            let Some(w) = self.workers.get_mut(id) else { continue };
            (w.slots, w.others, w.strain, w.strikes) =
                (h.max_free_slots, h.foreign_slots, h.health_score, h.consecutive_ejections);
            w.reported = h.report_age.map_or(0, |age| self.now.saturating_sub(age).max(1));
            w.ejected_until = if h.ejected_for > 0 { self.now + h.ejected_for } else { 0 };
        }
        memory.workers.iter().for_each(|(id, _)| self.sync(*id));
    }

    /// Takes in how long an attempt of a class ran, over its hint if it has one, at a kind of machine.
    pub(crate) fn learn(&mut self, class: u16, kind: u16, hint: Option<Micros>, ran: Option<Micros>) {
        let Some(ran) = ran else { return };
        self.run.add(ran as f64, LEARN);
        let Some(l) = self.learned.get_mut(usize::from(class)) else { return };
        let x = (ran.max(1) as f64 / hint.map_or(1.0, |h| h.max(1) as f64)).ln();
        self.kinds.entry(kind).or_default().add(x - l.log.or(x), LEARN);
        l.log.add(x, LEARN);
        l.mean.add(ran as f64, LEARN);
    }

    /// Takes in how long a job lay before it started, on a way to a worker.
    pub(crate) fn lain(&mut self, path: usize, took: f64) {
        self.lay += SMOOTH * ((took - self.starts[path].or(took)).max(0.0) - self.lay);
    }

    /// Takes in the free slots that a worker reports; returns how many it has in all, as far as reports have shown.
    /// Guards against: a worker without a free slot, of which none was ever seen, taken for one of a single slot.
    pub(crate) fn widen(&mut self, id: WorkerId, free: f64) -> i64 {
        let Some(w) = self.workers.get_mut(&id) else { return 0 };
        let widest = self.widest.entry(w.member.kind).or_insert(free);
        *widest += WIDEN * (free - *widest).max(0.0);
        w.slots = w.slots.max(free.round() as i64);
        self.workers.get(&id).map_or(0, |w| self.known(w))
    }
}
