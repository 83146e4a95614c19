//! `postusher-testbed`: plays scenarios against the real program and says what it saw.
#![forbid(unsafe_code)]

use anyhow::{Context, Result};
use clap::{Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use postusher_testbed::scenario::Scenario;
use postusher_testbed::{bench, report, rules, soak};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// A laboratory for postusher: everything around it is played, on loopback addresses.
#[derive(Parser)]
#[command(name = "postusher-testbed", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a scenario; exits with 1 where a rule was broken.
    Run {
        /// The scenario, as TOML.
        scenario: PathBuf,
        /// Seed of the jobs.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// For how long clients bring jobs, in place of what the scenario says, such as 30s.
        #[arg(long = "for", value_parser = seconds)]
        lasts: Option<f64>,
        /// The load, in place of what the scenario says.
        #[arg(long)]
        load: Option<f64>,
        /// Where the report and the logs go.
        #[arg(long)]
        out: PathBuf,
        /// The program; else the one that was built along with this.
        #[arg(long)]
        binary: Option<PathBuf>,
        /// Leave the jobs out that wait, to see what they cost the others.
        #[arg(long)]
        no_waiting: bool,
    },
    /// Play scenarios drawn from seeds, one after another; exits with 1 where a rule was broken.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds.
        #[arg(long, default_value_t = 50)]
        seeds: u64,
        /// Where the logs go, a folder for each seed.
        #[arg(long)]
        out: PathBuf,
        /// The program; else the one that was built along with this.
        #[arg(long)]
        binary: Option<PathBuf>,
    },
    /// Show two runs side by side.
    Compare {
        /// The folder of one.
        a: PathBuf,
        /// And of the other.
        b: PathBuf,
        /// Where the page goes.
        #[arg(long, default_value = "compare.html")]
        out: PathBuf,
    },
    /// Read scenarios and say what is wrong with them, if anything.
    Check {
        /// The scenarios.
        scenarios: Vec<PathBuf>,
    },
}

fn seconds(text: &str) -> Result<f64, String> {
    let number = text.strip_suffix('s').unwrap_or(text).parse::<f64>();
    number.ok().filter(|s| *s > 0.0 && s.is_finite()).ok_or_else(|| "write seconds, such as 30s".into())
}

fn name(folder: &Path) -> String {
    folder.file_name().map_or_else(|| folder.display().to_string(), |n| n.to_string_lossy().into_owned())
}

fn run(command: Command) -> Result<bool> {
    match command {
        Command::Run { scenario, seed, lasts, load, out, binary, no_waiting } => {
            let mut scenario = Scenario::load(&scenario)?;
            scenario.seconds = lasts.unwrap_or(scenario.seconds);
            scenario.load = load.unwrap_or(scenario.load);
            let binary = binary.map_or_else(|| bench::beside("postusher"), Ok)?;
            anyhow::ensure!(binary.exists(), "{} is not there: build the program first", binary.display());
            let bar = ProgressBar::new(1000);
            bar.set_style(ProgressStyle::with_template("{bar:40} {percent:>3}%  {elapsed}")?);
            let shown = bar.clone();
            let options = bench::Options { binary, out: out.clone(), seed, between: None };
            let mut plan = postusher_testbed::plan::Plan::draw(&scenario, seed);
            if no_waiting {
                plan = postusher_testbed::plan::Plan::of(
                    plan.jobs.into_iter().filter(|j| !j.waits() && !j.backlog).collect(),
                );
            }
            let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
            let progress = move |part: f64| shown.set_position((part * 1e3) as u64);
            let played = bench::play_plan(&scenario, plan.into(), &options, progress);
            let played = runtime.block_on(played)?;
            bar.finish_and_clear();
            let report = report::report(&played, seed, rules::check(&played))?;
            report::write(&report, &out)?;
            println!("{}", report.about);
            report.lines().iter().for_each(|line| println!("{line}"));
            println!("report: {}", out.join("report.html").display());
            Ok(report.breaches.is_empty())
        }
        Command::Soak { seed, seeds, out, binary } => {
            let binary = binary.map_or_else(|| bench::beside("postusher"), Ok)?;
            let mut all_kept = true;
            for seed in seed..seed + seeds {
                let options = bench::Options {
                    binary: binary.clone(),
                    out: out.join(format!("seed-{seed}")),
                    seed,
                    between: None,
                };
                let scenario = soak::draw(seed);
                let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
                let played = runtime.block_on(bench::play(&scenario, &options, |_| {}))?;
                let breaches = soak::breaches(&played, &options.out)?;
                println!("{}: {}", scenario.about, soak::summary(&played));
                breaches.iter().for_each(|breach| println!("  broken: {breach:?}"));
                all_kept &= breaches.is_empty();
            }
            Ok(all_kept)
        }
        Command::Compare { a, b, out } => {
            let (one, other) = (report::read(&a)?, report::read(&b)?);
            for (folder, report) in [(&a, &one), (&b, &other)] {
                println!("{}: {}", name(folder), report.about);
                report.lines().iter().for_each(|line| println!("  {line}"));
            }
            let page = report::render(&[(&name(&a), &one), (&name(&b), &other)])?;
            std::fs::write(&out, page).with_context(|| format!("{}", out.display()))?;
            println!("page: {}", out.display());
            Ok(true)
        }
        Command::Check { scenarios } => {
            for path in scenarios {
                let s = Scenario::load(&path)?;
                println!(
                    "{}: good; {:.0} jobs a second of {:.0}",
                    path.display(),
                    s.load * s.capacity(),
                    s.capacity()
                );
            }
            Ok(true)
        }
    }
}

fn main() -> ExitCode {
    let command = Cli::parse().command;
    let filter = tracing_subscriber::EnvFilter::try_from_default_env().unwrap_or_else(|_| "warn".into());
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
    match run(command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("postusher-testbed: {e:#}");
            ExitCode::from(2)
        }
    }
}
