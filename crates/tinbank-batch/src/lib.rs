//! Stores batch jobs durably, runs their items and serves results.
//!
//! [`intake`] accepts and stores jobs, [`owner`] follows and owns work shards, [`runner`] sends items to upstreams, [`http`]
//! is the callers' interface, and [`server::Server`] is the whole process. See `docs/architecture.md`.

mod control;
pub mod http;
pub mod intake;
pub mod owner;
pub mod owner_client;
pub mod pages;
pub mod runner;
pub mod server;
pub mod service;
pub mod settings;

pub use server::Server;
pub use settings::Settings;
pub use tinbank_process::Platform;
