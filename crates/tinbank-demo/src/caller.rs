//! A caller of the HTTP interface, who believes nothing: answers are checked as they come.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::{Map, Value};
use tinbank_platform::wire::Chunk;
use tinbank_server::{caller, client};
use tokio::time::Instant;

/// Longest time that a call may take.
const PATIENCE: Duration = Duration::from_secs(60);

/// Why a call gave nothing.
#[derive(Clone, Debug, thiserror::Error)]
pub enum Error {
    /// No whole answer came.
    #[error("no whole answer: {0}")]
    Broken(String),
    /// It was refused.
    #[error("status {status}: {body}")]
    Refused {
        /// HTTP status.
        status: StatusCode,
        /// The error body.
        body: String,
    },
    /// The answer is not what the interface promises.
    #[error("wrong answer: {0}")]
    Wrong(String),
}

/// A whole online answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Streamed {
    /// The text.
    pub text: String,
    /// Time to the first token.
    pub first: Duration,
    /// Time between one token and the next.
    pub gaps: Vec<Duration>,
    /// Time to the end.
    pub whole: Duration,
}

/// A job, as far as the demo reads it.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Job {
    /// Its id.
    pub id: String,
    /// How far it is.
    pub state: String,
}

/// A line of the results.
#[derive(Clone, Debug, Deserialize)]
pub struct Outcome {
    /// The caller's name for the item.
    pub custom_id: String,
    /// `answered`, `failed` or `cancelled`.
    pub state: String,
    /// The service's answer.
    #[serde(default)]
    pub response: Option<Value>,
}

/// Someone with a key.
#[derive(Clone, Debug)]
pub struct Caller {
    client: client::Client,
    key: String,
}

impl Caller {
    /// A caller with its own connections.
    pub fn new(key: &str) -> Self {
        Self {
            client: client::new(),
            key: key.to_owned(),
        }
    }

    /// Streams a chat completion, and checks its order, its id and its end marker.
    ///
    /// # Errors
    /// Anything but a whole answer.
    pub async fn chat(
        &self,
        host: SocketAddr,
        stream: &str,
        body: &Map<String, Value>,
    ) -> Result<Streamed, Error> {
        let begun = Instant::now();
        let body = serde_json::to_vec(body).map_err(|error| Error::Wrong(error.to_string()))?;
        let mut request = self.request(Method::POST, host, "/v1/chat/completions", body);
        if let Ok(stream) = stream.parse() {
            request.headers_mut().insert(caller::STREAM, stream);
        }
        let answer = self.send(request).await?;
        let mut body = answer.into_body();
        let mut reading = Reading::new(begun);
        let read = async {
            while let Some(frame) = body.frame().await {
                let frame = frame.map_err(|error| Error::Broken(error.to_string()))?;
                if let Some(data) = frame.data_ref() {
                    reading.feed(data)?;
                }
            }
            Ok(())
        };
        tokio::time::timeout(PATIENCE, read).await.map_err(late)??;
        reading.finish()
    }

    /// Hands in a job: an NDJSON body.
    ///
    /// # Errors
    /// It was not taken, or it is not known whether it was.
    pub async fn submit(
        &self,
        host: SocketAddr,
        service: &str,
        key: &str,
        body: String,
    ) -> Result<Job, Error> {
        let path = format!("/v1/batches?service={service}");
        let mut request = self.request(Method::POST, host, &path, body);
        if let Ok(key) = key.parse() {
            request.headers_mut().insert(caller::IDEMPOTENCY_KEY, key);
        }
        self.json(request).await
    }

    /// How far a job is.
    ///
    /// # Errors
    /// It can't be told now.
    pub async fn job(&self, host: SocketAddr, id: &str) -> Result<Job, Error> {
        self.json(self.request(Method::GET, host, &format!("/v1/batches/{id}"), ""))
            .await
    }

