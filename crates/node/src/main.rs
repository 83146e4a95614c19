//! postusher on real sockets: takes clients' jobs over HTTP, lets the decision module say where each goes, and
//! brings back what becomes of it.
#![forbid(unsafe_code)]

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
mod http;
mod import;
mod intake;
mod invariant;
mod job_status;
mod membership;
mod metrics;
#[cfg(test)]
mod model;
mod net;
mod reload;
mod upgrade_protocol;
mod upstream;

use clap::{Args, Parser, Subcommand};
use clock::Clock;
use config::Config;
use event_loop::EventLoop;
use postusher_setup::Setup;
use reload::Reload;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// A scheduler that spreads jobs over workers by tokens in release order.
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
    /// Read a setup file and name every mistake in it, with its place and what to write instead.
    Check {
        /// The setup, as XML.
        #[arg(value_name = "FILE")]
        setup: PathBuf,
    },
    /// Turn files of Apache or mod_jk into a setup, with an account of what was carried. Exits with 3 where something
    /// was not, with 2 where a file cannot be read.
    #[command(subcommand)]
    Import(import::From),
    /// Read a configuration and say what is wrong with it, if anything.
    CheckConfig(ConfigArg),
    /// Print the version.
    Version,
}

#[derive(Args)]
struct ConfigArg {
    /// The configuration, as JSON.
    #[arg(long, value_name = "FILE", env = "NODE_CONFIG")]
    config: PathBuf,
}

#[derive(Args)]
struct ServeArgs {
    /// The configuration, as JSON; without one, the setup stands alone.
    #[arg(long, value_name = "FILE", env = "NODE_CONFIG")]
    config: Option<PathBuf>,
    /// Where clients connect, in place of what a setup that stands alone says.
    #[arg(long, value_name = "ADDR", conflicts_with = "config")]
    listen: Option<SocketAddr>,
    /// What this scheduler can do beyond the configuration, as XML; without it, nothing more.
    #[arg(long, value_name = "FILE")]
    setup: Option<PathBuf>,
}

fn run(command: Command) -> Result<ExitCode, String> {
    match command {
        Command::Serve(arg) => {
            let (path, setup) = match (arg.config, arg.setup) {
                (Some(path), setup) => (path, setup),
                (None, Some(setup)) => {
                    return direct::serve(setup, arg.listen).map(|()| ExitCode::SUCCESS);
                }
                (None, None) => return Err("say --config FILE, or --setup FILE with pools in it".into()),
            };
            let signals = EventLoop::signals().map_err(|e| format!("signals: {e}"))?;
            let config = Config::load(&path, setup.as_deref())?;
            let (name, reload) = (config.name.clone(), Reload::new(path, setup, &config));
            let serving = EventLoop::new(config, reload, signals, Clock::system()).and_then(|mut l| l.run());
            serving.map_err(|e| format!("{name}: {e}"))?;
        }
        Command::Check { setup } => {
            let Setup { waiting, pools, members, .. } = postusher_setup::load(&setup)?;
            let jobs = waiting.map_or("nothing waits".to_string(), |w| format!("up to {} jobs wait", w.jobs));
            let workers: usize = pools.iter().map(|p| p.workers.len()).sum();
            let member = members
                .map_or(String::new(), |m| format!(", member {} of {}", m.config.name, m.config.cluster));
            let (path, pools) = (setup.display(), pools.len());
            println!("{path}: good; {jobs}, {pools} pools with {workers} workers{member}");
        }
        Command::CheckConfig(arg) => {
            let config = Config::load(&arg.config, None)?;
            let (classes, workers) = (config.site.classes.len(), config.known.entries.len());
            println!("{}: good; {classes} classes, {workers} workers known", arg.config.display());
        }
        Command::Import(from) => return Ok(import::run(from)),
        Command::Version => {
            println!("postusher {}", env!("CARGO_PKG_VERSION"));
        }
    }
    Ok(ExitCode::SUCCESS)
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    run(command).unwrap_or_else(|e| {
        eprintln!("postusher: {e}");
        ExitCode::FAILURE
    })
}
