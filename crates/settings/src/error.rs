//! Errors in settings.

use thiserror::Error;

/// The reason why settings were not accepted.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The text is not valid JSON, or a key is missing or has a value of the wrong type.
    #[error("settings: {0}")]
    Json(#[from] serde_json::Error),
    /// A class has an unknown `Effect`.
    #[error(
        "settings: unknown Effect {effect:?} of {class:?} in Services; \
         expected \"repeatable\", \"by_key\" or \"once\""
    )]
    UnknownEffect {
        /// The class's name; empty if it has none.
        class: String,
        /// The value of `Effect`.
        effect: String,
    },
    /// A customer's quota is negative or not finite.
    #[error("settings: QuotaPerS of {customer:?} is {quota}; must be a finite number of 0 or more")]
    InvalidQuota {
        /// The customer's name.
        customer: String,
        /// The value of `QuotaPerS`.
        quota: f64,
    },
}
