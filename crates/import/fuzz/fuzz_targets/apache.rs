//! Any text is read or refused with a place, and what is read prints as the same.
#![no_main]

use libfuzzer_sys::fuzz_target;

fuzz_target!(|text: &str| postusher_import::replay::apache(text));
