//! Batch jobs of opaque items as a fold over the platform's log.
//!
//! Every host folds the same records in the same order, so all give the same answer about a job, at the same
//! positions. Whatever a record says a second time, or too late, is dropped by the fold. See
//! `docs/design/users-platform.md`.

pub mod fold;
pub mod fragment;
pub mod holdings;
pub mod job;
pub mod pace;
pub mod record;
pub mod schedule;
pub mod scope;
pub mod table;

pub use table::Table;
