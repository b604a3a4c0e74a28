//! Encodes responses to callers.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use dropshot::Body;
use futures::{Stream, StreamExt as _, stream};
use http::{HeaderValue, Response, header};
use serde::Serialize;
use tinbank_base::{
    id,
    outcome::{Code, Failure, Ran},
    platform::upstream::Part,
};
use tinbank_server::stream::{DONE, event};

use crate::{
    openai::{Chunk, Completion, ErrorEvent},
    request::Request,
};

/// Retry delay for temporary failures that name none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Adds a retry time to a temporary failure whose retry is safe.
pub(super) fn with_retry(failure: Failure) -> Failure {
    let temporary = match failure.code {
        Code::Overloaded
        | Code::NoUpstream
        | Code::LogUnavailable
        | Code::NotReady
        | Code::LimitReached => failure.ran == Ran::No,
        Code::InProgress => true,
        _ => false,
    };
    if !temporary || failure.retry_at.is_some() {
        return failure;
    }
    failure.retry_at(SystemTime::now() + DEFAULT_RETRY_DELAY)
}

/// Returns a JSON response.
pub(super) fn json(bytes: Bytes) -> Response<Body> {
    let mut response = Response::new(Body::from(bytes));
    let value = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}

/// Encodes the parts of an answer as server-sent events: chunks, and the end marker only if the answer is complete.
pub(super) fn events(
    request: &Request,
    parts: impl Stream<Item = Result<Part, Failure>> + Send + 'static,
) -> impl Stream<Item = Bytes> + Send + 'static {
    let (id, name) = (request.id, request.name.clone());
    parts.flat_map(move |part| stream::iter(part_events(id, &name, part)))
}

fn part_events(id: id::Request, service: &str, part: Result<Part, Failure>) -> Vec<Bytes> {
    match part {
        Ok(Part::Token { index, text }) => vec![sse_event(&Chunk::token(id, service, index, text))],
        Ok(Part::End { reason, tokens }) => vec![
            sse_event(&Chunk::finish(id, service, tokens, reason)),
            Bytes::from_static(DONE.as_bytes()),
        ],
        Err(error) => vec![sse_event(&ErrorEvent { error })],
    }
}

fn sse_event<T: Serialize>(value: &T) -> Bytes {
    event(value).expect("chunks and failures are plain data, which JSON can hold")
}

/// Collects the parts of an answer into one JSON completion.
pub(super) async fn collect(
    request: &Request,
    parts: impl Stream<Item = Result<Part, Failure>>,
) -> Result<Bytes, Failure> {
    let mut parts = std::pin::pin!(parts);
    let mut content = String::new();
    while let Some(part) = parts.next().await {
        match part? {
            Part::Token { text, .. } => content.push_str(&text),
            Part::End { reason, tokens } => {
                return completion(request, content, tokens, reason);
            }
        }
    }
    Err(Failure::unknown(
        Code::UpstreamFailed,
        "the answer has no end marker",
    ))
}

fn completion(
    request: &Request,
    content: String,
    tokens: u32,
    reason: String,
) -> Result<Bytes, Failure> {
    let completion = Completion::new(request.id, &request.name, content, tokens, reason);
    let bytes = serde_json::to_vec(&completion)
        .map_err(|error| Failure::unknown(Code::Internal, error.to_string()))?;
    Ok(bytes.into())
}
