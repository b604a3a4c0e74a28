//! Digests of customers' API keys.

use std::{
    fmt,
    hash::{Hash, Hasher},
};

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

/// Bytes of a digest that are stored: enough to make collisions infeasible, at half the memory. 13,000 customers with
/// two keys each take 0.4 MB.
const DIGEST_BYTES: usize = 16;

/// Digest of an API key. Does not reveal the key, so it may be stored and sent to other hosts, but is never printed.
/// Compared in constant time.
#[derive(Clone, Copy, Eq, Serialize, Deserialize)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key, as found in a request or in the configuration.
    pub fn from_secret(secret: &[u8]) -> Self {
        let digest = Sha256::digest(secret);
        let mut bytes = [0; DIGEST_BYTES];
        bytes.copy_from_slice(&digest[..DIGEST_BYTES]);
        Self(bytes)
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Hash for KeyDigest {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.0.hash(state);
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
