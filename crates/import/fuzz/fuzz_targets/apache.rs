//! Checks that any text is imported as an Apache configuration or rejected with a position, and that the
//! resulting setup is valid.
#![no_main]

use libfuzzer_sys::fuzz_target;

fuzz_target!(|text: &str| postusher_import::replay::apache(text));
