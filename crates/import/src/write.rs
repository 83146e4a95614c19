//! The setup file of an import.

use postusher_setup::pool::{REPEATS, ROLES, STATES};
use postusher_setup::{Pool, Repeat, Role, State};
use std::fmt::Write;

/// An element under way: only what differs from the default is written.
struct Tag(String);

impl Tag {
    fn new(name: &str) -> Tag {
        Tag(format!("<{name}"))
    }

    fn put(mut self, name: &str, value: &str) -> Tag {
        let escaped = value.replace('&', "&amp;").replace('<', "&lt;").replace('"', "&quot;");
        let _ = write!(self.0, " {name}=\"{escaped}\""); // a string takes all
        self
    }

    fn maybe(self, name: &str, value: Option<&str>) -> Tag {
        match value {
            Some(value) => self.put(name, value),
            None => self,
        }
    }

    fn unless<T: PartialEq>(self, name: &str, value: T, usual: T, text: impl Fn(T) -> String) -> Tag {
        if value == usual {
            return self;
        }
        let text = text(value);
        self.put(name, &text)
    }
}

fn word<T: PartialEq + Copy>(words: &[(&'static str, T)], value: T) -> String {
    words.iter().find(|(_, v)| *v == value).map_or("", |(word, _)| word).to_string()
}

/// A number as the schema has it.
fn number(value: f64) -> String {
    let text = format!("{value:.4}");
    text.trim_end_matches('0').trim_end_matches('.').to_string()
}

/// The file's text.
pub fn setup(pools: &[Pool]) -> String {
    let mut out = String::from("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n<postusher>\n");
    let ms = |value: f64| format!("{}ms", number(value));
    for p in pools {
        let usual = Pool::default();
        let tag = Tag::new("pool")
            .put("name", &p.name)
            .put("answers", "direct")
            .unless("timeout", p.timeout, usual.timeout, ms)
            .unless("connect-timeout", p.connect_timeout, usual.connect_timeout, ms)
            .unless("attempts", p.attempts, usual.attempts, |n| n.to_string())
            .unless("repeat", p.repeat, Repeat::Safe, |r| word(REPEATS, r));
        out += &format!("  {}>\n", tag.0);
        for r in &p.routes {
            let tag = Tag::new("route")
                .maybe("host", r.host.as_deref())
                .maybe("path", r.path.as_deref())
                .maybe("to", r.to.as_deref())
                .unless("except", r.except, false, |_| "yes".into());
            out += &format!("    {}/>\n", tag.0);
        }
        if let Some(s) = &p.sticky {
            let tag = Tag::new("sticky")
                .maybe("cookie", s.cookie.as_deref())
                .maybe("path", s.path.as_deref())
                .unless("strict", s.strict, false, |_| "yes".into());
            out += &format!("    {}/>\n", tag.0);
        }
        for w in &p.workers {
            let tag = Tag::new("worker")
                .put("id", &w.id)
                .put("addr", &w.addr)
                .unless("weight", w.weight, 1.0, number)
                .unless("state", w.state, State::Live, |s| word(STATES, s))
                .unless("role", w.role, Role::Active, |r| word(ROLES, r))
                .unless("set", w.set, 0, |n| n.to_string())
                .maybe("route", w.route.as_deref())
                .maybe("redirect", w.redirect.as_deref())
                .unless("most", w.most, None, |n| n.unwrap_or(0).to_string());
            out += &format!("    {}/>\n", tag.0);
        }
        out += "  </pool>\n";
    }
    out + "</postusher>\n"
}
