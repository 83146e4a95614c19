//! What can be wrong with a setup file.

use std::fmt;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// A place in a setup that cannot be meant as it stands.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Mistake {
    /// The line, from 1.
    pub line: u32,
    /// The column, from 1, in characters.
    pub column: u32,
    /// What is wrong.
    pub problem: String,
    /// What to write.
    pub advice: String,
}

impl fmt::Display for Mistake {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: {}; {}", self.line, self.column, self.problem, self.advice)
    }
}

/// Why a setup file could not be loaded.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[error("{path}: {cause}")]
    Read {
        /// The file.
        path: PathBuf,
        /// What the operating system says.
        #[source]
        cause: io::Error,
    },
    /// The file is not UTF-8 text.
    #[error("{path}:{line}:1: this is not UTF-8; save the file as UTF-8")]
    NotUtf8 {
        /// The file.
        path: PathBuf,
        /// The line of the first byte that is none.
        line: usize,
    },
    /// The setup has mistakes; each is a line of the text, with the file's name.
    #[error("{}", mistake_lines(.path, .mistakes))]
    Mistakes {
        /// The file.
        path: PathBuf,
        /// The mistakes by their places.
        mistakes: Vec<Mistake>,
    },
}

fn mistake_lines(path: &std::path::Path, mistakes: &[Mistake]) -> String {
    let lines: Vec<String> = mistakes.iter().map(|mistake| format!("{}:{mistake}", path.display())).collect();
    lines.join("\n")
}
