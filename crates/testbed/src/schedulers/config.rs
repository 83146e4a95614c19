//! The files of a scheduler: its configuration, and the membership element of its setup.

use super::Addresses;
use crate::relay::Relay;
use crate::scenario::{Class, Effect, Members, Scenario, OVERLOAD_FACTOR, OVERLOAD_WINDOW_MS};
use serde_json::{json, Value};
use std::net::SocketAddr;

/// Number of seeds of each member: addresses of members through which it joins the group.
const SEED_COUNT: usize = 3;
/// Seed of the random numbers of scheduler 0; each further scheduler has the next number.
const FIRST_RANDOM_SEED: usize = 7;

/// The values in the configuration of a scheduler that are not from the scenario.
pub(super) struct SchedulerParameters<'a> {
    pub number: usize,
    pub addresses: Addresses,
    pub discovery: SocketAddr,
    pub known_endpoints: &'a Value,
}

/// Returns the configuration of a scheduler process.
pub(super) fn config(scenario: &Scenario, parameters: &SchedulerParameters) -> Value {
    json!({
        "name": format!("lab-{}", parameters.number),
        "listen": parameters.addresses.listen.to_string(),
        "mgmt": parameters.addresses.admin.to_string(),
        "discovery": parameters.discovery.to_string(),
        "seed": format!("{:x}", FIRST_RANDOM_SEED + parameters.number),
        "limits": {"cores": 1.0, "memory_mb": scenario.memory_mib, "sockets": scenario.sockets},
        "known": parameters.known_endpoints,
        "settings": settings(scenario),
    })
}

fn settings(scenario: &Scenario) -> Value {
    let services: Vec<Value> = scenario.class.iter().map(service).collect();
    json!({
        "Discovery": "ask",
        "Siblings": scenario.schedulers,
        "Zones": ["a"],
        "Models": ["k"],
        "Permissions": {
            "Cancel": true,
            "ConnectTimeoutMs": scenario.connect_timeout_ms,
            "KeepaliveMs": 10_000,
            "MaxAttempts": 5,
            "MaxRetryAfterMs": 60_000,
            "RetryAfter": true,
            "SecondCopies": scenario.second_copies,
            "Probes": true,
        },
        "Report": {"Fields": ["inflight", "x0"], "Source": "inline"},
        "Rules": {
            "ColdFrom": scenario.fleet.slow_start_capacity,
            "FallMs": OVERLOAD_WINDOW_MS,
            "OverloadFactor": OVERLOAD_FACTOR,
            "WarmAfterMs": scenario.fleet.slow_start_ms,
        },
        "Services": services,
        "Specifics": {"ReportX0": "free slots", "TellsStart": true, "ProgressMs": 1_000},
    })
}

fn service(class: &Class) -> Value {
    let (effect, group) = match class.effect {
        Effect::Repeatable => ("repeatable", ""),
        Effect::ByKey => ("by_key", "cell"),
        Effect::Once => ("once", ""),
    };
    json!({
        "Name": class.name,
        "Effect": effect,
        "Group": group,
        "WindowMs": class.deduplication_window_ms,
        "GoalTimeMs": class.latency_objective_ms,
        "HardLimitMs": class.client_timeout_ms,
        "LateValue": 0.3,
        "Credit": 1.0,
    })
}

/// Returns the name of a scheduler as a member of a group.
pub(super) fn member_name(number: usize) -> String {
    format!("s{number}")
}

/// Returns the `<members>` element of a scheduler's setup.
pub(super) fn members_element(number: usize, members: &Members, relay: &Relay) -> String {
    let name = member_name(number);
    let zone = number % members.zones.max(1);
    let listen = relay.scheduler_addrs[number];
    let advertise = relay.relay_addrs[number];
    let Members { probe_ms, suspicion_ms, .. } = members;
    let mut element = format!(
        "<members name=\"{name}\" zone=\"z{zone}\" listen=\"{listen}\" advertise=\"{advertise}\" \
         probe=\"{probe_ms}ms\" suspicion=\"{suspicion_ms}ms\" removal=\"{probe_ms}ms\">"
    );
    for seed in relay.relay_addrs.iter().take(SEED_COUNT) {
        element += &format!("<seed addr=\"{seed}\"/>");
    }
    element + "</members>"
}
