//! How many tokens a worker has, by what is known of its slots.

use super::*;

const CHANCE: f64 = 1.0; // margin for what all send a cold worker, in roots of mean jobs: it's partly chance

impl Dispatcher {
    /// How many tokens a worker has: its slots, and as many again for jobs that wait.
    pub(crate) fn count(&self, w: &Worker) -> i64 {
        let one = if w.held == 0 { self.most_slots } else { 0 };
        match self.takes(w) && !w.ejected() {
            true if self.warmth(w) < 1.0 || w.on_trial() => self.ours(w).max(one),
            true if self.mean_slots.0.is_none() => DEFAULT_TOKENS + self.most_slots,
            true => (2.0 * self.known(w) as f64 * self.speed(w)).round().max(self.most_slots as f64) as i64,
            false => 0,
        }
    }

    /// Slots of a worker that others leave to us.
    fn ours(&self, w: &Worker) -> i64 {
        let (known, warmth) = (self.known(w), self.warmth(w));
        match self.mean_slots.0 {
            _ if warmth < 1.0 => (known as f64 * warmth) as i64,
            Some(_) => known - (self.others(w) + 0.5) as i64,
            None => DEFAULT_TOKENS - (self.others(w) + 0.5) as i64,
        }
    }

    /// Slots that others take: by the last report; as that ages, by what is usual there, then in its place.
    fn others(&self, w: &Worker) -> f64 {
        let age = if w.reported == 0 { f64::MAX } else { (self.now - w.reported) as f64 };
        let place = self.middle.unwrap_or(self.loads.at(&w.member)) + self.hidden();
        let mean = place + (w.usual.or(place) - place) * (-age / USUAL).exp();
        mean + (w.others - mean) * (1.0 - age / (OUTLIVED * self.run.or(1.0))).max(0.0).powi(4)
    }

    /// Slots where a job would start at once; below 0 when some wait already.
    pub(crate) fn room(&self, w: &Worker) -> i64 {
        let queues = self.warmth(w) >= 1.0 && !w.on_trial();
        (if queues { self.ours(w) } else { self.count(w) }) - w.held
    }

    /// Brings the bucket in line with a worker's count: the newest tokens go, new ones come in by chance.
    pub(crate) fn sync(&mut self, id: WorkerId) {
        let Some(w) = self.workers.get(&id) else { return };
        let (want, credit) = ((self.count(w) - w.held).max(0), self.credit(w));
        let watch = w.held > 0 || self.takes(w) && w.ejected();
        let forget = w.member.state == EndpointState::Removed && w.out.is_empty();
        self.bucket.resize(id, want, (!w.on_trial()).then_some(&mut self.rng));
        self.workers.entry(id).and_modify(|w| (w.credit, w.credited) = (credit, self.now));
        let _ = if watch { self.watched.insert(id) } else { self.watched.remove(&id) };
        if forget {
            self.workers.remove(&id); // guards against: years of rolling deploys that fill the memory
            self.bucket.remove(id);
        }
    }

    /// A cold worker falls over: what all dispatchers together may send it in a fall window, by the odds.
    pub(crate) fn cold_budget(&self, w: &Worker) -> f64 {
        let (unit, slots) = (self.run.or(REPORT_SPAN as f64), self.known(w) as f64 * self.speed(w));
        let budget = self.set.overload_factor * self.warmth(w) * slots * self.set.overload_window as f64;
        unit * ((CHANCE * CHANCE + budget / unit).sqrt() - CHANCE).powi(2)
    }

    /// Each earns credit at its part of the rate, from a start by chance. With a mean job's it may send for
    /// part of a window; then credit lapses, or all would save it up and spend it together.
    pub(crate) fn credit(&self, w: &Worker) -> f64 {
        let (earned, unit) = (self.cold_budget(w) / self.scheduler_count, self.run.or(REPORT_SPAN as f64));
        let credit =
            w.credit + earned * (self.now - w.credited) as f64 / self.set.overload_window.max(1) as f64;
        let lapse = if earned < unit { earned / 4.0 } else { earned };
        let (most, least) = (unit + lapse, (earned - unit).max(0.0));
        credit - ((credit - most) / (most - least)).ceil().max(0.0) * (most - least)
    }
}
