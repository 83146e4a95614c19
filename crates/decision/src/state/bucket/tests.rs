use super::*;

/// Brought up to date step by step, a ring is the same as one made at once.
#[test]
fn a_ring_brought_up_to_date_is_the_same_as_one_made_anew() {
    let workers = |from: u32, to: u32| (from..to).map(WorkerId).collect::<Vec<_>>();
    let mut ring = Ring::default();
    let steps = [workers(0, 300), workers(100, 400), workers(90, 120), Vec::new(), workers(7, 3_207)];
    let mut before = Vec::new();
    for now in steps {
        ring.update(&before, &now);
        let mut anew = Ring::default();
        anew.update(&[], &now);
        assert_eq!(ring.0, anew.0);
        assert!(now.iter().all(|worker| ring.0.values().any(|on| on == worker)));
        before = now;
    }
}
