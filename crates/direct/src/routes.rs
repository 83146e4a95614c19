//! Routing: finds the pool that serves a request, and the request target to send to its worker.

#[cfg(test)]
mod tests;

use postusher_setup::pool::has_path_prefix;
use postusher_setup::{Pool, Route};
use std::cmp::Reverse;

/// A route: requests for a host with a path at or below `path` are served by a pool.
struct RouteEntry {
    /// The host in lower case; `None` matches any host.
    host: Option<String>,
    path: String,
    /// The path that replaces `path` in the request to the worker; if `None`, the target is unchanged.
    replacement: Option<String>,
    /// The index of the pool in the setup.
    pool: usize,
}

/// Requests that a pool does not serve although a route matches them.
struct Exception {
    /// The host in lower case; `None` matches any host.
    host: Option<String>,
    path: String,
}

/// The result of routing a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteMatch {
    /// The index, in the setup, of the pool that serves the request.
    pub pool: usize,
    /// The request target to send to the worker.
    pub target: String,
}

/// The routes of all pools. Routes with a host take precedence over routes without, then longer paths over
/// shorter ones.
pub struct Routes {
    /// In order of precedence.
    entries: Vec<RouteEntry>,
    /// The exceptions of each pool, indexed by pool.
    exceptions: Vec<Vec<Exception>>,
}

impl Routes {
    /// Builds the routes of `pools`. A pool without routes other than exceptions gets one that matches all
    /// requests.
    pub fn new(pools: &[Pool]) -> Routes {
        let mut entries = Vec::new();
        let mut exceptions = Vec::new();
        for (pool_index, pool) in pools.iter().enumerate() {
            let entries_before = entries.len();
            let mut exceptions_of_pool = Vec::new();
            for route in &pool.routes {
                if route.except {
                    exceptions_of_pool.push(Exception { host: route.host.clone(), path: path_prefix(route) });
                } else {
                    entries.push(route_entry(route, pool_index));
                }
            }
            if entries.len() == entries_before {
                entries.push(route_entry(&Route::default(), pool_index));
            }
            exceptions.push(exceptions_of_pool);
        }
        entries.sort_by_key(|entry| {
            let path_length = entry.path.trim_end_matches('/').len();
            (entry.host.is_none(), Reverse(path_length))
        });
        Routes { entries, exceptions }
    }

    /// Finds the pool that serves a request; `host` is the value of its `Host` header and `target` its
    /// request target. Returns `None` if no pool serves it.
    pub fn find_route(&self, host: &str, target: &str) -> Option<RouteMatch> {
        let host = without_port(host).to_ascii_lowercase();
        let path = target.split(['?', '#']).next().unwrap_or_default();
        let entry = self.entries.iter().find(|entry| self.serves(entry, &host, path))?;
        Some(RouteMatch { pool: entry.pool, target: worker_target(entry, target) })
    }

    fn serves(&self, entry: &RouteEntry, host: &str, path: &str) -> bool {
        if !host_matches(entry.host.as_deref(), host) || !has_path_prefix(path, &entry.path) {
            return false;
        }
        // An exception takes precedence over a route unless the path of the route is longer.
        !self.exceptions[entry.pool].iter().any(|exception| {
            host_matches(exception.host.as_deref(), host)
                && has_path_prefix(path, &exception.path)
                && exception.path.len() >= entry.path.len()
        })
    }
}

fn route_entry(route: &Route, pool: usize) -> RouteEntry {
    RouteEntry { host: route.host.clone(), path: path_prefix(route), replacement: route.to.clone(), pool }
}

/// Returns the path prefix of a route; `/`, which matches any path, if it has none.
fn path_prefix(route: &Route) -> String {
    route.path.clone().unwrap_or_else(|| "/".into())
}

fn host_matches(route_host: Option<&str>, host: &str) -> bool {
    route_host.is_none_or(|route_host| route_host == host)
}

/// Strips the port from the value of a `Host` header. Colons within brackets belong to an IPv6 address.
fn without_port(host: &str) -> &str {
    match host.rfind(':') {
        Some(colon) if !host[colon..].contains(']') => &host[..colon],
        _ => host,
    }
}

/// Returns the target of the request to the worker, with the path of the route replaced.
fn worker_target(entry: &RouteEntry, target: &str) -> String {
    let Some(replacement) = &entry.replacement else { return target.to_string() };
    let rest = &target[entry.path.trim_end_matches('/').len()..];
    match rest.strip_prefix('/') {
        Some(rest) => format!("{}/{rest}", replacement.trim_end_matches('/')),
        None => format!("{replacement}{rest}"),
    }
}
