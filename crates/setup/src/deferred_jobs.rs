//! The `<waiting>` element: limits on deferred jobs.

use crate::element::Element;
use crate::error::Diagnostic;
use crate::units;
use postusher_deferred_jobs::Limits;
use std::collections::BTreeMap;

/// The weight of a class without a `<weight>` element.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Limits on deferred jobs. Durations are in milliseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct DeferredJobs {
    /// The maximum number of deferred jobs.
    pub max_jobs: usize,
    /// The maximum size of all deferred jobs together, in bytes.
    pub max_bytes: usize,
    /// The maximum number of deferred jobs of a single client connection.
    pub max_jobs_per_client: usize,
    /// The maximum number of ended jobs whose outcome is remembered.
    pub max_remembered_outcomes: usize,
    /// The time for which the outcome of an ended job is remembered.
    pub outcome_retention: f64,
    /// The time after the arrival of a job within which its unknown dependencies must arrive.
    pub dependency_grace: f64,
    /// The time within which a ready job is released or rejected.
    pub max_ready_wait: f64,
    /// The release lag of a class of weight 1: a job of such a class is overtaken only by jobs that become
    /// ready less than this time after it.
    pub aging: f64,
    /// The fraction of the fleet's slots that is reserved for jobs that are not deferred.
    pub reserved_share: f64,
    /// The weights of classes, by class name.
    pub class_weights: BTreeMap<String, f64>,
}

impl Default for DeferredJobs {
    fn default() -> Self {
        let limits = Limits::default();
        DeferredJobs {
            max_jobs: limits.max_jobs,
            max_bytes: limits.max_bytes,
            max_jobs_per_client: limits.max_jobs_per_client,
            max_remembered_outcomes: limits.max_remembered_outcomes,
            outcome_retention: limits.outcome_retention,
            dependency_grace: limits.dependency_grace,
            max_ready_wait: limits.max_ready_wait,
            aging: limits.aging,
            reserved_share: limits.reserved_share,
            class_weights: BTreeMap::new(),
        }
    }
}

impl DeferredJobs {
    /// Converts the settings to limits; `classes` are the names of all classes, in the order of their
    /// indices, by which the weights in the result are indexed.
    pub fn limits<'a>(&self, classes: impl Iterator<Item = &'a str>) -> Limits {
        let weight_of = |name| self.class_weights.get(name).copied().unwrap_or(DEFAULT_WEIGHT);
        Limits {
            max_jobs: self.max_jobs,
            max_bytes: self.max_bytes,
            max_jobs_per_client: self.max_jobs_per_client,
            max_remembered_outcomes: self.max_remembered_outcomes,
            outcome_retention: self.outcome_retention,
            dependency_grace: self.dependency_grace,
            max_ready_wait: self.max_ready_wait,
            aging: self.aging,
            reserved_share: self.reserved_share,
            class_weights: classes.map(weight_of).collect(),
            ..Limits::default()
        }
    }
}

/// Reads the `<waiting>` element.
pub(crate) fn read(mut element: Element, diagnostics: &mut Vec<Diagnostic>) -> DeferredJobs {
    let mut settings = DeferredJobs::default();
    element.read("most-jobs", diagnostics, units::count, &mut settings.max_jobs);
    element.read("most-bytes", diagnostics, units::bytes, &mut settings.max_bytes);
    element.read("most-per-client", diagnostics, units::count, &mut settings.max_jobs_per_client);
    element.read("remember", diagnostics, units::count, &mut settings.max_remembered_outcomes);
    element.read("remember-for", diagnostics, units::duration, &mut settings.outcome_retention);
    element.read("grace", diagnostics, units::duration, &mut settings.dependency_grace);
    element.read("longest", diagnostics, units::positive_duration, &mut settings.max_ready_wait);
    element.read("ageing", diagnostics, units::duration, &mut settings.aging);
    element.read("reserve", diagnostics, units::fraction, &mut settings.reserved_share);
    element.check_no_unknown_attributes(diagnostics);
    for child in element.children(diagnostics) {
        if child.has_name("weight") {
            read_weight(child, &mut settings.class_weights, diagnostics);
        } else {
            child.report_unknown(diagnostics, &["weight"]);
        }
    }
    settings
}

fn read_weight(mut element: Element, weights: &mut BTreeMap<String, f64>, diagnostics: &mut Vec<Diagnostic>) {
    let mut class = String::new();
    let mut weight = DEFAULT_WEIGHT;
    element.read_required("class", diagnostics, units::class_name, &mut class);
    element.read_required("value", diagnostics, units::weight, &mut weight);
    element.check_no_unknown_attributes(diagnostics);
    element.check_no_children(diagnostics);
    if class.is_empty() {
        return;
    }
    if weights.insert(class.clone(), weight).is_some() {
        let message = format!("duplicate weight for class {class:?}");
        element.report(diagnostics, message, "remove one of the two".into());
    }
}
