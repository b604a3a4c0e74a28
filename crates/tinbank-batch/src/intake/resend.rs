//! Compares a resent body with the job that was accepted earlier.

use bytes::Bytes;
use futures::{Stream, StreamExt as _};
use sha2::{Digest as _, Sha256};
use tinbank_base::{
    digest::Digest,
    outcome::{Code, Failure},
    record::work::Head,
};

use super::{Accepted, failure::body_interrupted};

/// Reads a body and returns its digest, without storing it.
pub(super) async fn digest_body<E: std::fmt::Display>(
    mut body: impl Stream<Item = Result<Bytes, E>> + Unpin,
    limit: u64,
) -> Result<Digest, Failure> {
    let mut hasher = Sha256::new();
    let mut bytes = 0;
    while let Some(part) = body.next().await {
        let part = part.map_err(body_interrupted)?;
        bytes += part.len() as u64;
        if bytes > limit {
            let message = format!("a job takes at most {limit} bytes");
            return Err(Failure::not_run(Code::TooLarge, message));
        }
        hasher.update(&part);
    }
    Ok(hasher.finalize().into())
}

/// Accepts a resend of the earlier job `head` if the digests match.
pub(super) fn match_existing(head: Head, digest: Digest) -> Result<Accepted, Failure> {
    if head.body == digest {
        return Ok(Accepted { head, new: false });
    }
    let message = "the idempotency key was used for another job";
    let help = "use a new key for a new job; a resend has to repeat service, due time and body";
    Err(Failure::not_run(Code::KeyReused, message).help(help))
}
