//! Generates the scenarios of soak tests.

use crate::scenario::{Class, DeferredJobs, Effect, Fault, FaultKind, Fleet, Scenario};
use rand::seq::IndexedRandom;
use rand::Rng;
use rand_chacha::rand_core::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// How long clients submit jobs, in seconds.
const DURATION_S: f64 = 14.0;
/// Earliest and latest start of a fault, in seconds.
const FAULT_START_S: [f64; 2] = [1.0, 11.0];
/// Minimum and maximum number of faults of a run, besides a crowd and the faults of a release.
const FAULT_COUNT: [usize; 2] = [8, 14];
/// Choices for the number of additional workers on the endpoint list.
const LISTED_CHOICES: [usize; 4] = [0, 200, 800, 3_200];
/// How long a process is paused, in seconds. By the documentation for operators, deadlines and time windows
/// must tolerate such a pause.
const PAUSE_S: f64 = 0.12;
/// Descriptor limit of each scheduler: fewer than the connections of a crowd.
const DESCRIPTOR_LIMIT: usize = 256;
/// Number of connections of a crowd.
const CROWD_CONNECTIONS: f64 = 300.0;
/// Memory limit of each scheduler, in MiB: the lowest that operators set.
const MEMORY_LIMIT_MIB: f64 = 32.0;
/// Shortest and longest window for retries in runs with late retries, in milliseconds.
const SHORT_WINDOW_MS: [f64; 2] = [800.0, 2_000.0];
/// Least time that clients of keyed jobs wait in runs with late retries, in milliseconds.
const MIN_PATIENCE_MS: f64 = 3_000.0;
/// Connect timeout in runs with late retries, in milliseconds: longer than a connection takes that comes up a
/// second late.
const LONG_CONNECT_TIMEOUT_MS: f64 = 1_500.0;
/// Connect timeout in other runs, in milliseconds.
const CONNECT_TIMEOUT_MS: f64 = 200.0;
/// Duration of the faults that cause late retries, in seconds.
const LATE_RETRIES_S: f64 = 6.0;
/// Duration of a flood, in seconds, and its number of connections.
const FLOOD_S: f64 = 10.0;
const FLOOD_CONNECTIONS: f64 = 4.0;

/// Number of clients that stop within a request, and the descriptor limit of the schedulers in such runs, which
/// leaves room for all of them.
const PARTIAL_REQUESTS: f64 = 600.0;
const PARTIAL_REQUESTS_DESCRIPTOR_LIMIT: usize = 1_024;
/// Duration of wrong load reports, of clients that stop within a request, and of workers whose connections end
/// under first attempts, in seconds.
const MISBEHAVIOUR_S: f64 = 4.0;

/// Setup of the schedulers in runs with upgrades.
const DEFERRAL_SETUP: &str = "<postusher><waiting/></postusher>";

/// The kinds of faults; more likely kinds are listed several times.
const FAULT_KINDS: [FaultKind; 19] = [
    FaultKind::Crash,
    FaultKind::Hang,
    FaultKind::Slow,
    FaultKind::Refuse,
    FaultKind::Break,
    FaultKind::Drain,
    FaultKind::Drain,
    FaultKind::Drain,
    FaultKind::Late,
    FaultKind::Replace,
    FaultKind::Replace,
    FaultKind::Discovery,
    FaultKind::CutLists,
    FaultKind::SlowLists,
    FaultKind::Kill,
    FaultKind::TermThenKill,
    FaultKind::Signals,
    FaultKind::Pause,
    FaultKind::Reload,
];

fn draw_class(rng: &mut ChaCha8Rng, name: &str, effect: Effect) -> Class {
    Class {
        name: name.into(),
        share: rng.random_range(0.2..1.0),
        mean_ms: rng.random_range(30.0..150.0),
        slots: 1,
        effect,
        client_timeout_ms: rng.random_range(900.0..4_000.0),
        latency_objective_ms: 400.0,
        deduplication_window_ms: 30_000.0,
    }
}

