//! The JSON format of the settings. Apart from error messages, only this module contains the names of the
//! format.

use crate::{micros_from_millis, NamedClass, SettingsError, SiteSettings};
use postusher_decision::{
    Class, Customer, DeduplicationScope, Idempotency, ReportField, Settings, MAX_SLOTS,
};
use serde::Deserialize;

/// Value of `Discovery` if the endpoint list must be polled.
const DISCOVERY_POLLED: &str = "ask";
/// Value of `WorthBy` if priority weights count per unit of work.
const WEIGHT_BY_WORK: &str = "work";
/// Value of `Report.Source` if there are no load reports.
const REPORTS_OFF: &str = "off";
/// Value of `Report.Source` if only health checks return load reports.
const REPORTS_BY_HEALTH_CHECK: &str = "on_probe";
/// The report field whose meaning is given by `Specifics.ReportX0`.
const EXTRA_REPORT_FIELD: &str = "x0";
/// Value of `Specifics.ReportX0` if the field is the number of free slots.
const EXTRA_FIELD_FREE_SLOTS: &str = "free slots";
/// The report field with the number of jobs queued at a worker.
const QUEUE_LENGTH_FIELD: &str = "depth";
/// The report field with the number of jobs at a worker.
const JOBS_FIELD: &str = "concurrent";

const DEFAULT_MAX_WAIT_MS: f64 = 60_000.0;
const DEFAULT_POLL_INTERVAL_MS: f64 = 10_000.0;
const DEFAULT_DRAIN_GRACE_MS: f64 = 500.0;
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 1_000.0;

