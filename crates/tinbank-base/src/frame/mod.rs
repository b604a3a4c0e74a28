//! Frames between processes: datagrams, and requests over TCP.
//!
//! Every frame carries a version and a keyed MAC; see `docs/design/peers.md`.

pub mod credit;
pub mod datagram;
pub mod demand;
pub mod heartbeat;
pub mod request;

pub use datagram::{Body, Datagram};
