//! The rule that schedulers stay within their memory limit.

use super::Rule;
use crate::journal::Observation;
use crate::runner::Run;

/// KiB in a MiB.
const KIB_PER_MIB: f64 = 1024.0;

/// Checks the peak of each process against the limit, and names the fault that began last before it.
pub(super) fn check_memory(run: &Run, add: &mut impl FnMut(Rule, String)) {
    let mut last_fault = "none";
    for entry in &run.entries {
        match &entry.observation {
            Observation::Fault { description } => last_fault = description,
            Observation::SchedulerMemory { scheduler, peak_kib } => {
                let peak_mib = *peak_kib as f64 / KIB_PER_MIB;
                if peak_mib > run.scenario.memory_mib {
                    add(
                        Rule::MemoryLimit,
                        format!(
                            "scheduler {scheduler} uses {peak_mib:.0} MiB at {:.0} ms, after the fault {last_fault}",
                            entry.at
                        ),
                    );
                }
            }
            _ => {}
        }
    }
}
