//! Faults that all detectors and all variants of the protocol are compared under.

use postusher_membership::Millis;
use postusher_testbed::detectors::{FaultCase, Pause};
use postusher_testbed::virtual_net::LinkConditions;

/// Members of each case.
pub const MEMBERS: usize = 10;
const PAUSED_OR_CRASHED: usize = 4;
const DURATION: Millis = 60_000.0;
const LONG_DURATION: Millis = 1_800_000.0;
/// One in this many members is cut off with its zone.
const ZONES: usize = 3;

/// A case with its name on the page.
pub struct NamedCase {
    /// The faults in words.
    pub name: &'static str,
    /// The faults.
    pub case: FaultCase,
    /// The members whose removal is right, a crashed one aside.
    pub expected_removals: &'static [usize],
}

/// Links that lose a part of all datagrams, duplicate some and are slow.
pub fn lossy_links(loss: f64) -> LinkConditions {
    LinkConditions { loss, duplication: 0.1, min_delay: 150.0, max_delay: 450.0 }
}

/// All cases, in the order of the page.
pub fn fault_cases() -> Vec<NamedCase> {
    vec![
        named("a crash", FaultCase { crashed: Some(PAUSED_OR_CRASHED), ..without_faults() }, &[]),
        named("a crash, 30% loss, 300 ms", crash_under_loss(0.3), &[]),
        named("30 minutes at 10% loss, 300 ms", long_loss(0.1), &[]),
        named("30 minutes at 30% loss, 300 ms", long_loss(0.3), &[]),
        named("a pause of 4 intervals", pause(4_000.0), &[]),
        named("a pause of 12 intervals", pause(12_000.0), &[PAUSED_OR_CRASHED]),
        named("A hears B, B not A", cut([(0, 1)]), &[]),
        named("each of a ring lacks the next", cut((0..MEMBERS).map(|n| (n, (n + 1) % MEMBERS))), &[]),
        named("one sends and does not hear", cut((1..MEMBERS).map(|n| (n, 0))), &[0]),
        named("one hears and does not send", cut((1..MEMBERS).map(|n| (0, n))), &[0]),
        named("four of ten cut off both ways", cut(links_across_zone_border()), &[0, 3, 6, 9]),
    ]
}

fn named(name: &'static str, case: FaultCase, expected_removals: &'static [usize]) -> NamedCase {
    NamedCase { name, case, expected_removals }
}

fn without_faults() -> FaultCase {
    FaultCase { members: MEMBERS, duration: DURATION, ..FaultCase::default() }
}

fn crash_under_loss(loss: f64) -> FaultCase {
    FaultCase { crashed: Some(PAUSED_OR_CRASHED), link_conditions: lossy_links(loss), ..without_faults() }
}

fn long_loss(loss: f64) -> FaultCase {
    FaultCase { link_conditions: lossy_links(loss), duration: LONG_DURATION, ..without_faults() }
}

fn pause(duration: Millis) -> FaultCase {
    FaultCase { paused: Some(Pause { member: PAUSED_OR_CRASHED, duration }), ..without_faults() }
}

fn cut(links: impl IntoIterator<Item = (usize, usize)>) -> FaultCase {
    FaultCase { cut_links: links.into_iter().collect(), ..without_faults() }
}

fn links_across_zone_border() -> Vec<(usize, usize)> {
    let mut links = Vec::new();
    for from in 0..MEMBERS {
        for to in 0..MEMBERS {
            let from_inside = from % ZONES == 0;
            let to_inside = to % ZONES == 0;
            if from_inside != to_inside {
                links.push((from, to));
            }
        }
    }
    links
}
