//! What every server process shares: logs, metrics, health, the error body, authentication and the HTTP client.
//!
//! See `docs/architecture.md` for where it stands among the crates.

pub mod caller;
pub mod client;
pub mod failure;
pub mod http;
pub mod logs;
pub mod metrics;
pub mod openapi;
pub mod operator;
pub mod readiness;
pub mod start;
pub mod stop;
pub mod stream;
pub mod threads;
