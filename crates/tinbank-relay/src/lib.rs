//! Routing, event streams, retries and timeouts of relayed requests.
//!
//! The crate does no I/O; `tinbank-gateway` does it. See `docs/design/users-platform.md`.

pub mod attempt;
pub mod buffer;
pub mod caller_timeout;
pub mod contact;
pub mod evacuation;
pub mod event;
pub mod grace;
pub mod listing;
pub mod region;
mod remaining;
pub mod route;
pub mod timeout;
pub mod upstream;
