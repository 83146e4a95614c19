//! Translates Apache balancers, and single workers that requests are proxied to, to pools.

mod directives;
mod members;
mod pool_parameters;
mod routes;
mod worker_parameters;

use super::expand::ExpandedConfig;
use super::syntax::{Item, Line, Word};
use crate::account::{ImportReport, Outcome, Position};
use crate::ajp::AjpMapping;
use crate::text;
use crate::Imported;
use postusher_setup::{Pool, Route};

/// The sections that enclose a directive.
#[derive(Clone, Default)]
struct Scope {
    /// The host names of the `<VirtualHost>`.
    hosts: Vec<String>,
    /// The path of the `<Location>`.
    location: Option<String>,
    /// The URL of the `<Proxy>`.
    proxy: Option<String>,
}

/// A balancer, or a single worker that requests are proxied to. Directives anywhere in the configuration may
/// refer to it.
struct Balancer {
    /// The URL that identifies the balancer or worker in the configuration.
    key: String,
    pool: Pool,
    /// The paths in the URLs of the members. All members of a balancer must have the same path.
    paths: Vec<String>,
    /// Whether this is a single worker instead of a balancer.
    is_single_worker: bool,
}

/// A path that is proxied to workers.
struct ProxiedPath {
    /// The host; `None` matches any host.
    host: Option<String>,
    path: String,
}

struct Translator<'a> {
    ajp: &'a AjpMapping,
    report: ImportReport,
    /// The balancers, in the order in which directives first refer to them.
    balancers: Vec<Balancer>,
    /// The paths that have been proxied so far. A later path below one of them never matches.
    proxied_paths: Vec<ProxiedPath>,
    /// The exceptions, which apply to all pools.
    exceptions: Vec<Route>,
}

/// Translates a configuration.
pub(super) fn translate(expanded: ExpandedConfig, ajp: &AjpMapping) -> Imported {
    let mut translator = Translator {
        ajp,
        report: expanded.report,
        balancers: Vec::new(),
        proxied_paths: Vec::new(),
        exceptions: Vec::new(),
    };
    translator.translate_items(&expanded.items, &Scope::default());
    translator.finish()
}

