//! The files that an import reads, so that tests bring their own.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

/// Where files come from.
pub trait Files {
    /// A file's text.
    ///
    /// # Errors
    /// Why it cannot be read.
    fn read(&self, path: &str) -> Result<String, String>;

    /// The files that a pattern names, in order.
    ///
    /// # Errors
    /// It is no pattern.
    fn glob(&self, pattern: &str) -> Result<Vec<String>, String>;
}

/// The disk.
pub struct Disk;

impl Files for Disk {
    fn read(&self, path: &str) -> Result<String, String> {
        let bytes = std::fs::read(path).map_err(|e| e.to_string())?;
        String::from_utf8(bytes).map_err(|_| "this is not UTF-8".into())
    }

    fn glob(&self, pattern: &str) -> Result<Vec<String>, String> {
        let paths = glob::glob(pattern).map_err(|e| e.to_string())?;
        let mut files = Vec::new();
        for path in paths.flatten().flat_map(within) {
            files.push(path.to_string_lossy().into_owned());
        }
        files.sort();
        Ok(files)
    }
}

/// A file, or the files in a folder.
fn within(path: PathBuf) -> Vec<PathBuf> {
    if !path.is_dir() {
        return vec![path];
    }
    let entries = std::fs::read_dir(&path).into_iter().flatten().flatten();
    entries.map(|e| e.path()).filter(|p| p.is_file()).collect()
}

/// Files that stand in memory.
#[derive(Default)]
pub struct InMemory(pub BTreeMap<String, String>);

impl Files for InMemory {
    fn read(&self, path: &str) -> Result<String, String> {
        self.0.get(path).cloned().ok_or_else(|| "there is no such file".into())
    }

    fn glob(&self, pattern: &str) -> Result<Vec<String>, String> {
        let pattern = glob::Pattern::new(pattern).map_err(|e| e.to_string())?;
        let options = glob::MatchOptions { require_literal_separator: true, ..glob::MatchOptions::default() };
        Ok(self.0.keys().filter(|name| pattern.matches_with(name, options)).cloned().collect())
    }
}

/// A path that is named in a file, seen from a folder.
pub fn seen_from(folder: &str, path: &str) -> String {
    if Path::new(path).is_absolute() || folder.is_empty() {
        return path.to_string();
    }
    Path::new(folder).join(path).to_string_lossy().into_owned()
}

/// The folder of a file.
pub fn folder_of(path: &str) -> String {
    Path::new(path).parent().map_or_else(String::new, |p| p.to_string_lossy().into_owned())
}
