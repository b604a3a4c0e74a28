//! Heartbeats, suspicion, leaving and the merge with the platform's host list.
//!
//! See `docs/design/membership.md`.

mod edge;
pub mod rendezvous;

pub use edge::{Ahead, Membership, Settings};
