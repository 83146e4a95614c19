//! Models of a connection's states and of a request's way, against which random steps are checked.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;

mod connections;
mod requests;

fn fixed(cases: u32) -> ProptestConfig {
    let base = ProptestConfig::with_cases(cases);
    ProptestConfig { failure_persistence: None, rng_seed: RngSeed::Fixed(7), ..base }
}
