//! A short soak test: a few seeds, each with its own overlapping faults. For longer runs use
//! `postusher-testbed soak --seeds 50`.

use postusher_testbed::runner::{built_program, run_scenario, Options};
use postusher_testbed::scenario::{Fault, FaultKind, Scenario};
use postusher_testbed::soak;
use std::path::Path;

/// Runs the scenario of a seed and asserts that neither the observations of the scheduler's peers nor the
/// schedulers' logs show a violated invariant.
fn assert_invariants_hold(seed: u64) {
    let binary = built_program("postusher").unwrap();
    assert!(binary.exists(), "build the program first: cargo build -p postusher-node");
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let options = Options { binary, out, seed, client_proxy: None };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build().unwrap();
    let run = runtime.block_on(run_scenario(&soak::generate_scenario(seed), &options, |_| {})).unwrap();
    let breaches = soak::breaches(&run, &options.out).unwrap();
    assert!(breaches.is_empty(), "{}: {breaches:#?}", soak::summary(&run));
}

#[test]
fn soak_upholds_invariants_under_overlapping_faults() {
    (1..=2).for_each(assert_invariants_hold);
}

#[test]
fn soak_upholds_invariants_under_many_idle_connections() {
    (3..=4).for_each(assert_invariants_hold);
}

/// A soak failure is reproducible only if its seed always generates the same scenario.
#[test]
fn soak_scenario_depends_on_its_seed_only() {
    let scenario_text = |seed| toml::to_string(&soak::generate_scenario(seed)).unwrap();
    assert!(scenario_text(5) == scenario_text(5) && scenario_text(5) != scenario_text(6));
}

/// The generator must not lose one of the faults that a soak of 50 seeds is to inject.
#[test]
fn fifty_seeds_contain_each_required_fault() {
    let scenarios: Vec<Scenario> = (1..=50).map(soak::generate_scenario).collect();
    let with_fault = |kind: FaultKind| {
        scenarios.iter().filter(|scenario| scenario.fault.iter().any(|fault| fault.kind == kind)).count()
    };
    for kind in [
        FaultKind::TermThenKill,
        FaultKind::Signals,
        FaultKind::Reload,
        FaultKind::Crowd,
        FaultKind::Upgrade,
        FaultKind::UpgradeUnderSignals,
        FaultKind::LateConnections,
        FaultKind::Fail,
        FaultKind::Flood,
        FaultKind::BreakThenFail,
        FaultKind::InvalidReports,
        FaultKind::PartialRequests,
    ] {
        assert!(with_fault(kind) >= 5, "{kind:?} in {} of 50 seeds", with_fault(kind));
    }
    // Clients use open connections for as long as they submit jobs, so also between SIGTERM and the kill.
    assert!(scenarios.iter().all(|scenario| scenario.load > 0.0));
    let has_upgrade_under_load = |scenario: &&Scenario| {
        let is_upgrade = |fault: &Fault| fault.kind == FaultKind::Upgrade && fault.at_s < scenario.seconds;
        scenario.setup.is_some() && scenario.waiting.share > 0.0 && scenario.fault.iter().any(is_upgrade)
    };
    assert!(scenarios.iter().filter(has_upgrade_under_load).count() >= 5);
}
