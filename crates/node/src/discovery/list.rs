//! The JSON format of the endpoint list.

use crate::clock::Millis;
use postusher_decision::EndpointState;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::str::Utf8Error;
use thiserror::Error;

/// Capacity weight of a worker whose entry does not set one.
const DEFAULT_WEIGHT: f64 = 1.0;

/// An endpoint list, or changes to one.
#[derive(Debug, Default)]
pub struct List {
    /// Version of the list, if it has one.
    pub version: Option<u64>,
    /// Whether the list names all endpoints instead of only the changed ones.
    pub is_complete: bool,
    /// Entries of the list.
    pub entries: Vec<Entry>,
}

/// Entry of a worker in a list.
#[derive(Debug, Deserialize)]
pub struct Entry {
    /// Name of the worker, the same at all schedulers.
    #[serde(rename = "id")]
    pub name: String,
    /// Address at which the worker listens.
    pub addr: SocketAddr,
    /// Name of the zone.
    #[serde(default)]
    pub zone: String,
    /// Name of the machine kind.
    #[serde(default)]
    pub kind: String,
    /// Number of the cell.
    #[serde(default)]
    pub cell: u16,
    /// State of the worker, which determines whether it gets new jobs.
    #[serde(deserialize_with = "endpoint_state")]
    pub state: EndpointState,
    /// Capacity relative to other workers.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Time of the last start, in milliseconds since 1970; 0 if it was long ago.
    #[serde(rename = "started_ms", default)]
    pub started_at: Millis,
}

/// Deserializes the state of a worker. An unknown state counts as draining, so that the worker gets no new
/// jobs.
fn endpoint_state<'de, D: Deserializer<'de>>(deserializer: D) -> Result<EndpointState, D::Error> {
    let name = String::deserialize(deserializer)?;
    Ok(match name.as_str() {
        "up" => EndpointState::Ready,
        "removed" => EndpointState::Removed,
        _ => EndpointState::Draining,
    })
}

fn default_weight() -> f64 {
    DEFAULT_WEIGHT
}

/// The JSON form of a list with unparsed entries.
#[derive(Deserialize)]
#[serde(expecting = "an endpoint list as a JSON object")]
struct ListForm<'a> {
    #[serde(borrow, default)]
    version: Option<&'a RawValue>,
    #[serde(rename = "full", borrow, default)]
    is_complete: Option<&'a RawValue>,
    #[serde(rename = "servers", borrow)]
    entries: Vec<&'a RawValue>,
}

impl List {
    /// Parses a list. Malformed entries are skipped. Memory and running time are linear in the length of the
    /// text.
    ///
    /// # Errors
    /// Returns an error if the text as a whole is not a list.
    pub fn read(text: &str) -> Result<List, ListError> {
        let form: ListForm =
            serde_json::from_str(text).map_err(|error| ListError::Malformed(error.to_string()))?;
        let mut entries = Vec::new();
        for entry in &form.entries {
            match serde_json::from_str(entry.get()) {
                Ok(entry) => entries.push(entry),
                Err(error) => log::warn!("endpoint entry not read: error={error}"),
            }
        }
        Ok(List {
            version: value_or_none(form.version),
            is_complete: value_or_none(form.is_complete).unwrap_or(false),
            entries,
        })
    }
}

/// Parses an optional value. A value of another type counts as missing.
fn value_or_none<'a, T: Deserialize<'a>>(raw: Option<&'a RawValue>) -> Option<T> {
    serde_json::from_str(raw?.get()).ok()
}

/// Reason why a text is not an endpoint list.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ListError {
    /// The text is not UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] Utf8Error),
    /// The text is not JSON in the form of a list, with the error of the parser.
    #[error("{0}")]
    Malformed(String),
}
