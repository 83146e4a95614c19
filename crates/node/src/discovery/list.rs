//! The form in which discovery sends the endpoint list.

use crate::clock::Millis;
use postusher_decision::EndpointState;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::str::Utf8Error;
use thiserror::Error;

/// The weight of a worker whose entry has none.
const DEFAULT_WEIGHT: f64 = 1.0;

/// An endpoint list, or changes to one.
#[derive(Debug, Default)]
pub struct List {
    /// Its version, if it has one.
    pub version: Option<u64>,
    /// It names all endpoints, not only those that changed.
    pub is_complete: bool,
    /// Its entries.
    pub entries: Vec<Entry>,
}

/// One worker's entry in a list.
#[derive(Debug, Deserialize)]
pub struct Entry {
    /// The worker's name, the same at all schedulers.
    #[serde(rename = "id")]
    pub name: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone's name.
    #[serde(default)]
    pub zone: String,
    /// The name of its machine kind.
    #[serde(default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: u16,
    /// Whether it gets jobs.
    #[serde(deserialize_with = "endpoint_state")]
    pub state: EndpointState,
    /// Its capacity relative to others.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// Its last start, in Unix time; 0 for long ago.
    #[serde(rename = "started_ms", default)]
    pub started_at: Millis,
}

/// A worker in a state that is not known here gets nothing new.
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

/// The form of a list, with its parts unread. Error messages expect it under another name.
#[derive(Deserialize)]
#[serde(expecting = "struct Written")]
struct ListForm<'a> {
    #[serde(borrow, default)]
    version: Option<&'a RawValue>,
    #[serde(rename = "full", borrow, default)]
    is_complete: Option<&'a RawValue>,
    #[serde(rename = "servers", borrow)]
    entries: Vec<&'a RawValue>,
}

impl List {
    /// Reads a list. An entry that cannot be read is left out, and the others are used. Memory and time are
    /// in proportion to the text.
    ///
    /// # Errors
    /// The text as a whole is not a list.
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

/// A value that may be missing; one of another type counts as missing.
fn value_or_none<'a, T: Deserialize<'a>>(raw: Option<&'a RawValue>) -> Option<T> {
    serde_json::from_str(raw?.get()).ok()
}

/// Why a text is not an endpoint list.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ListError {
    /// It is not UTF-8.
    #[error(transparent)]
    NotUtf8(#[from] Utf8Error),
    /// It is not JSON of the form of a list, with the parser's reason.
    #[error("{0}")]
    Malformed(String),
}
