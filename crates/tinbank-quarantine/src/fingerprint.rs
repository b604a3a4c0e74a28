//! What makes two requests the same one, whatever their ids and whichever host they come to.

use tinbank_base::digest;

/// Names the content of a request. It is 128 bits of a SHA-256 digest: nobody can make a request that has another one's, and
/// neither bodies nor customers can be read from it.
pub type Fingerprint = u128;

/// What is compared of a request.
#[derive(Clone, Copy, Debug)]
pub struct Content<'a> {
    /// Its customer, so that no customer can have another one's request refused. Nothing if it is nobody's.
    pub customer: Option<&'a str>,
    /// Its method.
    pub method: &'a str,
    /// Host name that it carries.
    pub host: &'a [u8],
    /// Its path and query.
    pub target: &'a str,
    /// Its whole body.
    pub body: &'a [u8],
}

impl Content<'_> {
    /// The fingerprint of a request with this content.
    pub fn fingerprint(&self) -> Fingerprint {
        let customer = self.customer.map(str::as_bytes);
        let digest = digest::of_fields(&[
            &[u8::from(customer.is_some())],
            customer.unwrap_or_default(),
            self.method.as_bytes(),
            self.host,
            self.target.as_bytes(),
            self.body,
        ]);
        digest::prefix(&digest)
    }
}

/// The first 64 bits in hexadecimal, which is enough to find a request in logs.
pub fn short(fingerprint: Fingerprint) -> String {
    format!("{:016x}", fingerprint >> 64)
}