/// The top-level object of the settings.
#[derive(Deserialize)]
pub(crate) struct SettingsJson {
    #[serde(rename = "Discovery", default)]
    discovery: String,
    #[serde(rename = "ObjectiveMix", default)]
    objective: Objective,
    #[serde(rename = "Models", default)]
    machine_kinds: Vec<String>,
    #[serde(rename = "MyZone", default)]
    zone: u16,
    #[serde(rename = "Permissions")]
    permissions: Permissions,
    #[serde(rename = "Prices", default)]
    costs: Costs,
    #[serde(rename = "Realms", default)]
    customers: Vec<CustomerJson>,
    #[serde(rename = "Report", default)]
    report: Report,
    #[serde(rename = "Rules")]
    rules: Rules,
    #[serde(rename = "Services")]
    classes: Vec<ClassJson>,
    #[serde(rename = "Siblings", default = "default_scheduler_count")]
    scheduler_count: u32,
    #[serde(rename = "Specifics", default)]
    specifics: Specifics,
    #[serde(rename = "WorthBy", default)]
    weight_by: String,
    #[serde(rename = "Zones", default)]
    zones: Vec<String>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Permissions {
    #[serde(rename = "Cancel")]
    cancellation: bool,
    #[serde(rename = "ConnectTimeoutMs")]
    connect_timeout_ms: f64,
    #[serde(rename = "KeepaliveMs")]
    keepalive_ms: f64,
    #[serde(rename = "MaxAttempts")]
    max_attempts: u64,
    #[serde(rename = "MaxRetryAfterMs")]
    max_retry_after_ms: f64,
    #[serde(rename = "Probes")]
    health_checks: bool,
    #[serde(rename = "RetryAfter")]
    retry_after: bool,
    #[serde(rename = "SecondCopies")]
    hedging: bool,
}

impl Default for Permissions {
    fn default() -> Self {
        Permissions {
            cancellation: false,
            connect_timeout_ms: DEFAULT_CONNECT_TIMEOUT_MS,
            keepalive_ms: 0.0,
            max_attempts: 1,
            max_retry_after_ms: 0.0,
            health_checks: false,
            retry_after: false,
            hedging: false,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Objective {
    #[serde(rename = "BorneMisses")]
    tolerated_miss_share: f64,
    #[serde(rename = "Punctual")]
    punctuality_weight: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Costs {
    #[serde(rename = "CrossZone")]
    cross_zone: f64,
    #[serde(rename = "Handshake")]
    connection: f64,
    #[serde(rename = "Origin")]
    fetch: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Report {
    #[serde(rename = "Fields")]
    fields: Vec<String>,
    #[serde(rename = "Source")]
    source: String,
}

#[derive(Deserialize)]
struct CustomerJson {
    #[serde(rename = "Name")]
    name: String,
    #[serde(rename = "QuotaPerS")]
    quota_per_second: f64,
}

#[derive(Deserialize)]
struct Rules {
    #[serde(rename = "AskWithinMs", default = "default_poll_interval_ms")]
    poll_interval_ms: f64,
    #[serde(rename = "ColdFrom")]
    initial_capacity: f64,
    #[serde(rename = "FallMs")]
    overload_window_ms: f64,
    #[serde(rename = "FullMayHaveRun", default)]
    overloaded_may_have_run: bool,
    #[serde(rename = "OrderPauseMs", default)]
    key_order_pause_ms: f64,
    #[serde(rename = "OverloadFactor")]
    overload_factor: f64,
    #[serde(rename = "StopSendingWithinMs", default = "default_drain_grace_ms")]
    drain_grace_ms: f64,
    #[serde(rename = "WarmAfterMs")]
    slow_start_ms: f64,
}

#[derive(Deserialize)]
struct ClassJson {
    #[serde(rename = "AimStretch", default)]
    objective_stretch: Option<f64>,
    #[serde(rename = "Credit", default = "default_priority_weight")]
    priority_weight: f64,
    #[serde(rename = "Effect")]
    effect: String,
    #[serde(rename = "GoalTimeMs")]
    latency_objective_ms: f64,
    #[serde(rename = "Group", default)]
    deduplication_scope: String,
    #[serde(rename = "HardLimitMs", default = "default_max_wait_ms")]
    max_wait_ms: f64,
    #[serde(rename = "KeepOrder", default)]
    ordered_by_key: bool,
    #[serde(rename = "LateValue", default)]
    late_weight_share: f64,
    #[serde(rename = "ModelsOnly", default)]
    allowed_kinds: Option<Vec<u16>>,
    #[serde(rename = "Name", default)]
    name: String,
    #[serde(rename = "ZonesOpen", default)]
    allowed_zones: Option<Vec<u16>>,
    #[serde(rename = "WindowMs", default)]
    deduplication_window_ms: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct Specifics {
    #[serde(rename = "ClassStretch")]
    objective_stretch_by_class: Vec<f64>,
    #[serde(rename = "ProgressMs")]
    progress_interval_ms: f64,
    #[serde(rename = "ReportX0")]
    extra_report_field: String,
    #[serde(rename = "TellsStart")]
    reports_start: bool,
}

fn default_scheduler_count() -> u32 {
    1
}

fn default_priority_weight() -> f64 {
    1.0
}

fn default_max_wait_ms() -> f64 {
    DEFAULT_MAX_WAIT_MS
}

fn default_poll_interval_ms() -> f64 {
    DEFAULT_POLL_INTERVAL_MS
}

fn default_drain_grace_ms() -> f64 {
    DEFAULT_DRAIN_GRACE_MS
}

impl SettingsJson {
    /// Converts the JSON form to the settings used by the program.
    pub(crate) fn into_site_settings(self) -> Result<SiteSettings, SettingsError> {
        let settings = self.decision_settings()?;
        let named_class = |class: ClassJson| NamedClass { name: class.name, max_wait_ms: class.max_wait_ms };
        let has_reports = self.report.source != REPORTS_OFF;
        Ok(SiteSettings {
            settings,
            classes: self.classes.into_iter().map(named_class).collect(),
            customers: self.customers.into_iter().map(|customer| customer.name).collect(),
            zones: self.zones,
            machine_kinds: self.machine_kinds,
            report_fields: if has_reports { self.report.fields } else { Vec::new() },
            connect_timeout_ms: self.permissions.connect_timeout_ms,
        })
    }

    fn decision_settings(&self) -> Result<Settings, SettingsError> {
        let SettingsJson { permissions, costs, rules, specifics, objective, .. } = self;
        Ok(Settings {
            classes: self.decision_classes()?,
            customers: self.customers.iter().map(CustomerJson::to_customer).collect::<Result<_, _>>()?,
            weight_by_work: self.weight_by == WEIGHT_BY_WORK,
            scheduler_count: self.scheduler_count,
            list_is_polled: self.discovery == DISCOVERY_POLLED,
            poll_interval: micros_from_millis(rules.poll_interval_ms),
            drain_grace: micros_from_millis(rules.drain_grace_ms),
            report_fields: self.decision_report_fields(),
            max_worker_slots: MAX_SLOTS,
            reports_by_health_check_only: self.report.source == REPORTS_BY_HEALTH_CHECK,
            zone: self.zone,
            cross_zone_cost: costs.cross_zone,
            connection_cost: costs.connection,
            keepalive: micros_from_millis(permissions.keepalive_ms),
            progress_interval: micros_from_millis(specifics.progress_interval_ms),
            reports_start: specifics.reports_start,
            health_checks_allowed: permissions.health_checks,
            cancellation_allowed: permissions.cancellation,
            hedging_allowed: permissions.hedging,
            sends_retry_after: permissions.retry_after,
            max_retry_after: micros_from_millis(permissions.max_retry_after_ms),
            max_attempts: permissions.max_attempts.min(u64::from(u8::MAX)) as u8,
            initial_capacity: rules.initial_capacity,
            slow_start_duration: micros_from_millis(rules.slow_start_ms),
            overload_factor: rules.overload_factor,
            overload_window: micros_from_millis(rules.overload_window_ms),
            overloaded_may_have_run: rules.overloaded_may_have_run,
            key_order_pause: micros_from_millis(rules.key_order_pause_ms),
            fetch_cost: costs.fetch,
            punctuality_weight: objective.punctuality_weight,
            tolerated_miss_share: objective.tolerated_miss_share,
        })
    }

    fn decision_classes(&self) -> Result<Vec<Class>, SettingsError> {
        let stretches = &self.specifics.objective_stretch_by_class;
        let classes = self.classes.iter().enumerate();
        classes.map(|(number, class)| class.to_class(stretches.get(number).copied())).collect()
    }

    fn decision_report_fields(&self) -> Vec<ReportField> {
        if self.report.source == REPORTS_OFF {
            return Vec::new();
        }
        self.report.fields.iter().map(|name| self.report_field(name)).collect()
    }

    fn report_field(&self, name: &str) -> ReportField {
        match name {
            EXTRA_REPORT_FIELD if self.specifics.extra_report_field == EXTRA_FIELD_FREE_SLOTS => {
                ReportField::FreeSlots
            }
            QUEUE_LENGTH_FIELD => ReportField::QueueLength,
            JOBS_FIELD => ReportField::Jobs,
            _ => ReportField::Unused,
        }
    }
}

impl ClassJson {
    /// Converts the JSON form of a class. `default_stretch` applies if the class has no `AimStretch`.
    fn to_class(&self, default_stretch: Option<f64>) -> Result<Class, SettingsError> {
        Ok(Class {
            idempotency: self.idempotency()?,
            latency_objective: micros_from_millis(self.latency_objective_ms),
            objective_stretch: self.objective_stretch.or(default_stretch).unwrap_or(0.0),
            priority_weight: self.priority_weight,
            late_weight_share: self.late_weight_share,
            ordered_by_key: self.ordered_by_key,
            allowed_kinds: self.allowed_kinds.clone(),
            allowed_zones: self.allowed_zones.clone(),
        })
    }

    fn idempotency(&self) -> Result<Idempotency, SettingsError> {
        let scope = match self.deduplication_scope.as_str() {
            "zone" => DeduplicationScope::Zone,
            "cell" => DeduplicationScope::Cell,
            _ => DeduplicationScope::Fleet,
        };
        match self.effect.as_str() {
            "repeatable" => Ok(Idempotency::Idempotent),
            "by_key" => {
                let window = micros_from_millis(self.deduplication_window_ms);
                Ok(Idempotency::ByKey { scope, window })
            }
            "once" => Ok(Idempotency::NotIdempotent),
            unknown => {
                Err(SettingsError::UnknownEffect { class: self.name.clone(), effect: unknown.to_string() })
            }
        }
    }
}

impl CustomerJson {
    fn to_customer(&self) -> Result<Customer, SettingsError> {
        let quota = self.quota_per_second;
        if quota.is_finite() && quota >= 0.0 {
            Ok(Customer { quota_per_second: quota })
        } else {
            Err(SettingsError::InvalidQuota { customer: self.name.clone(), quota })
        }
    }
}
