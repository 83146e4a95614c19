//! Metrics of a scheduler since its start, and their JSON form in `GET /stats`.

use crate::membership::MembersGauges;
use postusher_decision::SendDenial;
use postusher_deferred_jobs::JobEndStatus;
use postusher_settings::NamedClass;
use serde::Serialize;
use std::collections::BTreeMap;

/// Name under which the jobs of all customers that are not in the settings are counted, so that clients
/// cannot add names to the metrics.
const UNKNOWN_CUSTOMERS: &str = "(others)";

/// Final status of a job, as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FinalStatus {
    /// The job was answered with the result of a worker.
    Served,
    /// The job was rejected.
    Rejected,
    /// The job failed.
    Failed,
}

impl From<FinalStatus> for JobEndStatus {
    fn from(status: FinalStatus) -> JobEndStatus {
        match status {
            FinalStatus::Served => JobEndStatus::Served,
            FinalStatus::Rejected => JobEndStatus::Rejected,
            FinalStatus::Failed => JobEndStatus::Failed,
        }
    }
}

/// Number of jobs by final status.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct EndCounts {
    served: u64,
    rejected: u64,
    failed: u64,
}

impl EndCounts {
    fn get(&self, status: FinalStatus) -> u64 {
        match status {
            FinalStatus::Served => self.served,
            FinalStatus::Rejected => self.rejected,
            FinalStatus::Failed => self.failed,
        }
    }

    fn add(&mut self, status: FinalStatus) {
        match status {
            FinalStatus::Served => self.served += 1,
            FinalStatus::Rejected => self.rejected += 1,
            FinalStatus::Failed => self.failed += 1,
        }
    }
}

/// Number of jobs of a class or a customer by final status.
#[derive(Debug)]
struct NamedCounts {
    name: String,
    counts: EndCounts,
}

impl NamedCounts {
    fn new(name: &str) -> NamedCounts {
        NamedCounts { name: name.to_string(), counts: EndCounts::default() }
    }
}

/// All counters since the start. An attempt is counted when its last byte has been written.
#[derive(Debug)]
pub struct Metrics {
    /// Counts by class number.
    classes: Vec<NamedCounts>,
    /// Counts by customer number, with an entry for all customers that are not in the settings at the end;
    /// empty if the settings have no customers.
    customers: Vec<NamedCounts>,
    /// Number of jobs accepted from clients of this process, including those that got a final answer at once
    /// because they could not be deferred.
    pub accepted: u64,
    /// Number of clients that disconnected before their answer.
    pub disconnected: u64,
    /// Number of attempts whose last byte has been written.
    pub attempts: u64,
    /// Number of attempts that were not sent, indexed by the discriminant of the reason.
    pub denied: [u64; SendDenial::ALL.len()],
    /// Number of operations that were delayed or failed because no file descriptor was free.
    pub descriptor_shortages: u64,
    /// Number of requests that were rejected because memory was short.
    pub memory_shortages: u64,
    /// Number of load reports that were refused because of a value that no worker can have.
    pub invalid_reports: u64,
    /// Number of successful reloads of the configuration.
    pub reloads_ok: u64,
    /// Number of failed reloads of the configuration.
    pub reloads_failed: u64,
}

/// Metrics whose values the caller determines at each request for them.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Gauges {
    /// Number of jobs that were accepted and have not ended.
    pub in_flight: usize,
    /// Number of workers on the endpoint list.
    pub workers_known: usize,
    /// Number of workers on the endpoint list that an operator has disabled or the decision module has
    /// ejected.
    pub workers_excluded: usize,
    /// Number of pending timers of connections, jobs and the decision module.
    #[serde(skip)]
    pub timers: usize,
    /// By customer number, the number of jobs that were sent over the quota and whose debt was written off.
    #[serde(skip)]
    pub over_quota: Vec<u64>,
    /// Metrics of membership, if this scheduler is a member.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub members: Option<MembersGauges>,
    /// Metrics of deferred jobs, if jobs can be deferred.
    #[serde(flatten)]
    pub deferral: Option<DeferralGauges>,
}

/// Metrics of deferred jobs; the fields have the same names in `GET /stats`.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub struct DeferralGauges {
    /// Number of jobs that are currently deferred.
    pub held: usize,
    /// Number of deferred jobs that were released to the decision module since the start.
    pub released: u64,
    /// Longest time, in milliseconds, for which a ready job has waited for its release or rejection.
    pub longest_wait_ms: u64,
}

