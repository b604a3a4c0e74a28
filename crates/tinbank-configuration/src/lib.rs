//! Folds the configuration stream into templates, customers and services, by one rule on every host.
//!
//! See `docs/design/configuration.md` for the rule and `docs/configuration.md` for every parameter.

pub mod customer;
pub mod limit;
pub mod service;
pub mod snapshot;
pub mod template;

pub use snapshot::Snapshot;
