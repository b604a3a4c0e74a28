//! The platform's weight store over HTTP.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use async_trait::async_trait;
use http::{Method, StatusCode};
use tinbank_base::platform::weights::{Artifact, Error, Ticket, Weights};

use crate::{
    client::{self, Client},
    wire,
};

const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_ANSWER: usize = 64 << 10;

/// The weight store at an address.
#[derive(Clone, Debug)]
pub struct Http {
    address: SocketAddr,
    client: Client,
}

impl Http {
    /// An adapter for the weight store at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: Client::new(),
        }
    }
}

#[async_trait]
impl Weights for Http {
    async fn ticket(&self, artifact: &Artifact) -> Result<Ticket, Error> {
        let unavailable = |error: String| Error::Unavailable(error);
        let body = serde_json::to_vec(artifact).map_err(|error| unavailable(error.to_string()))?;
        let request = client::request(Method::POST, self.address, "/v1/tickets", body.into());
        let until = Instant::now() + ANSWER_TIMEOUT;
        let answer = self.client.whole(request, until, MAX_ANSWER).await;
        let answer = answer.map_err(|error| unavailable(format!("{error:?}")))?;
        match answer.status {
            StatusCode::OK => serde_json::from_slice::<wire::Granted>(&answer.body)
                .map(|granted| granted.ticket)
                .map_err(|error| unavailable(error.to_string())),
            StatusCode::TOO_MANY_REQUESTS => Err(Error::Limited {
                retry_at: answer.retry_at(),
            }),
            StatusCode::NOT_FOUND => Err(Error::Missing(artifact.model.clone())),
            status => Err(unavailable(format!("{status}: {}", answer.message()))),
        }
    }
}
