//! What can be wrong with settings.

use thiserror::Error;

/// Why settings were not accepted.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is no JSON, or a key is missing or has a value of another type.
    #[error("settings: {0}")]
    Json(#[from] serde_json::Error),
    /// A class has an `Effect` that is not known.
    #[error("settings: unknown Effect {effect:?}")]
    UnknownEffect {
        /// The value.
        effect: String,
    },
    /// A customer's quota is negative or not a number.
    #[error("settings: QuotaPerS of {customer:?} is {quota}; 0 or more")]
    InvalidQuota {
        /// The customer's name.
        customer: String,
        /// The value.
        quota: f64,
    },
}
