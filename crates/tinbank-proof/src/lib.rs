//! Fixture of the proofs: a deployment in one process whose hosts can be killed, stopped and frozen, and a caller of it.
//!
//! The proofs are in `tests/`, one file a promise; `docs/proofs.md` tells what each shows.

pub mod deployment;
pub mod freeze;
pub mod host;
pub mod session;
pub mod wait;
pub mod work;
