//! HTTP requests to the system's own processes.

use std::{
    error, fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use tinbank_base::{cause, outcome::Failure};
use tinbank_server::client::{self, Body, Client};
use tokio::time;

use crate::{error::Error, exit::Exit};

/// How long a small answer may take.
pub(crate) const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer that is read as a whole, in bytes.
const MAX_ANSWER: usize = 64 << 20;
/// Longest part of an unexpected answer that is shown.
const MAX_SHOWN: usize = 300;

/// Sends requests. Clones share their connections.
#[derive(Clone)]
pub(crate) struct Server {
    client: Client,
}

/// What is asked, apart from the body.
#[derive(Clone, Debug)]
pub(crate) struct Ask {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
}

/// Why a request got no answer from one process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Broken {
    /// No connection: it was not sent.
    Connect(String),
    /// It may have been taken in.
    Lost(String),
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(reason) => write!(f, "no connection: {reason}"),
            Self::Lost(reason) => write!(f, "no whole answer: {reason}"),
        }
    }
}

impl Ask {
    pub(crate) fn get(path: impl Into<String>) -> Self {
        Self::new(Method::GET, path)
    }

    pub(crate) fn post(path: impl Into<String>) -> Self {
        Self::new(Method::POST, path)
    }

    fn new(method: Method, path: impl Into<String>) -> Self {
        Self {
            method,
            path: path.into(),
            headers: HeaderMap::new(),
        }
    }

    /// Adds the caller's key.
    pub(crate) fn key(self, key: &str) -> Result<Self, Error> {
        self.header(header::AUTHORIZATION.as_str(), &format!("Bearer {key}"))
    }

    pub(crate) fn header(mut self, name: &'static str, value: &str) -> Result<Self, Error> {
        let value = HeaderValue::from_str(value).map_err(|_| {
            let what = format!("the value of `{name}` can't go into a header");
            Error::new(Exit::Input, what).help("use printable ASCII characters")
        })?;
        self.headers.insert(name, value);
        Ok(self)
    }
}

impl Server {
    pub(crate) fn new() -> Self {
        Self {
            client: client::new(),
        }
    }

    /// Sends to one process and waits for the head of its answer.
    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        ask: &Ask,
        body: Body,
        until: Instant,
    ) -> Result<Response<Incoming>, Broken> {
        let request = Request::builder()
            .method(ask.method.clone())
            .uri(format!("http://{to}{}", ask.path))
            .body(body);
        let mut request = request.map_err(|error| Broken::Connect(error.to_string()))?;
        request.headers_mut().extend(ask.headers.clone());
        match time::timeout_at(until.into(), self.client.request(request)).await {
            Ok(Ok(response)) => Ok(response),
            Ok(Err(error)) if error.is_connect() => Err(Broken::Connect(root(&error))),
            Ok(Err(error)) => Err(Broken::Lost(cause::chain(&error))),
            Err(_) => Err(Broken::Lost("no answer in time".to_owned())),
        }
    }

    /// Sends something that is safe to repeat to one entry after another, until one answers.
    pub(crate) async fn any(
        &self,
        entries: &[SocketAddr],
        ask: &Ask,
    ) -> Result<Response<Incoming>, Error> {
        let mut tried = Vec::new();
        for entry in entries {
            let until = Instant::now() + ANSWER_TIMEOUT;
            match self.send(*entry, ask, client::empty(), until).await {
                Ok(response) => return good(response).await,
                Err(broken) => tried.push(format!("{entry}: {broken}")),
            }
        }
        Err(unreachable(&tried))
    }

    /// The JSON answer of the first entry that gives one.
    pub(crate) async fn json<T: DeserializeOwned>(
        &self,
        entries: &[SocketAddr],
        ask: &Ask,
    ) -> Result<T, Error> {
        parse(self.any(entries, ask).await?).await
    }

    /// The JSON answer of one process.
    pub(crate) async fn json_of<T: DeserializeOwned>(
        &self,
        to: SocketAddr,
        ask: &Ask,
    ) -> Result<T, Error> {
        self.json(&[to], ask).await
    }
}

pub(crate) fn unreachable(tried: &[String]) -> Error {
    let what = match tried {
        [] => "there is nobody to ask: the settings name no entry address".to_owned(),
        [tried] => tried.clone(),
        tried => format!("nobody answered: {}", tried.join("; ")),
    };
    Error::new(Exit::Unreachable, what)
        .help("see that the addresses in the settings are right and the processes run, then repeat")
}

/// Passes an answer on if it is a success, else makes an error of what it says.
pub(crate) async fn good(response: Response<Incoming>) -> Result<Response<Incoming>, Error> {
    if response.status().is_success() {
        return Ok(response);
    }
    Err(refusal(response).await)
}

/// What an answer without success says.
pub(crate) async fn refusal(response: Response<Incoming>) -> Error {
    let status = response.status();
    match failure(response).await {
        Ok(failure) => Error::refused(&failure),
        Err(text) => unexpected(status, &text),
    }
}

/// The failure in an answer without success, or its text if it is none of ours.
pub(crate) async fn failure(response: Response<Incoming>) -> Result<Failure, String> {
    let body = match whole(response).await {
        Ok(body) => body,
        Err(broken) => return Err(broken.to_string()),
    };
    serde_json::from_slice(&body).map_err(|_| {
        String::from_utf8_lossy(&body)
            .chars()
            .take(MAX_SHOWN)
            .collect()
    })
}

pub(crate) fn unexpected(status: StatusCode, text: &str) -> Error {
    let exit = match status.is_client_error() {
        true => Exit::Failed,
        false => Exit::Unknown,
    };
    Error::new(exit, format!("unexpected answer {status}: {text:?}"))
        .help("see that the settings name tinbank's own addresses")
}

/// The JSON in an answer.
pub(crate) async fn parse<T: DeserializeOwned>(response: Response<Incoming>) -> Result<T, Error> {
    let body = whole(response)
        .await
        .map_err(|broken| Error::new(Exit::Unreachable, broken.to_string()).help("repeat it"))?;
    serde_json::from_slice(&body).map_err(|error| {
        Error::new(Exit::Failed, format!("the answer can't be read: {error}"))
            .help("see that the command line and the servers have the same version")
    })
}

/// The whole body of an answer.
pub(crate) async fn whole(response: Response<Incoming>) -> Result<Bytes, Broken> {
    let body = Limited::new(response.into_body(), MAX_ANSWER).collect();
    match time::timeout(ANSWER_TIMEOUT, body).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) => Err(Broken::Lost(error.to_string())),
        Err(_) => Err(Broken::Lost("the answer stopped".to_owned())),
    }
}

/// The cause behind all causes: what the system says of a connection.
fn root(error: &dyn error::Error) -> String {
    let mut root = error;
    while let Some(cause) = root.source() {
        root = cause;
    }
    root.to_string()
}

/// Escapes a text for use in a path or query.
pub(crate) fn escape(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'_' | b'.' | b'~' => {
                escaped.push(char::from(byte));
            }
            _ => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}
