//! Translates parameters of balancer members and of single workers.

use super::{label, Parameter, Translator};
use crate::account::Outcome;
use crate::apache::syntax::Word;
use crate::apache::units::parse_duration;
use crate::text::set_longest_timeout;
use postusher_setup::{Pool, Role, State, Worker};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;

/// The valid weights in a setup.
const WEIGHTS: RangeInclusive<f64> = 0.01..=1000.0;
/// The highest set number in Apache.
const MAX_SET: u32 = 99;

impl Translator<'_> {
    /// Applies a parameter to a worker of a balancer, or to the whole pool if a setup has it only for pools.
    pub(super) fn worker_parameter(&mut self, balancer_index: usize, worker_index: usize, word: &Word) {
        let pool = &mut self.balancers[balancer_index].pool;
        let outcome = match Parameter::parse(word) {
            Ok(parameter) => {
                let Some(worker) = pool.workers.get_mut(worker_index) else { return };
                match apply_to_worker(worker, &parameter.key, parameter.value) {
                    Some(outcome) => outcome,
                    None => apply_to_pool(pool, &parameter.key, parameter.value),
                }
            }
            Err(outcome) => outcome,
        };
        self.report.add(&word.position, word.text.as_str(), outcome);
    }
}

/// Applies a parameter that a setup has for single workers and returns its outcome; `None` for other
/// parameters.
fn apply_to_worker(worker: &mut Worker, key: &str, value: &str) -> Option<Outcome> {
    let outcome = match key {
        "loadfactor" => match value.parse() {
            Ok(weight) if WEIGHTS.contains(&weight) => {
                worker.weight = weight;
                Outcome::carried("the weight of the worker")
            }
            _ => Outcome::invalid_value("write a number from 1 to 100"),
        },
        "route" => {
            worker.route = Some(label(value));
            Outcome::carried("the route of the worker")
        }
        "redirect" => {
            worker.redirect = Some(label(value));
            Outcome::carried("the route of the worker that receives its sessions while it is unusable")
        }
        "lbset" => match value.parse() {
            Ok(set) if set <= MAX_SET => {
                worker.set = set;
                Outcome::carried("the set of the worker")
            }
            _ => Outcome::invalid_value("write a whole number from 0 to 99"),
        },
        "max" => match value.parse() {
            Ok(limit) if limit > 0 => {
                worker.max_in_flight = Some(limit);
                Outcome::approximated(
                    "the maximum number of concurrent requests; Apache counts them by child process",
                )
            }
            _ => Outcome::invalid_value("write a whole number above 0"),
        },
        "status" => apply_status(worker, value),
        _ => return None,
    };
    Some(outcome)
}

/// Applies a parameter that a setup has only for the whole pool, or does not have, and returns its outcome.
fn apply_to_pool(pool: &mut Pool, key: &str, value: &str) -> Outcome {
    match key {
        "timeout" => match parse_duration(value) {
            Some(millis) if millis > 0.0 => {
                set_longest_timeout(&mut pool.timeout, Pool::default().timeout, millis);
                Outcome::approximated("the longest timeout applies to the whole pool")
            }
            _ => Outcome::invalid_value("write a number of seconds"),
        },
        "connectiontimeout" => match parse_duration(value) {
            Some(millis) if millis > 0.0 => {
                set_longest_timeout(&mut pool.connect_timeout, Pool::default().connect_timeout, millis);
                Outcome::approximated("the longest timeout applies to the whole pool")
            }
            _ => Outcome::invalid_value("write a number of seconds, or of milliseconds such as 500ms"),
        },
        "retry" => Outcome::approximated(
            "when a failed worker is retried depends on its behavior, not on a fixed time",
        ),
        "ping" | "ttl" | "keepalive" | "smax" | "min" | "acquire" | "disablereuse" | "enablereuse"
        | "flushpackets" | "flushwait" | "iobuffersize" | "receivebuffersize" | "responsefieldsize"
        | "upgrade" | "addressttl" => {
            Outcome::approximated("connections to workers are managed automatically")
        }
        "secret" => Outcome::not_carried(
            "it is a secret of AJP, which is not supported",
            "protect the worker's HTTP port in another way",
        ),
        "hcmethod" | "hcpasses" | "hcfails" | "hcinterval" | "hcuri" | "hcexpr" | "hctemplate" => {
            Outcome::approximated("there are no health checks: a worker is judged by its responses")
        }
        _ => Outcome::not_carried("unsupported parameter", "see docs/IMPORT.md"),
    }
}

/// Applies a `status` such as `+D-H`: a sequence of letters, each of which is set, or cleared if the last
/// sign before it is `-`.
fn apply_status(worker: &mut Worker, value: &str) -> Outcome {
    let mut is_on = true;
    // The notes in alphabetical order, each with a flag that tells whether the setup has an exact equivalent.
    let mut notes = BTreeMap::new();
    for letter in value.chars() {
        match letter.to_ascii_uppercase() {
            '+' => is_on = true,
            '-' => is_on = false,
            'D' | 'N' => {
                worker.state = if is_on { State::Draining } else { State::Live };
                notes.insert("draining: the worker receives only requests of its sessions", true);
            }
            'S' => {
                worker.state = if is_on { State::Stopped } else { State::Live };
                notes.insert("stopped: the worker receives no requests", true);
            }
            'H' => {
                worker.role = if is_on { Role::Standby } else { Role::Active };
                notes.insert(
                    "standby: the worker receives requests while no active worker of its set is usable",
                    true,
                );
            }
            'R' => {
                worker.role = if is_on { Role::Spare } else { Role::Active };
                notes.insert("spare: the worker replaces an unusable active worker of its set", true);
            }
            'I' => {
                let note = "errors are not ignored: a failing worker receives fewer requests, \
                    but is never excluded permanently";
                notes.insert(note, false);
            }
            'E' => {
                let note = "no worker starts in the error state; its health is determined from its responses";
                notes.insert(note, false);
            }
            _ => {
                let reason = format!("{letter:?} is not a status letter");
                return Outcome::not_carried(reason, "use the letters D, S, I, H, E, N, R");
            }
        }
    }
    let is_exact = notes.values().all(|is_exact| *is_exact);
    let note = notes.into_keys().collect::<Vec<_>>().join("; ");
    if is_exact {
        Outcome::carried(note)
    } else {
        Outcome::approximated(note)
    }
}
