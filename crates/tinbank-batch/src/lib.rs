//! Takes in batch jobs durably, runs their items and serves results.

pub mod intake;
pub mod runner;
