//! Which worker a job goes to.

use super::*;

const OFTEN_FULL: f64 = 0.1; // share of a class turned away over which it matters who has served it
const COLD_SPARED: f64 = 0.3; // colder ones get jobs only when no slot is free elsewhere: most would be late
const FETCH: i64 = 2; // slots that a job seems to wait for, at least, where it would have to fetch

impl Dispatcher {
    /// How well tokens fit a job, least first: slots to wait for, lately known before unknown, then price.
    fn rank(&self, r: &Request, w: &Worker, most: i64) -> Option<i64> {
        // Where jobs wait for reports, who was not heard of has no room; a cold worker's is its credit.
        let (k, warmth, scouting) = (r.k, self.warmth(w), self.scouting());
        let unheard = scouting && warmth >= 1.0 && !self.fresh(w) && (r.asked.is_none() || self.heard());
        let room = self.room(w).min(if unheard { -99 } else { i64::MAX });
        // Placement binds every attempt; none goes where one went before, but for a connection's fault.
        let wished = self.wishes.get(&r.job.id).is_some_and(|(id, _)| *id == w.member.worker);
        let open = r.class.allows(w.member.zone, w.member.kind);
        let open = open && (wished || w.member.state != EndpointState::Reserved);
        if !open || r.attempts.iter().any(|l| l.worker == w.member.worker && !l.stale) {
            return None;
        }
        // The coldest are spared: as if one slot had to be waited for.
        let fetch = if r.lacks_at(w) { FETCH } else { 0 };
        let wait = (k - room).max(i64::from(warmth <= COLD_SPARED)) + fetch;
        let lacks =
            if most < 0 || scouting && r.asked.is_some() { k - room } else { wait - (fetch - 1).max(0) };
        let enough = lacks <= most && (room >= k || warmth >= 1.0 && !w.on_trial());
        let allowed = match r.class.idempotency {
            Idempotency::Idempotent => true,
            // A keyed job that may have run stays with the workers that drop its repeats.
            Idempotency::ByKey { scope, .. } => r.first_run().is_none_or(|first| {
                self.workers.get(&first.worker).is_some_and(|f| f.member.deduplicates_with(&w.member, scope))
            }),
            Idempotency::NotIdempotent => !w.on_trial(),
        };
        let unit = self.run.or(REPORT_SPAN as f64);
        let spent = warmth < 1.0 && (self.credit(w) < unit || self.work(r) > self.cold_budget(w));
        // A class turned away as full stays away; where that is often, those that served it come first.
        let at = w.shut.iter().find(|s| s.class == r.job.class);
        if !enough || !allowed || spent || at.is_some_and(|s| s.until > self.now) {
            return None;
        }
        let often = self.learned.get(usize::from(r.job.class)).is_some_and(|l| l.full > OFTEN_FULL);
        let untried = i64::from(often && at.is_none_or(|s| s.strikes > 0));
        Some(wait + i64::from(wait > 0 || !self.fresh(w)) + untried)
    }

    /// What an attempt costs besides its work, in millionths: a new connection, another zone.
    fn price(&self, r: &Request, w: &Worker) -> i64 {
        let (path, part) = (self.path(w), |is: bool, price: f64| if is { (price * 1e6) as i64 } else { 0 });
        // Jobs that may go anywhere leave those workers alone that bound classes depend on.
        let needed = |c: &Arc<Class>| c.is_restricted() && c.allows(w.member.zone, w.member.kind);
        let spare = self.placed && !r.class.is_restricted() && self.classes.iter().any(needed);
        let way = part(path & 1 > 0, self.set.connection_cost) + part(path & 2 > 0, self.set.cross_zone_cost);
        way + part(r.lacks_at(w), self.set.fetch_cost) + part(spare, 1.0)
    }

    /// The workers that a job may go to, those next in bucket order: of its group, of its places, or all.
    pub(crate) fn next_for(&self, r: &Request, n: usize) -> Vec<WorkerId> {
        let first = r.first_run().and_then(|l| self.workers.get(&l.worker)).map(|w| &w.member);
        let (shelf, zone) = match (r.class.idempotency, first) {
            (Idempotency::ByKey { scope: DeduplicationScope::Cell, .. }, Some(m)) => {
                (Some(Shelf::Cell(m.cell)), None)
            }
            (Idempotency::ByKey { scope: DeduplicationScope::Zone, .. }, Some(m)) => (None, Some(m.zone)),
            _ => ((!r.class.is_restricted()).then_some(Shelf::All), None),
        };
        let open = |z, k| r.class.allows(z, k) && zone.is_none_or(|zone| zone == z);
        shelf.map_or_else(|| self.bucket.in_places(open, n), |shelf| self.bucket.on(shelf, n))
    }

    /// The longest-free of those that fit best: next in the bucket, heard of last, or cold and so unasked.
    pub(crate) fn pick(&self, r: &Request, next: &[WorkerId], most: i64) -> Option<WorkerId> {
        if let Some((wished, only)) = self.wishes.get(&r.job.id) {
            let best = self.best(r, std::iter::once(wished), most);
            if best.is_some() || *only {
                return best; // a wish may be declined, and then never goes round the rules
            }
        }
        let near = r.keepers.iter().chain(&self.lately).chain(self.cold.iter().filter(|_| self.scouting()));
        self.best(r, near.chain(next), most).or_else(|| self.best(r, self.next_for(r, 4 * LOOK).iter(), most))
    }

    fn best<'a>(&self, r: &Request, of: impl Iterator<Item = &'a WorkerId>, most: i64) -> Option<WorkerId> {
        let fit = |id: &WorkerId| {
            let w = self.workers.get(id)?;
            Some((self.rank(r, w, most)?, self.price(r, w), self.bucket.first(*id, r.k)?, *id))
        };
        of.filter_map(fit).min().map(|best| best.3)
    }
}
