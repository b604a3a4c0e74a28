//! Stand-in for the weight store, which gives tickets at a limited rate.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
};

use dropshot::{ApiDescription, HttpError, RequestContext, UntypedBody, endpoint};
use http::StatusCode;
use serde::{Deserialize, Serialize};
use tinbank_base::platform::weights::Artifact;
use tinbank_platform::wire;
use tokio::time::Instant;

use crate::{
    bucket::Bucket,
    fault::Faults,
    service::{
        answer::{self, Answer},
        under,
    },
};

/// How the weight store behaves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Where it listens. Default 127.0.0.1:0.
    pub address: SocketAddr,
    /// Tickets a second. Default 1.
    pub tickets_per_second: f64,
    /// Tickets at once after a pause. Default 2.
    pub burst: f64,
    /// What it has; an empty list stands for everything.
    pub artifacts: Vec<Artifact>,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            address: crate::settings::any_port(),
            tickets_per_second: 1.0,
            burst: 2.0,
            artifacts: Vec::new(),
        }
    }
}

/// What the handlers share.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    artifacts: Vec<Artifact>,
    faults: Faults,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    bucket: Bucket,
    given: u64,
}

impl Context {
    pub fn new(settings: Settings, faults: Faults) -> Self {
        let rate = settings.tickets_per_second;
        let bucket = Bucket::new(rate, settings.burst, Instant::now());
        Self {
            inner: Arc::new(Inner {
                artifacts: settings.artifacts,
                faults,
                state: Mutex::new(State { bucket, given: 0 }),
            }),
        }
    }

    fn ticket(&self, body: &[u8]) -> Answer {
        let artifact: Artifact = match serde_json::from_slice(body) {
            Ok(artifact) => artifact,
            Err(error) => return answer::bytes(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let artifacts = &self.inner.artifacts;
        if !artifacts.is_empty() && !artifacts.contains(&artifact) {
            return answer::bytes(StatusCode::NOT_FOUND, "no such artifact");
        }
        let mut state = self
            .inner
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Err(wait) = state.bucket.take(Instant::now()) {
            return answer::limited(wait);
        }
        state.given += 1;
        let ticket = state.given;
        answer::json(StatusCode::OK, &wire::Granted { ticket })
    }
}

pub(crate) fn api() -> ApiDescription<Context> {
    let mut api = ApiDescription::new();
    api.register(post_ticket).expect("there is one path");
    api
}

/// Gives leave to load an artifact once.
#[endpoint { method = POST, path = "/v1/tickets" }]
async fn post_ticket(
    request: RequestContext<Context>,
    body: UntypedBody,
) -> Result<Answer, HttpError> {
    let context = request.context();
    let effect = async { context.ticket(body.as_bytes()) };
    Ok(under(&context.inner.faults, effect).await)
}
