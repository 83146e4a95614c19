//! Extraction of session routes from cookies and from URL parameters.

#[cfg(test)]
mod tests;

use postusher_setup::Sticky;

/// Returns the route of the worker that the session of a request belongs to: the part of the session cookie
/// or parameter after the last dot. `target` is the request target, and `cookies` are the values of the
/// `Cookie` headers. Returns `None` if the request has no session.
pub fn session_route<'a>(
    sticky: &Sticky,
    target: &'a str,
    cookies: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    // A parameter takes precedence over a cookie: the links that a worker sends to a client without cookies
    // contain an up-to-date parameter.
    if let Some(name) = &sticky.path {
        if let Some(route) = route_in_target(target, name) {
            return Some(route);
        }
    }
    let name = sticky.cookie.as_ref()?;
    cookies.into_iter().find_map(|cookie| route_in_pairs(cookie, [';', ','], name))
}

/// Finds the route in a parameter of the path (`/a;name=value`) or, failing that, of the query.
fn route_in_target<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (_, parameters) = path.split_once(';').unwrap_or((path, ""));
    let route = route_in_pairs(parameters, [';', '/'], name);
    route.or_else(|| route_in_pairs(query, ['&', ';'], name))
}

/// Finds the route in the first pair `name=value` with this name, ignoring case. Returns `None` if there is
/// no such pair, or its value has no dot or nothing after the last one.
fn route_in_pairs<'a>(pairs: &'a str, separators: [char; 2], name: &str) -> Option<&'a str> {
    let mut values = pairs.split(separators).filter_map(|pair| pair.trim().split_once('='));
    let (_, value) = values.find(|(key, _)| key.eq_ignore_ascii_case(name))?;
    let (_, route) = value.trim_matches('"').rsplit_once('.')?;
    if route.is_empty() {
        return None;
    }
    Some(route)
}
