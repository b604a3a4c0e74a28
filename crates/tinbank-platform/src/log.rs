//! The platform's log over HTTP.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use tinbank_base::{
    id,
    platform::log::{Bounds, Error, Log, Page, Stream},
};

use crate::{
    client::{self, Answer, Client},
    wire,
};

/// How long an append or a small read may take before its answer counts as lost.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a long poll's answer may take beyond its own wait.
const POLL_GRACE: Duration = Duration::from_secs(5);
/// Largest answer that is read. A page holds at least one record, of whatever size.
const MAX_ANSWER: usize = 64 << 20;

/// The log service at an address.
#[derive(Clone, Debug)]
pub struct Http {
    address: SocketAddr,
    client: Client,
}

impl Http {
    /// An adapter for the log at `address`. It connects when it is first used.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::new(),
        }
    }

    async fn get(&self, path: &str, until: Instant) -> Result<Answer, Error> {
        let request = client::request(Method::GET, self.address, path, Bytes::new());
        let answer = self.client.whole(request, until, MAX_ANSWER).await;
        // A read has no effect, so a lost answer leaves nothing open.
        answer.map_err(|error| match error {
            client::Error::Connect(text) | client::Error::Lost(text) => Error::Unavailable(text),
            client::Error::Timeout => Error::Unavailable("no answer in time".to_owned()),
        })
    }
}

#[async_trait]
impl Log for Http {
    async fn append(&self, stream: Stream, payload: Bytes) -> Result<id::Offset, Error> {
        let path = format!("/v1/streams/{stream}/records");
        let size = payload.len();
        let request = client::request(Method::POST, self.address, &path, payload);
        let until = Instant::now() + ANSWER_TIMEOUT;
        let answer = self.client.whole(request, until, MAX_ANSWER).await;
        let answer = answer.map_err(|error| match error {
            client::Error::Connect(text) => Error::Unavailable(text),
            client::Error::Lost(text) => Error::Unknown(text),
            client::Error::Timeout => Error::Unknown("no answer in time".to_owned()),
        })?;
        match answer.status {
            // What can't be read may have been an acknowledgement.
            StatusCode::OK => parse::<wire::Appended>(&answer)
                .map(|appended| appended.offset)
                .map_err(|error| Error::Unknown(error.to_string())),
            StatusCode::PAYLOAD_TOO_LARGE => {
                let limit = parse::<wire::TooLarge>(&answer)?.limit;
                Err(Error::TooLarge { size, limit })
            }
            StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::GATEWAY_TIMEOUT => Err(Error::Unknown(answer.message())),
            _ => Err(refusal(&answer)),
        }
    }

    async fn read(
        &self,
        stream: Stream,
        from: id::Offset,
        limit: usize,
        until: Instant,
    ) -> Result<Page, Error> {
        let wait = until.saturating_duration_since(Instant::now()).as_millis();
        let path = format!("/v1/streams/{stream}/records?from={from}&limit={limit}&wait_ms={wait}");
        let answer = self.get(&path, until + POLL_GRACE).await?;
        match answer.status {
            StatusCode::OK => postcard::from_bytes(&answer.body)
                .map_err(|error| Error::Protocol(error.to_string())),
            StatusCode::GONE => Err(Error::Trimmed {
                first: parse::<wire::Trimmed>(&answer)?.first,
            }),
            _ => Err(refusal(&answer)),
        }
    }

    async fn bounds(&self, stream: Stream) -> Result<Bounds, Error> {
        let path = format!("/v1/streams/{stream}");
        let answer = self.get(&path, Instant::now() + ANSWER_TIMEOUT).await?;
        match answer.status {
            StatusCode::OK => parse(&answer),
            _ => Err(refusal(&answer)),
        }
    }
}

/// What a refusal says. The service refuses before it does anything, so none had an effect.
fn refusal(answer: &Answer) -> Error {
    match answer.status {
        StatusCode::TOO_MANY_REQUESTS => Error::Throttled {
            retry_at: answer.retry_at(),
        },
        status if status.is_server_error() => {
            Error::Unavailable(format!("{status}: {}", answer.message()))
        }
        status => Error::Protocol(format!("{status}: {}", answer.message())),
    }
}

fn parse<T: DeserializeOwned>(answer: &Answer) -> Result<T, Error> {
    serde_json::from_slice(&answer.body).map_err(|error| Error::Protocol(error.to_string()))
}
