//! The limits of the queue. The setup file configures all of them except [`Limits::rejection_lead`].

use crate::Millis;

/// The weight of a class without a configured weight.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The limits of a [`DeferralQueue`](crate::DeferralQueue).
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum number of deferred jobs.
    pub max_jobs: usize,
    /// Maximum number of bytes held by the deferred jobs.
    pub max_bytes: usize,
    /// Maximum number of deferred jobs of a single client.
    pub max_jobs_per_client: usize,
    /// Maximum number of ended jobs whose outcome is remembered.
    pub max_remembered_outcomes: usize,
    /// Duration for which an outcome is remembered.
    pub outcome_retention: Millis,
    /// Duration after the arrival of a job within which its unknown dependencies may still arrive.
    pub dependency_grace: Millis,
    /// Maximum time between a job becoming ready and its release or rejection.
    pub max_ready_wait: Millis,
    /// Release lag of a class of weight 1. Ready jobs are released in the order of the time at which they
    /// became ready plus the release lag of their class, which is `aging` divided by the weight of the class.
    /// A job of weight 1 is therefore overtaken only by jobs that become ready less than `aging` after it.
    pub aging: Millis,
    /// Weights of the classes, indexed by class number. A class without an entry has weight 1.
    pub class_weights: Vec<f64>,
    /// Share of the fleet's slots that deferred jobs leave free for other jobs, from 0 to 1.
    pub reserved_share: f64,
    /// Time before its deadline at which a job that has not started is rejected, so that the answer arrives
    /// in time.
    pub rejection_lead: Millis,
}

impl Default for Limits {
    /// Returns the values that apply if the setup file configures none.
    fn default() -> Self {
        Limits {
            max_jobs: 100_000,
            max_bytes: 64 << 20,
            max_jobs_per_client: 1_000,
            max_remembered_outcomes: 10_000,
            outcome_retention: 600_000.0,
            dependency_grace: 5_000.0,
            max_ready_wait: 60_000.0,
            aging: 2_000.0,
            class_weights: Vec::new(),
            reserved_share: 0.15,
            rejection_lead: 50.0,
        }
    }
}

impl Limits {
    /// Returns the release lag of a class. A job that becomes ready later than a job of this class by more
    /// than the lag is not released before it.
    pub fn release_lag(&self, class: u16) -> Millis {
        let weight = self.class_weights.get(usize::from(class)).copied().unwrap_or(DEFAULT_WEIGHT);
        self.aging / weight
    }
}
