//! What became of each directive, in words.

use serde::Serialize;
use std::fmt;
use std::rc::Rc;

/// A place in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub struct Place {
    /// The file, as it was named.
    pub file: Rc<str>,
    /// From 1.
    pub line: usize,
    /// From 1, in characters.
    pub column: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file, self.line, self.column)
    }
}

/// What became of a directive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// The setup means the same.
    Carried,
    /// The setup means nearly the same.
    Approximated,
    /// The setup lacks it.
    NotCarried,
}

/// A directive, or a part of one.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Entry {
    /// Where it stands.
    pub place: Place,
    /// What it says.
    pub what: String,
    /// What became of it.
    pub verdict: Verdict,
    /// What it is now, what differs, or why it is not there.
    pub note: String,
    /// What is to be done by hand; empty where nothing is.
    pub by_hand: String,
}

/// All entries, in the order of the files.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Account {
    /// The entries.
    pub entries: Vec<Entry>,
}

impl Account {
    /// A directive means the same in the setup.
    pub fn carried(&mut self, place: &Place, what: &str, note: &str) {
        self.add(place, what, Verdict::Carried, note, "");
    }

    /// It means nearly the same.
    pub fn approximated(&mut self, place: &Place, what: &str, note: &str) {
        self.add(place, what, Verdict::Approximated, note, "");
    }

    /// It is not there.
    pub fn not_carried(&mut self, place: &Place, what: &str, why: &str, by_hand: &str) {
        self.add(place, what, Verdict::NotCarried, why, by_hand);
    }

    fn add(&mut self, place: &Place, what: &str, verdict: Verdict, note: &str, by_hand: &str) {
        let (place, what, note, by_hand) = (place.clone(), what.into(), note.into(), by_hand.into());
        self.entries.push(Entry { place, what, verdict, note, by_hand });
    }

    /// Whether something is not there.
    pub fn lacks(&self) -> bool {
        self.entries.iter().any(|e| e.verdict == Verdict::NotCarried)
    }

    /// Puts the entries in the order of files (as they came) and places, each once.
    pub fn sort(&mut self) {
        let mut files: Vec<Rc<str>> = Vec::new();
        for e in &self.entries {
            if !files.contains(&e.place.file) {
                files.push(e.place.file.clone());
            }
        }
        let rank = |e: &Entry| files.iter().position(|f| *f == e.place.file);
        self.entries.sort_by_key(|e| (rank(e), e.place.line, e.place.column));
        // A template is read for each that refers to it.
        self.entries.dedup();
    }
}

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        for e in &self.entries {
            let verdict = match e.verdict {
                Verdict::Carried => "carried",
                Verdict::Approximated => "approximated",
                Verdict::NotCarried => "NOT CARRIED",
            };
            write!(f, "{}: {verdict}: {}: {}", e.place, e.what, e.note)?;
            if !e.by_hand.is_empty() {
                write!(f, "; by hand: {}", e.by_hand)?;
            }
            writeln!(f)?;
        }
        let count = |v| self.entries.iter().filter(|e| e.verdict == v).count();
        let [a, b, c] = [Verdict::Carried, Verdict::Approximated, Verdict::NotCarried].map(count);
        writeln!(f, "{a} carried, {b} approximated, {c} not carried")
    }
}

/// Why nothing can be imported.
#[derive(Clone, Debug, PartialEq)]
pub struct Unreadable {
    /// Where.
    pub place: Place,
    /// Why.
    pub what: String,
}

impl fmt::Display for Unreadable {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.what)
    }
}
