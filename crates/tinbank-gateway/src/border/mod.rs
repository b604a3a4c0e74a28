//! Traits that abstract the platform, and their types.

pub mod engine;
pub mod ingress;
pub mod store;

use std::pin::Pin;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};

/// Aborts a response body before its end. The connection is closed, so that the response can't appear complete.
#[derive(Debug, thiserror::Error)]
#[error("response aborted: {0}")]
pub struct Aborted(pub &'static str);

/// The body of a response to a caller.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = Aborted>>>;

/// Returns a body with the given content.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    let full = Full::new(bytes.into());
    Box::pin(full.map_err(|never| match never {}))
}
