//! Soak tests: scenarios generated from a seed, with 10 to 16 scheduler processes and faults that overlap in
//! time. A run passes if it keeps all rules.

use crate::journal::Observation;
use crate::rules;
use crate::runner::Run;
use anyhow::{Context, Result};
use std::path::Path;

mod generator;

pub use generator::generate_scenario;

/// Returns the broken rules of a run, and the lines of the schedulers' logs in the directory `out` that count
/// broken invariants or report a panic. If there are any, the faults and the journal are written to that
/// directory.
///
/// # Errors
/// Returns an error if a log cannot be read or a file cannot be written.
pub fn breaches(run: &Run, out: &Path) -> Result<Vec<String>> {
    let mut broken: Vec<String> = rules::check(run).iter().map(|breach| format!("{breach:?}")).collect();
    for scheduler in 0..run.scenario.schedulers {
        let directory = out.join(format!("scheduler-{scheduler}"));
        let logs =
            std::fs::read_dir(&directory).with_context(|| format!("cannot read {}", directory.display()))?;
        for log in logs {
            let path = log?.path();
            let is_log = path.extension().is_some_and(|extension| extension == "txt");
            let text = if is_log { std::fs::read_to_string(&path)? } else { String::new() };
            let matching = text.lines().filter(|line| line.contains("broken.") || line.contains("panicked"));
            broken.extend(matching.map(|line| format!("{}: {line}", path.display())));
        }
    }
    if !broken.is_empty() {
        std::fs::write(out.join("faults.json"), serde_json::to_vec_pretty(&run.scenario.fault)?)?;
        std::fs::write(out.join("journal.json"), serde_json::to_vec(&run.entries)?)?;
    }
    Ok(broken)
}

/// Returns the outcomes of the jobs of a run, as a line of text.
pub fn summary(run: &Run) -> String {
    let count = |is_counted: fn(&Observation) -> bool| {
        run.entries.iter().filter(|entry| is_counted(&entry.observation)).count()
    };
    let served = count(|seen| matches!(seen, Observation::Answered { status: 200, .. }));
    let refused = count(|seen| matches!(seen, Observation::Answered { status: 503, .. }));
    let failed =
        count(|seen| matches!(seen, Observation::Answered { status, .. } if !matches!(status, 200 | 503)));
    let lost = count(|seen| matches!(seen, Observation::ConnectionLost { .. }));
    let stalls = count(|seen| matches!(seen, Observation::TestBedStalled { .. }));
    format!(
        "{served} served, {refused} refused, {failed} failed, {lost} lost with their schedulers; \
         the test bed stalled {stalls} times"
    )
}
