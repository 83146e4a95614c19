//! The command line interface.

use crate::plan::Plan;
use crate::runner::{self, Options};
use crate::scenario::Scenario;
use crate::{report, rules, soak};
use anyhow::{ensure, Context, Result};
use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use std::io;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use thiserror::Error;
use tokio::runtime::{Builder, Runtime};
use tracing_subscriber::EnvFilter;

/// Exit code if a rule was broken.
const EXIT_RULE_BROKEN: u8 = 1;
/// Exit code if the test bed itself failed.
const EXIT_TEST_BED_FAILED: u8 = 2;
/// Number of steps of the progress bar.
const PROGRESS_STEPS: u64 = 1000;

/// A test bed for postusher: all components around it are mocked, on loopback addresses.
#[derive(Parser)]
#[command(name = "postusher-testbed", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a scenario; exits with 1 if a rule was broken.
    Run(RunArgs),
    /// Run scenarios generated from seeds, one after another; exits with 1 if a rule was broken.
    Soak(SoakArgs),
    /// Compare the reports of two runs on one page.
    Compare {
        /// The directory of the first run.
        a: PathBuf,
        /// The directory of the second run.
        b: PathBuf,
        /// The file to write the page to.
        #[arg(long, default_value = "compare.html")]
        out: PathBuf,
    },
    /// Validate scenarios and report the first error.
    Check {
        /// The scenario files.
        scenarios: Vec<PathBuf>,
    },
}

#[derive(Args)]
struct RunArgs {
    /// The scenario file, in TOML.
    scenario: PathBuf,
    /// The seed of the jobs.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How long clients submit jobs, such as 30s; overrides the scenario.
    #[arg(long = "for", value_name = "SECONDS", value_parser = parse_seconds)]
    duration_s: Option<f64>,
    /// The load, as a fraction of the fleet's capacity; overrides the scenario.
    #[arg(long)]
    load: Option<f64>,
    /// The directory for the report and the logs.
    #[arg(long)]
    out: PathBuf,
    /// The scheduler program; by default the one in the directory of this program.
    #[arg(long)]
    binary: Option<PathBuf>,
    /// Leave out deferred jobs and backlogs, to measure their effect on the other jobs.
    #[arg(long)]
    no_waiting: bool,
}

#[derive(Args)]
struct SoakArgs {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// The number of seeds.
    #[arg(long, default_value_t = 50)]
    seeds: u64,
    /// The directory for the logs, with a subdirectory for each seed.
    #[arg(long)]
    out: PathBuf,
    /// The scheduler program; by default the one in the directory of this program.
    #[arg(long)]
    binary: Option<PathBuf>,
}

/// The result of a command: whether all rules were kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    RulesKept,
    RulesBroken,
}

impl Verdict {
    fn of(all_kept: bool) -> Verdict {
        if all_kept {
            Verdict::RulesKept
        } else {
            Verdict::RulesBroken
        }
    }
}

/// An invalid duration on the command line.
#[derive(Debug, Error)]
#[error("expected a duration above 0 in seconds, such as 30s")]
struct InvalidDuration;

fn parse_seconds(text: &str) -> Result<f64, InvalidDuration> {
    match text.strip_suffix('s').unwrap_or(text).parse::<f64>() {
        Ok(seconds) if seconds > 0.0 && seconds.is_finite() => Ok(seconds),
        _ => Err(InvalidDuration),
    }
}

/// Parses the command line of this process and runs the command.
pub fn main() -> ExitCode {
    let command = Cli::parse().command;
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| "warn".into());
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(io::stderr).init();
    match run_command(command) {
        Ok(Verdict::RulesKept) => ExitCode::SUCCESS,
        Ok(Verdict::RulesBroken) => ExitCode::from(EXIT_RULE_BROKEN),
        Err(error) => {
            eprintln!("postusher-testbed: {error:#}");
            ExitCode::from(EXIT_TEST_BED_FAILED)
        }
    }
}

fn run_command(command: Command) -> Result<Verdict> {
    match command {
        Command::Run(args) => run(args),
        Command::Soak(args) => run_soak(args),
        Command::Compare { a, b, out } => compare(&a, &b, &out),
        Command::Check { scenarios } => check(&scenarios),
    }
}

