//! mod_jk's worker files and URI maps: syntax, and what their workers become.

pub mod syntax;
mod translate;

use crate::account::{Place, Unreadable};
use crate::ajp::Ajp;
use crate::files::Files;
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
) -> Result<Imported, Unreadable> {
    let read = |name: &str| {
        let place = Place { file: name.into(), line: 1, column: 1 };
        files.read(name).map_err(|what| Unreadable { place, what })
    };
    let properties = syntax::properties(workers, &read(workers)?)?;
    let rules = match map {
        Some(map) => syntax::map(map, &read(map)?)?,
        None => Vec::new(),
    };
    let mut imported = translate::translate(properties, rules, map.is_some(), ajp);
    imported.account.sort();
    Ok(imported)
}
