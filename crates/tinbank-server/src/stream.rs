//! Answers that are sent piece by piece: SSE and NDJSON.

use std::{
    convert::Infallible,
    fmt,
    pin::Pin,
    sync::Mutex,
    task::{Context, Poll},
};

use bytes::Bytes;
use dropshot::Body;
use futures::{Stream, StreamExt as _};
use http::{HeaderValue, Response, header};
use http_body_util::StreamBody;
use hyper::body::Frame;

/// Form of a streamed answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// Server-sent events.
    Sse,
    /// One JSON value a line.
    Ndjson,
}

impl Form {
    /// Its content type.
    pub fn content_type(self) -> &'static str {
        match self {
            Self::Sse => "text/event-stream",
            Self::Ndjson => "application/x-ndjson",
        }
    }
}

/// The end marker of a whole SSE answer.
pub const DONE: &str = "data: [DONE]\n\n";

/// Answers with a stream of pieces. The stream is dropped when the caller goes away; see [`Guard`].
pub fn response<S>(form: Form, pieces: S) -> Response<Body>
where
    S: Stream<Item = Bytes> + Send + 'static,
{
    fallible(form, pieces.map(Ok::<_, Infallible>))
}

/// Answers with a stream that may break: after an error the connection is cut, so that a part never looks whole.
pub fn fallible<S, E>(form: Form, pieces: S) -> Response<Body>
where
    S: Stream<Item = Result<Bytes, E>> + Send + 'static,
    E: Into<Box<dyn std::error::Error + Send + Sync>> + 'static,
{
    let frames = pieces.map(|piece| piece.map(Frame::data));
    let shared = Shared(Mutex::new(Box::pin(frames)));
    let mut response = Response::new(Body::wrap(StreamBody::new(shared)));
    let headers = response.headers_mut();
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static(form.content_type()),
    );
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// One SSE event with a JSON value.
///
/// # Errors
/// The value can't be written as JSON.
pub fn event<T: serde::Serialize>(value: &T) -> Result<Bytes, serde_json::Error> {
    let json = serde_json::to_string(value)?;
    Ok(Bytes::from(format!("data: {json}\n\n")))
}

/// One NDJSON line.
///
/// # Errors
/// The value can't be written as JSON.
pub fn line<T: serde::Serialize>(value: &T) -> Result<Bytes, serde_json::Error> {
    let mut json = serde_json::to_vec(value)?;
    json.push(b'\n');
    Ok(Bytes::from(json))
}

/// Makes a stream shareable, as dropshot's bodies must be. The mutex is never locked: polling has the only reference.
struct Shared<S: ?Sized>(Mutex<Pin<Box<S>>>);

impl<S: Stream> Stream for Shared<S> {
    type Item = S::Item;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<S::Item>> {
        let stream = match self.0.get_mut() {
            Ok(stream) => stream,
            Err(poisoned) => poisoned.into_inner(),
        };
        stream.as_mut().poll_next(cx)
    }
}

/// Runs an action when it is dropped before it was disarmed: keep one in a stream to cancel upstream when the caller
/// goes away.
pub struct Guard<F: FnOnce()>(Option<F>);

impl<F: FnOnce()> Guard<F> {
    /// Arms a guard.
    pub fn new(action: F) -> Self {
        Self(Some(action))
    }

    /// The answer went out whole: the action is not wanted any more.
    pub fn disarm(&mut self) {
        self.0 = None;
    }
}

impl<F: FnOnce()> fmt::Debug for Guard<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Guard").field(&self.0.is_some()).finish()
    }
}

impl<F: FnOnce()> Drop for Guard<F> {
    fn drop(&mut self) {
        if let Some(action) = self.0.take() {
            action();
        }
    }
}
