//! Loads the models, adapters and versions that the configuration requires onto the engines.
//!
//! Only the process that holds the lease in the `fleet` stream sends orders. See `docs/design/fleet.md`.

pub mod control;
pub mod desired;
pub mod lease;
pub mod plan;
pub mod reports;
pub mod server;
pub mod settings;

pub use server::Server;
pub use settings::Settings;
