//! A deterministic pseudorandom number generator.

/// The pseudorandom number generator splitmix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number
/// generators", 2014).
#[derive(Default)]
pub struct RandomGenerator {
    state: u64,
}

impl RandomGenerator {
    /// Creates a generator with this seed.
    pub fn new(seed: u64) -> Self {
        RandomGenerator { state: seed }
    }

    /// Returns the next number, uniformly distributed in [0, 1).
    pub fn next_fraction(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns the next integer, uniformly distributed in [0, `limit`); 0 if `limit` is 0.
    pub fn next_below(&mut self, limit: usize) -> usize {
        (self.next_fraction() * limit as f64) as usize
    }
}
