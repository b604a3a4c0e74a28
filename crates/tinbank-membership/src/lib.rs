//! Heartbeats, suspicion, leaving and the merge with the platform's host list.
//!
//! [`state::State`] decides and does no I/O; [`Membership`] drives it with the clock, the sockets and a random source.
//! See `docs/design/membership.md`.

mod claim;
mod edge;
mod gossip;
mod probe;
pub mod rendezvous;
pub mod state;
mod table;

pub use edge::{Membership, Settings};
pub use state::Ahead;
