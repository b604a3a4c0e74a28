//! Digests of keys and bodies, so that neither API keys nor idempotency keys are stored in plain text.

use sha2::{Digest as _, Sha256};

/// A SHA-256 digest.
pub type Digest = [u8; 32];

/// Returns the digest of some data.
pub fn of(data: &[u8]) -> Digest {
    Sha256::digest(data).into()
}

/// Returns the digest of several fields. Each field's length is included, so that moving a byte to the next field changes the
/// digest.
pub fn of_fields(fields: &[&[u8]]) -> Digest {
    let mut hasher = Sha256::new();
    for field in fields {
        hasher.update((field.len() as u64).to_be_bytes());
        hasher.update(field);
    }
    hasher.finalize().into()
}

/// Returns the first 128 bits of a digest, for derived ids.
pub fn prefix(digest: &Digest) -> u128 {
    digest[..16]
        .iter()
        .fold(0, |value, byte| (value << 8) | u128::from(*byte))
}
