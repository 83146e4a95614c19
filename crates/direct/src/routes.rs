//! Which pool serves a request, and at which path; and the session that a request names.

use postusher_setup::pool::begins;
use postusher_setup::{Pool, Route, Sticky};

struct Entry {
    host: Option<String>,
    path: String,
    to: Option<String>,
    pool: usize,
}

/// The routes of all pools: those that name the host come first, then the longest path.
pub struct Routes {
    entries: Vec<Entry>,
    /// By pool.
    exceptions: Vec<Vec<(Option<String>, String)>>,
}

impl Routes {
    /// Of these pools.
    pub fn new(pools: &[Pool]) -> Routes {
        let (mut entries, mut exceptions) = (Vec::new(), Vec::new());
        for (pool, p) in pools.iter().enumerate() {
            let path = |r: &Route| r.path.clone().unwrap_or_else(|| "/".into());
            let (except, serve): (Vec<&Route>, Vec<&Route>) = p.routes.iter().partition(|r| r.except);
            let everything = [&Route::default()];
            let serve = if serve.is_empty() { &everything[..] } else { &serve[..] };
            let entry = |r: &&Route| Entry { host: r.host.clone(), path: path(r), to: r.to.clone(), pool };
            entries.extend(serve.iter().map(entry));
            exceptions.push(except.into_iter().map(|r| (r.host.clone(), path(r))).collect());
        }
        let rank = |e: &Entry| (e.host.is_none(), std::cmp::Reverse(e.path.trim_end_matches('/').len()));
        entries.sort_by_key(rank);
        Routes { entries, exceptions }
    }

    /// The pool that serves a request, by number, and the target that its worker is asked for.
    pub fn find(&self, host: &str, target: &str) -> Option<(usize, String)> {
        let host = host.to_ascii_lowercase();
        let host = match host.rfind(':') {
            Some(at) if !host[at..].contains(']') => &host[..at],
            _ => host.as_str(),
        };
        let path = target.split(['?', '#']).next().unwrap_or("");
        let here = |h: &Option<String>| h.as_deref().is_none_or(|h| h == host);
        let fits = |e: &&Entry| {
            let but =
                |(h, p): &(Option<String>, String)| here(h) && begins(path, p) && p.len() >= e.path.len();
            here(&e.host) && begins(path, &e.path) && !self.exceptions[e.pool].iter().any(but)
        };
        let e = self.entries.iter().find(fits)?;
        let Some(to) = &e.to else { return Some((e.pool, target.to_string())) };
        let rest = &target[e.path.trim_end_matches('/').len()..];
        let joined = match rest.strip_prefix('/') {
            Some(rest) => format!("{}/{rest}", to.trim_end_matches('/')),
            None => format!("{to}{rest}"),
        };
        Some((e.pool, joined))
    }
}

/// The route that a request names: what stands behind the last point of its cookie or parameter.
pub fn session<'a>(
    sticky: &Sticky,
    target: &'a str,
    cookies: impl Iterator<Item = &'a str>,
) -> Option<&'a str> {
    let route = |value: &'a str| value.rsplit_once('.').map(|(_, route)| route).filter(|r| !r.is_empty());
    let named = |pairs: &'a str, by: [char; 2], name: &str| {
        let mut all = pairs.split(by).filter_map(|p| p.trim().split_once('='));
        all.find(|(n, _)| n.eq_ignore_ascii_case(name)).and_then(|(_, value)| route(value.trim_matches('"')))
    };
    // The parameter counts for more: a client without cookies has a new one from its links.
    let by_path = sticky.path.as_ref().and_then(|name| {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let parameters = path.split_once(';').map_or("", |(_, p)| p);
        named(parameters, [';', '/'], name).or_else(|| named(query, ['&', ';'], name))
    });
    let cookie = sticky.cookie.as_ref();
    by_path.or_else(|| cookie.and_then(|name| cookies.into_iter().find_map(|c| named(c, [';', ','], name))))
}

#[cfg(test)]
mod tests {
    use super::*;

    fn pools(text: &str) -> Vec<Pool> {
        postusher_setup::read(&format!("<postusher>{text}</postusher>")).unwrap().pools
    }

    #[test]
    fn the_host_then_the_longest_path_wins_and_exceptions_hold() {
        let worker = "<worker id=\"w\" addr=\"h:1\"/>";
        let text = format!(
            "<pool name=\"a\" answers=\"direct\"><route path=\"/app\" to=\"/\"/><route path=\"/app/img\" except=\"yes\"/>{worker}</pool>\
             <pool name=\"b\" answers=\"direct\"><route host=\"b.org\"/>{worker}</pool>\
             <pool name=\"c\" answers=\"direct\"><route path=\"/app/img/x\" to=\"/y\"/><route path=\"/c/\"/>{worker}</pool>"
        );
        let routes = Routes::new(&pools(&text));
        let find = |host: &str, target: &str| routes.find(host, target);
        assert_eq!(find("x", "/app/q?z=1"), Some((0, "/q?z=1".into())));
        assert_eq!(find("x", "/app"), Some((0, "/".into())));
        assert_eq!(find("x", "/app?z"), Some((0, "/?z".into())));
        assert_eq!(find("x", "/apples"), None);
        assert_eq!(find("x", "/app/img/1"), None);
        assert_eq!(find("x", "/app/img/x/1"), Some((2, "/y/1".into())));
        assert_eq!(find("B.org:8080", "/app"), Some((1, "/app".into())));
        assert_eq!(find("[::1]:80", "/c/d"), Some((2, "/c/d".into())));
    }

    #[test]
    fn sessions_are_found_in_cookies_and_parameters() {
        let sticky =
            Sticky { cookie: Some("JSESSIONID".into()), path: Some("jsessionid".into()), strict: false };
        let find =
            |target: &'static str, cookie: &'static str| session(&sticky, target, [cookie].into_iter());
        assert_eq!(find("/a", "x=1; JSESSIONID=ab.c.n1; y=2"), Some("n1"));
        assert_eq!(find("/a;jsessionid=ab.n2?q=1", "JSESSIONID=ab.n1"), Some("n2"));
        assert_eq!(find("/a?jsessionid=ab.n3&z=1", ""), Some("n3"));
        assert_eq!((find("/a", "JSESSIONID=ab"), find("/a", "JSESSIONID=ab.")), (None, None));
        assert_eq!(find("/a", "OTHER=ab.n1"), None);
    }
}
