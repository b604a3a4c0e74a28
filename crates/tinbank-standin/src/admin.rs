//! The admin server: faults are switched and accounts are read here, also of services that are dead.

use std::sync::Arc;

use dropshot::{ApiDescription, HttpError, Path, RequestContext, UntypedBody, endpoint};
use http::StatusCode;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::{
    fault::Fault,
    service::{
        Service,
        answer::{self, Answer},
    },
};

/// What the handlers share: all services.
pub(crate) type Context = Arc<[Service]>;

/// A service, as the admin server lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Listed {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: std::net::SocketAddr,
    /// What is wrong with it.
    pub faults: Fault,
}

pub(crate) fn api() -> ApiDescription<Context> {
    let mut api = ApiDescription::new();
    api.register(get_services)
        .expect("paths of the admin server differ");
    api.register(put_faults)
        .expect("paths of the admin server differ");
    api.register(get_account)
        .expect("paths of the admin server differ");
    api
}

#[derive(Deserialize, JsonSchema)]
struct Named {
    name: String,
}

/// Lists the services with their addresses and faults.
#[endpoint { method = GET, path = "/services" }]
async fn get_services(request: RequestContext<Context>) -> Result<Answer, HttpError> {
    let listed = |service: &Service| Listed {
        name: service.name.clone(),
        address: service.address,
        faults: service.faults.now(),
    };
    let services: Vec<_> = request.context().iter().map(listed).collect();
    Ok(answer::json(StatusCode::OK, &services))
}

/// Sets all faults of a service; what the body leaves out is switched off.
#[endpoint { method = PUT, path = "/faults/{name}" }]
async fn put_faults(
    request: RequestContext<Context>,
    path: Path<Named>,
    body: UntypedBody,
) -> Result<Answer, HttpError> {
    let Some(service) = find(request.context(), path) else {
        return Ok(missing());
    };
    let wanted: Fault = match serde_json::from_slice(body.as_bytes()) {
        Ok(fault) => fault,
        Err(error) => return Ok(answer::bytes(StatusCode::BAD_REQUEST, error.to_string())),
    };
    service.faults.change(|fault| *fault = wanted);
    Ok(answer::json(StatusCode::OK, &service.faults.now()))
}

/// Tells what a service ran.
#[endpoint { method = GET, path = "/account/{name}" }]
async fn get_account(
    request: RequestContext<Context>,
    path: Path<Named>,
) -> Result<Answer, HttpError> {
    let Some(service) = find(request.context(), path) else {
        return Ok(missing());
    };
    Ok(answer::json(StatusCode::OK, &service.account.runs()))
}

fn find(services: &Context, path: Path<Named>) -> Option<&Service> {
    let name = path.into_inner().name;
    services.iter().find(|service| service.name == name)
}

fn missing() -> Answer {
    answer::bytes(StatusCode::NOT_FOUND, "no such service: see /services")
}
