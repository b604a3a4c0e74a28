//! Routes, event streams and the rules by which a request is sent again.
//!
//! All of it is pure; `tinbank-gateway` does the I/O. See `docs/design/users-platform.md`.

pub mod attempt;
pub mod evacuation;
pub mod event;
pub mod listing;
pub mod caller_timeout;
mod remaining;
pub mod route;
pub mod silence;
pub mod upstream;
