//! The platform's host list over HTTP.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, StatusCode};
use tinbank_base::platform::hosts::{Error, Hosts, List};

use crate::client::{self, Client};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_ANSWER: usize = 16 << 20;

/// The host list at an address.
#[derive(Clone, Debug)]
pub struct Http {
    address: SocketAddr,
    client: Client,
}

impl Http {
    /// An adapter for the host list at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::new(),
        }
    }
}

#[async_trait]
impl Hosts for Http {
    async fn list(&self) -> Result<List, Error> {
        let request = client::request(Method::GET, self.address, "/v1/hosts", Bytes::new());
        let until = Instant::now() + ANSWER_TIMEOUT;
        let answer = self.client.whole(request, until, MAX_ANSWER).await;
        let answer = answer.map_err(|error| Error(format!("{error:?}")))?;
        if answer.status != StatusCode::OK {
            return Err(Error(format!("{}: {}", answer.status, answer.message())));
        }
        serde_json::from_slice(&answer.body).map_err(|error| Error(error.to_string()))
    }
}
