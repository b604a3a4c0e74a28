//! The HTTP client that all adapters share: pooled connections, HTTP/1.1, no proxying.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use hyper_util::{
    client::legacy::connect::HttpConnector,
    rt::{TokioExecutor, TokioTimer},
};

/// Body of a request: whole or streamed.
pub type Body = BoxBody<Bytes, Box<dyn std::error::Error + Send + Sync>>;
/// A client; cheap to clone, and clones share the pool.
pub type Client = hyper_util::client::legacy::Client<HttpConnector, Body>;

/// How long a connection may take to open before the peer counts as unreachable.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long an idle connection is kept.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Most idle connections kept for one address.
pub const MAX_IDLE: usize = 64;

/// Makes a client with a pool of its own.
///
/// A request for which a pooled connection turns out to be closed before anything was written goes out on another one;
/// that can't run it twice. Nothing else is sent again here.
pub fn new() -> Client {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    hyper_util::client::legacy::Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_max_idle_per_host(MAX_IDLE)
        .retry_canceled_requests(true)
        .build(connector)
}

/// A body that is sent as a whole.
pub fn whole(bytes: impl Into<Bytes>) -> Body {
    let full = http_body_util::Full::new(bytes.into());
    BoxBody::new(http_body_util::BodyExt::map_err(
        full,
        |never| match never {},
    ))
}

/// No body.
pub fn empty() -> Body {
    whole(Bytes::new())
}
