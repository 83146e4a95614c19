//! Translates parameters of balancers.

use super::{label, Parameter, Translator};
use crate::account::Outcome;
use crate::apache::syntax::Word;
use crate::apache::units::parse_bool;
use postusher_setup::{Pool, Sticky};

/// The maximum number of attempts for a request in a setup.
const MAX_ATTEMPTS: u32 = 16;

impl Translator<'_> {
    /// Applies a parameter to the pool of a balancer.
    pub(super) fn pool_parameter(&mut self, balancer_index: usize, word: &Word) {
        let outcome = match Parameter::parse(word) {
            Ok(parameter) => apply(&mut self.balancers[balancer_index].pool, &parameter.key, parameter.value),
            Err(outcome) => outcome,
        };
        self.report.add(&word.position, word.text.as_str(), outcome);
    }
}

/// Applies a parameter, whose key is in lower case, and returns its outcome.
fn apply(pool: &mut Pool, key: &str, value: &str) -> Outcome {
    match key {
        "lbmethod" if value == "byrequests" => Outcome::carried("requests are distributed by weight"),
        "lbmethod" => Outcome::approximated(
            "requests are distributed by weight; full or slow workers automatically receive fewer",
        ),
        "stickysession" => {
            let (cookie, path) = value.split_once('|').unwrap_or((value, value));
            let sticky = pool.sticky.get_or_insert_with(Sticky::default);
            sticky.cookie = Some(label(cookie));
            sticky.path = Some(label(path));
            Outcome::carried("session affinity: requests with the route of a worker are sent to it")
        }
        "nofailover" => match parse_bool(value) {
            Some(strict) => {
                pool.sticky.get_or_insert_with(Sticky::default).strict = strict;
                Outcome::carried("whether requests are rejected if the worker of their session is unusable")
            }
            None => Outcome::invalid_value("write On or Off"),
        },
        "maxattempts" => match value.parse::<u32>() {
            Ok(retries) => {
                pool.max_attempts = retries.saturating_add(1).min(MAX_ATTEMPTS);
                Outcome::carried("the number of attempts is one more than the number of retries")
            }
            Err(_) => Outcome::invalid_value("write a whole number"),
        },
        "timeout" => Outcome::approximated(
            "requests do not wait for a free worker: without capacity they are rejected at once",
        ),
        "failonstatus" | "failontimeout" => {
            Outcome::approximated("server errors and timeouts always count as failures of the worker")
        }
        "growth" | "forcerecovery" => Outcome::approximated(
            "members are added in the setup file, and a failed worker is retried automatically",
        ),
        "stickysessionsep" if value == "." => Outcome::carried("the route follows the last dot"),
        "nonce" | "scolonpathdelim" => Outcome::approximated(
            "there is no balancer manager; path parameters after a semicolon are always read",
        ),
        _ => Outcome::not_carried("unsupported parameter", "see docs/IMPORT.md"),
    }
}
