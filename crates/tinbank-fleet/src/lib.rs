//! Keeps the models, adapters and versions that the configuration asks for on the engines.
//!
//! One process at a time gives orders, under a lease in the `fleet` stream. See `docs/design/fleet.md`.

pub mod control;
pub mod holder;
pub mod plan;
pub mod reports;
pub mod server;
pub mod settings;
pub mod wanted;

pub use server::Server;
pub use settings::Settings;
