//! A test bed for postusher on loopback addresses: mock workers, discovery and clients around the scheduler
//! program, faults from a scenario, rules that are checked against the observations of the mocks, and
//! reports.
//!
//! The mocks share no code with the program, as no test would find a bug that both have.

pub mod cli;
pub mod clients;
pub mod detectors;
pub mod direct;
pub mod discovery;
pub mod faults;
pub mod flood;
pub mod free_address;
pub mod journal;
pub mod machine;
pub mod memory_use;
pub mod partial_requests;
pub mod plan;
pub mod relay;
pub mod report;
pub mod rules;
pub mod runner;
pub mod scenario;
pub mod schedulers;
pub mod scheduling_delays;
pub mod soak;
pub mod stage;
#[cfg(test)]
mod test_scenario;
pub mod virtual_net;
pub mod wire;
pub mod workers;