fn run(args: RunArgs) -> Result<Verdict> {
    let mut scenario = Scenario::load(&args.scenario)?;
    scenario.seconds = args.duration_s.unwrap_or(scenario.seconds);
    scenario.load = args.load.unwrap_or(scenario.load);
    let binary = scheduler_program(args.binary)?;
    ensure!(
        binary.exists(),
        "the scheduler program {} does not exist: build it, or pass the path of another one with --binary",
        binary.display()
    );
    let mut plan = Plan::generate(&scenario, args.seed);
    if args.no_waiting {
        let is_immediate = |job: &crate::plan::Job| !job.is_deferred() && !job.in_backlog;
        plan = Plan::of(plan.jobs.into_iter().filter(is_immediate).collect());
    }
    let bar = ProgressBar::new(PROGRESS_STEPS);
    bar.set_style(ProgressStyle::with_template("{bar:40} {percent:>3}%  {elapsed}")?);
    let progress_bar = bar.clone();
    let progress = move |fraction: f64| progress_bar.set_position((fraction * PROGRESS_STEPS as f64) as u64);
    let options = Options { binary, out: args.out.clone(), seed: args.seed, client_proxy: None };
    let run = runner::run_plan(&scenario, plan.into(), &options, progress);
    let run = runtime()?.block_on(run)?;
    bar.finish_and_clear();
    let report = report::report(&run, args.seed, rules::check(&run))?;
    report::write(&report, &args.out)?;
    println!("{}", report.about);
    for line in report.lines() {
        println!("{line}");
    }
    println!("report: {}", args.out.join("report.html").display());
    Ok(Verdict::of(report.breaches.is_empty()))
}

fn run_soak(args: SoakArgs) -> Result<Verdict> {
    let binary = scheduler_program(args.binary)?;
    let mut all_kept = true;
    for seed in args.seed..args.seed + args.seeds {
        let out = args.out.join(format!("seed-{seed}"));
        let options = Options { binary: binary.clone(), out, seed, client_proxy: None };
        let scenario = soak::generate_scenario(seed);
        let run = runtime()?.block_on(runner::run_scenario(&scenario, &options, |_| {}))?;
        let breaches = soak::breaches(&run, &options.out)?;
        println!("{}: {}", scenario.about, soak::summary(&run));
        for breach in &breaches {
            println!("  broken: {breach:?}");
        }
        all_kept &= breaches.is_empty();
    }
    Ok(Verdict::of(all_kept))
}

fn compare(first: &Path, second: &Path, out: &Path) -> Result<Verdict> {
    let reports = [report::read(first)?, report::read(second)?];
    let names = [directory_name(first), directory_name(second)];
    for (name, report) in names.iter().zip(&reports) {
        println!("{name}: {}", report.about);
        for line in report.lines() {
            println!("  {line}");
        }
    }
    let page = report::render(&[(&names[0], &reports[0]), (&names[1], &reports[1])])?;
    std::fs::write(out, page).with_context(|| format!("cannot write {}", out.display()))?;
    println!("page: {}", out.display());
    Ok(Verdict::RulesKept)
}

fn check(scenarios: &[PathBuf]) -> Result<Verdict> {
    for path in scenarios {
        let scenario = Scenario::load(path)?;
        let capacity = scenario.capacity();
        let rate = scenario.load * capacity;
        println!("{}: good; {rate:.0} of {capacity:.0} jobs per second", path.display());
    }
    Ok(Verdict::RulesKept)
}

/// Returns the path of the scheduler program: the given one or, by default, that of `postusher` in the
/// directory of this program.
fn scheduler_program(given: Option<PathBuf>) -> Result<PathBuf> {
    match given {
        Some(path) => Ok(path),
        None => runner::built_program("postusher"),
    }
}

fn directory_name(directory: &Path) -> String {
    match directory.file_name() {
        Some(name) => name.to_string_lossy().into_owned(),
        None => directory.display().to_string(),
    }
}

fn runtime() -> Result<Runtime> {
    Ok(Builder::new_multi_thread().enable_all().build()?)
}
