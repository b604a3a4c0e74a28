//! Folds a shard of work into leases, jobs, items and claims, with pure decisions about who owns and what runs.
//!
//! The driver reads a stream and gives every envelope to [`shard::Shard::apply`]. The state then says what
//! counts, [`lease::Contender`] when to take or renew the lease, [`duty::Duties`] what the owner has to append,
//! and [`result`] how results are read back. See `docs/design/ledger.md`.

pub mod change;
pub mod checkpoint;
pub mod chunk;
pub mod claim;
pub mod duty;
pub mod job;
pub mod lease;
pub mod placement;
pub mod result;
pub mod retention;
pub mod shard;
pub mod suspect;

pub use change::{Change, Changes};
