use super::HashRing;
use crate::interface::WorkerId;

#[test]
fn updated_hash_ring_equals_one_built_at_once() {
    let workers = |from: u32, to: u32| (from..to).map(WorkerId).collect::<Vec<_>>();
    let mut ring = HashRing::default();
    let steps = [workers(0, 300), workers(100, 400), workers(90, 120), Vec::new(), workers(7, 3_207)];
    let mut before = Vec::new();
    for now in steps {
        ring.update(&before, &now);
        let mut rebuilt = HashRing::default();
        rebuilt.update(&[], &now);
        assert_eq!(ring.points(), rebuilt.points());
        assert!(now.iter().all(|worker| ring.points().values().any(|on| on == worker)));
        before = now;
    }
}
