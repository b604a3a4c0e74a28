//! Ids, records, frames and platform traits shared by all crates.
//!
//! The crate does no I/O and depends on no other crate of the workspace, so that code written against it can be tested
//! without a network. See `docs/architecture.md` for the map of crates.

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
