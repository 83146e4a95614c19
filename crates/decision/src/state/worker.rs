//! A worker as a dispatcher knows it.

use super::Mean;
use crate::interface::*;

/// A worker as this dispatcher knows it.
pub struct Worker {
    pub member: Endpoint,
    /// Tokens held by attempts.
    pub held: i64,
    /// Most free slots ever reported.
    pub slots: i64,
    /// Slots that others took at the latest report, smoothed; and in the mean of a long time.
    pub others: f64,
    pub usual: Mean,
    /// When the latest report came; 0: never.
    pub reported: Micros,
    /// Connections that lie idle, by when the attempts on them ended well.
    pub idle: Vec<Micros>,
    /// Smoothed logarithm of running time over what is expected, failures included.
    pub strain: f64,
    /// Its tokens lie out until it is readmitted, from then on; 0: in service.
    pub ejected_until: Micros,
    /// Ejections since it last served well.
    pub strikes: u32,
    /// A probe is on its way, for this job if for any.
    pub probing: Option<Option<JobId>>,
    /// How classes fare here, where it matters.
    pub shut: Vec<Shut>,
    /// Attempts in flight.
    pub out: Vec<(JobId, AttemptId)>,
    /// Work that it may be sent while cold, as of a time.
    pub credit: f64,
    pub credited: Micros,
    /// When an operator took it back; 0: never since its start.
    pub back: Micros,
}

/// A class at a worker: turned away there until then, so many times on end; never: served.
pub struct Shut {
    pub class: u16,
    pub until: Micros,
    pub strikes: u32,
}

impl Worker {
    /// A worker just listed; `held` and `out` carry over what an earlier process of it still has.
    pub fn new(member: Endpoint, held: i64, out: Vec<(JobId, AttemptId)>, credit: f64, now: Micros) -> Self {
        Worker {
            member,
            held,
            slots: 0,
            others: 0.0,
            usual: Mean::default(),
            reported: 0,
            idle: Vec::new(),
            strain: 0.0,
            ejected_until: 0,
            strikes: 0,
            probing: None,
            shut: Vec::new(),
            out,
            credit,
            credited: now,
            back: 0,
        }
    }

    /// How a class fares here.
    pub fn shut_for(&mut self, class: u16) -> &mut Shut {
        let at = self.shut.iter().position(|s| s.class == class).unwrap_or(self.shut.len());
        if at == self.shut.len() {
            self.shut.push(Shut { class, until: 0, strikes: 0 });
        }
        &mut self.shut[at]
    }

    /// An attempt has ended; its tokens are no longer held.
    pub fn give_back(&mut self, job: JobId, attempt: AttemptId, tokens: i64) {
        self.held = (self.held - tokens).max(0);
        self.out.retain(|out| *out != (job, attempt));
    }

    /// Whether its tokens lie out.
    pub fn ejected(&self) -> bool {
        self.ejected_until > 0
    }

    /// Whether it is back from an ejection and has not served well since.
    pub fn on_trial(&self) -> bool {
        self.strikes > 0
    }

    /// Whether the list says that it takes jobs.
    pub fn ready(&self) -> bool {
        matches!(self.member.state, EndpointState::Ready | EndpointState::Reserved)
    }
}
