//! The adapter for upstreams.

use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use futures::{StreamExt, stream};
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tinbank_base::{
    id,
    outcome::Ran,
    platform::upstream::{Call, Error, Kind, Order, Parts, Report, Target, Upstreams, Verdict},
};

use super::stream::Reader;
use crate::{
    client::{self, Answer, Client},
    wire,
};

/// How long reports, orders and cancels may take.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest answer of a plain service, and largest error body, that is read.
const MAX_ANSWER: usize = 16 << 20;

/// Access to upstreams over HTTP, by the addresses of the host list.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client,
}

impl Default for Http {
    fn default() -> Self {
        Self::new()
    }
}

impl Http {
    /// An adapter with a connection pool of its own.
    pub fn new() -> Self {
        Self {
            client: Client::new(),
        }
    }

    async fn control(
        &self,
        target: Target,
        request: Request<Full<Bytes>>,
    ) -> Result<Answer, Error> {
        let until = Instant::now() + CONTROL_TIMEOUT;
        let answer = self.client.whole(request, until, MAX_ANSWER).await;
        answer.map_err(|error| lost(target, error))
    }
}

#[async_trait]
impl Upstreams for Http {
    async fn chat(&self, target: Target, call: Call) -> Result<Parts, Error> {
        refuse_late(target, &call)?;
        let body = chat_body(&call).map_err(|message| Error {
            upstream: target.upstream,
            ran: Ran::No,
            kind: Kind::Rejected {
                status: StatusCode::BAD_REQUEST.as_u16(),
                message,
            },
        })?;
        let request = work(target, "/v1/chat/completions", &call, body);
        let answer = self.client.send(request, call.deadline).await;
        let answer = answer.map_err(|error| lost(target, error))?;
        if answer.status() == StatusCode::OK {
            return Ok(parts(target, &call, answer));
        }
        let answer = client::collect(answer, call.deadline, MAX_ANSWER).await;
        let answer = answer.map_err(|error| lost(target, error))?;
        Err(refusal(target, &answer))
    }

    async fn call(&self, target: Target, call: Call) -> Result<Bytes, Error> {
        refuse_late(target, &call)?;
        let path = format!("/v1/services/{}/call", client::segment(&call.service));
        let request = work(target, &path, &call, call.body.clone());
        let answer = self.client.whole(request, call.deadline, MAX_ANSWER).await;
        let answer = answer.map_err(|error| lost(target, error))?;
        if answer.status != StatusCode::OK {
            return Err(refusal(target, &answer));
        }
        let echoed = answer.headers.get(wire::ANSWERED_ID);
        if echoed != Some(&wide_header(call.request)) {
            return Err(Error {
                upstream: target.upstream,
                ran: Ran::Unknown,
                kind: Kind::Crossed(format!("the answer has id {echoed:?}")),
            });
        }
        Ok(answer.body)
    }

    async fn cancel(&self, target: Target, request: id::Request) -> Result<(), Error> {
        let path = format!("/v1/requests/{}/cancel", id::format_wide(request));
        let request = client::request(Method::POST, target.address, &path, Bytes::new());
        let answer = self.control(target, request).await?;
        match answer.status {
            status if status.is_success() => Ok(()),
            StatusCode::NOT_FOUND => Ok(()),
            _ => Err(refusal(target, &answer)),
        }
    }

    async fn report(&self, target: Target) -> Result<Report, Error> {
        let request = client::request(Method::GET, target.address, "/load", Bytes::new());
        let answer = self.control(target, request).await?;
        parse(target, &answer)
    }

    async fn order(&self, target: Target, order: Order) -> Result<Verdict, Error> {
        let body = serde_json::to_vec(&order).map_err(|error| unreadable(target, error))?;
        let request = client::request(Method::POST, target.address, "/orders", body.into());
        let answer = self.control(target, request).await?;
        parse(target, &answer)
    }
}

/// A call whose deadline has passed is not sent, so that "not run" can be said of it.
fn refuse_late(target: Target, call: &Call) -> Result<(), Error> {
    if call.deadline > Instant::now() {
        return Ok(());
    }
    Err(Error {
        upstream: target.upstream,
        ran: Ran::No,
        kind: Kind::Timeout,
    })
}

