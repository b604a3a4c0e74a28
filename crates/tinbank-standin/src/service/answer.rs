//! Forms of answers.

use std::{io, time::Duration};

use bytes::Bytes;
use dropshot::Body;
use futures::stream;
use http::{Response, StatusCode, header};
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde::Serialize;
use tinbank_platform::wire;

/// An HTTP answer.
pub(crate) type Answer = Response<Body>;

/// A JSON answer.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(value).expect("answers hold only what JSON can write");
    let mut answer = bytes(status, body);
    let kind = header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, kind);
    answer
}

/// An answer of bytes or text.
pub(crate) fn bytes(status: StatusCode, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Body::with_content(body));
    *answer.status_mut() = status;
    answer
}

/// The service takes no calls now.
pub(crate) fn refusal(why: &'static str) -> Answer {
    bytes(StatusCode::SERVICE_UNAVAILABLE, why)
}

/// An upstream takes no work, and says that it ran nothing.
pub(crate) fn no_work(state: &'static str) -> Answer {
    let mut answer = refusal(state);
    let state = header::HeaderValue::from_static(state);
    answer.headers_mut().insert(wire::UPSTREAM_STATE, state);
    answer
}

/// Over a rate.
pub(crate) fn limited(wait: Duration) -> Answer {
    let mut answer = bytes(StatusCode::TOO_MANY_REQUESTS, "over the rate");
    let headers = answer.headers_mut();
    let millis = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX).max(1);
    headers.insert(wire::RETRY_AFTER_MS, millis.into());
    headers.insert(header::RETRY_AFTER, millis.div_ceil(1_000).into());
    answer
}

/// An answer whose connection breaks before the first byte of its body.
pub(crate) fn broken() -> Answer {
    let lost = Err::<Frame<Bytes>, _>(io::Error::other("the answer is lost"));
    Response::new(Body::wrap(StreamBody::new(stream::iter([lost]))))
}
