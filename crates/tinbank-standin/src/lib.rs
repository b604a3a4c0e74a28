//! Stand-ins for the platform: log, engines, plain services, host list and weight store, with
//! faults that can be switched on.
//!
//! Each service listens on an address of its own and keeps an account of what it ran, so that
//! "ran at most once" is read there and not asserted by who is tested. See `docs/design/platform.md`.

pub mod account;
pub mod admin;
mod bucket;
pub mod command;
pub mod engine;
pub mod fault;
pub mod hosts;
pub mod log;
pub mod plain;
pub mod service;
pub mod settings;
mod standin;
pub mod weights;

pub use settings::Settings;
pub use standin::{Error, Standin};
