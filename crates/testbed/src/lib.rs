//! A test bed for postusher, on loopback addresses alone: stand-in workers, discovery and clients around the real
//! program, faults from a scenario, rules that are checked against what the stand-ins saw, and reports.
//!
//! It shares no code with the program for what the stand-ins do, so that a mistake made twice cannot hide.

pub mod cli;
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
pub mod runner;
pub mod scenario;
pub mod schedulers;
pub mod soak;
pub mod stage;
#[cfg(test)]
mod test_scenario;
pub mod virtual_net;
pub mod wire;
pub mod workers;
