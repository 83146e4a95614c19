//! Fault cases under which all detectors and all variants of the protocol are compared.

use postusher_membership::Millis;
use postusher_testbed::detectors::{FaultCase, Pause};
use postusher_testbed::virtual_net::LinkConditions;

/// Number of members in each case.
pub const MEMBERS: usize = 10;
const FAULTY_MEMBER: usize = 4;
const DURATION: Millis = 60_000.0;
const LONG_DURATION: Millis = 1_800_000.0;
/// Number of zones. The zone that is cut off contains the members whose index is a multiple of this number.
const ZONES: usize = 3;

/// A fault case and its name on the page.
pub struct NamedCase {
    /// Description of the faults.
    pub name: &'static str,
    /// The simulated faults.
    pub case: FaultCase,
    /// The members whose removal is correct, in addition to a crashed one.
    pub expected_removals: &'static [usize],
}

/// Returns conditions of slow links that lose a fraction `loss` of the datagrams and duplicate a tenth.
pub fn lossy_links(loss: f64) -> LinkConditions {
    LinkConditions { loss, duplication: 0.1, min_delay: 150.0, max_delay: 450.0 }
}

/// Returns all cases, in the order of the page.
pub fn fault_cases() -> Vec<NamedCase> {
    vec![
        named_case("crash", FaultCase { crashed: Some(FAULTY_MEMBER), ..fault_free_case() }, &[]),
        named_case("crash, 30% loss, 300 ms", crash_under_loss(0.3), &[]),
        named_case("30 minutes at 10% loss, 300 ms", long_loss(0.1), &[]),
        named_case("30 minutes at 30% loss, 300 ms", long_loss(0.3), &[]),
        named_case("pause of 4 intervals", pause(4_000.0), &[]),
        named_case("pause of 12 intervals", pause(12_000.0), &[FAULTY_MEMBER]),
        named_case("one link cut in one direction", cut_links_case([(0, 1)]), &[]),
        named_case(
            "links of a ring cut in one direction",
            cut_links_case((0..MEMBERS).map(|member| (member, (member + 1) % MEMBERS))),
            &[],
        ),
        named_case(
            "one member sends, does not receive",
            cut_links_case((1..MEMBERS).map(|other| (other, 0))),
            &[0],
        ),
        named_case(
            "one member receives, does not send",
            cut_links_case((1..MEMBERS).map(|other| (0, other))),
            &[0],
        ),
        named_case(
            "four of ten members cut off in both directions",
            cut_links_case(links_across_zone_border()),
            &[0, 3, 6, 9],
        ),
    ]
}

fn named_case(name: &'static str, case: FaultCase, expected_removals: &'static [usize]) -> NamedCase {
    NamedCase { name, case, expected_removals }
}

fn fault_free_case() -> FaultCase {
    FaultCase { members: MEMBERS, duration: DURATION, ..FaultCase::default() }
}

fn crash_under_loss(loss: f64) -> FaultCase {
    FaultCase { crashed: Some(FAULTY_MEMBER), link_conditions: lossy_links(loss), ..fault_free_case() }
}

fn long_loss(loss: f64) -> FaultCase {
    FaultCase { link_conditions: lossy_links(loss), duration: LONG_DURATION, ..fault_free_case() }
}

fn pause(duration: Millis) -> FaultCase {
    FaultCase { paused: Some(Pause { member: FAULTY_MEMBER, duration }), ..fault_free_case() }
}

fn cut_links_case(links: impl IntoIterator<Item = (usize, usize)>) -> FaultCase {
    FaultCase { cut_links: links.into_iter().collect(), ..fault_free_case() }
}

/// Returns all links, in both directions, between the zone that is cut off and the other members.
fn links_across_zone_border() -> Vec<(usize, usize)> {
    let mut links = Vec::new();
    for from in 0..MEMBERS {
        for to in 0..MEMBERS {
            let sender_is_in_zone = from % ZONES == 0;
            let receiver_is_in_zone = to % ZONES == 0;
            if sender_is_in_zone != receiver_is_in_zone {
                links.push((from, to));
            }
        }
    }
    links
}
