//! Importer of mod_jk worker files and URI maps.

pub mod syntax;
mod translate;

use crate::account::Position;
use crate::ajp::AjpMapping;
use crate::error::ImportError;
use crate::files::{FileError, FileSource};
use crate::Imported;

/// Imports a worker file and an optional URI map, given by their paths. Without a URI map, the pools have no
/// routes.
///
/// # Errors
/// A file cannot be read, or is malformed.
pub fn import(
    worker_file: &str,
    uri_map: Option<&str>,
    files: &dyn FileSource,
    ajp: &AjpMapping,
) -> Result<Imported, ImportError> {
    let read = |name: &str| {
        let error =
            |cause: FileError| ImportError { position: Position::start_of(name), problem: cause.into() };
        files.read(name).map_err(error)
    };
    let properties = syntax::parse_properties(worker_file, &read(worker_file)?)?;
    let rules = match uri_map {
        Some(uri_map) => Some(syntax::parse_uri_map(uri_map, &read(uri_map)?)?),
        None => None,
    };
    let mut imported = translate::translate(properties, rules, ajp);
    imported.report.sort();
    Ok(imported)
}
