//! Takes in batch jobs durably, runs their items and serves results.

pub mod asker;
pub mod http;
pub mod intake;
pub mod owner;
pub mod pages;
pub mod runner;
pub mod service;
