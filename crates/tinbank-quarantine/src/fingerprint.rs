//! Identity of a request by its content, regardless of its id and of the host that receives it.

use tinbank_base::digest;

use crate::Source;

/// Identifies the content of a request: 128 bits of a SHA-256 digest. Nobody can craft a request with another request's
/// fingerprint, and it reveals neither bodies nor customers.
pub type Fingerprint = u128;

/// The parts of a request that make up its identity.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// What sent it, so that items and the requests of callers are not blamed for each other's crashes.
    pub source: Source,
    /// The customer, if any, so that no customer can get another customer's request quarantined.
    pub customer: Option<&'a str>,
    /// The method.
    pub method: &'a str,
    /// The `host` header.
    pub host: &'a [u8],
    /// Path and query.
    pub target: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl Content<'_> {
    /// Returns the fingerprint of a request with this content.
    pub fn fingerprint(&self) -> Fingerprint {
        let customer = self.customer.map(str::as_bytes);
        let is_item = self.source == Source::Item;
        let digest = digest::of_fields(&[
            &[u8::from(customer.is_some()) | u8::from(is_item) << 1],
            customer.unwrap_or_default(),
            self.method.as_bytes(),
            self.host,
            self.target.as_bytes(),
            self.body,
        ]);
        digest::prefix(&digest)
    }
}

/// A part of a prompt that requests share.
#[derive(Clone, Copy, Debug)]
pub struct SharedPart<'a> {
    /// The customer whose requests are meant; `None` for those of all.
    pub customer: Option<&'a str>,
    /// How callers name the part. Neither the model nor the parts before it count, since upstreams may crash on it whatever else a
    /// request holds.
    pub id: &'a str,
}

impl SharedPart<'_> {
    /// Returns the fingerprint of the part, which no content has.
    pub fn fingerprint(&self) -> Fingerprint {
        let customer = self.customer.map(str::as_bytes);
        let digest = digest::of_fields(&[
            b"part",
            &[u8::from(customer.is_some())],
            customer.unwrap_or_default(),
            self.id.as_bytes(),
        ]);
        digest::prefix(&digest)
    }
}

/// Returns the first 64 bits in hexadecimal, which are enough to find a request or a part in logs.
pub fn short(fingerprint: Fingerprint) -> String {
    format!("{:016x}", fingerprint >> 64)
}
