//! State of batch jobs, derived by replaying the job log.
//!
//! Every host applies the same records in the same order, so all hosts report the same state of a job and the same
//! results at the same positions. Duplicate and late records have no effect. See `docs/design/users-platform.md`.

pub mod backlog;
pub mod change;
mod decisions;
pub mod estimate;
pub mod fragment;
pub mod job;
pub mod partitions;
pub mod record;
pub mod schedule;
pub mod scope;
pub mod table;

pub use table::Table;
