//! What must hold of any text; for the fuzz targets and for the plain replay of their corpus in the tests.

use crate::files::InMemory;
use crate::{apache, mod_jk, Ajp};

fn alone(text: &str) -> InMemory {
    InMemory([("f".to_string(), text.to_string())].into())
}

/// A configuration of Apache is read or refused with a place, and its setup reads back.
///
/// # Panics
/// Where that does not hold.
pub fn apache(text: &str) {
    match apache::import(&["f".to_string()], &alone(text), &Ajp::default()) {
        Ok(imported) => assert!(postusher_setup::read(&imported.setup()).is_ok(), "{}", imported.setup()),
        Err(e) => assert!(e.place.line >= 1 && e.place.column >= 1 && !e.what.is_empty()),
    }
}

/// A worker file of mod_jk, which is taken for its own map, too, is read or refused with a place, and its setup reads
/// back.
///
/// # Panics
/// Where that does not hold.
pub fn mod_jk(text: &str) {
    let mut ajp = Ajp::default();
    ajp.ports.insert(8009, 8080);
    for map in [None, Some("f")] {
        match mod_jk::import("f", map, &alone(text), &ajp) {
            Ok(imported) => assert!(postusher_setup::read(&imported.setup()).is_ok(), "{}", imported.setup()),
            Err(e) => assert!(e.place.line >= 1 && e.place.column >= 1 && !e.what.is_empty()),
        }
    }
}
