//! An HTTP client of one caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt as _;
use serde_json::Value;
use tinbank_server::client::{self, Client};

use super::{SERVICE, eventually};

#[derive(Clone)]
pub struct Session {
    client: Client,
    address: SocketAddr,
    key: &'static str,
}

#[derive(Debug)]
pub struct Reply {
    pub status: StatusCode,
    pub body: Bytes,
}

impl Reply {
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap()
    }

    /// Returns the string at a JSON pointer.
    pub fn text(&self, pointer: &str) -> String {
        let json = self.json();
        let value = json.pointer(pointer);
        let text = value.and_then(Value::as_str);
        text.unwrap_or_else(|| panic!("no text at {pointer} of {json}"))
            .to_owned()
    }

    pub fn lines(&self) -> Vec<Value> {
        let text = std::str::from_utf8(&self.body).unwrap();
        text.lines()
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }
}

impl Session {
    pub fn new(address: SocketAddr, key: &'static str) -> Self {
        Self {
            client: client::new(),
            address,
            key,
        }
    }

    pub async fn submit(&self, key: Option<&str>, body: impl Into<Bytes>) -> Reply {
        self.submit_to(SERVICE, key, body).await
    }

    pub async fn submit_to(
        &self,
        service: &str,
        key: Option<&str>,
        body: impl Into<Bytes>,
    ) -> Reply {
        let path = format!("/v1/batches?service={service}");
        self.send(Method::POST, &path, key, body.into()).await
    }

    /// Submits a job that has to be accepted, and returns its ID.
    pub async fn submit_accepted(&self, key: Option<&str>, body: impl Into<Bytes>) -> String {
        let reply = self.submit(key, body).await;
        assert_eq!(reply.status, StatusCode::CREATED, "{reply:?}");
        reply.text("/id")
    }

    pub async fn status(&self, id: &str) -> Reply {
        self.get(&format!("/v1/batches/{id}")).await
    }

    pub async fn item(&self, id: &str, custom_id: &str) -> Reply {
        self.get(&format!("/v1/batches/{id}/items/{custom_id}"))
            .await
    }

    pub async fn results(&self, id: &str) -> Reply {
        self.get(&format!("/v1/batches/{id}/results")).await
    }

    pub async fn cancel(&self, id: &str) -> Reply {
        let path = format!("/v1/batches/{id}/cancel");
        self.send(Method::POST, &path, None, Bytes::new()).await
    }

    /// Waits until the job is in a state.
    pub async fn wait_for_state(&self, id: &str, state: &str) {
        eventually(&format!("batch is {state}"), || async {
            let reply = self.status(id).await;
            reply.status == StatusCode::OK && reply.text("/state") == state
        })
        .await;
    }

    pub async fn get(&self, path: &str) -> Reply {
        self.send(Method::GET, path, None, Bytes::new()).await
    }

    async fn send(&self, method: Method, path: &str, key: Option<&str>, body: Bytes) -> Reply {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.key));
        if !body.is_empty() {
            request = request.header("content-type", "application/x-ndjson");
        }
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(client::whole(body)).unwrap();
        let response = self.client.request(request).await.unwrap();
        let status = response.status();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        Reply { status, body }
    }
}
