//! Translates the rules of a URI map to routes.

use super::{label, ListedWorker, Translator};
use crate::account::Outcome;
use crate::mod_jk::syntax::Rule;
use postusher_setup::{Pool, Route};

/// The worker name in rules that apply to all workers.
const ALL_WORKERS: &str = "*";

/// A path of a rule.
struct RulePath {
    path: String,
    /// Whether the rule also matches paths below this one.
    is_prefix: bool,
}

impl Translator<'_> {
    /// Adds the routes of all rules to the pools of their workers.
    pub(super) fn add_rules(&mut self, rules: &[Rule], pools: &mut [Pool], list: &[ListedWorker]) {
        for rule in rules {
            self.add_rule(rule, pools, list);
        }
    }

    fn add_rule(&mut self, rule: &Rule, pools: &mut [Pool], list: &[ListedWorker]) {
        if rule.is_disabled {
            let outcome = Outcome::carried("the rule is disabled, so the setup needs no route for it");
            self.report.add(&rule.position, rule.text.as_str(), outcome);
            return;
        }
        for extension in &rule.extensions {
            let reason = "rule extensions are not supported";
            let outcome = Outcome::not_carried(reason, "use a similar attribute of the pool if there is one");
            self.report.add(&rule.position, extension.as_str(), outcome);
        }
        let is_listed = list.iter().any(|listed| listed.name == rule.worker);
        if rule.worker != ALL_WORKERS && !is_listed {
            let outcome = Outcome::not_carried("the worker is not in worker.list", "add it to worker.list");
            self.report.add(&rule.position, rule.text.as_str(), outcome);
            return;
        }
        let paths = self.rule_paths(rule);
        if paths.is_empty() {
            return;
        }
        let name = label(&rule.worker);
        for pool in pools {
            if rule.worker == ALL_WORKERS || pool.name == name {
                add_routes(pool, rule, &paths);
            }
        }
        let outcome = if paths.iter().any(|path| path.is_prefix) {
            Outcome::carried("a route of the pool")
        } else {
            Outcome::approximated("the route also matches paths below this one")
        };
        self.report.add(&rule.position, rule.text.as_str(), outcome);
    }

    /// Returns the paths of a rule and adds the patterns that cannot be translated to the report.
    fn rule_paths(&mut self, rule: &Rule) -> Vec<RulePath> {
        let mut paths = Vec::new();
        for pattern in &rule.patterns {
            match rule_path(pattern) {
                Some(path) => paths.push(path),
                None => {
                    let reason = format!("{pattern}: patterns within a path are not supported");
                    let by_hand = "list the paths individually, as <route path=\"...\"/>";
                    let outcome = Outcome::not_carried(reason, by_hand);
                    self.report.add(&rule.position, rule.text.as_str(), outcome);
                }
            }
        }
        paths
    }

    /// Removes pools without a rule, as mod_jk sends them no requests; a pool without routes would serve all
    /// requests.
    pub(super) fn remove_unmapped(&mut self, pools: &mut Vec<Pool>, list: &[ListedWorker]) {
        let is_mapped = |pool: &Pool| pool.routes.iter().any(|route| !route.except);
        for pool in pools.iter().filter(|pool| !is_mapped(pool)) {
            if let Some(listed) = list.iter().find(|listed| listed.name == pool.name) {
                let outcome = Outcome::not_carried(
                    "no rule of the URI map refers to it",
                    "add a rule, or remove the worker",
                );
                self.report.add(&listed.position, pool.name.as_str(), outcome);
            }
        }
        pools.retain(is_mapped);
    }
}

/// Translates a pattern to a path. Returns `None` if it has wildcards other than `/*` at its end, or is not a
/// path.
fn rule_path(pattern: &str) -> Option<RulePath> {
    let (path, is_prefix) = match pattern.strip_suffix("/*") {
        Some(path) => (path, true),
        None => (pattern, false),
    };
    let path = if path.is_empty() { "/" } else { path };
    let is_allowed = |byte: u8| byte.is_ascii_graphic() && !matches!(byte, b'*' | b'?' | b'#');
    if !path.starts_with('/') || !path.bytes().all(is_allowed) {
        return None;
    }
    Some(RulePath { path: path.to_string(), is_prefix })
}

fn add_routes(pool: &mut Pool, rule: &Rule, paths: &[RulePath]) {
    for path in paths {
        let route = Route { host: None, path: Some(path.path.clone()), to: None, except: rule.except };
        if !pool.routes.contains(&route) {
            pool.routes.push(route);
        }
    }
}
