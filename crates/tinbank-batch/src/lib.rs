//! Takes in batch jobs durably, runs their items and serves results.
//!
//! [`intake`] stores jobs, [`owner`] follows and owns work shards, [`runner`] sends items to upstreams, [`http`] is the
//! callers' interface; [`server::Server`] is the whole process. See `docs/architecture.md`.

pub mod asker;
mod control;
pub mod http;
pub mod intake;
pub mod owner;
pub mod pages;
pub mod runner;
pub mod server;
pub mod service;
pub mod settings;

pub use server::Server;
pub use settings::Settings;
pub use tinbank_process::Platform;
