//! Numbers that no other process gives.

use rand::Rng;

/// A number that differs between processes and between starts of one process.
pub(crate) fn random_id() -> u64 {
    rand::rng().random()
}
