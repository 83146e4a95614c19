//! postusher on real sockets: takes clients' jobs over HTTP, lets the decision module say where each goes, and
//! brings back what becomes of it.
#![forbid(unsafe_code)]

mod answer;
mod clock;
mod config;
mod dispatch;
mod drain;
mod event_loop;
mod figures;
mod forward;
mod handover;
mod http;
mod intake;
mod invariant;
mod listener;
mod management;
#[cfg(test)]
mod model;
mod news;
mod reload;
mod target_group;

use clap::{Args, Parser, Subcommand};
use clock::Clock;
use config::Config;
use event_loop::EventLoop;
use reload::Reload;
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
    Serve(ConfigArg),
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

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Serve(arg) => {
            let signals = EventLoop::signals().map_err(|e| format!("signals: {e}"))?;
            let config = Config::load(&arg.config)?;
            let (name, reload) = (config.name.clone(), Reload::new(arg.config, &config));
            let serving = EventLoop::new(config, reload, signals, Clock::system()).and_then(|mut l| l.run());
            serving.map_err(|e| format!("{name}: {e}"))
        }
        Command::CheckConfig(arg) => {
            let config = Config::load(&arg.config)?;
            let (classes, targets) = (config.site.classes.len(), config.known.entries.len());
            println!("{}: good; {classes} classes, {targets} targets known", arg.config.display());
            Ok(())
        }
        Command::Version => {
            println!("postusher {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    match run(command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("postusher: {e}");
            ExitCode::FAILURE
        }
    }
}
