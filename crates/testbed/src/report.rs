//! The report of a run: figures, plots and broken rules, as JSON and as a self-contained HTML page.

mod figures;
mod plots;

pub use figures::report;

use crate::rules::Breach;
use anyhow::{Context, Result};
use minijinja::{context, Environment};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// Interval between the points of a time series, in milliseconds.
const STEP_MS: f64 = 500.0;

/// All figures of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Report {
    /// The description of the scenario.
    pub about: String,
    /// The seed of the jobs.
    pub seed: u64,
    /// How long clients submitted jobs, in seconds.
    pub seconds: f64,
    /// The number of jobs sent.
    pub jobs: usize,
    /// The smallest and the largest number of answers to a job, of jobs whose client stayed connected.
    pub answers: [usize; 2],
    /// Figures by class.
    pub classes: BTreeMap<String, ClassFigures>,
    /// The number of jobs that are not deferred.
    #[serde(rename = "fresh")]
    pub immediate_jobs: usize,
    /// The rejected fraction of the jobs that are not deferred.
    #[serde(rename = "fresh_refused")]
    pub immediate_rejected_fraction: f64,
    /// Figures of deferred jobs.
    pub waiting: DeferredJobFigures,
    /// The largest number of deferred jobs that a scheduler held at a time, by its own statistics.
    #[serde(rename = "most_held")]
    pub max_held: u64,
    /// The largest resident memory of a scheduler, in KiB.
    #[serde(rename = "most_resident_kib")]
    pub max_resident_kib: u64,
    /// The faults of the scenario, each with its time in milliseconds.
    pub faults: Vec<(f64, String)>,
    /// The broken rules.
    pub breaches: Vec<Breach>,
    /// The plotted time series.
    pub series: Series,
    /// The views that the members of a group had of each other over time.
    #[serde(default, rename = "believed")]
    pub member_views: Vec<ViewInterval>,
}

/// An interval in which one member had the same view of another. A member's view of itself is `m` while it
/// has detected that it is in the minority.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ViewInterval {
    /// The observing member.
    pub by: usize,
    /// The observed member.
    pub of: usize,
    /// The start, in milliseconds.
    pub from: f64,
    /// The end, in milliseconds.
    pub to: f64,
    /// The state, as in [`crate::journal::Observation::View`].
    pub state: char,
}

/// Figures of a class.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassFigures {
    /// The number of jobs sent.
    pub sent: usize,
    /// Jobs answered with 200.
    pub served: usize,
    /// Jobs answered with 429 or 503.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Jobs answered with any other status.
    pub failed: usize,
    /// Jobs without an answer: the client disconnected or timed out, or the connection was lost.
    pub other: usize,
    /// The number of answers by status.
    pub statuses: BTreeMap<u16, usize>,
    /// The latency of served jobs in milliseconds, from the submission or, for deferred jobs, from when they
    /// became ready: the median and the 90th, 99th and 99.9th percentile.
    pub latency: [f64; 4],
    /// The latency curve: a quantile from 0 to 1, and milliseconds.
    pub curve: Vec<(f64, f64)>,
}

/// Figures of deferred jobs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DeferredJobFigures {
    /// The number of deferred jobs sent.
    pub sent: usize,
    /// Jobs that became ready and either reached a worker or were answered after that.
    pub ready: usize,
    /// Jobs answered with 200.
    pub served: usize,
    /// Jobs answered with 424: a dependency was not served.
    #[serde(rename = "doomed")]
    pub dependency_failed: usize,
    /// Jobs answered with 503.
    #[serde(rename = "refused")]
    pub rejected: usize,
    /// Milliseconds from when jobs became ready to their first arrival at a worker or, if they reached none,
    /// to their answer: the median, the 99th percentile and the maximum.
    pub wait: [f64; 3],
}

/// The plotted time series, with a point for each step of half a second.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Series {
    /// The number of answers in each step: served, rejected, failed.
    pub answers: Vec<[f64; 3]>,
    /// The number of deferred jobs held by all schedulers.
    pub held: Vec<f64>,
    /// The number of jobs that all schedulers have accepted and not answered yet, including deferred ones.
    pub in_flight: Vec<f64>,
    /// The mean number of slots in use in each step, by worker.
    pub load: Vec<Vec<f64>>,
}

/// Writes `report.json` and `report.html` into the directory `out`.
///
/// # Errors
/// Returns an error if the page cannot be rendered or a file cannot be written.
pub fn write(report: &Report, out: &Path) -> Result<()> {
    std::fs::create_dir_all(out).with_context(|| format!("cannot create {}", out.display()))?;
    std::fs::write(out.join("report.json"), serde_json::to_vec_pretty(report)?)?;
    let page = render(&[("", report)])?;
    std::fs::write(out.join("report.html"), page)?;
    Ok(())
}

/// Renders a page that shows one or several runs, each with its name, with their lines in the same plots.
///
/// # Errors
/// Returns an error if the template or a plot cannot be rendered.
pub fn render(runs: &[(&str, &Report)]) -> Result<String> {
    let mut templates = Environment::new();
    templates.add_template("report.html", include_str!("../templates/report.html"))?;
    let reports: Vec<_> = runs.iter().map(|(name, r)| context! { name, r }).collect();
    let context = context! { runs => reports, plots => plots::plots(runs)? };
    Ok(templates.get_template("report.html")?.render(context)?)
}

/// Reads the report in the directory of a run.
///
/// # Errors
/// Returns an error if there is no report or it has the format of another version.
pub fn read(directory: &Path) -> Result<Report> {
    let path = directory.join("report.json");
    let text = std::fs::read(&path).with_context(|| format!("cannot read {}", path.display()))?;
    serde_json::from_slice(&text).with_context(|| format!("invalid report {}", path.display()))
}

impl Report {
    /// Returns the figures as a few lines of text.
    pub fn lines(&self) -> Vec<String> {
        let mut lines = vec![format!(
            "{} jobs in {:.0} s, each with {} to {} answers; seed {}",
            self.jobs, self.seconds, self.answers[0], self.answers[1], self.seed
        )];
        for (name, class) in &self.classes {
            lines.push(class.line(name));
        }
        if self.waiting.sent > 0 {
            lines.push(self.waiting_line());
        }
        lines.push(format!(
            "jobs that are not deferred: {:.2}% of {} refused; memory of a scheduler: at most {:.1} MiB",
            100.0 * self.immediate_rejected_fraction,
            self.immediate_jobs,
            self.max_resident_kib as f64 / 1024.0
        ));
        if self.breaches.is_empty() {
            lines.push("rules: all kept".into());
        }
        for breach in &self.breaches {
            let examples = breach.examples.join("; ");
            lines.push(format!("RULE BROKEN {:?}, {} times: {examples}", breach.rule, breach.count));
        }
        lines
    }

    fn waiting_line(&self) -> String {
        let waiting = &self.waiting;
        let [median, p99, longest] = waiting.wait;
        format!(
            "waiting: {} jobs, {} doomed, {} refused; ready wait p50 {median:.0}, p99 {p99:.0}, \
             longest {longest:.0} ms; at most {} held",
            waiting.sent, waiting.dependency_failed, waiting.rejected, self.max_held
        )
    }
}

impl ClassFigures {
    fn line(&self, name: &str) -> String {
        let [p50, _, p99, _] = self.latency;
        format!(
            "{name:<14} sent {:>6}  served {:>6}  refused {:>5}  failed {:>5}  p50 {p50:>6.0} ms  \
             p99 {p99:>6.0} ms",
            self.sent, self.served, self.rejected, self.failed
        )
    }
}