    /// All results of a job.
    ///
    /// # Errors
    /// They can't be read whole.
    pub async fn results(&self, host: SocketAddr, id: &str) -> Result<Vec<Outcome>, Error> {
        let path = format!("/v1/batches/{id}/results");
        let body = self
            .whole(self.request(Method::GET, host, &path, ""))
            .await?;
        let lines = body
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty());
        let outcomes = lines.map(serde_json::from_slice);
        outcomes
            .collect::<Result<_, _>>()
            .map_err(|error| Error::Wrong(error.to_string()))
    }

    async fn json<T: DeserializeOwned>(&self, request: Request<client::Body>) -> Result<T, Error> {
        let body = self.whole(request).await?;
        serde_json::from_slice(&body).map_err(|error| Error::Wrong(error.to_string()))
    }

    async fn whole(&self, request: Request<client::Body>) -> Result<Bytes, Error> {
        let body = self.send(request).await?.into_body().collect();
        let body = tokio::time::timeout(PATIENCE, body).await.map_err(late)?;
        let body = body.map_err(|error| Error::Broken(error.to_string()))?;
        Ok(body.to_bytes())
    }

    async fn send(&self, request: Request<client::Body>) -> Result<Response<Incoming>, Error> {
        let answer = tokio::time::timeout(PATIENCE, self.client.request(request)).await;
        let answer = answer.map_err(late)?;
        let answer = answer.map_err(|error| Error::Broken(format!("{error:?}")))?;
        let status = answer.status();
        if status.is_success() {
            return Ok(answer);
        }
        let body = answer.into_body().collect().await;
        let body = body
            .map_err(|error| Error::Broken(error.to_string()))?
            .to_bytes();
        Err(Error::Refused {
            status,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    }

    fn request(
        &self,
        method: Method,
        host: SocketAddr,
        path: &str,
        body: impl Into<Bytes>,
    ) -> Request<client::Body> {
        Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json")
            .body(client::whole(body))
            .expect("paths are ours and keys come from examples")
    }
}

fn late(_: tokio::time::error::Elapsed) -> Error {
    Error::Broken(format!("no answer within {PATIENCE:?}"))
}

/// An answer that is coming in.
struct Reading {
    begun: Instant,
    buffer: Vec<u8>,
    id: Option<String>,
    text: String,
    next: u32,
    first: Option<Duration>,
    last: Instant,
    gaps: Vec<Duration>,
    finished: bool,
    done: bool,
}

impl Reading {
    fn new(begun: Instant) -> Self {
        Self {
            begun,
            buffer: Vec::new(),
            id: None,
            text: String::new(),
            next: 0,
            first: None,
            last: begun,
            gaps: Vec::new(),
            finished: false,
            done: false,
        }
    }

    fn feed(&mut self, data: &[u8]) -> Result<(), Error> {
        self.buffer.extend_from_slice(data);
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            if let Some(data) = line.strip_prefix(b"data:") {
                self.take(data.trim_ascii())?;
            }
        }
        Ok(())
    }

    fn take(&mut self, data: &[u8]) -> Result<(), Error> {
        if data == b"[DONE]" {
            self.done = true;
            return Ok(());
        }
        let chunk: Chunk = serde_json::from_slice(data)
            .map_err(|error| Error::Wrong(format!("{error}: {}", String::from_utf8_lossy(data))))?;
        let id = self.id.get_or_insert_with(|| chunk.id.clone());
        if *id != chunk.id {
            return Err(Error::Wrong(format!(
                "ids {id} and {} in one answer",
                chunk.id
            )));
        }
        if chunk.token_index != self.next {
            let (seen, next) = (chunk.token_index, self.next);
            return Err(Error::Wrong(format!("token {seen} in place of {next}")));
        }
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Err(Error::Wrong("a chunk without a choice".to_owned()));
        };
        if let Some(text) = choice.delta.content {
            self.time();
            self.text.push_str(&text);
            self.next += 1;
        }
        self.finished |= choice.finish_reason.is_some();
        Ok(())
    }

    fn time(&mut self) {
        let now = Instant::now();
        match self.first {
            None => self.first = Some(now - self.begun),
            Some(_) => self.gaps.push(now - self.last),
        }
        self.last = now;
    }

    fn finish(self) -> Result<Streamed, Error> {
        match (self.finished && self.done, self.first) {
            (true, Some(first)) => Ok(Streamed {
                text: self.text,
                first,
                gaps: self.gaps,
                whole: self.last - self.begun,
            }),
            _ => Err(Error::Broken(format!(
                "it ended after {} tokens",
                self.next
            ))),
        }
    }
}