impl Translator<'_> {
    /// Completes the pools after all directives have been translated.
    fn finish(mut self) -> Imported {
        let mut pools = Vec::new();
        for balancer in self.balancers {
            let mut pool = balancer.pool;
            if pool.workers.is_empty() {
                let by_hand = "add members, or remove the balancer";
                let outcome = Outcome::not_carried("none of its members can be carried", by_hand);
                // A balancer has no position of its own, as several directives may refer to it.
                self.report.add(&Position::start_of("-"), balancer.key, outcome);
                continue;
            }
            match balancer.paths.first() {
                Some(path) if !path.is_empty() && path != "/" => prepend_path(&mut pool, path),
                _ => {}
            }
            pool.routes.extend(self.exceptions.iter().cloned());
            pools.push(pool);
        }
        Imported { pools, report: self.report }
    }

    fn translate_items(&mut self, items: &[Item], scope: &Scope) {
        let mut scope = scope.clone();
        // Host names apply to their whole section, including the directives that precede them.
        if scope.hosts.is_empty() {
            scope.hosts = host_names(items);
        }
        for item in items {
            match item {
                Item::Directive(line) => self.translate_directive(line, &scope),
                Item::Section(line, children) => self.translate_section(line, children, &scope),
            }
        }
    }

    fn translate_section(&mut self, line: &Line, children: &[Item], scope: &Scope) {
        let mut scope = scope.clone();
        let directive = format!("<{}>", line.text());
        if line.has_name("VirtualHost") {
            scope.hosts.clear();
            let note = "its ServerName and ServerAlias become the hosts of its routes";
            self.report.add(&line.position, directive, Outcome::carried(note));
        } else if line.has_name("Proxy") {
            let target = line.word(0).unwrap_or_default().to_string();
            if is_balancer_url(&target) {
                self.balancer_index(&target);
                self.report.add(&line.position, directive, Outcome::carried("a pool"));
            }
            scope.proxy = Some(target);
        } else if line.has_name("Location") && !line.words.is_empty() && line.word(0) != Some("~") {
            scope.location = line.word(0).map(String::from);
            let note = "ProxyPass directives in it become routes with this path";
            self.report.add(&line.position, directive, Outcome::carried(note));
        } else {
            let reason = "directives in such a section apply to some requests only";
            let outcome = Outcome::not_carried(reason, "add its routes to the setup");
            self.report.add(&line.position, directive, outcome);
            return;
        }
        self.translate_items(children, &scope);
    }

    /// Returns the index of the balancer with this URL; adds the balancer if there is none.
    fn balancer_index(&mut self, url: &str) -> usize {
        let after_scheme = url.split_once("://").map_or(url, |(_, rest)| rest);
        let name = after_scheme.split('/').next().unwrap_or_default().to_ascii_lowercase();
        let key = format!("balancer://{name}");
        if let Some(existing) = self.find_balancer(&key) {
            return existing;
        }
        let pool = Pool { name: self.unused_name(&label(&name)), ..Pool::default() };
        self.balancers.push(Balancer { key, pool, paths: Vec::new(), is_single_worker: false });
        self.balancers.len() - 1
    }

    fn find_balancer(&self, key: &str) -> Option<usize> {
        self.balancers.iter().position(|balancer| balancer.key == key)
    }

    /// Returns an unused pool name: the preferred one, with a number appended if another pool has it.
    fn unused_name(&self, preferred: &str) -> String {
        let is_used = |name: &str| self.balancers.iter().any(|balancer| balancer.pool.name == name);
        let mut name = preferred.to_string();
        let mut number = 1;
        while is_used(&name) {
            number += 1;
            name = format!("{preferred}-{number}");
        }
        name
    }
}

fn is_balancer_url(url: &str) -> bool {
    url.starts_with("balancer://")
}

/// Returns the host names in the `ServerName` and `ServerAlias` directives, without ports.
fn host_names(items: &[Item]) -> Vec<String> {
    let mut hosts = Vec::new();
    for item in items {
        let Item::Directive(line) = item else { continue };
        if !line.has_name("ServerName") && !line.has_name("ServerAlias") {
            continue;
        }
        for word in &line.words {
            let host = word.text.split(':').next().unwrap_or_default();
            if !host.is_empty() {
                hosts.push(host.to_ascii_lowercase());
            }
        }
    }
    hosts
}

/// Prepends the path that all members share to the path that each route sends to the worker.
fn prepend_path(pool: &mut Pool, path: &str) {
    for route in pool.routes.iter_mut().filter(|route| !route.except) {
        let worker_path = route.to.as_deref().or(route.path.as_deref()).unwrap_or("/");
        route.to = Some(format!("{}/{}", path.trim_end_matches('/'), worker_path.trim_start_matches('/')));
    }
}

/// Converts a text to a name that is valid in a setup and not empty. Hyphens at its start and end are
/// removed; `pool` if nothing remains.
fn label(text: &str) -> String {
    let name = text::label(text).trim_matches('-').to_string();
    if name.is_empty() {
        return "pool".into();
    }
    name
}

/// A parameter of a directive, written as `key=value`.
struct Parameter<'a> {
    /// The key, in lower case.
    key: String,
    value: &'a str,
}

impl Parameter<'_> {
    /// Parses a parameter.
    ///
    /// # Errors
    /// The outcome of a word without `=`, which is not a parameter.
    fn parse(word: &Word) -> Result<Parameter<'_>, Outcome> {
        match word.text.split_once('=') {
            Some((key, value)) => Ok(Parameter { key: key.to_ascii_lowercase(), value }),
            None => Err(Outcome::not_carried("it is not a parameter", "write key=value")),
        }
    }
}
