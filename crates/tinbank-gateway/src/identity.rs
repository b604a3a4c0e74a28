//! Random identifiers.

use rand::Rng;

/// Returns a random number, which differs between processes and between starts of one process.
pub(crate) fn random_id() -> u64 {
    rand::rng().random()
}
