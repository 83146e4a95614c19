//! Translates AJP workers.

use super::{first_letter, label, parse_bool, shared, Translator};
use crate::account::{Outcome, Position};
use crate::ajp::AJP_BY_HAND;
use postusher_setup::{Pool, State, Worker};
use std::ops::RangeInclusive;

/// The valid weights in a setup.
const WEIGHTS: RangeInclusive<f64> = 0.01..=1000.0;
/// The highest set number in a setup.
const MAX_SET: u32 = 255;

impl Translator<'_> {
    /// Translates an AJP worker, with `route` as its default route; properties that a setup has only for
    /// pools are applied to `pool`. If the worker cannot be carried, adds the reason to the report and
    /// returns `None`.
    pub(super) fn translate_worker(
        &mut self,
        name: &str,
        route: Option<String>,
        pool: &mut Pool,
    ) -> Option<Worker> {
        let properties = self.properties_of(name);
        let Some(first_position) = properties.0.values().flatten().map(|value| &value.position).min() else {
            let outcome = Outcome::not_carried("the worker is not defined", "define it");
            // An undefined worker has no position in the file.
            self.report.add(&Position::start_of("-"), name, outcome);
            return None;
        };
        let host = properties.last("host").unwrap_or("localhost");
        let port = properties.last("port").unwrap_or("8009");
        let Ok(port) = port.parse::<u16>() else {
            let outcome = Outcome::not_carried("it is not a port", "write a port number");
            self.report.add(first_position, format!("port={port}"), outcome);
            return None;
        };
        let directive = format!("worker {name} at {host}:{port}");
        let Some(addr) = self.ajp.http_address(host, port) else {
            self.report.add(
                first_position,
                directive,
                Outcome::not_carried("AJP is not supported", AJP_BY_HAND),
            );
            return None;
        };
        let note = format!("AJP is not supported; requests are sent over HTTP to {addr}, as configured");
        self.report.add(first_position, directive, Outcome::approximated(note));
        let mut worker = Worker { id: label(name), addr, route, ..Worker::default() };
        for (property, values) in &properties.0 {
            // The entry for the worker includes its host and port.
            if matches!(property.as_str(), "host" | "port") {
                continue;
            }
            for value in values {
                let outcome = apply(&mut worker, pool, property, &value.text);
                self.report.add(&value.position, format!("{property}={}", value.text), outcome);
            }
        }
        Some(worker)
    }
}

/// Applies a property and returns its outcome.
fn apply(worker: &mut Worker, pool: &mut Pool, property: &str, value: &str) -> Outcome {
    match property {
        "type" => Outcome::carried("the type of the worker"),
        "reference" => Outcome::carried("the properties of the referenced worker apply"),
        "lbfactor" => match value.parse() {
            Ok(weight) if WEIGHTS.contains(&weight) => {
                worker.weight = weight;
                Outcome::carried("the weight of the worker")
            }
            _ => Outcome::invalid_value("write a number from 1 to 1000"),
        },
        "activation" => match first_letter(value) {
            Some('A') => set_state(worker, State::Live),
            Some('D') => set_state(worker, State::Draining),
            Some('S') => set_state(worker, State::Stopped),
            _ => Outcome::invalid_value("write A, D or S"),
        },
        "disabled" | "stopped" => match parse_bool(value) {
            Some(true) if property == "disabled" && worker.state != State::Stopped => {
                set_state(worker, State::Draining)
            }
            Some(true) => set_state(worker, State::Stopped),
            Some(false) => Outcome::carried("live: the worker receives requests"),
            None => Outcome::invalid_value("write 1 or 0"),
        },
        "route" | "jvm_route" => {
            worker.route = Some(label(value));
            Outcome::carried("the route of the worker")
        }
        "redirect" => {
            worker.redirect = Some(label(value));
            Outcome::carried("the route of the worker that receives its sessions while it is unusable")
        }
        "distance" => match value.parse() {
            Ok(set) if set <= MAX_SET => {
                worker.set = set;
                Outcome::carried("the set of the worker: workers at a shorter distance are preferred")
            }
            _ => Outcome::invalid_value("write a whole number from 0 to 255"),
        },
        "domain" => Outcome::not_carried(
            "sessions do not stay within a domain when their worker is unusable",
            "set a redirect on each worker of the domain",
        ),
        "busy_limit" | "max_busy" => match value.parse() {
            Ok(limit) if limit > 0 => {
                worker.max_in_flight = Some(limit);
                Outcome::carried("the maximum number of concurrent requests")
            }
            _ => Outcome::approximated("the number of concurrent requests is not limited"),
        },
        "retries" => Outcome::approximated("attempts are limited for the pool, not for each worker"),
        _ => shared::apply(pool, property, value),
    }
}

/// Sets the administrative state of a worker and returns the outcome.
fn set_state(worker: &mut Worker, state: State) -> Outcome {
    worker.state = state;
    Outcome::carried(match state {
        State::Live => "live: the worker receives requests",
        State::Draining => "draining: the worker receives only requests of its sessions",
        State::Stopped => "stopped: the worker receives no requests",
    })
}
