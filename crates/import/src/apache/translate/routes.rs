//! Translates directives that proxy requests to workers, such as `ProxyPass`, to routes.

use super::{is_balancer_url, label, Balancer, ProxiedPath, Scope, Translator};
use crate::account::Outcome;
use crate::apache::syntax::{Line, Word};
use crate::apache::units::Url;
use postusher_setup::pool::has_path_prefix;
use postusher_setup::{Pool, Route, Worker};

/// Pattern suffixes that match the rest of a path, whatever it is. The first one that leaves a plain path is
/// used.
const WILDCARD_SUFFIXES: [&str; 10] =
    ["(/.*)?$", "/(.*)$", "(/.*)$", "/.*$", "/.*", "(.*)$", ".*$", ".*", "/", ""];

/// A directive that proxies requests.
struct ProxyRule<'a> {
    line: &'a Line,
    path: String,
    /// The URL to which requests are proxied; `!` if they are not proxied.
    target: String,
    parameters: &'a [Word],
    /// The outcome of the directive if it can be translated.
    outcome: Outcome,
}

impl Translator<'_> {
    /// Translates `ProxyPass`, whose path is that of the enclosing `<Location>` if there is one.
    pub(super) fn proxy_pass(&mut self, line: &Line, scope: &Scope) {
        let (path, words) = match (&scope.location, &line.words[..]) {
            (Some(location), words) => (location.clone(), words),
            (None, [path, words @ ..]) => (path.text.clone(), words),
            (None, []) => (String::new(), &line.words[..]),
        };
        let [target, parameters @ ..] = words else {
            let outcome = Outcome::not_carried("the path or the URL is missing", "write ProxyPass PATH URL");
            self.report.add(&line.position, line.text(), outcome);
            return;
        };
        let target = target.text.clone();
        let outcome = Outcome::carried("a route of the pool");
        self.add_proxy_rule(ProxyRule { line, path, target, parameters, outcome }, scope);
    }

    /// Translates `ProxyPassMatch` if its pattern matches a path prefix; other patterns are not carried.
    pub(super) fn proxy_pass_match(&mut self, line: &Line, scope: &Scope) {
        let [pattern, target, parameters @ ..] = &line.words[..] else {
            let by_hand = "write ProxyPassMatch PATTERN URL";
            let outcome = Outcome::not_carried("the pattern or the URL is missing", by_hand);
            self.report.add(&line.position, line.text(), outcome);
            return;
        };
        let Some(path) = path_of_pattern(&pattern.text) else {
            let by_hand = "list the paths individually, as <route path=\"...\"/>";
            let outcome = Outcome::not_carried("patterns within a path are not supported", by_hand);
            self.report.add(&line.position, line.text(), outcome);
            return;
        };
        let target = target.text.replace("/$1", "").replace("$1", "").replace("$0", &path);
        let outcome = Outcome::approximated("the route matches the path prefix of the pattern");
        self.add_proxy_rule(ProxyRule { line, path, target, parameters, outcome }, scope);
    }

    fn add_proxy_rule(&mut self, rule: ProxyRule, scope: &Scope) {
        let ProxyRule { line, path, target, parameters, outcome } = rule;
        let hosts = hosts_of(scope);
        if let Err(outcome) = self.check_path(&path, &hosts) {
            self.report.add(&line.position, line.text(), outcome);
            return;
        }
        for host in &hosts {
            self.proxied_paths.push(ProxiedPath { host: host.clone(), path: path.clone() });
        }
        if target == "!" {
            for host in hosts {
                self.exceptions.push(Route { host, path: Some(path.clone()), to: None, except: true });
            }
            self.report.add(&line.position, line.text(), Outcome::carried("an exception of every pool"));
            return;
        }
        let Some(url) = Url::parse(&target) else {
            let outcome =
                Outcome::not_carried("its target is not a URL with a host", "add the worker to the setup");
            self.report.add(&line.position, line.text(), outcome);
            return;
        };
        let Some(balancer_index) = self.target_index(line, &target, &url) else { return };
        let worker_path = if url.path.is_empty() { "/" } else { &url.path };
        let is_same_path = worker_path.trim_end_matches('/') == path.trim_end_matches('/');
        let to = if is_same_path { None } else { Some(worker_path.to_string()) };
        for host in hosts {
            let route = Route { host, path: Some(path.clone()), to: to.clone(), except: false };
            self.balancers[balancer_index].pool.routes.push(route);
        }
        self.report.add(&line.position, line.text(), outcome);
        for word in parameters {
            if self.balancers[balancer_index].is_single_worker {
                self.worker_parameter(balancer_index, 0, word);
            } else {
                self.pool_parameter(balancer_index, word);
            }
        }
    }

    /// Checks that a path is valid in a route, and that no preceding path matches all its requests.
    ///
    /// # Errors
    /// The outcome of the directive with this path, which is not carried.
    fn check_path(&self, path: &str, hosts: &[Option<String>]) -> Result<(), Outcome> {
        let is_printable = path.bytes().all(|byte| byte.is_ascii_graphic());
        if !path.starts_with('/') || path.contains(['?', '#']) || !is_printable {
            let reason = "it is not an absolute path";
            return Err(Outcome::not_carried(reason, "write it as <route path=\"...\"/>"));
        }
        // Apache uses the first path that matches, whereas the scheduler uses the longest one.
        let shadowing = self.proxied_paths.iter().find(|preceding| {
            hosts.contains(&preceding.host)
                && has_path_prefix(path, &preceding.path)
                && path != preceding.path
        });
        match shadowing {
            Some(preceding) => {
                let reason = format!("the preceding path {} matches all its requests", preceding.path);
                Err(Outcome::not_carried(reason, "move the longer path first if it is intended"))
            }
            None => Ok(()),
        }
    }

    /// Returns the index in `balancers` of the balancer or single worker that requests are proxied to; adds
    /// it if it is new. Returns `None` if it cannot be carried, which is then recorded in the report.
    fn target_index(&mut self, line: &Line, target: &str, url: &Url) -> Option<usize> {
        if url.scheme == "balancer" {
            return Some(self.balancer_index(target));
        }
        let address = self.http_address(&line.position, &line.text(), url)?;
        let key = format!("{}://{}:{}", url.scheme, url.host, url.port);
        if let Some(existing) = self.find_balancer(&key) {
            return Some(existing);
        }
        let name = self.unused_name(&label(&format!("{}-{}", url.host, url.port)));
        let worker = Worker { id: name.clone(), addr: address, ..Worker::default() };
        let pool = Pool { name, workers: vec![worker], ..Pool::default() };
        self.balancers.push(Balancer { key, pool, paths: Vec::new(), is_single_worker: true });
        Some(self.balancers.len() - 1)
    }

    /// Translates `ProxySet`, which names a balancer or applies to that of the enclosing `<Proxy>`.
    pub(super) fn proxy_set(&mut self, line: &Line, scope: &Scope) {
        let explicit_target = line.word(0).filter(|word| word.contains("://") && !word.contains('='));
        let parameters = if explicit_target.is_some() { &line.words[1..] } else { &line.words[..] };
        let target = explicit_target.or(scope.proxy.as_deref()).unwrap_or_default();
        if !is_balancer_url(target) {
            let outcome =
                Outcome::not_carried("it does not apply to a balancer", "set it in the pool of the setup");
            self.report.add(&line.position, line.text(), outcome);
            return;
        }
        let balancer_index = self.balancer_index(target);
        for word in parameters {
            self.pool_parameter(balancer_index, word);
        }
    }
}

/// Returns the hosts of the routes in a scope, leaving out those with wildcards; a single `None`, which
/// matches any host, if there are none.
fn hosts_of(scope: &Scope) -> Vec<Option<String>> {
    let mut hosts = Vec::new();
    for host in &scope.hosts {
        if !host.contains('*') {
            hosts.push(Some(host.clone()));
        }
    }
    if hosts.is_empty() {
        hosts.push(None);
    }
    hosts
}

/// Returns the path prefix that a pattern matches; `None` if the pattern is not a path prefix.
fn path_of_pattern(pattern: &str) -> Option<String> {
    let pattern = pattern.strip_prefix('^').unwrap_or(pattern);
    for suffix in WILDCARD_SUFFIXES {
        match pattern.strip_suffix(suffix) {
            Some("") => return Some("/".to_string()),
            Some(path) if is_plain_path(path) => return Some(path.to_string()),
            Some(_) | None => {}
        }
    }
    None
}

fn is_plain_path(path: &str) -> bool {
    path.starts_with('/') && !path.contains(|c| "^$.*+?()[]{}|\\".contains(c))
}