/// Draws slow workers that run jobs and report them as failed, and at the same time late connections to the
/// other workers of their cells, so that connections for retries are established late. The window in which
/// retries are allowed is short, and clients wait for longer.
fn draw_late_retries(rng: &mut ChaCha8Rng, scenario: &mut Scenario) {
    let window_ms = rng.random_range(SHORT_WINDOW_MS[0]..SHORT_WINDOW_MS[1]);
    for class in scenario.class.iter_mut().filter(|class| class.effect == Effect::ByKey) {
        class.deduplication_window_ms = window_ms;
        class.client_timeout_ms = class.client_timeout_ms.max(MIN_PATIENCE_MS);
    }
    scenario.connect_timeout_ms = LONG_CONNECT_TIMEOUT_MS;
    let at_s = rng.random_range(FAULT_START_S[0]..FAULT_START_S[1] / 2.0);
    let late = rng.random_range(0..scenario.fleet.cell);
    let (late_workers, failing_workers): (Vec<usize>, Vec<usize>) =
        (0..scenario.fleet.workers).partition(|number| number % scenario.fleet.cell == late);
    for (kind, targets) in [
        (FaultKind::LateConnections, late_workers),
        (FaultKind::Fail, failing_workers.clone()),
        (FaultKind::Slow, failing_workers),
    ] {
        let fault = draw_fault(rng, kind, scenario.schedulers, scenario.fleet.workers);
        scenario.fault.push(Fault { at_s, targets, duration_s: LATE_RETRIES_S, ..fault });
    }
}

/// Draws a scheduler to which clients send at full speed what is rejected.
fn draw_flood(rng: &mut ChaCha8Rng, scenario: &mut Scenario) {
    let fault = draw_fault(rng, FaultKind::Flood, scenario.schedulers, scenario.fleet.workers);
    let targets = fault.targets[..1].to_vec();
    scenario.fault.push(Fault {
        at_s: FAULT_START_S[0],
        targets,
        duration_s: FLOOD_S,
        factor: FLOOD_CONNECTIONS,
        ..fault
    });
}

/// Draws a fault of clients or workers that misbehave for a while, early enough that its effects are seen.
fn draw_misbehaviour(rng: &mut ChaCha8Rng, scenario: &mut Scenario, kind: FaultKind) {
    let fault = draw_fault(rng, kind, scenario.schedulers, scenario.fleet.workers);
    let at_s = rng.random_range(FAULT_START_S[0]..FAULT_START_S[1] / 2.0);
    scenario.fault.push(Fault { at_s, duration_s: MISBEHAVIOUR_S, ..fault });
}

/// Draws clients that stop within a large request and stay.
fn draw_partial_requests(rng: &mut ChaCha8Rng, scenario: &mut Scenario) {
    draw_misbehaviour(rng, scenario, FaultKind::PartialRequests);
    if let Some(fault) = scenario.fault.last_mut() {
        fault.factor = PARTIAL_REQUESTS;
    }
}

/// Draws workers whose connections end under first attempts that they run nevertheless, where no job may have two
/// attempts at once.
fn draw_broken_attempts(rng: &mut ChaCha8Rng, scenario: &mut Scenario) {
    scenario.second_copies = false;
    draw_misbehaviour(rng, scenario, FaultKind::BreakThenFail);
    if let Some(fault) = scenario.fault.last_mut() {
        fault.targets = (0..scenario.fleet.workers).collect();
    }
}

/// Draws the faults of a software release on a large fleet: most of the endpoint list changes, workers
/// drain right after, and schedulers are killed and restart with their old list.
fn draw_release(rng: &mut ChaCha8Rng, schedulers: usize, workers: usize) -> [Fault; 3] {
    let begin = rng.random_range(FAULT_START_S[0]..FAULT_START_S[1] / 2.0);
    let mut fault_at = |kind, delay_s, duration_s| {
        let fault = draw_fault(rng, kind, schedulers, workers);
        Fault { at_s: begin + delay_s, duration_s, ..fault }
    };
    [
        fault_at(FaultKind::Replace, 0.0, 0.0),
        fault_at(FaultKind::Drain, 0.3, 5.0),
        fault_at(FaultKind::Kill, 1.0, 0.0),
    ]
}

/// Draws the start, the targets and the duration of a fault of the given kind.
fn draw_fault(rng: &mut ChaCha8Rng, kind: FaultKind, schedulers: usize, workers: usize) -> Fault {
    let at_s = rng.random_range(FAULT_START_S[0]..FAULT_START_S[1]);
    let count = if kind.affects_workers() { workers } else { schedulers };
    let first = rng.random_range(0..count);
    // Up to a quarter of the workers, or one or two schedulers.
    let target_count =
        if kind.affects_workers() { rng.random_range(1..=workers / 4) } else { rng.random_range(1..=2) };
    let targets = (first..first + target_count).map(|n| n % count).collect();
    let duration_s = if kind == FaultKind::Pause { PAUSE_S } else { rng.random_range(0.5..3.0) };
    let factor = if kind == FaultKind::Crowd { CROWD_CONNECTIONS } else { 5.0 };
    Fault { at_s, kind, targets, allowed_removals: Vec::new(), peers: Vec::new(), duration_s, factor }
}

