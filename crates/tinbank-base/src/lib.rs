//! Ids, records, frames and the platform's trait objects, which every other crate speaks in.
//!
//! The crate does no I/O and depends on nothing of ours, so that a decision written against it
//! can be tested without a network. See `docs/architecture.md` for the map of crates.

pub mod cause;
pub mod clock;
pub mod digest;
pub mod event;
pub mod frame;
pub mod id;
pub mod outcome;
pub mod peer;
pub mod platform;
pub mod record;
