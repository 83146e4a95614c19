//! A laboratory for postusher, on loopback addresses alone: stand-in workers, discovery and clients around the real
//! program, faults from a script, a checker that knows only what the peers saw, and reports.
//!
//! It shares no code with the program for what the peers do, so that a mistake made twice cannot hide.
#![forbid(unsafe_code)]

pub mod bench;
pub mod clients;
pub mod detectors;
pub mod direct;
pub mod discovery;
pub mod faults;
pub mod journal;
pub mod machine;
pub mod plan;
pub mod relay;
pub mod report;
pub mod rules;
pub mod scenario;
pub mod schedulers;
pub mod soak;
pub mod virtual_net;
pub mod wire;
pub mod workers;