/// Returns how jobs are deferred in runs with upgrades.
fn deferred_jobs() -> DeferredJobs {
    DeferredJobs {
        share: 0.3,
        dependent_fraction: 0.5,
        any_answer_fraction: 0.3,
        max_dependencies: 3,
        delay_ms: [100.0, 3_000.0],
        extra_timeout_ms: 6_000.0,
    }
}

/// Draws the faults that only some seeds have. They are drawn last, so that the other choices of a seed do not
/// depend on them.
fn draw_special_faults(rng: &mut ChaCha8Rng, seed: u64, scenario: &mut Scenario) {
    if seed % 3 == 1 {
        draw_late_retries(rng, scenario);
    }
    if seed % 10 == 5 {
        draw_flood(rng, scenario);
    }
    if seed % 10 == 1 {
        // They take the memory.
        scenario.sockets = PARTIAL_REQUESTS_DESCRIPTOR_LIMIT;
        draw_partial_requests(rng, scenario);
    }
    if seed % 10 == 3 {
        // They take the descriptors.
        draw_partial_requests(rng, scenario);
    }
    if seed % 10 == 7 {
        draw_misbehaviour(rng, scenario, FaultKind::InvalidReports);
    }
    // Not beside late retries: a worker that accepts no connection for a while reads attempts long after the
    // scheduler has given them up.
    if seed % 5 == 2 && seed % 3 != 1 {
        draw_broken_attempts(rng, scenario);
    }
}

/// Generates the scenario of a seed. Every third has a crowd of connections and every third late retries, every
/// fourth has upgrades and deferred jobs, every tenth has a flood, every tenth wrong load reports, and every fifth
/// clients that stop within a request. Some allow no two attempts of a job at once.
pub fn generate_scenario(seed: u64) -> Scenario {
    let rng = &mut ChaCha8Rng::seed_from_u64(seed);
    let (schedulers, workers) = (rng.random_range(10..=16), rng.random_range(12..=20));
    let listed = *LISTED_CHOICES.choose(rng).unwrap_or(&0);
    let classes = [("render", Effect::Repeatable), ("fund", Effect::ByKey), ("order", Effect::Once)];
    let class = classes.into_iter().map(|(name, effect)| draw_class(rng, name, effect)).collect();
    let faults = rng.random_range(FAULT_COUNT[0]..=FAULT_COUNT[1]);
    let mut fault: Vec<Fault> = (0..faults)
        .map(|_| {
            let kind = *FAULT_KINDS.choose(rng).unwrap_or(&FaultKind::Drain);
            draw_fault(rng, kind, schedulers, workers)
        })
        .collect();
    if seed.is_multiple_of(3) {
        fault.push(draw_fault(rng, FaultKind::Crowd, schedulers, workers));
    }
    if listed > 0 {
        fault.extend(draw_release(rng, schedulers, workers));
    }
    let load = rng.random_range(0.2..0.5);
    let has_upgrades = seed.is_multiple_of(4);
    if has_upgrades {
        let kinds = [FaultKind::Upgrade, FaultKind::UpgradeUnderSignals];
        fault.extend(kinds.map(|kind| draw_fault(rng, kind, schedulers, workers)));
    }
    let mut scenario = Scenario {
        about: format!(
            "Soak of seed {seed}: {schedulers} schedulers, {workers} workers, \
             {listed} additional entries on the endpoint list"
        ),
        seconds: DURATION_S,
        load,
        schedulers,
        sockets: DESCRIPTOR_LIMIT,
        memory_mib: MEMORY_LIMIT_MIB,
        connect_timeout_ms: CONNECT_TIMEOUT_MS,
        second_copies: true,
        setup: has_upgrades.then(|| DEFERRAL_SETUP.into()),
        members: None,
        fleet: Fleet {
            workers,
            slots: 4,
            queue: 16,
            speed: [0.8, 1.4],
            slow_start_capacity: 0.4,
            slow_start_ms: 4_000.0,
            cell: 3,
            listed,
        },
        class,
        waiting: if has_upgrades { deferred_jobs() } else { DeferredJobs::default() },
        backlog: Vec::new(),
        fault,
        disconnect_fraction: 0.03,
    };
    draw_special_faults(rng, seed, &mut scenario);
    scenario
}