/// The caller's body with what streaming and resuming need.
fn chat_body(call: &Call) -> Result<Bytes, String> {
    let body = serde_json::from_slice::<serde_json::Map<_, _>>(&call.body);
    let mut body = body.map_err(|error| format!("the body is no JSON object: {error}"))?;
    body.insert("stream".to_owned(), true.into());
    if call.resume_from > 0 {
        body.insert("resume_from".to_owned(), call.resume_from.into());
    }
    let body = serde_json::to_vec(&body).map_err(|error| error.to_string())?;
    Ok(body.into())
}

fn work(target: Target, path: &str, call: &Call, body: Bytes) -> Request<Full<Bytes>> {
    let mut request = client::request(Method::POST, target.address, path, body);
    let headers = request.headers_mut();
    headers.insert(wire::REQUEST_ID, wide_header(call.request));
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    request
}

fn wide_header(request: id::Request) -> HeaderValue {
    HeaderValue::from_str(&id::format_wide(request)).expect("hexadecimal digits are a header value")
}

/// Parts of the answer as they come, till its end marker or the deadline.
fn parts(target: Target, call: &Call, answer: Response<Incoming>) -> Parts {
    let state = Reading {
        target,
        deadline: call.deadline,
        reader: Reader::new(call.request, call.resume_from),
        body: answer.into_body(),
    };
    stream::unfold(state, |mut state| async {
        let part = state.next().await?;
        Some((part, state))
    })
    .boxed()
}

struct Reading {
    target: Target,
    deadline: Instant,
    reader: Reader,
    body: Incoming,
}

impl Reading {
    async fn next(&mut self) -> Option<Result<tinbank_base::platform::upstream::Part, Error>> {
        loop {
            if let Some(part) = self.reader.pop() {
                let target = self.target;
                return Some(part.map_err(|kind| Error {
                    upstream: target.upstream,
                    ran: Ran::Unknown,
                    kind,
                }));
            }
            if self.reader.done() {
                return None;
            }
            self.fill().await;
        }
    }

    async fn fill(&mut self) {
        let frame = tokio::time::timeout_at(self.deadline.into(), self.body.frame()).await;
        match frame {
            Err(_) => self.reader.fail(Kind::Timeout),
            Ok(None) => self.reader.close("the connection ended"),
            Ok(Some(Err(error))) => self.reader.close(&error.to_string()),
            Ok(Some(Ok(frame))) => {
                if let Some(data) = frame.data_ref() {
                    self.reader.feed(data);
                }
            }
        }
    }
}

fn lost(target: Target, error: client::Error) -> Error {
    let (ran, kind) = match error {
        client::Error::Connect(text) => (Ran::No, Kind::Connect(text)),
        client::Error::Lost(text) => (Ran::Unknown, Kind::Cut(text)),
        client::Error::Timeout => (Ran::Unknown, Kind::Timeout),
    };
    Error {
        upstream: target.upstream,
        ran,
        kind,
    }
}

/// Only a refusal in the upstream's own words is a promise that the call did not run; a bare 5xx
/// may come from a failure in its midst.
fn refusal(target: Target, answer: &Answer) -> Error {
    let state = answer.headers.get(wire::UPSTREAM_STATE);
    let state = state.and_then(|value| value.to_str().ok());
    let status = answer.status;
    let message = answer.message();
    let (ran, kind) = match (status, state) {
        (_, Some(wire::LEAVING)) => (Ran::No, Kind::Leaving),
        (_, Some(wire::FULL)) | (StatusCode::TOO_MANY_REQUESTS, _) => (Ran::No, Kind::Full),
        _ if status.is_client_error() => {
            let status = status.as_u16();
            (Ran::No, Kind::Rejected { status, message })
        }
        _ => {
            let status = status.as_u16();
            (Ran::Unknown, Kind::Failed { status, message })
        }
    };
    Error {
        upstream: target.upstream,
        ran,
        kind,
    }
}

fn parse<T: DeserializeOwned>(target: Target, answer: &Answer) -> Result<T, Error> {
    if !answer.status.is_success() {
        return Err(refusal(target, answer));
    }
    serde_json::from_slice(&answer.body).map_err(|error| unreadable(target, error))
}

fn unreadable(target: Target, error: serde_json::Error) -> Error {
    Error {
        upstream: target.upstream,
        ran: Ran::Unknown,
        kind: Kind::Cut(error.to_string()),
    }
}
