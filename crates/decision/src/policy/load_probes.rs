//! Health checks: regular ones refresh the load reports of workers; load probes are those that a job waits
//! for.

use super::load_reports::FOREIGN_LOAD_SPAN_US;
use super::outlier_detection::FAILURE_SCORE;
use super::placement::CANDIDATES;
use crate::estimators::TokenGroup;
use crate::interface::{Action, AttemptResult, JobId, Micros, WorkerId};
use crate::state::{HealthCheck, LoadProbes, PendingJob, TimerPurpose, Worker};
use crate::Dispatcher;

/// Maximum number of load probes for a job: enough for the two workers that most likely have the job's data
/// and for one more.
pub(super) const MAX_LOAD_PROBES: usize = 3;
/// Maximum time that a job waits for its load probes, which are usually answered within 5 ms.
const LOAD_PROBE_WAIT_US: Micros = 30_000;
/// Number of workers next in release order whose load reports are kept fresh, not counting those without a
/// free slot according to a fresh report.
const MAX_KNOWN_WORKERS: usize = 3;
/// Share of the random draws that may select a worker in another zone; most jobs stay in their own zone.
const CROSS_ZONE_PROBE_SHARE: f64 = 0.4;

/// A worker drawn at random for a health check.
struct ProbeDraw {
    /// The worker; `None` if there are no workers to draw from.
    worker: Option<WorkerId>,
    /// The draw is only valid if the worker is in this scheduler's zone.
    same_zone_only: bool,
}

impl Dispatcher {
    /// Returns whether jobs wait for load probes: only health checks return load reports, and too few
    /// workers have reported recently.
    pub(super) fn needs_load_probes(&self) -> bool {
        self.features.probes_before_placement && !self.foreign_load.reports_are_current()
    }

