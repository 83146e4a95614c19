//! A hash function with the same result in every process, so that all schedulers find the same worker for a
//! key.

/// Initial value of the 64-bit FNV-1a hash.
const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
/// Multiplier of the 64-bit FNV-1a hash.
const PRIME: u64 = 0x0100_0000_01b3;

/// Returns the 64-bit FNV-1a hash of a byte sequence.
pub fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}
