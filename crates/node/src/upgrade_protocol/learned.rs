//! Serialized form of the learned state, which the old process sends to the new one.

use postusher_decision::{ClassEstimates, LearnedState, WorkerHistory, WorkerId};
use serde::{Deserialize, Serialize};

/// Serialized form of [`LearnedState`], which documents the fields and their units. Workers are identified by
/// name, because their ids may differ between the two processes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LearnedSnapshot {
    #[serde(rename = "fleet")]
    fleet_means: Vec<Option<f64>>,
    #[serde(rename = "lay")]
    queueing_delay: f64,
    #[serde(rename = "recent")]
    recent_scores: Vec<f64>,
    classes: Vec<ClassForm>,
    kinds: Vec<(u16, Option<f64>)>,
    /// Empty from older versions, which do not support customers.
    #[serde(rename = "accounts", default)]
    quota_balances: Vec<f64>,
    #[serde(rename = "targets")]
    workers: Vec<(String, WorkerForm)>,
}

/// Serialized form of [`ClassEstimates`]: mean logarithm of the running time, mean running time, and
/// rejection rate.
type ClassForm = (Option<f64>, Option<f64>, f64);

/// Serialized form of [`WorkerHistory`], which documents the fields and their units.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
struct WorkerForm {
    #[serde(rename = "slots")]
    max_free_slots: i64,
    #[serde(rename = "others")]
    foreign_slots: f64,
    #[serde(rename = "reported")]
    report_age: Option<u64>,
    #[serde(rename = "strain")]
    health_score: f64,
    #[serde(rename = "avoided")]
    ejected_for: u64,
    #[serde(rename = "strikes")]
    consecutive_ejections: u32,
}

impl From<WorkerHistory> for WorkerForm {
    fn from(history: WorkerHistory) -> WorkerForm {
        WorkerForm {
            max_free_slots: history.max_free_slots,
            foreign_slots: history.foreign_slots,
            report_age: history.report_age,
            health_score: history.health_score,
            ejected_for: history.ejected_for,
            consecutive_ejections: history.consecutive_ejections,
        }
    }
}

impl From<WorkerForm> for WorkerHistory {
    fn from(form: WorkerForm) -> WorkerHistory {
        WorkerHistory {
            max_free_slots: form.max_free_slots,
            foreign_slots: form.foreign_slots,
            report_age: form.report_age,
            health_score: form.health_score,
            ejected_for: form.ejected_for,
            consecutive_ejections: form.consecutive_ejections,
        }
    }
}

/// Converts the estimates of a class to their serialized form.
fn class_form(class: ClassEstimates) -> ClassForm {
    (class.log_duration, class.mean_duration, class.rejection_rate)
}

/// Converts the serialized form of the estimates of a class back.
pub(super) fn class_estimates((log_duration, mean_duration, rejection_rate): ClassForm) -> ClassEstimates {
    ClassEstimates { log_duration, mean_duration, rejection_rate }
}

impl LearnedSnapshot {
    /// Converts learned state to its serialized form. Workers for which `name_of` returns `None` are omitted.
    pub fn new(state: LearnedState, name_of: impl Fn(WorkerId) -> Option<String>) -> LearnedSnapshot {
        let named = |(id, history): (WorkerId, WorkerHistory)| Some((name_of(id)?, history.into()));
        LearnedSnapshot {
            fleet_means: state.fleet_means,
            queueing_delay: state.queueing_delay,
            recent_scores: state.recent_scores,
            classes: state.classes.into_iter().map(class_form).collect(),
            kinds: state.kinds,
            quota_balances: state.quota_balances,
            workers: state.workers.into_iter().filter_map(named).collect(),
        }
    }

    /// Converts the serialized form to learned state. `id_of` returns the id of a worker in this process.
    pub fn into_state(self, id_of: impl Fn(&str) -> WorkerId) -> LearnedState {
        let identified = |(name, form): (String, WorkerForm)| (id_of(&name), form.into());
        LearnedState {
            fleet_means: self.fleet_means,
            queueing_delay: self.queueing_delay,
            recent_scores: self.recent_scores,
            classes: self.classes.into_iter().map(class_estimates).collect(),
            kinds: self.kinds,
            quota_balances: self.quota_balances,
            workers: self.workers.into_iter().map(identified).collect(),
        }
    }
}