/// JSON form of the metrics in `GET /stats`. The other counters are only logged.
#[derive(Serialize)]
struct Stats<'a> {
    served: BTreeMap<&'a str, u64>,
    #[serde(rename = "refused")]
    rejected: BTreeMap<&'a str, u64>,
    failed: BTreeMap<&'a str, u64>,
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    customers: BTreeMap<&'a str, CustomerStats>,
    attempts: u64,
    #[serde(flatten)]
    gauges: Gauges,
    reloads_ok: u64,
    reloads_failed: u64,
    timers: usize,
}

/// JSON form of the metrics of a customer.
#[derive(Serialize)]
struct CustomerStats {
    /// Absent for customers that are not in the settings.
    #[serde(rename = "over_share", skip_serializing_if = "Option::is_none")]
    over_quota: Option<u64>,
    served: u64,
    #[serde(rename = "refused")]
    rejected: u64,
    failed: u64,
}

impl Metrics {
    /// Creates the metrics of these classes and customers, with all counters at 0.
    pub fn new(classes: &[NamedClass], customers: &[String]) -> Self {
        let mut customers: Vec<NamedCounts> = customers.iter().map(|name| NamedCounts::new(name)).collect();
        if !customers.is_empty() {
            customers.push(NamedCounts::new(UNKNOWN_CUSTOMERS));
        }
        Metrics {
            classes: classes.iter().map(|class| NamedCounts::new(&class.name)).collect(),
            customers,
            accepted: 0,
            disconnected: 0,
            attempts: 0,
            denied: [0; SendDenial::ALL.len()],
            descriptor_shortages: 0,
            memory_shortages: 0,
            invalid_reports: 0,
            reloads_ok: 0,
            reloads_failed: 0,
        }
    }

    /// Counts the final answer of a job for its class and its customer, which are given by number. An unknown
    /// class is ignored; unknown customers are counted together.
    pub fn record_job_end(&mut self, class: u16, customer: u16, status: FinalStatus) {
        if let Some(class) = self.classes.get_mut(usize::from(class)) {
            class.counts.add(status);
        }
        let unknown_customers = self.customers.len().saturating_sub(1);
        if let Some(customer) = self.customers.get_mut(usize::from(customer).min(unknown_customers)) {
            customer.counts.add(status);
        }
    }

    /// Counts an attempt that was not sent.
    pub fn attempt_denied(&mut self, denial: SendDenial) {
        self.denied[denial as usize] += 1;
    }

    /// Returns the numbers of attempts that were not sent, by reason, as fields of a log line; empty if there
    /// were none.
    pub fn denial_fields(&self) -> String {
        let mut fields = String::new();
        for denial in SendDenial::ALL {
            let count = self.denied[denial as usize];
            if count > 0 {
                fields.push_str(&format!(" denied.{denial:?}={count}"));
            }
        }
        fields
    }

    /// Returns the number of jobs of all classes that ended with this status.
    pub fn job_count(&self, status: FinalStatus) -> u64 {
        self.classes.iter().map(|class| class.counts.get(status)).sum()
    }

    /// Returns the metrics in `GET /stats` as JSON, including classes and customers without jobs.
    pub fn json(&self, gauges: Gauges) -> String {
        let stats = Stats {
            served: self.by_class(FinalStatus::Served),
            rejected: self.by_class(FinalStatus::Rejected),
            failed: self.by_class(FinalStatus::Failed),
            customers: self.by_customer(&gauges.over_quota),
            attempts: self.attempts,
            timers: gauges.timers,
            gauges,
            reloads_ok: self.reloads_ok,
            reloads_failed: self.reloads_failed,
        };
        // Strings, numbers and maps from strings can always be serialized.
        serde_json::to_string(&stats).unwrap_or_default()
    }

    fn by_class(&self, status: FinalStatus) -> BTreeMap<&str, u64> {
        self.classes.iter().map(|class| (class.name.as_str(), class.counts.get(status))).collect()
    }

    fn by_customer(&self, over_quota: &[u64]) -> BTreeMap<&str, CustomerStats> {
        let mut customers = BTreeMap::new();
        for (number, customer) in self.customers.iter().enumerate() {
            let EndCounts { served, rejected, failed } = customer.counts;
            let over_quota = over_quota.get(number).copied();
            customers.insert(customer.name.as_str(), CustomerStats { over_quota, served, rejected, failed });
        }
        customers
    }
}

#[cfg(test)]
mod tests;
