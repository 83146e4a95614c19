//! Helpers for the importers of both formats: positions, variables, names that are valid in a setup, and
//! timeouts.

use crate::account::Position;
use std::rc::Rc;

/// The maximum length of a name, in characters. It is below the limit of the setup, because a suffix may be
/// appended to the name.
const MAX_LABEL_LENGTH: usize = 100;

/// Converts byte offsets in the text of a file to positions.
pub struct LineIndex<'a> {
    file: Rc<str>,
    text: &'a str,
    /// The byte offsets at which lines begin.
    line_starts: Vec<usize>,
}

impl LineIndex<'_> {
    /// Indexes the text of a file.
    pub fn new<'a>(file: &str, text: &'a str) -> LineIndex<'a> {
        let mut line_starts = vec![0];
        for (offset, byte) in text.bytes().enumerate() {
            if byte == b'\n' {
                line_starts.push(offset + 1);
            }
        }
        LineIndex { file: file.into(), text, line_starts }
    }

    /// Returns the position of a byte offset in the text.
    pub fn position_at(&self, offset: usize) -> Position {
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let column = 1 + self.text.get(start..offset).map_or(0, |before| before.chars().count());
        Position { file: self.file.clone(), line, column }
    }
}

/// Strips the byte order mark that some editors write at the start of a file.
pub fn without_byte_order_mark(text: &str) -> &str {
    text.strip_prefix('\u{feff}').unwrap_or(text)
}

/// Replaces variables, which are delimited by `begin` and `end`, by their values. `value_of` returns the
/// value of the variable with a name; variables without a value are kept as they are.
pub fn substitute(
    text: &str,
    begin: &str,
    end: char,
    mut value_of: impl FnMut(&str) -> Option<String>,
) -> String {
    let mut out = String::new();
    let mut rest = text;
    while let Some(start) = rest.find(begin) {
        let (before, from_variable) = rest.split_at(start);
        let Some(close) = from_variable.find(end) else { break };
        out += before;
        let variable = &from_variable[..=close];
        match value_of(&variable[begin.len()..close]) {
            Some(value) => out += &value,
            None => out += variable,
        }
        rest = &from_variable[close + 1..];
    }
    out + rest
}

/// Converts a text to a name that is valid in a setup: invalid characters become `-`, and characters beyond
/// the maximum length are removed. Returns an empty name for an empty text.
pub fn label(text: &str) -> String {
    let valid_character = |c: char| if c.is_ascii_alphanumeric() || "-_.".contains(c) { c } else { '-' };
    text.chars().map(valid_character).take(MAX_LABEL_LENGTH).collect()
}

/// Applies a value to a timeout of a pool for which several values may be given: the longest of them is used,
/// and the first one replaces the default. If the longest value so far equals the default, the next one
/// replaces it, too. All times are in milliseconds.
pub fn set_longest_timeout(timeout: &mut f64, default: f64, millis: f64) {
    *timeout = if *timeout == default { millis } else { timeout.max(millis) };
}
