//! The endpoints that operators find on every server.

use std::sync::Arc;

use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, ApiEndpoint, ApiEndpointVersions, Body, Query,
    RequestContext, ServerContext,
};
use http::{HeaderValue, Method, Response, StatusCode, header};
use serde::{Deserialize, Serialize};
use tinbank_base::{
    id,
    outcome::{Code, Failure},
    peer::Members,
};
use tinbank_timeline::{self as timeline, Recorder, query::Parameters};

use crate::{failure::Reply, metrics, readiness::State};

/// What the endpoints ask of a server's context.
pub trait Context: Send + Sync + 'static {
    /// How far it is.
    fn state(&self) -> State;
    /// Its metrics.
    fn metrics(&self) -> &metrics::Handle;
    /// Its time line, which also knows which process this is.
    fn recorder(&self) -> &Recorder;
    /// Whom it knows.
    fn members(&self) -> Arc<Members>;
    /// Which configuration is in force.
    fn configuration(&self) -> Configuration;
}

impl<T: Context + ?Sized> Context for Arc<T> {
    fn state(&self) -> State {
        (**self).state()
    }

    fn metrics(&self) -> &metrics::Handle {
        (**self).metrics()
    }

    fn recorder(&self) -> &Recorder {
        (**self).recorder()
    }

    fn members(&self) -> Arc<Members> {
        (**self).members()
    }

    fn configuration(&self) -> Configuration {
        (**self).configuration()
    }
}

/// The configuration that is in force at a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Configuration {
    /// Everything before this offset of the configuration stream is in force.
    pub offset: id::Offset,
    /// Whether the process has seen the tail of the stream since it started.
    pub current: bool,
}

/// A member of the system, as `/members` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Member {
    /// Process, such as `online@3`.
    pub process: String,
    /// Its start.
    pub incarnation: id::Incarnation,
    /// What is believed of it.
    pub health: String,
    /// What it says of itself.
    pub phase: String,
    /// Its HTTP address.
    pub http: std::net::SocketAddr,
    /// Its peer address.
    pub peer: std::net::SocketAddr,
    /// Where it stands.
    pub failure_domain: id::FailureDomain,
    /// How far its configuration is.
    pub config: id::Offset,
}

/// Adds the operators' endpoints to an interface.
///
/// # Errors
/// A path is taken already.
pub fn register<C: Context + ServerContext>(
    api: &mut ApiDescription<C>,
) -> Result<(), ApiDescriptionRegisterError> {
    api.register(endpoint(ApiEndpoint::new(
        "healthz".to_owned(),
        healthz::<C>,
        Method::GET,
        JSON,
        "/healthz",
        ApiEndpointVersions::All,
    )))?;
    api.register(endpoint(ApiEndpoint::new(
        "readyz".to_owned(),
        readyz::<C>,
        Method::GET,
        JSON,
        "/readyz",
        ApiEndpointVersions::All,
    )))?;
    api.register(endpoint(ApiEndpoint::new(
        "metrics".to_owned(),
        exposition::<C>,
        Method::GET,
        JSON,
        "/metrics",
        ApiEndpointVersions::All,
    )))?;
    api.register(endpoint(ApiEndpoint::new(
        "timeline".to_owned(),
        events::<C>,
        Method::GET,
        JSON,
        "/timeline",
        ApiEndpointVersions::All,
    )))?;
    api.register(endpoint(ApiEndpoint::new(
        "members".to_owned(),
        members::<C>,
        Method::GET,
        JSON,
        "/members",
        ApiEndpointVersions::All,
    )))?;
    api.register(endpoint(ApiEndpoint::new(
        "configuration".to_owned(),
        configuration::<C>,
        Method::GET,
        JSON,
        "/configuration",
        ApiEndpointVersions::All,
    )))
}

const JSON: &str = "application/json";

fn endpoint<C: ServerContext>(endpoint: ApiEndpoint<C>) -> ApiEndpoint<C> {
    endpoint.tag("operators")
}

/// `GET /healthz`: the process runs.
async fn healthz<C: Context>(rqctx: RequestContext<C>) -> Result<Response<Body>, Reply> {
    let process = rqctx.context().recorder().process().to_string();
    json(
        StatusCode::OK,
        &Health {
            process,
            state: "alive",
        },
    )
}

/// `GET /readyz`: the process takes new work; the platform's balancer asks this.
async fn readyz<C: Context>(rqctx: RequestContext<C>) -> Result<Response<Body>, Reply> {
    let process = rqctx.context().recorder().process().to_string();
    let (status, state) = match rqctx.context().state() {
        State::Starting => (StatusCode::SERVICE_UNAVAILABLE, "starting"),
        State::Ready => (StatusCode::OK, "ready"),
        State::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "leaving"),
    };
    json(status, &Health { process, state })
}

/// `GET /metrics`: Prometheus text.
async fn exposition<C: Context>(rqctx: RequestContext<C>) -> Result<Response<Body>, Reply> {
    let text = rqctx.context().metrics().render();
    Ok(body(
        StatusCode::OK,
        "text/plain; version=0.0.4",
        text.into(),
    ))
}

/// `GET /timeline`: the process's own events.
async fn events<C: Context>(
    rqctx: RequestContext<C>,
    parameters: Query<Parameters>,
) -> Result<Response<Body>, Reply> {
    let query = timeline::Query::try_from(parameters.into_inner()).map_err(|error| {
        let failure = Failure::not_run(Code::BadRequest, error.to_string());
        Reply(failure.help("see docs/design/timeline.md"))
    })?;
    json(StatusCode::OK, &rqctx.context().recorder().page(&query))
}

/// `GET /members`: whom the process knows.
async fn members<C: Context>(rqctx: RequestContext<C>) -> Result<Response<Body>, Reply> {
    let known = rqctx.context().members();
    let shown: Vec<Member> = known.members.iter().map(show).collect();
    json(StatusCode::OK, &shown)
}

/// `GET /configuration`: which configuration is in force here.
async fn configuration<C: Context>(rqctx: RequestContext<C>) -> Result<Response<Body>, Reply> {
    json(StatusCode::OK, &rqctx.context().configuration())
}

#[derive(Serialize)]
struct Health {
    process: String,
    state: &'static str,
}

fn show(member: &tinbank_base::peer::Member) -> Member {
    Member {
        process: member.writer.process.to_string(),
        incarnation: member.writer.incarnation,
        health: format!("{:?}", member.health).to_lowercase(),
        phase: format!("{:?}", member.phase).to_lowercase(),
        http: member.http,
        peer: member.peer,
        failure_domain: member.failure_domain.clone(),
        config: member.config,
    }
}

/// A JSON answer.
///
/// # Errors
/// The value can't be written as JSON.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Result<Response<Body>, Reply> {
    let bytes = serde_json::to_vec(value)
        .map_err(|error| Reply(Failure::not_run(Code::Internal, error.to_string())))?;
    Ok(body(status, JSON, bytes))
}

fn body(status: StatusCode, content_type: &'static str, bytes: Vec<u8>) -> Response<Body> {
    let mut response = Response::new(Body::from(bytes::Bytes::from(bytes)));
    *response.status_mut() = status;
    let value = HeaderValue::from_static(content_type);
    response.headers_mut().insert(header::CONTENT_TYPE, value);
    response
}
