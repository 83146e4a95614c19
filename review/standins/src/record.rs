//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes a line to standard output; nobody may be reading it.
pub fn print(text: &str) {
    let _ = writeln!(std::io::stdout(), "{text}");
}

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner());
        let _ = writeln!(file, "{now:10.1} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        print(text);
    }
}
