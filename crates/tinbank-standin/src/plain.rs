//! Stand-in for a plain service: it answers once, and counts what it ran.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use dropshot::{ApiDescription, HttpError, Path, RequestContext, UntypedBody, endpoint};
use http::{HeaderMap, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::json;
use serde_with::{DurationMilliSeconds, serde_as};
use smallvec::SmallVec;
use tinbank_base::{digest, id};
use tinbank_platform::wire;

use crate::{
    account::{Account, End, Run},
    engine::answer::Marker,
    fault::Faults,
    service::{
        answer::{self, Answer},
        under,
    },
};

/// How a plain service behaves.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// Its number on the host list.
    pub upstream: id::Upstream,
    /// Its name on the host list. Default `plain-` and the number.
    pub name: Option<String>,
    /// Pools it belongs to.
    pub pools: SmallVec<[id::Pool; 2]>,
    /// Where it listens. Default 127.0.0.1:0.
    pub address: SocketAddr,
    /// Where it stands. Default `local`.
    pub failure_domain: id::FailureDomain,
    /// Time that a call takes, in milliseconds. Default 5.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "call_ms")]
    pub call: Duration,
    /// Seed of losses that are drawn by probability. Default 0.
    pub seed: u64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            upstream: 0,
            name: None,
            pools: SmallVec::new(),
            address: crate::settings::any_port(),
            failure_domain: "local".to_owned(),
            call: Duration::from_millis(5),
            seed: 0,
        }
    }
}

impl Settings {
    /// The name on the host list.
    pub fn name(&self) -> String {
        let name = self.name.clone();
        name.unwrap_or_else(|| format!("plain-{}", self.upstream))
    }
}

/// What the handlers share.
#[derive(Clone, Debug)]
pub(crate) struct Context {
    settings: Arc<Settings>,
    faults: Faults,
    account: Account,
}

/// What the service reads of a body.
#[derive(Deserialize)]
struct Request {
    #[serde(default)]
    reference: Option<String>,
    #[serde(default)]
    standin: Option<Marker>,
}

impl Context {
    pub fn new(settings: Settings, faults: Faults, account: Account) -> Self {
        Self {
            settings: Arc::new(settings),
            faults,
            account,
        }
    }

    async fn call(&self, service: &str, headers: &HeaderMap, body: &[u8]) -> Answer {
        if self.faults.now().leaving {
            return answer::no_work(wire::LEAVING);
        }
        let request: Request = match serde_json::from_slice(body) {
            Ok(request) => request,
            Err(error) => return answer::bytes(StatusCode::BAD_REQUEST, error.to_string()),
        };
        if request.standin == Some(Marker::Reject) {
            return answer::bytes(
                StatusCode::BAD_REQUEST,
                "the body says that it can't be done",
            );
        }
        let id = headers.get(wire::REQUEST_ID).cloned();
        let name = id
            .as_ref()
            .and_then(|id| id.to_str().ok())
            .map(str::to_owned);
        let run = self.account.begin(Run {
            request: name,
            reference: request.reference.clone(),
            prompt: digest::prefix(&digest::of(body)) as u64,
            resumed_from: 0,
            tokens: 0,
            end: End::Running,
        });
        tokio::time::sleep(self.settings.call).await;
        self.finish(service, request, run, id)
    }

    fn finish(
        &self,
        service: &str,
        request: Request,
        run: usize,
        id: Option<http::HeaderValue>,
    ) -> Answer {
        match request.standin {
            Some(Marker::Kill) => self.faults.change(|fault| fault.killed = true),
            Some(Marker::Fail) => {
                self.account.end(run, End::Failed);
                return answer::bytes(StatusCode::INTERNAL_SERVER_ERROR, "the body says: fail");
            }
            _ => {}
        }
        self.account.end(run, End::Completed);
        let body = json!({ "service": service, "reference": request.reference, "done": true });
        let mut answer = answer::json(StatusCode::OK, &body);
        if let Some(id) = id {
            answer.headers_mut().insert(wire::ANSWERED_ID, id);
        }
        answer
    }
}

pub(crate) fn api() -> ApiDescription<Context> {
    let mut api = ApiDescription::new();
    api.register(post_call)
        .expect("paths of a plain service differ");
    api.register(post_cancel)
        .expect("paths of a plain service differ");
    api.register(get_account)
        .expect("paths of a plain service differ");
    api
}

#[derive(Deserialize, JsonSchema)]
struct Named {
    service: String,
}

#[derive(Deserialize, JsonSchema)]
struct Numbered {
    #[expect(dead_code, reason = "a path parameter has to be named")]
    id: String,
}

/// Runs a call.
#[endpoint { method = POST, path = "/v1/services/{service}/call" }]
async fn post_call(
    request: RequestContext<Context>,
    path: Path<Named>,
    body: UntypedBody,
) -> Result<Answer, HttpError> {
    let context = request.context();
    let service = path.into_inner().service;
    let effect = context.call(&service, request.request.headers(), body.as_bytes());
    Ok(under(&context.faults, effect).await)
}

/// A plain service stops nothing that has begun.
#[endpoint { method = POST, path = "/v1/requests/{id}/cancel" }]
async fn post_cancel(
    _request: RequestContext<Context>,
    _path: Path<Numbered>,
) -> Result<Answer, HttpError> {
    Ok(answer::bytes(
        StatusCode::NOT_FOUND,
        "calls can't be cancelled",
    ))
}

/// Tells what the service ran; no fault hides it.
#[endpoint { method = GET, path = "/account" }]
async fn get_account(request: RequestContext<Context>) -> Result<Answer, HttpError> {
    Ok(answer::json(
        StatusCode::OK,
        &request.context().account.runs(),
    ))
}
