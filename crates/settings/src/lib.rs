//! Reads the settings of a deployment (a site) from JSON in the format of `WIRE-postusher.md`.
//!
//! Unknown keys are ignored, absent optional keys have defaults. The names of the format occur only in
//! the module `profile` and in error messages.

mod error;
mod profile;
#[cfg(test)]
mod tests;

pub use error::SettingsError;

use postusher_decision::{Micros, Settings};
use profile::SettingsJson;
use serde::Deserialize;

/// The settings of a deployment, with the names that the protocol uses for classes, customers, zones, machine
/// kinds and report fields, which the decision module identifies by number.
#[derive(Clone, Debug, PartialEq)]
pub struct SiteSettings {
    /// The settings of the decision module.
    pub settings: Settings,
    /// The classes, by number.
    pub classes: Vec<NamedClass>,
    /// The names of the customers, by number.
    pub customers: Vec<String>,
    /// The names of the zones, by number.
    pub zones: Vec<String>,
    /// The names of the machine kinds, by number.
    pub machine_kinds: Vec<String>,
    /// The names of a load report's fields, in order; empty if there are no load reports.
    pub report_fields: Vec<String>,
    /// Time limit for establishing a connection, in milliseconds.
    pub connect_timeout_ms: f64,
}

/// A class of jobs with its name in the protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct NamedClass {
    /// The name.
    pub name: String,
    /// The longest time that clients wait for jobs of the class, in milliseconds.
    pub max_wait_ms: f64,
}

impl SiteSettings {
    /// Reads settings from JSON text.
    ///
    /// # Errors
    /// Returns an error if the text is not valid JSON, lacks a required key or has a value that is not
    /// allowed.
    pub fn parse(json: &[u8]) -> Result<SiteSettings, SettingsError> {
        serde_json::from_slice::<SettingsJson>(json)?.into_site_settings()
    }

    /// Reads settings from a JSON value.
    ///
    /// # Errors
    /// Returns an error if the value lacks a required key or has a value that is not allowed.
    pub fn from_value(json: &serde_json::Value) -> Result<SiteSettings, SettingsError> {
        SettingsJson::deserialize(json)?.into_site_settings()
    }
}

/// Converts milliseconds to whole microseconds, rounding to the nearest; negative values and NaN become 0.
pub fn micros_from_millis(millis: f64) -> Micros {
    (millis * 1000.0).round().max(0.0) as Micros
}
