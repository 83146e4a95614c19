//! What outcomes, reports and probes teach.

use super::*;

const REPORT_LAG: Micros = 250_000; // sendings younger than this are not in a load report yet: they are late
const POOL: usize = 3; // so many workers next in the bucket are kept known to have room, by probing
const BELIEF: f64 = 0.15; // weight of one report in what is believed of its zone, half of it of its kind
const HOPELESS: f64 = 3.0; // so many jobs for each slot are as bad as more: nothing that waits is in time
const FAR_PROBES: f64 = 0.4; // of the probes drawn for other zones these are sent: most jobs stay near

impl Dispatcher {
    /// A load report: what we hold already plus what is free is what we may have; peers' work is in it.
    pub(crate) fn report(&mut self, id: WorkerId, report: &[f64], chance: bool) {
        let Some(free) = self.set.report_value(ReportField::FreeSlots, report) else { return };
        let queue = self.set.report_value(ReportField::QueueLength, report);
        let queue = queue.unwrap_or(if free < 1.0 { self.hidden() } else { 0.0 });
        // A wide job at the head of the line keeps slots free that others wait for.
        let jobs = self.set.report_value(ReportField::Jobs, report).unwrap_or(0.0) * self.mean_k.or(1.0);
        // A late report makes all peers turn to the same workers at once: only its mean is of use.
        let span = (self.scheduler_count * REPORT_SPAN as f64).min(2.0 * self.run.or(REPORT_SPAN as f64));
        let (now, tells) = (self.now, self.set.reports_start);
        let there = |l: &Attempt| if tells { l.started.is_some() } else { l.sent + REPORT_LAG <= now };
        let seen: i64 = self.attempts_at(id).filter(|(_, l)| there(l)).map(|(r, _)| r.k).sum();
        let known = self.widen(id, free);
        let Some(w) = self.workers.get_mut(&id) else { return };
        let (others, since) =
            ((known as f64 - free + queue).max(jobs) - seen as f64, (now - w.reported) as f64);
        w.others += (others.max(0.0) - w.others) * (1.0 - (-since / span).exp());
        w.usual.add(others.max(0.0), 1.0 - (-since / USUAL).exp());
        w.reported = now.max(1);
        self.mean_slots.add(known as f64, LEARN);
        // Guards against: a fleet that seems full since outcomes come mostly from where most jobs go.
        if let Some(w) = self.workers.get(&id).filter(|_| chance || !self.asks) {
            self.loads.learn(&w.member, others.clamp(0.0, HOPELESS * known as f64), BELIEF);
        }
        self.heard_of(id, LOOK);
    }

    /// Where most workers are heard of, keeps a pool known of those next in the bucket, for the job to come.
    /// Else probes by chance, in its own zone more often: refused jobs teach as much as others.
    /// For a job that waits for that, asks its keepers and the next: fetches gather there. Returns how many.
    pub(crate) fn refresh(&mut self, id: Option<JobId>, near: &[WorkerId], out: &mut Vec<Action>) -> usize {
        let keepers = id.and_then(|id| self.requests.get(&id)).map_or(Vec::new(), |r| self.near(r, 1));
        let (mut known, mut asked, drawn) = (0, 0, self.middle.is_none() || id.is_some());
        let looks = if id.is_none() && self.scouting() { 0 } else { LOOK };
        for at in 0..self.round.len().min(looks) {
            let (chance, keeper) = (self.rng.next(), at < LOOK / 2 && !keepers.is_empty());
            let far = self.rng.next() >= FAR_PROBES && !keeper;
            let of = if keeper { &keepers } else { &self.round };
            let next = near.get(at).filter(|_| known < POOL);
            let by_chance = of.get((chance * of.len() as f64) as usize);
            let Some(worker) = if drawn { by_chance } else { next }.copied() else { break };
            let open = |w: &&Worker| self.asks && !(drawn && w.ejected());
            let Some(w) = self.workers.get(&worker).filter(open) else { continue };
            let (fresh, room) = (self.fresh(w), self.room(w) > 0);
            let skip = fresh || w.probing.is_some() || drawn && far && w.member.zone != self.set.zone;
            if !skip && (id.is_none() || asked < SCOUTS) && self.probes.spend() {
                asked += 1;
                self.workers.entry(worker).and_modify(|w| w.probing = Some(id));
                out.push(Action::CheckHealth { worker });
            }
            known += usize::from(!fresh || room);
        }
        asked
    }

    pub(crate) fn probed(
        &mut self,
        id: WorkerId,
        result: AttemptResult,
        report: &[f64],
        out: &mut Vec<Action>,
    ) {
        self.report(id, report, true);
        let by = self.workers.get_mut(&id).and_then(|w| w.probing.take()).flatten();
        if !matches!(
            result,
            AttemptResult::Success | AttemptResult::Overloaded | AttemptResult::StaleConnection
        ) {
            self.observe(id, FAILED);
        }
        self.sync(id);
        by.into_iter().for_each(|job| self.scouted(job, false, out));
    }
}
