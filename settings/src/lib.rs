//! Reads an instance's settings: JSON of `WIRE-postusher.md`; unknown keys are skipped, absent ones have the
//! defaults written here.
#![forbid(unsafe_code)]

use postusher::{Class, Customer, Effect, Field, Group, Micros, Settings};
use serde::Deserialize;

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Profile {
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    objective_mix: ObjectiveMix,
    #[serde(default)]
    models: Vec<String>,
    #[serde(default)]
    my_zone: u16,
    permissions: Permissions,
    #[serde(default)]
    prices: Prices,
    #[serde(default)]
    realms: Vec<Realm>,
    #[serde(default)]
    report: Report,
    rules: Rules,
    services: Vec<Service>,
    #[serde(default = "one_sibling")]
    siblings: u32,
    #[serde(default)]
    specifics: Specifics,
    #[serde(default)]
    worth_by: String,
    #[serde(default)]
    zones: Vec<String>,
}

/// The settings of a site with the names that its messages use.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// What a dispatcher is told.
    pub settings: Settings,
    /// The classes' names and the time their clients wait at most, in milliseconds, by number.
    pub classes: Vec<(String, f64)>,
    /// The customers' names, by number.
    pub customers: Vec<String>,
    /// The zones' names, by number.
    pub zones: Vec<String>,
    /// The machine kinds' names, by number.
    pub models: Vec<String>,
    /// The values of a load report, in order.
    pub report: Vec<String>,
    /// A connection that is not up within this many milliseconds has failed.
    pub connect_timeout_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
struct Permissions {
    cancel: bool,
    connect_timeout_ms: f64,
    keepalive_ms: f64,
    max_attempts: u64,
    max_retry_after_ms: f64,
    probes: bool,
    retry_after: bool,
    second_copies: bool,
}

