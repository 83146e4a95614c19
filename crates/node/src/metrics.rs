//! The metrics of a scheduler since its start: one owner of all that is counted, and what `GET /stats` shows of it.

use crate::membership::MembersGauges;
use postusher_decision::SendDenial;
use postusher_deferred_jobs::JobEndStatus;
use postusher_settings::NamedClass;
use serde::Serialize;
use std::collections::BTreeMap;

/// How a job ended, as its client sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalStatus {
    /// With a worker's result.
    Served,
    /// Rejected.
    Rejected,
    /// Failed.
    Failed,
}

impl From<FinalStatus> for JobEndStatus {
    fn from(how: FinalStatus) -> JobEndStatus {
        match how {
            FinalStatus::Served => JobEndStatus::Served,
            FinalStatus::Rejected => JobEndStatus::Rejected,
            FinalStatus::Failed => JobEndStatus::Failed,
        }
    }
}

/// A class's jobs by how they ended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Ended([u64; 3]);

/// All counters. Each counts where the thing becomes true: a job at its final answer, an attempt when its last byte
/// is written.
#[derive(Debug)]
pub struct Metrics {
    classes: Vec<(String, Ended)>,
    /// By customer, those that the settings don't have last; empty where the settings have none.
    customers: Vec<(String, Ended)>,
    /// Requests taken.
    pub taken: u64,
    /// Clients that went away before their answer.
    pub left: u64,
    /// Attempts written whole to workers.
    pub attempts: u64,
    /// Attempts that were not begun after all, by the number of the reason.
    pub denied: [u64; SendDenial::ALL.len()],
    /// Times that something was put off or failed for want of a descriptor.
    pub short: u64,
    /// Configurations read again and taken over.
    pub reloads_ok: u64,
    /// Configurations that could not be read again.
    pub reloads_failed: u64,
}

/// What is not counted but looked up when the metrics are asked for.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Gauges {
    /// Jobs taken and not ended.
    pub in_flight: usize,
    /// Targets on the list.
    pub workers_known: usize,
    /// Those of them that are avoided, by hand or by the module's choice.
    pub workers_excluded: usize,
    /// Jobs of each customer that were sent over its share.
    #[serde(skip)]
    pub over_quota: Vec<u64>,
    /// Of membership, where this scheduler is a member.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub members: Option<MembersGauges>,
    /// Of the waiting room, where there is one.
    #[serde(flatten)]
    pub waiting: Option<DeferralGauges>,
}

/// Metrics of the waiting room.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct DeferralGauges {
    /// Jobs held.
    pub held: usize,
    /// Jobs that went on to the module since the start.
    pub released: u64,
    /// The longest that one which was ready has waited for that.
    pub longest_wait_ms: u64,
}

/// The form in which operators get the metrics.
#[derive(Serialize)]
struct Stats<'a> {
    served: BTreeMap<&'a str, u64>,
    refused: BTreeMap<&'a str, u64>,
    failed: BTreeMap<&'a str, u64>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    customers: BTreeMap<&'a str, ByEnd>,
    attempts: u64,
    #[serde(flatten)]
    gauges: Gauges,
    reloads_ok: u64,
    reloads_failed: u64,
}

/// A customer's jobs by how they ended.
#[derive(Serialize)]
struct ByEnd {
    /// Not told of customers that the settings don't have.
    #[serde(skip_serializing_if = "Option::is_none")]
    over_share: Option<u64>,
    served: u64,
    refused: u64,
    failed: u64,
}

/// The name under which jobs of customers count that the settings don't have. It bounds the names.
const OTHERS: &str = "(others)";

impl Metrics {
    /// Nothing counted yet, of any of these classes and customers.
    pub fn new(classes: &[NamedClass], customers: &[String]) -> Self {
        let others = (!customers.is_empty()).then_some(OTHERS);
        let customers = customers.iter().map(String::as_str).chain(others);
        Metrics {
            classes: classes.iter().map(|class| (class.name.clone(), Ended::default())).collect(),
            customers: customers.map(|name| (name.to_string(), Ended::default())).collect(),
            taken: 0,
            left: 0,
            attempts: 0,
            denied: [0; SendDenial::ALL.len()],
            short: 0,
            reloads_ok: 0,
            reloads_failed: 0,
        }
    }

    /// A job of a class and a customer has had its final answer.
    pub fn ended(&mut self, class: u16, customer: u16, how: FinalStatus) {
        let others = self.customers.len().saturating_sub(1);
        let class = self.classes.get_mut(usize::from(class));
        let customer = self.customers.get_mut(usize::from(customer).min(others));
        for (_, ended) in class.into_iter().chain(customer) {
            ended.0[how as usize] += 1;
        }
    }

    /// How often attempts were not begun after all, by reason, for the log; empty where none was.
    pub fn denials(&self) -> String {
        let counted = SendDenial::ALL.iter().filter(|denial| self.denied[**denial as usize] > 0);
        counted.map(|denial| format!(" denied.{denial:?}={}", self.denied[*denial as usize])).collect()
    }

    /// How many jobs of all classes ended so.
    pub fn total(&self, how: FinalStatus) -> u64 {
        self.classes.iter().map(|(_, ended)| ended.0[how as usize]).sum()
    }

    /// The metrics as JSON; every class is named, whether any of its jobs has come or not.
    pub fn json(&self, gauges: Gauges) -> String {
        let by_class =
            |how: FinalStatus| self.classes.iter().map(|(n, e)| (n.as_str(), e.0[how as usize])).collect();
        let over_share = gauges.over_quota.iter().copied().map(Some).chain(std::iter::repeat(None));
        let customers = self.customers.iter().zip(over_share).map(|((name, ended), over_share)| {
            let [served, refused, failed] = ended.0;
            (name.as_str(), ByEnd { over_share, served, refused, failed })
        });
        let stats = Stats {
            served: by_class(FinalStatus::Served),
            refused: by_class(FinalStatus::Rejected),
            failed: by_class(FinalStatus::Failed),
            customers: customers.collect(),
            attempts: self.attempts,
            gauges,
            reloads_ok: self.reloads_ok,
            reloads_failed: self.reloads_failed,
        };
        serde_json::to_string(&stats).unwrap_or_default() // numbers under names of text always have a form
    }
}

#[cfg(test)]
mod tests;
