//! Digests of keys and bodies, so that neither callers' keys nor idempotency keys are kept in clear.

use sha2::{Digest as _, Sha256};

/// A SHA-256 digest.
pub type Digest = [u8; 32];

/// Digests one piece of data.
pub fn of(data: &[u8]) -> Digest {
    Sha256::digest(data).into()
}

/// Digests several fields so that moving a byte from one field to the next changes the digest.
pub fn of_fields(fields: &[&[u8]]) -> Digest {
    let mut hasher = Sha256::new();
    for field in fields {
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    hasher.finalize().into()
}

/// The first 128 bits of a digest, for ids that are derived rather than drawn.
pub fn prefix(digest: &Digest) -> u128 {
    digest[..16]
        .iter()
        .fold(0, |value, byte| (value << 8) | u128::from(*byte))
}
