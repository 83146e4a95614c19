//! Translates balancers (workers of type `lb`).

use super::{
    first_letter, label, parse_bool, shared, split_list, Translator, WorkerProperties, MAX_ATTEMPTS,
};
use crate::account::Outcome;
use postusher_setup::{Pool, Sticky};
use std::collections::BTreeSet;

/// The properties of a balancer, with the defaults of mod_jk.
struct Balancer {
    is_sticky: bool,
    strict: bool,
    cookie: String,
    path: String,
    members: Vec<String>,
}

impl Default for Balancer {
    fn default() -> Self {
        Balancer {
            is_sticky: true,
            strict: false,
            cookie: "JSESSIONID".into(),
            path: "jsessionid".into(),
            members: Vec::new(),
        }
    }
}

impl Translator<'_> {
    /// Applies the properties of a balancer to its pool and adds the members as workers.
    pub(super) fn translate_balancer(&mut self, properties: &WorkerProperties, pool: &mut Pool) {
        let mut balancer = Balancer::default();
        for (property, values) in &properties.0 {
            for value in values {
                let outcome = apply(&mut balancer, pool, property, &value.text);
                self.report.add(&value.position, format!("{property}={}", value.text), outcome);
            }
        }
        if balancer.is_sticky {
            pool.sticky = Some(Sticky {
                cookie: Some(balancer.cookie),
                path: Some(balancer.path),
                strict: balancer.strict,
            });
        }
        let mut added = BTreeSet::new();
        for name in balancer.members {
            if added.insert(name.clone()) {
                // In mod_jk the name of a member is its default route.
                let worker = self.translate_worker(&name, Some(label(&name)), pool);
                pool.workers.extend(worker);
            }
        }
    }
}

/// Applies a property and returns its outcome.
fn apply(balancer: &mut Balancer, pool: &mut Pool, property: &str, value: &str) -> Outcome {
    match property {
        "type" => Outcome::carried("the type of the worker"),
        "reference" => Outcome::carried("the properties of the referenced worker apply"),
        "balance_workers" | "balanced_workers" => {
            balancer.members.extend(split_list(value));
            Outcome::carried("the workers of the pool")
        }
        "sticky_session" | "sticky_session_force" => match parse_bool(value) {
            Some(is_on) => {
                if property == "sticky_session" {
                    balancer.is_sticky = is_on;
                } else {
                    balancer.strict = is_on;
                }
                Outcome::carried("session affinity")
            }
            None => Outcome::invalid_value("write 1 or 0"),
        },
        "session_cookie" => {
            balancer.cookie = label(value);
            Outcome::carried("the session cookie")
        }
        "session_path" => {
            balancer.path = label(value.trim_start_matches(';').trim_end_matches('='));
            Outcome::carried("the session parameter")
        }
        "method" => match first_letter(value) {
            Some('R') => Outcome::carried("requests are distributed by weight"),
            Some('S' | 'T' | 'B' | 'N') => Outcome::approximated(
                "requests are distributed by weight; full or slow workers automatically receive fewer",
            ),
            _ => Outcome::invalid_value("write R, S, T, B or N"),
        },
        "lock" => Outcome::approximated("not needed: the scheduler is a single process"),
        "retries" | "lb_retries" => match value.parse::<u32>() {
            Ok(attempts) => {
                pool.max_attempts = attempts.clamp(1, MAX_ATTEMPTS);
                Outcome::carried("the maximum number of attempts for a request")
            }
            Err(_) => Outcome::invalid_value("write a whole number"),
        },
        "recover_time" | "error_escalation_time" | "max_reply_timeouts" | "retry_interval" => {
            Outcome::approximated(
                "when a failed worker is retried depends on its behavior, not on a fixed time",
            )
        }
        _ => shared::apply(pool, property, value),
    }
}
