//! Where a stream began.

use std::hash::{Hash, Hasher};

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use tinbank_base::id;

/// Identifies a stream at all hosts.
pub type Key = u64;

/// The upstreams at which a stream may go on.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Origin {
    /// Service of the upstream that sent the first event.
    pub service: id::Service,
    /// Build of that upstream.
    pub build: id::Build,
}

/// Returns the key of the stream whose first event was brought by an attempt. It depends on the customer, so that nobody learns or
/// disturbs anything by naming an attempt of another one.
pub fn key(customer: Option<&str>, host: &str, attempt: &str) -> Key {
    let mut hasher = SipHasher13::new();
    (customer, host, attempt).hash(&mut hasher);
    hasher.finish()
}
