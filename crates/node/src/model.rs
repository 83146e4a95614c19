//! Model-based tests: random steps are applied to connections and to the dispatch layer, whose states must
//! match those of simple models.

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

mod connections;
mod job_inputs;
mod jobs;

/// Returns a proptest configuration with a fixed seed and this number of cases.
fn config_with_fixed_seed(cases: u32) -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::with_cases(cases)
    }
}
