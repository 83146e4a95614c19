use super::*;
use proptest::prelude::*;

fn rings(members: u64) -> ObserverRings {
    let mut rings = ObserverRings::default();
    for number in 0..members {
        rings.insert(MemberId(mix(number)));
    }
    rings
}

#[test]
fn few_members_all_observe_each_other_and_many_have_about_ten_observers() {
    assert_eq!(rings(1).observers(MemberId(mix(0))).len(), 0);
    assert_eq!(rings(11).observers(MemberId(mix(3))).len(), 10);
    let many = rings(1_000);
    let counts: Vec<usize> = (0..1_000).map(|number| many.observers(MemberId(mix(number))).len()).collect();
    assert!(counts.iter().all(|count| (7..=10).contains(count)), "{counts:?}");
    let most = (0..1_000).map(|number| many.subjects(MemberId(mix(number))).len()).max();
    assert!(most <= Some(10), "pings of one member do not grow with their number");
}

proptest! {
    #[test]
    fn a_member_observes_exactly_those_whose_observer_it_is(
        members in 1u64..60,
        removed in prop::collection::vec(0u64..60, 0..20),
    ) {
        let mut rings = rings(members);
        for number in removed {
            rings.remove(MemberId(mix(number)));
        }
        for observer in rings.members.clone() {
            for subject in rings.members.clone() {
                let observes = rings.subjects(observer).contains(&subject);
                let is_observed = rings.observers(subject).contains(&observer);
                prop_assert_eq!(observes, is_observed, "{:?} {:?}", observer, subject);
            }
        }
    }
}
