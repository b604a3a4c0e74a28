//! A caller's or operator's session with one process over HTTP.

use std::{collections::BTreeMap, net::SocketAddr};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::BodyExt as _;
use serde_json::Value;
use tinbank_server::{
    caller,
    client::{self, Client},
};

use crate::wait::found;

/// Someone with a key, at one process.
#[derive(Clone, Debug)]
pub struct Session {
    client: Client,
    address: SocketAddr,
    key: String,
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Whole body.
    pub body: Bytes,
}

/// No whole answer came.
#[derive(Clone, Debug)]
pub struct Broken(pub String);

/// How an item ended, as its line in the results tells.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ended {
    /// `answered`, `failed` or `cancelled`.
    pub state: String,
    /// The text of an answer of an engine, or the code of a failure.
    pub says: String,
    /// What a failure says of whether the item ran.
    pub ran: String,
}

impl Reply {
    /// The body.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// The text at a JSON pointer; empty where there is none.
    pub fn text(&self, pointer: &str) -> String {
        text(&self.json(), pointer)
    }
}

fn text(value: &Value, pointer: &str) -> String {
    let found = value.pointer(pointer).and_then(Value::as_str);
    found.unwrap_or_default().to_owned()
}

impl Session {
    /// A session with connections of its own.
    pub fn new(address: SocketAddr, key: &str) -> Self {
        Self {
            client: client::new(),
            address,
            key: key.to_owned(),
        }
    }

    /// Submits a job; without a whole answer it is not known whether it was taken.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn submit(
        &self,
        service: &str,
        key: &str,
        body: impl Into<Bytes>,
    ) -> Result<Reply, Broken> {
        let path = format!("/v1/batches?service={service}");
        let headers = [(caller::IDEMPOTENCY_KEY, key)];
        self.send(Method::POST, &path, &headers, body.into()).await
    }

    /// Submits a job again and again until it is taken, and gives its id.
    pub async fn accepted(&self, service: &str, key: &str, body: &str) -> String {
        let submit = || async {
            match self.submit(service, key, body.to_owned()).await {
                Ok(reply) if reply.status.is_success() => Ok(reply.text("/id")),
                other => Err(format!("{other:?}")),
            }
        };
        found(&format!("{key} is taken in"), submit).await
    }

    /// Waits until the job is in a state.
    pub async fn until(&self, id: &str, state: &str) {
        let look = || async {
            match self.job(id).await {
                Ok(reply) if reply.text("/state") == state => Ok(()),
                other => Err(format!("{other:?}")),
            }
        };
        found(&format!("job {id} is {state} at {}", self.address), look).await;
    }

    /// How far a job is.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn job(&self, id: &str) -> Result<Reply, Broken> {
        self.get(&format!("/v1/batches/{id}")).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn cancel(&self, id: &str) -> Result<Reply, Broken> {
        let path = format!("/v1/batches/{id}/cancel");
        self.send(Method::POST, &path, &[], Bytes::new()).await
    }

    /// The results as they stand, by the items' names.
    ///
    /// # Errors
    /// They can't be read whole now.
    ///
    /// # Panics
    /// An item stands twice.
    pub async fn results(&self, id: &str) -> Result<BTreeMap<String, Ended>, Broken> {
        let reply = self.get(&format!("/v1/batches/{id}/results")).await?;
        if reply.status != StatusCode::OK {
            return Err(Broken(format!("{reply:?}")));
        }
        let mut ended = BTreeMap::new();
        for line in reply.body.split(|byte| *byte == b'\n') {
            if line.is_empty() {
                continue;
            }
            let line: Value =
                serde_json::from_slice(line).map_err(|error| Broken(error.to_string()))?;
            let name = text(&line, "/custom_id");
            let twice = ended.insert(name.clone(), Ended::read(&line));
            assert!(twice.is_none(), "{name} stands twice in the results");
        }
        Ok(ended)
    }

    /// The results, once they can be read.
    pub async fn readable(&self, id: &str) -> BTreeMap<String, Ended> {
        let read = || async {
            let results = self.results(id).await;
            results.map_err(|Broken(reason)| reason)
        };
        found(&format!("results of {id} at {}", self.address), read).await
    }

    /// Asks for a whole chat completion.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn chat(&self, headers: &[(&str, &str)], body: &Value) -> Result<Reply, Broken> {
        let body = body.to_string().into();
        self.send(Method::POST, "/v1/chat/completions", headers, body)
            .await
    }

    /// Calls a plain service.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn call(
        &self,
        service: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> Result<Reply, Broken> {
        let path = format!("/v1/services/{service}/call");
        let body = body.to_string().into();
        self.send(Method::POST, &path, headers, body).await
    }

    /// Reads a path.
    ///
    /// # Errors
    /// The connection broke.
    pub async fn get(&self, path: &str) -> Result<Reply, Broken> {
        self.send(Method::GET, path, &[], Bytes::new()).await
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<Reply, Broken> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .header(header::CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request
            .body(client::whole(body))
            .expect("paths and headers are the proofs' own");
        let response = self.client.request(request).await;
        let response = response.map_err(|error| Broken(format!("{error:?}")))?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await;
        let body = body.map_err(|error| Broken(error.to_string()))?;
        Ok(Reply {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        })
    }
}

impl Ended {
    fn read(line: &Value) -> Self {
        let says = match text(line, "/error/code") {
            code if code.is_empty() => text(line, "/response/choices/0/message/content"),
            code => code,
        };
        Self {
            state: text(line, "/state"),
            says,
            ran: text(line, "/error/ran"),
        }
    }
}
