//! Translates the listed workers of mod_jk to pools.

mod balancer;
mod rules;
mod shared;
mod worker;

use super::syntax::{Property, Rule};
use crate::account::{ImportReport, Outcome, Position};
use crate::ajp::AjpMapping;
use crate::text;
use crate::Imported;
use postusher_setup::Pool;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// The maximum number of workers in a chain of references.
const MAX_REFERENCE_CHAIN: usize = 16;
/// The maximum number of attempts for a request in a setup.
const MAX_ATTEMPTS: u32 = 16;

/// A value of a property, with its position.
#[derive(Clone)]
struct Value {
    text: String,
    position: Position,
}

/// The properties of a worker, by name; a property may have several values.
#[derive(Clone, Default)]
struct WorkerProperties(BTreeMap<String, Vec<Value>>);

impl WorkerProperties {
    /// Returns the last value of a property, which overrides the others.
    fn last(&self, property: &str) -> Option<&str> {
        let value = self.0.get(property)?.last()?;
        Some(&value.text)
    }
}

/// A worker in `worker.list`.
struct ListedWorker {
    name: String,
    position: Position,
}

struct Translator<'a> {
    ajp: &'a AjpMapping,
    report: ImportReport,
    /// The properties of all workers, by worker name.
    workers: HashMap<String, WorkerProperties>,
    /// The workers in `worker.list`, in its order.
    list: Vec<ListedWorker>,
}

/// Translates a worker file; `rules` are the rules of the URI map, if there is one.
pub(super) fn translate(properties: Vec<Property>, rules: Option<Vec<Rule>>, ajp: &AjpMapping) -> Imported {
    let mut translator =
        Translator { ajp, report: ImportReport::default(), workers: HashMap::new(), list: Vec::new() };
    for property in properties {
        translator.add_property(property);
    }
    let list = std::mem::take(&mut translator.list);
    let mut pools = Vec::new();
    for listed in &list {
        pools.extend(translator.try_translate_pool(listed));
    }
    if let Some(rules) = rules {
        translator.add_rules(&rules, &mut pools, &list);
        translator.remove_unmapped(&mut pools, &list);
    }
    Imported { pools, report: translator.report }
}

/// Parses a boolean in any form that mod_jk accepts; returns `None` for other texts.
fn parse_bool(text: &str) -> Option<bool> {
    match text.to_ascii_lowercase().as_str() {
        "1" | "true" | "t" | "yes" | "y" | "on" => Some(true),
        "0" | "false" | "f" | "no" | "n" | "off" => Some(false),
        _ => None,
    }
}

/// Splits a list of names, which are separated by commas or white space.
fn split_list(text: &str) -> Vec<String> {
    let names = text.split([',', ' ', '\t']).map(str::trim);
    names.filter(|name| !name.is_empty()).map(String::from).collect()
}

/// Returns the first character of a value, in upper case, by which the keywords of mod_jk are distinguished.
fn first_letter(value: &str) -> Option<char> {
    let first = value.chars().next()?;
    Some(first.to_ascii_uppercase())
}

/// Converts a text to a name that is valid in a setup and not empty; `worker` for an empty text.
fn label(text: &str) -> String {
    let name = text::label(text);
    if name.is_empty() {
        return "worker".into();
    }
    name
}

impl Translator<'_> {
    /// Adds a property to its worker, or translates it if it does not belong to a worker.
    fn add_property(&mut self, property: Property) {
        let Property { key, value, position } = property;
        let directive = format!("{key}={value}");
        if key == "worker.list" {
            self.add_to_list(&value, &position);
            self.report.add(&position, directive, Outcome::carried("each listed worker becomes a pool"));
            return;
        }
        if key == "worker.maintain" {
            let outcome = Outcome::approximated("workers are maintained automatically");
            self.report.add(&position, directive, outcome);
            return;
        }
        let worker_and_property = key.strip_prefix("worker.").and_then(|rest| rest.rsplit_once('.'));
        let Some((worker, property_name)) = worker_and_property else {
            // The definition of a variable. The parser has replaced the references $(...) to it.
            self.report.add(
                &position,
                directive,
                Outcome::carried("references to the variable are replaced by its value"),
            );
            return;
        };
        if value.contains("$(") {
            let reason = "it refers to a variable that is not defined before it";
            let outcome = Outcome::not_carried(reason, "write the value, then import again");
            self.report.add(&position, directive, outcome);
        }
        let properties = self.workers.entry(worker.to_string()).or_default();
        let values = properties.0.entry(property_name.to_ascii_lowercase()).or_default();
        // Lists of workers are concatenated; for other properties the last value overrides the others.
        if !matches!(property_name, "balance_workers" | "balanced_workers") {
            values.clear();
        }
        values.push(Value { text: value, position });
    }

    /// Adds the names in a value of `worker.list` that are not in the list yet.
    fn add_to_list(&mut self, value: &str, position: &Position) {
        for name in split_list(value) {
            if self.list.iter().all(|listed| listed.name != name) {
                self.list.push(ListedWorker { name, position: position.clone() });
            }
        }
    }

    /// Returns all properties of a worker: its own, and those of the workers in its chain of references, of
    /// which the nearer ones take precedence.
    fn properties_of(&self, name: &str) -> WorkerProperties {
        let mut merged = WorkerProperties::default();
        let mut visited = BTreeSet::new();
        let mut next = Some(name.to_string());
        for _ in 0..MAX_REFERENCE_CHAIN {
            let Some(name) = next else { break };
            let properties = self.workers.get(&name).cloned().unwrap_or_default();
            if !visited.insert(name) {
                break;
            }
            next = properties
                .last("reference")
                .map(|reference| reference.strip_prefix("worker.").unwrap_or(reference).to_string());
            for (property, values) in properties.0 {
                merged.0.entry(property).or_insert(values);
            }
        }
        merged
    }

    /// Translates a listed worker to a pool. If it cannot be carried, adds the reason to the report and
    /// returns `None`.
    fn try_translate_pool(&mut self, listed: &ListedWorker) -> Option<Pool> {
        match self.translate_pool(&listed.name) {
            Ok(pool) => Some(pool),
            Err(outcome) => {
                self.report.add(&listed.position, listed.name.as_str(), outcome);
                None
            }
        }
    }

    /// Translates a worker to a pool.
    ///
    /// # Errors
    /// The outcome of a worker that cannot be carried.
    fn translate_pool(&mut self, name: &str) -> Result<Pool, Outcome> {
        if !self.workers.contains_key(name) {
            let by_hand = "define it, or remove it from worker.list";
            return Err(Outcome::not_carried("the worker is not defined", by_hand));
        }
        let properties = self.properties_of(name);
        let worker_type = properties.last("type").unwrap_or("ajp13").to_ascii_lowercase();
        let mut pool = Pool { name: label(name), ..Pool::default() };
        match worker_type.as_str() {
            "lb" => self.translate_balancer(&properties, &mut pool),
            "ajp13" | "ajp14" => {
                let worker = self.translate_worker(name, None, &mut pool);
                pool.workers.extend(worker);
            }
            _ => {
                let reason = format!("workers of type {worker_type} are not supported");
                return Err(Outcome::not_carried(reason, "remove it from worker.list"));
            }
        }
        if pool.workers.is_empty() {
            let reason = "none of its workers can be carried";
            return Err(Outcome::not_carried(reason, "see the entries of its workers"));
        }
        Ok(pool)
    }
}
