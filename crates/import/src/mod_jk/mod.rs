//! Imports mod_jk's worker files and URI maps.

pub mod syntax;
mod translate;

use crate::account::Place;
use crate::ajp::Ajp;
use crate::error::ImportError;
use crate::files::{FileError, Files};
use crate::Imported;

/// Imports a worker file, and a URI map where there is one.
///
/// # Errors
/// A file cannot be read, or is none of its kind.
pub fn import(
    workers: &str,
    map: Option<&str>,
    files: &dyn Files,
    ajp: &Ajp,
) -> Result<Imported, ImportError> {
    let read = |name: &str| {
        let error = |cause: FileError| ImportError { place: Place::start_of(name), problem: cause.into() };
        files.read(name).map_err(error)
    };
    let properties = syntax::properties(workers, &read(workers)?)?;
    let rules = match map {
        Some(map) => Some(syntax::map(map, &read(map)?)?),
        None => None,
    };
    let mut imported = translate::translate(properties, rules, ajp);
    imported.account.sort();
    Ok(imported)
}
