//! What both formats need of text: places, variables, and names that a setup may have.

use crate::account::Place;
use std::rc::Rc;

/// Finds the place of an offset in a file's text.
pub struct Places<'a> {
    file: Rc<str>,
    text: &'a str,
    /// Where each line begins.
    starts: Vec<usize>,
}

impl Places<'_> {
    /// Of this file.
    pub fn new<'a>(file: &str, text: &'a str) -> Places<'a> {
        let breaks = text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(n, _)| n + 1);
        Places { file: file.into(), text, starts: std::iter::once(0).chain(breaks).collect() }
    }

    /// Where an offset lies.
    pub fn at(&self, offset: usize) -> Place {
        let line = self.starts.partition_point(|start| *start <= offset);
        let start = self.starts[line - 1];
        let column = 1 + self.text.get(start..offset).map_or(0, |t| t.chars().count());
        Place { file: self.file.clone(), line, column }
    }
}

/// A file's text without the mark that some systems put before it.
pub fn unmarked(text: &str) -> &str {
    text.strip_prefix('\u{feff}').unwrap_or(text)
}

/// Puts values in the place of variables, which begin and end so; what has no value stays as it is.
pub fn put_in(text: &str, begin: &str, end: char, mut value: impl FnMut(&str) -> Option<String>) -> String {
    let (mut out, mut rest) = (String::new(), text);
    while let Some(at) = rest.find(begin) {
        let (before, from) = rest.split_at(at);
        let Some(close) = from.find(end) else { break };
        out += before;
        let whole = &from[..=close];
        out += &value(&whole[begin.len()..close]).unwrap_or_else(|| whole.to_string());
        rest = &from[close + 1..];
    }
    out + rest
}

/// A name with what a setup may not have in names replaced.
pub fn label(text: &str) -> String {
    let plain = |c: char| if c.is_ascii_alphanumeric() || "-_.".contains(c) { c } else { '-' };
    text.chars().map(plain).take(100).collect()
}

/// The longest of several times, of which the first takes the place of what is usual.
pub fn longest(now: &mut f64, usual: f64, ms: f64) {
    *now = if *now == usual { ms } else { now.max(ms) };
}
