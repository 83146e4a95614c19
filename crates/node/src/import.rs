//! The command `postusher import`, which converts configuration files of Apache and mod_jk to a setup and
//! reports the result for each directive.

use clap::{Args, Subcommand};
use postusher_import::files::Disk;
use postusher_import::{apache, mod_jk, AjpMapping};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code of an import that failed, for example because a file cannot be read or an option is malformed;
/// also the exit code of `clap` for an invalid command line.
const EXIT_FAILED: u8 = 2;
/// Exit code of an import in which some directives were not imported.
const EXIT_INCOMPLETE: u8 = 3;

/// Source of an import.
#[derive(Subcommand)]
pub enum Source {
    /// Import Apache configuration files with balancers; several files are read in order as one.
    Apache {
        /// The configuration files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<String>,
        #[command(flatten)]
        output: Output,
    },
    /// Import a worker file of mod_jk.
    #[command(name = "mod_jk")]
    ModJk {
        /// The worker file.
        #[arg(value_name = "workers.properties")]
        workers: String,
        /// The file that maps paths to workers.
        #[arg(long, value_name = "uriworkermap.properties")]
        map: Option<String>,
        #[command(flatten)]
        output: Output,
    },
}

/// Options for the output of an import and for the mapping of AJP addresses.
#[derive(Args)]
pub struct Output {
    /// Write the setup to this file instead of standard output.
    #[arg(short, long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// Write the report as JSON to this file instead of as text to standard error.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Map the AJP address of a worker to its HTTP address.
    #[arg(long, value_name = "HOST:PORT=HOST:PORT")]
    ajp_as_http: Vec<String>,
    /// Map the AJP port of workers to their HTTP port.
    #[arg(long, value_name = "PORT=PORT")]
    ajp_port_map: Vec<String>,
}

/// Reason why an import fails.
#[derive(Debug, thiserror::Error)]
enum ImportError {
    /// An option with an AJP mapping is malformed.
    #[error("{0}")]
    AjpOption(String),
    /// A configuration file cannot be read or has the wrong format.
    #[error("{0}")]
    Input(String),
    /// The report cannot be serialized as JSON.
    #[error("cannot write the report as JSON: {0}")]
    Report(#[from] serde_json::Error),
    /// A file cannot be written.
    #[error("cannot write {}: {source}", .path.display())]
    Write {
        /// The path of the file.
        path: PathBuf,
        /// The error returned by the operating system.
        source: io::Error,
    },
}

/// Outcome of an import that did not fail.
enum Outcome {
    /// All directives were imported.
    Complete,
    /// Some directives were not imported.
    Incomplete,
}

/// Runs an import, prints its error if it fails, and returns the exit code of the process.
pub fn run(source: Source) -> ExitCode {
    match import(source) {
        Ok(Outcome::Complete) => ExitCode::SUCCESS,
        Ok(Outcome::Incomplete) => ExitCode::from(EXIT_INCOMPLETE),
        Err(error) => {
            eprintln!("postusher: {error}");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Converts the files and writes the setup and the report.
fn import(source: Source) -> Result<Outcome, ImportError> {
    let output = source.output();
    let ajp = output.ajp_mapping()?;
    let imported = match &source {
        Source::Apache { files, .. } => apache::import(files, &Disk, &ajp),
        Source::ModJk { workers, map, .. } => mod_jk::import(workers, map.as_deref(), &Disk, &ajp),
    };
    let imported = imported.map_err(|error| ImportError::Input(error.to_string()))?;
    let setup = imported.setup_xml();
    match &output.out {
        Some(path) => write(path, setup.as_bytes())?,
        None => print!("{setup}"),
    }
    match &output.report {
        Some(path) => write(path, &serde_json::to_vec_pretty(&imported.report)?)?,
        None => eprint!("{}", imported.report),
    }
    if imported.report.is_incomplete() {
        Ok(Outcome::Incomplete)
    } else {
        Ok(Outcome::Complete)
    }
}

fn write(path: &Path, bytes: &[u8]) -> Result<(), ImportError> {
    std::fs::write(path, bytes).map_err(|source| ImportError::Write { path: path.to_path_buf(), source })
}

impl Source {
    fn output(&self) -> &Output {
        match self {
            Source::Apache { output, .. } | Source::ModJk { output, .. } => output,
        }
    }
}

impl Output {
    /// Returns the mapping of AJP addresses and ports to HTTP.
    fn ajp_mapping(&self) -> Result<AjpMapping, ImportError> {
        let mut ajp = AjpMapping::default();
        for text in &self.ajp_as_http {
            ajp.add_address(text).map_err(|error| ImportError::AjpOption(error.to_string()))?;
        }
        for text in &self.ajp_port_map {
            ajp.add_port(text).map_err(|error| ImportError::AjpOption(error.to_string()))?;
        }
        Ok(ajp)
    }
}
