//! The session that a request belongs to.

#[cfg(test)]
mod tests;

use postusher_setup::Sticky;

/// The route of the worker that a request names: what stands after the last point of its cookie or parameter. `None`
/// where the request names none.
pub fn session_route<'a>(
    sticky: &Sticky,
    target: &'a str,
    cookies: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    // A parameter takes precedence: a client that does not accept cookies has a current one in its links.
    if let Some(name) = &sticky.path {
        if let Some(route) = route_in_target(target, name) {
            return Some(route);
        }
    }
    let name = sticky.cookie.as_ref()?;
    cookies.into_iter().find_map(|cookie| route_in_pairs(cookie, [';', ','], name))
}

/// The route in a parameter of the path (`/a;name=value`) or else of the query.
fn route_in_target<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let (_, parameters) = path.split_once(';').unwrap_or((path, ""));
    let route = route_in_pairs(parameters, [';', '/'], name);
    route.or_else(|| route_in_pairs(query, ['&', ';'], name))
}

/// The route in the first value of this name among pairs `name=value`.
fn route_in_pairs<'a>(pairs: &'a str, separators: [char; 2], name: &str) -> Option<&'a str> {
    let mut values = pairs.split(separators).filter_map(|pair| pair.trim().split_once('='));
    let (_, value) = values.find(|(other, _)| other.eq_ignore_ascii_case(name))?;
    let (_, route) = value.trim_matches('"').rsplit_once('.')?;
    if route.is_empty() {
        return None;
    }
    Some(route)
}
