//! Pseudo-random numbers: splitmix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number
//! generators", 2014).

/// The increment of the generator's state: 2^64 divided by the golden ratio.
pub const GOLDEN_GAMMA: u64 = 0x9e37_79b9_7f4a_7c15;
/// Number of low bits dropped, so that the remaining 53 bits fit the significand of a float.
const FRACTION_SHIFT: u32 = 11;
/// The number of distinct fractions: 2^53.
const FRACTION_RANGE: f64 = (1u64 << 53) as f64;

/// Mixes the bits of a number: the output function of splitmix64.
pub fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// A pseudo-random number generator.
#[derive(Clone, Debug)]
pub struct Random {
    state: u64,
}

impl Random {
    /// Creates a generator; the same seed gives the same numbers.
    pub fn new(seed: u64) -> Random {
        Random { state: mix(seed) }
    }

    /// Returns the next number.
    pub fn next_u64(&mut self) -> u64 {
        self.state = self.state.wrapping_add(GOLDEN_GAMMA);
        mix(self.state)
    }

    /// Returns the next fraction in the range [0, 1).
    pub fn next_fraction(&mut self) -> f64 {
        (self.next_u64() >> FRACTION_SHIFT) as f64 / FRACTION_RANGE
    }

    /// Returns the next index in the range [0, `length`).
    pub fn next_index(&mut self, length: usize) -> usize {
        (self.next_fraction() * length as f64) as usize
    }
}
