//! Access to the files that an import reads. Tests use files in memory instead of files on disk.

use std::collections::BTreeMap;
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The reason why a file cannot be read.
#[derive(Debug, Error)]
pub enum FileError {
    /// An error of the operating system.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The file is not UTF-8 text.
    #[error("invalid UTF-8; save the file as UTF-8")]
    NotUtf8,
    /// The file is not among the files in memory.
    #[error("file not found")]
    NotFound,
    /// A pattern of file names is malformed.
    #[error(transparent)]
    Pattern(#[from] glob::PatternError),
}

/// A source of files.
pub trait FileSource {
    /// Reads the text of a file.
    ///
    /// # Errors
    /// The file cannot be read, or is not UTF-8 text.
    fn read(&self, path: &str) -> Result<String, FileError>;

    /// Returns the paths of the files that a pattern matches, in alphabetical order.
    ///
    /// # Errors
    /// The pattern is malformed.
    fn glob(&self, pattern: &str) -> Result<Vec<String>, FileError>;
}

/// Files on disk.
pub struct Disk;

impl FileSource for Disk {
    fn read(&self, path: &str) -> Result<String, FileError> {
        let bytes = std::fs::read(path)?;
        String::from_utf8(bytes).map_err(|_| FileError::NotUtf8)
    }

    fn glob(&self, pattern: &str) -> Result<Vec<String>, FileError> {
        let mut files = Vec::new();
        // Paths that cannot be accessed are skipped. For a directory that matches, its files are returned.
        for path in glob::glob(pattern)?.flatten() {
            for file in files_in(path) {
                files.push(file.to_string_lossy().into_owned());
            }
        }
        files.sort();
        Ok(files)
    }
}

/// Returns the file at a path or, for a directory, the files in it.
fn files_in(path: PathBuf) -> Vec<PathBuf> {
    if !path.is_dir() {
        return vec![path];
    }
    let entries = std::fs::read_dir(&path).into_iter().flatten().flatten();
    entries.map(|entry| entry.path()).filter(|path| path.is_file()).collect()
}

/// Files in memory: their texts, by path.
#[derive(Default)]
pub struct InMemory(pub BTreeMap<String, String>);

impl FileSource for InMemory {
    fn read(&self, path: &str) -> Result<String, FileError> {
        self.0.get(path).cloned().ok_or(FileError::NotFound)
    }

    fn glob(&self, pattern: &str) -> Result<Vec<String>, FileError> {
        let pattern = glob::Pattern::new(pattern)?;
        let options = glob::MatchOptions { require_literal_separator: true, ..glob::MatchOptions::default() };
        Ok(self.0.keys().filter(|path| pattern.matches_with(path, options)).cloned().collect())
    }
}

/// Resolves a path relative to a directory; an absolute path is returned unchanged.
pub fn resolve(directory: &str, path: &str) -> String {
    if Path::new(path).is_absolute() || directory.is_empty() {
        return path.to_string();
    }
    Path::new(directory).join(path).to_string_lossy().into_owned()
}

/// Returns the directory of a file; an empty string if the path has none.
pub fn directory_of(path: &str) -> String {
    Path::new(path).parent().map_or_else(String::new, |directory| directory.to_string_lossy().into_owned())
}