impl Default for Permissions {
    fn default() -> Self {
        Permissions {
            cancel: false,
            connect_timeout_ms: 1_000.0,
            keepalive_ms: 0.0,
            max_attempts: 1,
            max_retry_after_ms: 0.0,
            probes: false,
            retry_after: false,
            second_copies: false,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct ObjectiveMix {
    borne_misses: f64,
    punctual: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Prices {
    cross_zone: f64,
    handshake: f64,
    origin: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Report {
    fields: Vec<String>,
    source: String,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Realm {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Rules {
    #[serde(default = "ask_within")]
    ask_within_ms: f64,
    cold_from: f64,
    fall_ms: f64,
    #[serde(default)]
    full_may_have_run: bool,
    #[serde(default)]
    order_pause_ms: f64,
    overload_factor: f64,
    #[serde(default = "drain_grace")]
    stop_sending_within_ms: f64,
    warm_after_ms: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
struct Service {
    #[serde(default)]
    aim_stretch: Option<f64>,
    #[serde(default = "one")]
    credit: f64,
    effect: String,
    goal_time_ms: f64,
    #[serde(default)]
    group: String,
    #[serde(default = "no_limit")]
    hard_limit_ms: f64,
    #[serde(default)]
    keep_order: bool,
    #[serde(default)]
    late_value: f64,
    #[serde(default)]
    models_only: Option<Vec<u16>>,
    #[serde(default)]
    name: String,
    #[serde(default)]
    zones_open: Option<Vec<u16>>,
    #[serde(default)]
    window_ms: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "PascalCase", default)]
struct Specifics {
    class_stretch: Vec<f64>,
    progress_ms: f64,
    report_x0: String,
    tells_start: bool,
}

/// Milliseconds to microseconds; what is negative or no number becomes 0.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round().max(0.0) as Micros
}

fn one() -> f64 {
    1.0
}

fn no_limit() -> f64 {
    60_000.0
}

fn one_sibling() -> u32 {
    1
}

fn ask_within() -> f64 {
    10_000.0
}

fn drain_grace() -> f64 {
    500.0
}

fn class(service: &Service, stretch: Option<f64>) -> Result<Class, String> {
    let group = match service.group.as_str() {
        "zone" => Group::Zone,
        "cell" => Group::Cell,
        _ => Group::All,
    };
    let effect = match service.effect.as_str() {
        "repeatable" => Effect::Repeatable,
        "by_key" => Effect::ByKey { group, window: micros(service.window_ms) },
        "once" => Effect::Once,
        other => return Err(format!("unknown Effect {other:?}")),
    };
    Ok(Class {
        effect,
        goal: micros(service.goal_time_ms),
        stretch: service.aim_stretch.or(stretch).unwrap_or(0.0),
        credit: service.credit,
        late_value: service.late_value,
        keep_order: service.keep_order,
        kinds: service.models_only.clone(),
        zones: service.zones_open.clone(),
    })
}

fn field(name: &str, x0: &str) -> Field {
    match name {
        "x0" if x0 == "free slots" => Field::FreeSlots,
        "depth" => Field::Queue,
        "concurrent" => Field::Jobs,
        _ => Field::Other,
    }
}

fn customer(realm: &Realm) -> Result<Customer, String> {
    let quota = realm.quota_per_s;
    let fits = quota.is_finite() && quota >= 0.0;
    let wrong = || format!("settings: QuotaPerS of {:?} is {quota}; 0 or more", realm.name);
    fits.then_some(Customer { quota }).ok_or_else(wrong)
}

/// The settings, or what is wrong with them.
pub fn parse(json: &[u8]) -> Result<Settings, String> {
    let profile = serde_json::from_slice(json).map_err(|e| format!("settings: {e}"))?;
    Ok(site(profile)?.settings)
}

/// The settings and names of a site from JSON that has been read, or what is wrong with them.
pub fn read(json: &serde_json::Value) -> Result<Site, String> {
    site(Profile::deserialize(json).map_err(|e| format!("settings: {e}"))?)
}

fn site(p: Profile) -> Result<Site, String> {
    let stretch = |i: usize| p.specifics.class_stretch.get(i).copied();
    let classes = p.services.iter().enumerate().map(|(i, s)| class(s, stretch(i)));
    let sourced = p.report.source != "off";
    let fields = p.report.fields.iter().filter(|_| sourced).map(|n| field(n, &p.specifics.report_x0));
    let settings = Settings {
        classes: classes.collect::<Result<_, _>>().map_err(|e| format!("settings: {e}"))?,
        customers: p.realms.iter().map(customer).collect::<Result<_, _>>()?,
        worth_by_work: p.worth_by == "work",
        siblings: p.siblings,
        must_ask: p.discovery == "ask",
        ask_within: micros(p.rules.ask_within_ms),
        drain_grace: micros(p.rules.stop_sending_within_ms),
        fields: fields.collect(),
        by_probes: p.report.source == "on_probe",
        zone: p.my_zone,
        cross_zone_price: p.prices.cross_zone,
        connect_price: p.prices.handshake,
        keepalive: micros(p.permissions.keepalive_ms),
        progress: micros(p.specifics.progress_ms),
        tells_start: p.specifics.tells_start,
        probes: p.permissions.probes,
        cancel: p.permissions.cancel,
        second_copies: p.permissions.second_copies,
        retry_after: p.permissions.retry_after,
        max_retry_after: micros(p.permissions.max_retry_after_ms),
        max_attempts: p.permissions.max_attempts.min(255) as u8,
        cold_from: p.rules.cold_from,
        warm_after: micros(p.rules.warm_after_ms),
        overload_factor: p.rules.overload_factor,
        fall: micros(p.rules.fall_ms),
        full_may_have_run: p.rules.full_may_have_run,
        order_pause: micros(p.rules.order_pause_ms),
        fetch_price: p.prices.origin,
        punctual: p.objective_mix.punctual,
        borne_misses: p.objective_mix.borne_misses,
    };
    Ok(Site {
        settings,
        classes: p.services.into_iter().map(|s| (s.name, s.hard_limit_ms)).collect(),
        customers: p.realms.into_iter().map(|r| r.name).collect(),
        zones: p.zones,
        models: p.models,
        report: if sourced { p.report.fields } else { Vec::new() },
        connect_timeout_ms: p.permissions.connect_timeout_ms,
    })
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_profile_is_read_and_what_is_absent_has_its_default() {
        let json = br#"{"Discovery": "ask", "Siblings": 2, "WorthBy": "work", "More": {"Unknown": 1},
            "Permissions": {"Cancel": true, "MaxAttempts": 6},
            "Realms": [{"Name": "a", "QuotaPerS": 4.5}],
            "Report": {"Fields": ["tps", "x0", "depth", "concurrent"], "Source": "inline"},
            "Rules": {"ColdFrom": 0.12, "FallMs": 1500, "OverloadFactor": 3, "WarmAfterMs": 24000},
            "Services": [{"Effect": "by_key", "GoalTimeMs": 600, "Group": "cell", "WindowMs": 25000},
                {"Effect": "once", "GoalTimeMs": 100, "AimStretch": 9}],
            "Specifics": {"ClassStretch": [2, 2.5], "ReportX0": "free slots", "TellsStart": true}}"#;
        let s = parse(json).unwrap();
        assert!(s.must_ask && s.worth_by_work && s.tells_start && s.cancel && !s.probes);
        assert_eq!(s.customers, vec![Customer { quota: 4.5 }]);
        assert_eq!(s.fields, vec![Field::Other, Field::FreeSlots, Field::Queue, Field::Jobs]);
        assert_eq!((s.siblings, s.max_attempts, s.ask_within), (2, 6, 10_000_000));
        assert_eq!(s.drain_grace, 500_000);
        let keyed = Effect::ByKey { group: Group::Cell, window: 25_000_000 };
        assert_eq!((s.classes[0].effect, s.classes[0].stretch), (keyed, 2.0));
        assert_eq!((s.classes[1].effect, s.classes[1].stretch), (Effect::Once, 9.0));
    }

    #[test]
    fn further_rules_hold_where_they_are_stated_and_nowhere_else() {
        let json = br#"{"Permissions": {}, "ObjectiveMix": {"Punctual": 0.4, "BorneMisses": 0.01},
            "Prices": {"Origin": 0.05},
            "Rules": {"ColdFrom": 1, "FallMs": 1, "OverloadFactor": 3, "WarmAfterMs": 1,
                "FullMayHaveRun": true, "OrderPauseMs": 250},
            "Services": [{"Effect": "once", "GoalTimeMs": 1, "KeepOrder": true, "ModelsOnly": [2, 0]},
                {"Effect": "once", "GoalTimeMs": 1, "ZonesOpen": [], "ModelsOnly": null}]}"#;
        let s = parse(json).unwrap();
        assert!(s.full_may_have_run && s.may_have_run(postusher::Ending::Full));
        assert_eq!((s.order_pause, s.punctual, s.fetch_price), (250_000, 0.4, 0.05));
        assert_eq!(s.borne_misses, 0.01);
        let [bound, shut] = &s.classes[..] else { panic!("two classes") };
        assert_eq!((bound.keep_order, &bound.kinds, &bound.zones), (true, &Some(vec![2, 0]), &None));
        assert_eq!((shut.keep_order, &shut.kinds, &shut.zones), (false, &None, &Some(vec![])));
        let plain = br#"{"Permissions": {}, "Services": [{"Effect": "once", "GoalTimeMs": 1}],
            "Rules": {"ColdFrom": 1, "FallMs": 1, "OverloadFactor": 3, "WarmAfterMs": 1}}"#;
        let s = parse(plain).unwrap();
        assert!(!s.may_have_run(postusher::Ending::Full) && s.order_pause == 0 && s.punctual == 0.0);
        assert!(!s.classes[0].keep_order && s.classes[0].kinds.is_none() && s.classes[0].zones.is_none());
        let odd = br#"{"Permissions": {}, "Services": [{"Effect": "once", "GoalTimeMs": 1, "ZonesOpen": 7}],
            "Rules": {"ColdFrom": 1, "FallMs": 1, "OverloadFactor": 3, "WarmAfterMs": 1}}"#;
        assert!(parse(odd).unwrap_err().starts_with("settings: "), "a bound that cannot be read is no bound");
    }

    #[test]
    fn a_site_has_the_names_that_messages_use() {
        let json = serde_json::json!({"Zones": ["lowell"], "Models": ["fast-5", "slow-5"],
            "Permissions": {"ConnectTimeoutMs": 70}, "Report": {"Fields": ["tps", "x0"], "Source": "inline"},
            "Rules": {"ColdFrom": 1, "FallMs": 1, "OverloadFactor": 3, "WarmAfterMs": 1},
            "Realms": [{"Name": "acme", "QuotaPerS": 4.5, "Share": 0.4}],
            "Services": [{"Effect": "once", "GoalTimeMs": 1, "Name": "quote", "HardLimitMs": 5000}]});
        let site = read(&json).unwrap();
        assert_eq!(site.classes, vec![("quote".to_string(), 5_000.0)]);
        assert_eq!((site.zones.len(), site.models.len(), site.connect_timeout_ms), (1, 2, 70.0));
        assert_eq!(site.report, vec!["tps", "x0"]);
        assert_eq!(site.customers, vec!["acme"]);
        assert!(read(&serde_json::json!([])).unwrap_err().starts_with("settings: "));
    }

    #[test]
    fn what_cannot_be_read_is_named() {
        assert!(parse(b"{").unwrap_err().starts_with("settings: "));
        let odd = br#"{"Permissions": {}, "Services": [{"Effect": "twice", "GoalTimeMs": 1}],
            "Rules": {"ColdFrom": 1, "FallMs": 1, "OverloadFactor": 3, "WarmAfterMs": 1}}"#;
        assert!(parse(odd).unwrap_err().contains("twice"));
        let odd = br#"{"Permissions": {}, "Services": [], "Realms": [{"Name": "acme", "QuotaPerS": -1}],
            "Rules": {"ColdFrom": 1, "FallMs": 1, "OverloadFactor": 3, "WarmAfterMs": 1}}"#;
        assert!(parse(odd).unwrap_err().contains("QuotaPerS of \"acme\" is -1"));
    }
}
