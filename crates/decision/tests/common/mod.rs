//! A host for tests: plays hand-written events and keeps what came out.
#![allow(dead_code)]

use postusher_decision::*;

pub const S: Micros = 1_000_000;
pub const MS: Micros = 1_000;

pub struct Rig {
    pub dispatcher: Dispatcher,
    pub now: Micros,
    pub actions: Vec<Action>,
}

pub fn class(idempotency: Idempotency) -> Class {
    Class { objective_stretch: 2.0, ..Class::new(idempotency, 250 * MS) }
}

pub fn keyed(group: DeduplicationScope) -> Idempotency {
    Idempotency::ByKey { scope: group, window: 4 * S }
}

/// Classes 0 repeatable, 1 keyed in all, 2 once, 3 keyed in a cell.
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(Idempotency::Idempotent),
            class(keyed(DeduplicationScope::Fleet)),
            class(Idempotency::NotIdempotent),
            class(keyed(DeduplicationScope::Cell)),
        ],
        max_attempts: 5,
        cancellation_allowed: true,
        initial_capacity: 0.1,
        slow_start_duration: 20 * S,
        overload_factor: 3.0,
        overload_window: 3 * S,
        report_fields: vec![ReportField::FreeSlots, ReportField::QueueLength],
        ..Settings::default()
    }
}

pub fn member(worker: u32) -> Endpoint {
    Endpoint {
        worker: WorkerId(worker),
        state: EndpointState::Ready,
        capacity_weight: 1.0,
        started_at: 0,
        cell: (worker % 2) as u16,
        kind: 0,
        zone: 0,
    }
}

impl Rig {
    /// A dispatcher with warm workers 1 to `n`, each with two slots.
    pub fn new(settings: Settings, n: u32) -> Rig {
        let now = 100 * S;
        let mut rig = Rig { dispatcher: Dispatcher::new(settings, 1, now), now, actions: Vec::new() };
        rig.members(ListUpdate::Cached, (1..=n).map(member).collect());
        (1..=n).for_each(|w| rig.probed(w, AttemptResult::Success, &[2.0, 0.0]));
        rig.actions.clear();
        rig
    }

    pub fn play(&mut self, event: Event) {
        self.dispatcher.handle(event, self.now, &mut self.actions);
    }

    pub fn members(&mut self, update: ListUpdate, endpoints: Vec<Endpoint>) {
        self.play(Event::EndpointList { update, endpoints });
    }

    pub fn probed(&mut self, worker: u32, result: AttemptResult, report: &[f64]) {
        self.play(Event::HealthCheckEnded { worker: WorkerId(worker), result, report: report.to_vec() });
    }

    /// A job arrives; the worker it went to, if any.
    pub fn job(&mut self, id: u32, class: u16, slots: u32) -> Option<u32> {
        self.keyed_job(id, class, slots, 0)
    }

    /// The same, of a key.
    pub fn keyed_job(&mut self, id: u32, class: u16, slots: u32, key: u64) -> Option<u32> {
        self.actions.clear();
        let (job, deadline) = (JobId(id), self.now + 5 * S);
        self.play(Event::JobArrived(Job {
            id: job,
            class,
            deadline,
            size_hint: None,
            slots,
            key,
            customer: 0,
        }));
        self.sent(id)
    }

    pub fn settle(&mut self, id: u32, attempt: u8, result: AttemptResult) {
        self.actions.clear();
        let (attempt, latency, done) = (AttemptId(attempt), 100 * MS, result == AttemptResult::Success);
        self.play(Event::AttemptEnded(AttemptOutcome {
            job: JobId(id),
            attempt,
            result,
            latency,
            job_answered: done,
            report: Vec::new(),
        }));
    }

    /// Plays jobs 1 to 199, of which one worker fails all that it gets, until it is ejected.
    pub fn sicken(&mut self, sick: u32) {
        for id in 1..200 {
            self.now += 20 * MS;
            let Some(worker) = self.job(id, 0, 1) else { continue };
            self.settle(id, 0, if worker == sick { AttemptResult::Error } else { AttemptResult::Success });
        }
        assert!(self.dispatcher.is_ejected(WorkerId(sick)));
    }

    pub fn sent(&self, id: u32) -> Option<u32> {
        self.actions.iter().find_map(|a| match a {
            Action::StartAttempt { job, worker, .. } if job.0 == id => Some(worker.0),
            _ => None,
        })
    }

    pub fn refused(&self, id: u32) -> bool {
        self.actions.iter().any(|a| matches!(a, Action::Reject { job, .. } if job.0 == id))
    }

    pub fn failed(&self, id: u32) -> bool {
        self.actions.contains(&Action::Fail { job: JobId(id) })
    }
}
