//! The report of an import, which states the outcome of each directive.

use serde::Serialize;
use std::fmt;
use std::rc::Rc;

/// A position in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Position {
    /// The file name: as given on the command line, or the path to which an `Include` directive resolves; `-`
    /// for an entry that has no position in a file.
    pub file: Rc<str>,
    /// The line number, from 1.
    pub line: usize,
    /// The column number in characters, from 1.
    pub column: usize,
}

impl Position {
    /// Returns the position of the first character of a file.
    pub fn start_of(file: &str) -> Position {
        Position { file: file.into(), line: 1, column: 1 }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// The extent to which the setup expresses a directive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The setup has an equivalent.
    Carried,
    /// The setup has an equivalent with some differences.
    Approximated,
    /// The setup has no equivalent.
    NotCarried,
}

/// The outcome of translating a directive.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    verdict: Verdict,
    /// The equivalent in the setup, the differences, or the reason why there is no equivalent.
    note: String,
    /// The action that the operator has to take; empty if there is none.
    by_hand: String,
}

impl Outcome {
    /// Creates the outcome of a directive with an equivalent, which `note` describes.
    pub fn carried(note: impl Into<String>) -> Outcome {
        Outcome { verdict: Verdict::Carried, note: note.into(), by_hand: String::new() }
    }

    /// Creates the outcome of a directive with an approximate equivalent; `note` describes the differences.
    pub fn approximated(note: impl Into<String>) -> Outcome {
        Outcome { verdict: Verdict::Approximated, note: note.into(), by_hand: String::new() }
    }

    /// Creates the outcome of a directive that has no equivalent for a `reason`; `by_hand` describes the
    /// action that the operator has to take.
    pub fn not_carried(reason: impl Into<String>, by_hand: impl Into<String>) -> Outcome {
        Outcome { verdict: Verdict::NotCarried, note: reason.into(), by_hand: by_hand.into() }
    }

    /// Creates the outcome of a directive that is not carried because its value is invalid; `by_hand`
    /// describes the valid values.
    pub fn invalid_value(by_hand: &str) -> Outcome {
        Outcome::not_carried("invalid value", by_hand)
    }
}

/// A directive, or a parameter of one, with its outcome.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// The position of the directive.
    #[serde(rename = "place")]
    pub position: Position,
    /// The text of the directive or parameter.
    #[serde(rename = "what")]
    pub directive: String,
    /// The extent to which the setup expresses the directive.
    pub verdict: Verdict,
    /// The equivalent in the setup, the differences, or the reason why there is no equivalent.
    pub note: String,
    /// The action that the operator has to take; empty if there is none.
    pub by_hand: String,
}

/// The report of an import. [`ImportReport::sort`] orders it by file and position.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct ImportReport {
    /// The entries.
    pub entries: Vec<Entry>,
}

impl ImportReport {
    /// Adds the outcome of a directive.
    pub fn add(&mut self, position: &Position, directive: impl Into<String>, outcome: Outcome) {
        self.entries.push(Entry {
            position: position.clone(),
            directive: directive.into(),
            verdict: outcome.verdict,
            note: outcome.note,
            by_hand: outcome.by_hand,
        });
    }

    /// Returns whether at least one directive has no equivalent in the setup.
    pub fn is_incomplete(&self) -> bool {
        self.entries.iter().any(|entry| entry.verdict == Verdict::NotCarried)
    }

    /// Sorts the entries by file, in the order of the files' first entries, and by position, and removes
    /// duplicates.
    pub fn sort(&mut self) {
        let mut files: Vec<Rc<str>> = Vec::new();
        for entry in &self.entries {
            if !files.contains(&entry.position.file) {
                files.push(entry.position.file.clone());
            }
        }
        let rank = |entry: &Entry| files.iter().position(|file| *file == entry.position.file);
        self.entries.sort_by_key(|entry| (rank(entry), entry.position.line, entry.position.column));
        // A template of mod_jk is translated for each worker that refers to it, which adds equal entries.
        self.entries.dedup();
    }
}

impl fmt::Display for ImportReport {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for entry in &self.entries {
            let verdict = match entry.verdict {
                Verdict::Carried => "carried",
                Verdict::Approximated => "approximated",
                Verdict::NotCarried => "NOT CARRIED",
            };
            write!(f, "{}: {verdict}: {}: {}", entry.position, entry.directive, entry.note)?;
            if !entry.by_hand.is_empty() {
                write!(f, "; by hand: {}", entry.by_hand)?;
            }
            writeln!(f)?;
        }
        let count = |verdict| self.entries.iter().filter(|entry| entry.verdict == verdict).count();
        let carried = count(Verdict::Carried);
        let approximated = count(Verdict::Approximated);
        let not_carried = count(Verdict::NotCarried);
        writeln!(f, "{carried} carried, {approximated} approximated, {not_carried} not carried")
    }
}
