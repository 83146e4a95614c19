//! Reads the settings of a deployment: JSON in the form of `WIRE-postusher.md`. Unknown keys are ignored and absent
//! ones have defaults. The names of the format occur in [`profile`] only.

mod error;
mod profile;
#[cfg(test)]
mod tests;

pub use error::SettingsError;

use postusher_decision::{Micros, Settings};
use profile::Profile;
use serde::Deserialize;

/// The settings of a deployment with the names that its protocol uses for numbered things.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The classes, by number.
    pub classes: Vec<NamedClass>,
    /// The customers' names, by number.
    pub customers: Vec<String>,
    /// The zones' names, by number.
    pub zones: Vec<String>,
    /// The machine kinds' names, by number.
    pub machine_kinds: Vec<String>,
    /// The names of a load report's fields, in order; empty where there are no reports.
    pub report_fields: Vec<String>,
    /// A connection that is not established within this many milliseconds has failed.
    pub connect_timeout_ms: f64,
}

/// A class of jobs as the protocol names it.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedClass {
    /// Its name.
    pub name: String,
    /// The longest time that its clients wait, in milliseconds.
    pub max_wait_ms: f64,
}

impl SiteSettings {
    /// Reads settings from JSON text.
    ///
    /// # Errors
    /// The text is no JSON, lacks a required key, or has a value that is not allowed.
    pub fn parse(json: &[u8]) -> Result<SiteSettings, SettingsError> {
        serde_json::from_slice::<Profile>(json)?.into_site_settings()
    }

    /// Reads settings from a JSON value.
    ///
    /// # Errors
    /// The value lacks a required key or has a value that is not allowed.
    pub fn from_value(json: &serde_json::Value) -> Result<SiteSettings, SettingsError> {
        Profile::deserialize(json)?.into_site_settings()
    }
}

/// Converts milliseconds to microseconds; negative values and NaN become 0.
pub fn micros_from_millis(millis: f64) -> Micros {
    (millis * 1000.0).round().max(0.0) as Micros
}
