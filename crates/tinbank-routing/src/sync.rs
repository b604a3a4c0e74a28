//! The mutex and the atomic integer of the routing table.
//!
//! Unit tests replace them by those of `shuttle`, which runs threads one at a time and switches between them at each access,
//! so that a test explores the interleavings and does not depend on timing.

#[cfg(test)]
pub(crate) use shuttle::sync::{Mutex, MutexGuard, atomic::AtomicU64};
#[cfg(not(test))]
pub(crate) use std::sync::{Mutex, MutexGuard, atomic::AtomicU64};
