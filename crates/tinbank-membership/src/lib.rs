//! Cluster membership: heartbeats, failure detection, leaving and the merge with the platform's host list.
//!
//! [`state::State`] is a state machine without I/O; [`Membership`] drives it with a clock, an endpoint and a random
//! seed. See `docs/design/membership.md`.

mod driver;
mod gossip;
mod member_record;
mod probe;
pub mod rendezvous;
pub mod state;
mod table;

pub use driver::{Membership, Settings};
pub use state::Ahead;
