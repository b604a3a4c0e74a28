//! Entry host: relays online requests and runs batch items on one fleet of upstreams.
//!
//! One process does both on one control thread, with one view of the configuration, the upstreams and the other hosts. The
//! traits in [`border`] abstract the platform. See `docs/design/users-platform.md`.

pub mod access;
mod batch;
pub mod border;
pub mod clock;
mod dependency;
pub mod exchange;
mod feed;
mod identity;
mod measure;
mod node;
mod origin;
mod overload;
mod prompt;
mod quarantine;
mod readiness;
mod region;
mod relay;
mod retry;
mod run;
mod serve;
pub mod settings;
mod share;
mod sharing;
mod stop;
mod view;
pub mod watch;

pub use run::{Error, Metrics, Platform, run};
