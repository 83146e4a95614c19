//! Writes the setup file of an import.

use postusher_setup::pool::{RETRY_POLICIES, ROLES, STATES};
use postusher_setup::{Pool, RetryPolicy, Role, Route, State, Sticky, Worker};

/// The start tag of an element, without the closing `>` or `/>`.
struct Tag(String);

impl Tag {
    fn new(name: &str) -> Tag {
        Tag(format!("<{name}"))
    }

    /// Appends an attribute.
    fn attribute(mut self, name: &str, value: &str) -> Tag {
        let escaped = value.replace('&', "&amp;").replace('<', "&lt;").replace('"', "&quot;");
        self.0 += &format!(" {name}=\"{escaped}\"");
        self
    }

    /// Appends an attribute if it has a value.
    fn optional(self, name: &str, value: Option<&str>) -> Tag {
        match value {
            Some(value) => self.attribute(name, value),
            None => self,
        }
    }

    /// Appends an attribute, formatted by `text`, unless it has its default value.
    fn unless_default<T: PartialEq>(
        self,
        name: &str,
        value: T,
        default: T,
        text: impl Fn(T) -> String,
    ) -> Tag {
        if value == default {
            return self;
        }
        self.attribute(name, &text(value))
    }
}

/// Returns the text of a setup file with these pools.
pub fn setup_xml(pools: &[Pool]) -> String {
    let mut out = String::from("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<postusher>\n");
    for pool in pools {
        write_pool(&mut out, pool);
    }
    out + "</postusher>\n"
}

fn write_pool(out: &mut String, pool: &Pool) {
    let default = Pool::default();
    let tag = Tag::new("pool")
        .attribute("name", &pool.name)
        .attribute("answers", "direct")
        .unless_default("timeout", pool.timeout, default.timeout, millis)
        .unless_default("connect-timeout", pool.connect_timeout, default.connect_timeout, millis)
        .unless_default("attempts", pool.max_attempts, default.max_attempts, |attempts| attempts.to_string())
        .unless_default("repeat", pool.retry_policy, RetryPolicy::Safe, |policy| {
            keyword(RETRY_POLICIES, policy)
        });
    *out += &format!("  {}>\n", tag.0);
    for route in &pool.routes {
        write_child(out, route_tag(route));
    }
    if let Some(sticky) = &pool.sticky {
        write_child(out, sticky_tag(sticky));
    }
    for worker in &pool.workers {
        write_child(out, worker_tag(worker));
    }
    *out += "  </pool>\n";
}

fn write_child(out: &mut String, tag: Tag) {
    *out += &format!("    {}/>\n", tag.0);
}

fn route_tag(route: &Route) -> Tag {
    Tag::new("route")
        .optional("host", route.host.as_deref())
        .optional("path", route.path.as_deref())
        .optional("to", route.to.as_deref())
        .unless_default("except", route.except, false, |_| "yes".into())
}

fn sticky_tag(sticky: &Sticky) -> Tag {
    Tag::new("sticky")
        .optional("cookie", sticky.cookie.as_deref())
        .optional("path", sticky.path.as_deref())
        .unless_default("strict", sticky.strict, false, |_| "yes".into())
}

fn worker_tag(worker: &Worker) -> Tag {
    Tag::new("worker")
        .attribute("id", &worker.id)
        .attribute("addr", &worker.addr)
        .unless_default("weight", worker.weight, 1.0, number)
        .unless_default("state", worker.state, State::Live, |state| keyword(STATES, state))
        .unless_default("role", worker.role, Role::Active, |role| keyword(ROLES, role))
        .unless_default("set", worker.set, 0, |set| set.to_string())
        .optional("route", worker.route.as_deref())
        .optional("redirect", worker.redirect.as_deref())
        .unless_default("most", worker.max_in_flight, None, |limit| limit.unwrap_or(0).to_string())
}

/// Returns the keyword for a value; an empty string if there is none.
fn keyword<T: PartialEq + Copy>(values: &[(&'static str, T)], value: T) -> String {
    values.iter().find(|(_, candidate)| *candidate == value).map_or("", |(keyword, _)| keyword).to_string()
}

/// Formats a number with up to four decimal places, without an exponent.
fn number(value: f64) -> String {
    let text = format!("{value:.4}");
    text.trim_end_matches('0').trim_end_matches('.').to_string()
}

/// Formats a duration in milliseconds, with its unit.
fn millis(value: f64) -> String {
    format!("{}ms", number(value))
}
