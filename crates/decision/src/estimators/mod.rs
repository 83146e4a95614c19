//! Statistical estimators and counters that the decisions are based on.

mod budget;
mod foreign_load;
mod hash_ring;
mod key_shares;
mod median;
mod moving_average;
mod quota_balance;
mod random;
mod token_bucket;

pub use budget::Budget;
pub use foreign_load::ForeignLoadByZoneAndKind;
pub use hash_ring::HashRing;
pub use key_shares::{KeyShares, ShareEstimate};
pub use median::{nth_smallest, MedianWindow};
pub use moving_average::{MovingAverage, QuantileEstimate};
pub use quota_balance::QuotaBalance;
pub use random::RandomGenerator;
pub use token_bucket::{TokenBucket, TokenGroup};

/// Weight of a sample in a moving average that adapts within about ten samples.
pub const FAST_WEIGHT: f64 = 0.2;
/// Weight of a sample in a moving average that adapts within about forty samples.
pub const SLOW_WEIGHT: f64 = 0.05;

#[cfg(test)]
mod tests;
