//! Errors in setup files.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// An error in a setup, with its position and a correction. Ordered by position.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// The line number, from 1.
    pub line: u32,
    /// The column number in characters, from 1.
    pub column: u32,
    /// What is wrong.
    pub message: String,
    /// What to write instead.
    pub help: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}:{}: {}; {}", self.line, self.column, self.message, self.help)
    }
}

/// The reason why a setup file could not be loaded.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[error("{path}: {cause}")]
    Read {
        /// The file.
        path: PathBuf,
        /// The error of the operating system.
        #[source]
        cause: io::Error,
    },
    /// The file is not UTF-8 text.
    #[error("{path}:{line}:1: invalid UTF-8; save the file as UTF-8")]
    NotUtf8 {
        /// The file.
        path: PathBuf,
        /// The line of the first invalid byte, from 1.
        line: usize,
    },
    /// The setup has errors. The message has one line for each error, which begins with the path of the file.
    #[error("{}", diagnostic_lines(.path, .diagnostics))]
    Invalid {
        /// The file.
        path: PathBuf,
        /// The errors, ordered by position.
        diagnostics: Vec<Diagnostic>,
    },
}

fn diagnostic_lines(path: &Path, diagnostics: &[Diagnostic]) -> String {
    let lines: Vec<String> =
        diagnostics.iter().map(|diagnostic| format!("{}:{diagnostic}", path.display())).collect();
    lines.join("\n")
}
