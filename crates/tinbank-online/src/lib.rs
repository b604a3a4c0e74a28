//! Serves callers' online requests: chat completions and calls of plain services.
//!
//! See `docs/design/online.md` for how a request is served and the alternatives considered.

pub mod api;
mod clock;
mod context;
mod control;
mod gate;
pub mod openai;
mod relay;
mod request;
mod run;
pub mod server;
pub mod settings;

pub use context::Context;
pub use server::{Platform, Server};
pub use settings::Settings;
