//! Upstreams over HTTP: engines with streams of server-sent events, and plain services.

mod http;
mod stream;

pub use self::http::Http;
