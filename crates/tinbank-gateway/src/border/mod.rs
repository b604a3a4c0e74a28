//! The traits behind which the platform stands, and the types that cross them.

pub mod engine;
pub mod ingress;
pub mod store;

use std::pin::Pin;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};

/// An answer's body was given up before its end; the connection is closed, so that it can't appear complete.
#[derive(Debug, thiserror::Error)]
#[error("the answer was given up before its end: {0}")]
pub struct Aborted(pub &'static str);

/// The body of an answer to a caller.
pub type Body = Pin<Box<dyn http_body::Body<Data = Bytes, Error = Aborted>>>;

/// A body that is whole already.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    let full = Full::new(bytes.into());
    Box::pin(full.map_err(|never| match never {}))
}
