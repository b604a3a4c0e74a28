//! Folds the configuration stream into templates, customers and services, deterministically on every host.
//!
//! See `docs/design/configuration.md` for the rules and `docs/configuration.md` for every parameter.

pub mod check;
pub mod customer;
pub mod drain;
pub mod finding;
pub mod fold;
pub mod follower;
pub mod limit;
pub mod publish;
pub mod service;
pub mod snapshot;
pub mod template;

pub use finding::Finding;
pub use follower::Follower;
pub use snapshot::Snapshot;
