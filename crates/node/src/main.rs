//! The postusher scheduler: accepts jobs from clients over HTTP, sends each job to the worker that the
//! decision module chooses, and returns the answers to the clients.

mod admin;
mod answer;
mod clock;
mod config;
mod connection_id;
mod deferral;
mod direct;
mod discovery;
mod dispatch;
mod downstream;
mod drain;
mod endpoint_list;
mod event_loop;
#[cfg(test)]
mod golden_tests;
mod header_values;
mod http;
mod import;
mod intake;
mod invariant;
mod job_status;
mod job_timers;
mod load_report;
mod log_limit;
mod membership;
mod metrics;
#[cfg(test)]
mod model;
mod net;
mod reload;
mod stable_hash;
mod start_conditions;
mod timers;
mod upgrade_protocol;
mod upstream;
mod worker_protocol;

use clap::{Args, Parser, Subcommand};
use clock::Clock;
use config::{Config, ConfigError};
use event_loop::EventLoop;
use postusher_setup::LoadError;
use reload::Reload;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Exit code of a process whose address other processes serve.
const ADDRESS_IN_USE_EXIT_CODE: u8 = 3;

/// A scheduler that accepts jobs over HTTP and sends each to the worker that fits it best; among equal
/// workers, to the one with the longest-free token.
#[derive(Parser)]
#[command(name = "postusher")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scheduler in the foreground until SIGTERM.
    Serve(ServeArgs),
    /// Check a setup file and report every error in it with its position and a correction.
    Check {
        /// The setup file, in XML.
        #[arg(value_name = "FILE")]
        setup: PathBuf,
    },
    /// Convert files of Apache or mod_jk to a setup and report which directives were imported. Exits with 3
    /// if some were not, with 2 if the import fails.
    #[command(subcommand)]
    Import(import::Source),
    /// Check a configuration file and report the first error in it.
    CheckConfig(ConfigArg),
    /// Print the version.
    Version,
}

#[derive(Args)]
struct ConfigArg {
    /// The configuration file, in JSON.
    #[arg(long, value_name = "FILE", env = "NODE_CONFIG")]
    config: PathBuf,
}

#[derive(Args)]
struct ServeArgs {
    /// The configuration file, in JSON; without one, the pools of the setup are served.
    #[arg(long, value_name = "FILE", env = "NODE_CONFIG")]
    config: Option<PathBuf>,
    /// The address at which clients connect; it overrides the address in a setup with pools.
    #[arg(long, value_name = "ADDR", conflicts_with = "config")]
    listen: Option<SocketAddr>,
    /// The setup file, in XML: with a configuration, optional features; without one, the pools to serve.
    #[arg(long, value_name = "FILE")]
    setup: Option<PathBuf>,
}

/// Reason why a command fails.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    /// The command line names neither a configuration nor a setup.
    #[error("missing option: expected --config FILE, or --setup FILE with pools")]
    NothingToServe,
    /// The signal handlers cannot be registered.
    #[error("cannot register signal handlers: {0}")]
    Signals(io::Error),
    /// The configuration or its setup file cannot be read or is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigError),
    /// The setup file cannot be read or is invalid.
    #[error(transparent)]
    Setup(#[from] LoadError),
    /// The scheduler cannot start or has failed.
    #[error("scheduler {name:?}: {source}")]
    Scheduler {
        /// The name of the scheduler.
        name: String,
        /// The error returned by the operating system, or the reason why membership has ended.
        source: io::Error,
    },
    /// A scheduler that serves the pools of a setup cannot start or has failed.
    #[error(transparent)]
    Direct(#[from] direct::ServeError),
}

impl CommandError {
    /// Returns the exit code of the program.
    fn exit_code(&self) -> ExitCode {
        match self {
            CommandError::Scheduler { source, .. } if source.kind() == io::ErrorKind::AddrInUse => {
                ExitCode::from(ADDRESS_IN_USE_EXIT_CODE)
            }
            _ => ExitCode::FAILURE,
        }
    }
}

fn run(command: Command) -> Result<ExitCode, CommandError> {
    match command {
        Command::Serve(args) => serve(args)?,
        Command::Check { setup } => check_setup(&setup)?,
        Command::CheckConfig(args) => check_config(&args.config)?,
        Command::Import(source) => return Ok(import::run(source)),
        Command::Version => println!("postusher {}", env!("CARGO_PKG_VERSION")),
    }
    Ok(ExitCode::SUCCESS)
}

/// Runs a scheduler with the platform's protocol, whose names are in [`worker_protocol`]. Without a
/// configuration, runs a standalone scheduler for the pools of a setup.
fn serve(args: ServeArgs) -> Result<(), CommandError> {
    let Some(path) = args.config else {
        let setup = args.setup.ok_or(CommandError::NothingToServe)?;
        return Ok(direct::serve(setup, args.listen)?);
    };
    let signals = EventLoop::register_signals().map_err(CommandError::Signals)?;
    let config = Config::load(&path, args.setup.as_deref())?;
    let name = config.name.clone();
    let reload = Reload::new(path, args.setup, &config);
    EventLoop::new(config, reload, signals, Clock::system())
        .and_then(|mut event_loop| event_loop.run())
        .map_err(|source| CommandError::Scheduler { name, source })
}

/// Loads a setup and prints a summary.
fn check_setup(path: &Path) -> Result<(), CommandError> {
    let setup = postusher_setup::load(path)?;
    let deferral = match setup.deferred_jobs {
        Some(limits) => format!("up to {} deferred jobs", limits.max_jobs),
        None => "no deferred jobs".to_string(),
    };
    let workers: usize = setup.pools.iter().map(|pool| pool.workers.len()).sum();
    let membership = match setup.membership {
        Some(members) => format!(", member {} of {}", members.config.name, members.config.cluster),
        None => String::new(),
    };
    let pools = setup.pools.len();
    println!("{}: good; {deferral}, {pools} pools with {workers} workers{membership}", path.display());
    Ok(())
}

/// Loads a configuration and prints a summary.
fn check_config(path: &Path) -> Result<(), CommandError> {
    let config = Config::load(path, None)?;
    let classes = config.site.classes.len();
    let workers = config.cached_list.entries.len();
    println!("{}: good; {classes} classes, {workers} workers in the cached list", path.display());
    Ok(())
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    run(command).unwrap_or_else(|error| {
        eprintln!("postusher: {error}");
        error.exit_code()
    })
}
