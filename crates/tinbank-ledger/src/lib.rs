//! State machine of a work shard: folds the records of its log into leases, jobs, items and claims.
//!
//! The driver reads the log and passes every envelope to [`shard::Shard::apply`]. [`lease::Contender`] decides when to
//! take, renew or release the lease, [`duty::Duties`] which records the owner must append, and [`result`] reads results
//! back. The crate does no I/O. See `docs/design/ledger.md`.

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
