//! `postusher import`: files of Apache and mod_jk turned into a setup, with an account of what became of them.

use clap::{Args, Subcommand};
use postusher_import::files::Disk;
use postusher_import::{apache, mod_jk, Ajp};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A file could not be read, or is none of its kind; or the command line is wrong.
const UNREADABLE: u8 = 2;
/// Something was not carried.
const LACKS: u8 = 3;

/// What is imported.
#[derive(Subcommand)]
pub enum From {
    /// Apache configurations with balancers, read in order as one.
    Apache {
        /// The files.
        #[arg(required = true, value_name = "FILE")]
        files: Vec<String>,
        #[command(flatten)]
        to: To,
    },
    /// A worker file of mod_jk.
    #[command(name = "mod_jk")]
    ModJk {
        /// The worker file.
        #[arg(value_name = "workers.properties")]
        workers: String,
        /// The map of paths to workers.
        #[arg(long, value_name = "uriworkermap.properties")]
        map: Option<String>,
        #[command(flatten)]
        to: To,
    },
}

/// Where the setup goes, and what is said of AJP.
#[derive(Args)]
pub struct To {
    /// The setup; else it goes to standard output.
    #[arg(short, long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// The account as JSON; else it goes to standard error as text.
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Where a worker that is named by an AJP address speaks HTTP.
    #[arg(long, value_name = "HOST:PORT=HOST:PORT")]
    ajp_as_http: Vec<String>,
    /// The port at which workers at an AJP port speak HTTP.
    #[arg(long, value_name = "PORT=PORT")]
    ajp_port_map: Vec<String>,
}

/// Runs an import; says by the exit code how it went.
pub fn run(from: From) -> ExitCode {
    match import(from) {
        Ok(lacks) => ExitCode::from(if lacks { LACKS } else { 0 }),
        Err(e) => {
            eprintln!("postusher: {e}");
            ExitCode::from(UNREADABLE)
        }
    }
}

/// Says whether something was not carried.
fn import(from: From) -> Result<bool, String> {
    let (to, imported) = match from {
        From::Apache { files, to } => {
            let imported = apache::import(&files, &Disk, &to.ajp()?);
            (to, imported)
        }
        From::ModJk { workers, map, to } => {
            let imported = mod_jk::import(&workers, map.as_deref(), &Disk, &to.ajp()?);
            (to, imported)
        }
    };
    let imported = imported.map_err(|e| e.to_string())?;
    let setup = imported.setup();
    match &to.out {
        Some(path) => write(path, setup.as_bytes())?,
        None => print!("{setup}"),
    }
    match &to.report {
        Some(path) => {
            let json = serde_json::to_vec_pretty(&imported.account).map_err(|e| e.to_string())?;
            write(path, &json)?;
        }
        None => eprint!("{}", imported.account),
    }
    Ok(imported.account.lacks())
}

fn write(path: &Path, bytes: &[u8]) -> Result<(), String> {
    std::fs::write(path, bytes).map_err(|e| format!("{}: {e}", path.display()))
}

impl To {
    fn ajp(&self) -> Result<Ajp, String> {
        let mut ajp = Ajp::default();
        self.ajp_as_http.iter().try_for_each(|text| ajp.address(text))?;
        self.ajp_port_map.iter().try_for_each(|text| ajp.port(text))?;
        Ok(ajp)
    }
}
