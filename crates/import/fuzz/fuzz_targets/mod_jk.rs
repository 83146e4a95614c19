//! Checks that any text is imported as a mod_jk worker file and URI map or rejected with a position, and that
//! the resulting setup is valid.
#![no_main]

use libfuzzer_sys::fuzz_target;

fuzz_target!(|text: &str| postusher_import::replay::mod_jk(text));
