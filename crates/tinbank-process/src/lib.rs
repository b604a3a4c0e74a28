//! What every server process runs on: platform, time line, peers, membership, configuration and host list.
//!
//! A process starts its [`Core`] on the control thread, listens, joins its peers, and adds its own duty. See
//! `docs/architecture.md`.

pub mod answer;
mod core;
pub mod drain;
pub mod hosts;
mod platform;
pub mod ready;
mod runtimes;
pub mod upstreams;

pub use self::{
    core::{Core, Error},
    platform::Platform,
    runtimes::{Runtimes, on_control},
};
