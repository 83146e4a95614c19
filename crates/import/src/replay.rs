//! Checks of properties that hold for any text, for the fuzz targets and for the tests that replay their
//! corpus.

use crate::files::InMemory;
use crate::{apache, mod_jk, AjpMapping, ImportError, Imported};

/// The name of the only file in memory.
const FILE: &str = "f";

/// Returns a file source with a single file.
fn single_file(text: &str) -> InMemory {
    InMemory([(FILE.to_string(), text.to_string())].into())
}

/// Checks that a text is imported as an Apache configuration or rejected with a position, and that the
/// resulting setup is valid.
///
/// # Panics
/// A check fails.
pub fn apache(text: &str) {
    check(apache::import(&[FILE.to_string()], &single_file(text), &AjpMapping::default()));
}

/// Checks the same for a worker file of mod_jk, both without a URI map and with the same text as its URI map.
///
/// # Panics
/// A check fails.
pub fn mod_jk(text: &str) {
    let mut ajp = AjpMapping::default();
    ajp.ports.insert(8009, 8080);
    for uri_map in [None, Some(FILE)] {
        check(mod_jk::import(FILE, uri_map, &single_file(text), &ajp));
    }
}

fn check(result: Result<Imported, ImportError>) {
    match result {
        Ok(imported) => {
            let setup = imported.setup_xml();
            assert!(postusher_setup::read(&setup).is_ok(), "{setup}");
        }
        Err(error) => {
            assert!(error.position.line >= 1 && error.position.column >= 1);
            assert!(!error.problem.to_string().is_empty());
        }
    }
}