    /// Sends load probes for a job if no worker is known to have enough free slots for it. Returns whether
    /// the job waits for them.
    pub(super) fn wait_for_load_probes(&mut self, id: JobId, actions: &mut Vec<Action>) -> bool {
        if !self.jobs.get(&id).is_some_and(|job| self.should_probe_for(job)) {
            return false;
        }
        let sent = self.probe_for_job(id, actions);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.load_probes = if sent > 0 { LoadProbes::Pending { missing: sent } } else { LoadProbes::Done };
        }
        if sent == 0 {
            return false;
        }
        actions.push(TimerPurpose::LoadProbeTimeout(id).set_after(LOAD_PROBE_WAIT_US));
        true
    }

    fn should_probe_for(&self, job: &PendingJob) -> bool {
        if !self.needs_load_probes() || job.load_probes != LoadProbes::NotSent || !self.may_send(job) {
            return false;
        }
        let next_workers = self.next_in_release_order(job, CANDIDATES);
        self.choose_worker(job, &next_workers, 0).is_none()
    }

    /// Records that a load probe for a job was answered. After the last probe, places the job.
    fn load_probe_answered(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.answered {
            return;
        }
        match job.load_probes {
            LoadProbes::NotSent | LoadProbes::Done => {}
            LoadProbes::Pending { missing } if missing > 1 => {
                job.load_probes = LoadProbes::Pending { missing: missing - 1 };
            }
            LoadProbes::Pending { .. } => self.place_after_probes(id, actions),
        }
    }

    /// Places a job whose wait for load probes has timed out.
    pub(super) fn load_probes_timed_out(&mut self, id: JobId, actions: &mut Vec<Action>) {
        let Some(job) = self.jobs.get(&id) else { return };
        if !job.answered && matches!(job.load_probes, LoadProbes::Pending { .. }) {
            self.place_after_probes(id, actions);
        }
    }

    fn place_after_probes(&mut self, id: JobId, actions: &mut Vec<Action>) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.load_probes = LoadProbes::Done;
        }
        self.place(id, actions);
    }

    /// Sends health checks at each tick to refresh the load reports of the workers next in release order.
    pub(super) fn probe_next_workers(&mut self, actions: &mut Vec<Action>) {
        let next_workers = self.tokens.first_in_group(TokenGroup::All, CANDIDATES);
        self.probe_candidates(&next_workers, actions);
    }

    /// Sends health checks to refresh the load reports of the candidates for the next job. If most workers
    /// have reported recently, checks a few of `next_workers`; otherwise checks workers at random, as
    /// rejected jobs then provide as much information as others.
    pub(super) fn probe_candidates(&mut self, next_workers: &[WorkerId], actions: &mut Vec<Action>) {
        if self.needs_load_probes() {
            return; // the probe budget is reserved for load probes
        }
        let at_random = !self.foreign_load.has_median();
        let mut known_workers = 0;
        for index in 0..self.workers.accepting().len().min(CANDIDATES) {
            let draw = self.draw_worker(&[]);
            let candidate = if at_random {
                draw.worker
            } else {
                next_workers.get(index).copied().filter(|_| known_workers < MAX_KNOWN_WORKERS)
            };
            let Some(id) = candidate else { break };
            let Some(worker) = self.workers.get(id) else { continue };
            if !self.may_probe(worker, at_random) {
                continue;
            }
            let is_fresh = self.has_fresh_report(worker);
            let has_free_slots = self.free_slots(worker) > 0;
            let zone_excluded =
                at_random && draw.same_zone_only && worker.endpoint.zone != self.settings.zone;
            if !is_fresh && !zone_excluded {
                self.send_probe(id, HealthCheck::Pending, actions);
            }
            if !is_fresh || has_free_slots {
                known_workers += 1;
            }
        }
    }

    /// Sends load probes for a job: first to its affinity candidates and the next worker on the hash ring, so
    /// that few workers fetch its data, then to workers at random. Returns the number of probes sent.
    fn probe_for_job(&mut self, id: JobId, actions: &mut Vec<Action>) -> usize {
        let preferred = self.jobs.get(&id).map_or(Vec::new(), |job| self.affinity_candidates_and_next(job));
        let mut sent = 0;
        for index in 0..self.workers.accepting().len().min(CANDIDATES) {
            let draw = self.draw_worker(if index < CANDIDATES / 2 { &preferred } else { &[] });
            let Some(target) = draw.worker else { break };
            let Some(worker) = self.workers.get(target) else { continue };
            if !self.may_probe(worker, true) || self.has_fresh_report(worker) {
                continue;
            }
            let zone_excluded = draw.same_zone_only && worker.endpoint.zone != self.settings.zone;
            if zone_excluded || sent == MAX_LOAD_PROBES {
                continue;
            }
            if self.send_probe(target, HealthCheck::LoadProbePending(id), actions) {
                sent += 1;
            }
        }
        sent
    }

    fn affinity_candidates_and_next(&self, job: &PendingJob) -> Vec<WorkerId> {
        if job.affinity_candidates.is_empty() {
            return Vec::new();
        }
        self.affinity.workers_on_ring(job.submitted.key, job.affinity_candidates.len() + 1)
    }

    /// Draws one of the `preferred` workers or, if there are none, one of the workers that accept jobs. In
    /// the latter case most draws are valid only for a worker in this scheduler's zone.
    fn draw_worker(&mut self, preferred: &[WorkerId]) -> ProbeDraw {
        let fraction = self.random.next_fraction();
        let other_zone_denied = self.random.next_fraction() >= CROSS_ZONE_PROBE_SHARE;
        let workers = if preferred.is_empty() { self.workers.accepting() } else { preferred };
        let index = (fraction * workers.len() as f64) as usize;
        ProbeDraw {
            worker: workers.get(index).copied(),
            same_zone_only: other_zone_denied && preferred.is_empty(),
        }
    }

    fn may_probe(&self, worker: &Worker, at_random: bool) -> bool {
        self.features.probes_load && !(at_random && worker.health.is_ejected())
    }

    /// Sends a health check if none is pending and the budget allows it. Returns whether it was sent.
    fn send_probe(&mut self, id: WorkerId, purpose: HealthCheck, actions: &mut Vec<Action>) -> bool {
        let Some(worker) = self.workers.get_mut(id) else { return false };
        if worker.health_check != HealthCheck::Idle || !self.probe_budget.try_spend() {
            return false;
        }
        worker.health_check = purpose;
        actions.push(Action::CheckHealth { worker: id });
        true
    }

    /// Handles the end of a health check.
    pub(super) fn health_check_ended(
        &mut self,
        id: WorkerId,
        result: AttemptResult,
        report: &[f64],
        actions: &mut Vec<Action>,
    ) {
        self.record_health_check_report(id, report);
        let health_check = match self.workers.get_mut(id) {
            Some(worker) => std::mem::take(&mut worker.health_check),
            None => HealthCheck::Idle,
        };
        if !is_healthy_result(result) {
            self.record_score(id, FAILURE_SCORE);
        }
        self.update_tokens(id);
        if let HealthCheck::LoadProbePending(job) = health_check {
            self.load_probe_answered(job, actions);
        }
    }

    /// Returns whether any worker reported recently. If none did, the health checks may be failing; otherwise
    /// workers that do not report are assumed to be busy.
    pub(super) fn any_worker_reported_recently(&self) -> bool {
        let latest = self.workers.recently_reported().front().and_then(|id| self.workers.get(*id));
        // A worker that has restarted since its report counts as having reported at the start of the clock.
        let reported_at = latest.map(|worker| worker.load.reported_at.unwrap_or(0));
        reported_at.is_some_and(|reported_at| self.now - reported_at < FOREIGN_LOAD_SPAN_US as Micros)
    }
}

/// Returns whether a health check with this result does not count as a failure of the worker.
fn is_healthy_result(result: AttemptResult) -> bool {
    match result {
        AttemptResult::Success | AttemptResult::Overloaded | AttemptResult::StaleConnection => true,
        AttemptResult::Error
        | AttemptResult::TimedOut
        | AttemptResult::ConnectFailed
        | AttemptResult::Reset
        | AttemptResult::Unprocessable
        | AttemptResult::Cancelled
        | AttemptResult::NotSent => false,
    }
}
