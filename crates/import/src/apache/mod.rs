//! Importer of Apache configurations: parses files, expands includes and variables, and translates balancers
//! to pools.

pub mod expand;
pub mod syntax;
mod translate;
mod units;

use crate::ajp::AjpMapping;
use crate::error::ImportError;
use crate::files::FileSource;
use crate::Imported;

/// Imports files, in order, as one configuration.
///
/// # Errors
/// The errors of [`expand::expand`].
pub fn import(names: &[String], files: &dyn FileSource, ajp: &AjpMapping) -> Result<Imported, ImportError> {
    let expanded = expand::expand(names, files)?;
    let mut imported = translate::translate(expanded, ajp);
    imported.report.sort();
    Ok(imported)
}
