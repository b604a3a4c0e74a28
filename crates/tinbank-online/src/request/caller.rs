//! Authenticates callers and reads request headers.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use http::HeaderMap;
use tinbank_base::{
    id,
    outcome::{Code, Failure},
    platform::hosts::Kind,
};
use tinbank_configuration::{Snapshot, service::Service, snapshot::Customer, template::Traffic};
use tinbank_routing::limit::{Scope, scope::Subject};
use tinbank_server::caller;

use super::{Scopes, bad_request};

/// An authenticated caller and its request's headers.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    pub(crate) customer: Arc<Customer>,
    pub(crate) key: Option<String>,
    now: Instant,
    repeatable: Option<bool>,
    deadline: Option<Instant>,
    stream: Option<String>,
}

/// The service of a request, with what its headers override.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedService {
    pub(crate) name: id::Service,
    pub(crate) service: Arc<Service>,
    pub(crate) deadline: Instant,
    pub(crate) repeatable: bool,
    pub(crate) scopes: Scopes,
}

impl Caller {
    /// Reads the headers and looks up the customer by its key.
    pub(crate) fn read(
        headers: &HeaderMap,
        snapshot: &Snapshot,
        now: Instant,
    ) -> Result<Self, Failure> {
        let bearer = caller::bearer(headers)?;
        let customer = snapshot.by_key(bearer).ok_or_else(|| {
            Failure::not_run(Code::Unauthorized, "the key is not known")
                .help("use a key whose digest is in the customer's configuration")
        })?;
        Ok(Self {
            customer: customer.clone(),
            key: caller::idempotency_key(headers)?.map(str::to_owned),
            now,
            repeatable: caller::repeatable(headers)?,
            deadline: caller::deadline(headers, now)?,
            stream: caller::stream(headers)?.map(str::to_owned),
        })
    }

    /// Resolves the service from the `Tinbank-Stream` header or the given name.
    pub(crate) fn resolve_service(
        &self,
        name: Option<&str>,
        kind: Kind,
    ) -> Result<ResolvedService, Failure> {
        let (name, stream_timeout) = self.service_name(name)?;
        let service = self.customer.services.get(&name).ok_or_else(|| {
            let message = format!("there is no service {name:?} for this customer");
            Failure::not_run(Code::NotFound, message)
        })?;
        if service.kind != kind {
            return Err(wrong_kind(&name, service.kind));
        }
        let timeout = stream_timeout.unwrap_or(service.timeout);
        Ok(ResolvedService {
            deadline: self.deadline.unwrap_or(self.now + timeout),
            repeatable: self.repeatable.unwrap_or(service.repeatable),
            service: service.clone(),
            scopes: self.scopes(&name, service),
            name,
        })
    }

    fn scopes(&self, name: &str, service: &Service) -> Scopes {
        let customer = &self.customer;
        let limits = customer.limits.online();
        let stream = self.stream.as_deref().and_then(|stream| {
            let found = customer.streams.get(stream)?;
            Some(Scope::new(
                &customer.name,
                Subject::Stream(stream),
                found.limits,
            ))
        });
        let scopes = [
            Some(Scope::new(&customer.name, Subject::Customer, limits)),
            Some(Scope::new(
                &customer.name,
                Subject::Service(name),
                service.limits,
            )),
            stream,
        ];
        let scopes = scopes.into_iter().flatten();
        scopes.filter(|scope| !scope.is_empty()).collect()
    }

    fn service_name(&self, name: Option<&str>) -> Result<(id::Service, Option<Duration>), Failure> {
        let Some(stream) = &self.stream else {
            let name = name.ok_or_else(|| {
                bad_request("model: is missing")
                    .help("name the service in `model` or a stream in `Tinbank-Stream`")
            })?;
            return Ok((name.to_owned(), None));
        };
        let found = self.customer.streams.get(stream).ok_or_else(|| {
            let message =
                format!("Tinbank-Stream: there is no stream {stream:?} for this customer");
            Failure::not_run(Code::NotFound, message)
        })?;
        if found.traffic != Traffic::Online {
            let message = format!("Tinbank-Stream: the stream {stream:?} carries batch jobs");
            return Err(bad_request(message).help("post its jobs to /v1/batches"));
        }
        if name.is_some_and(|name| name != found.service) {
            let message = format!(
                "model: the stream {stream:?} uses the service {:?}",
                found.service
            );
            return Err(bad_request(message).help("leave `model` out or name that service"));
        }
        Ok((found.service.clone(), found.timeout))
    }
}

fn wrong_kind(name: &str, kind: Kind) -> Failure {
    let (what, help) = match kind {
        Kind::Engine => ("a model service", "use POST /v1/chat/completions"),
        Kind::Plain => ("a plain service", "use POST /v1/services/{service}/call"),
    };
    bad_request(format!("{name:?} is {what}")).help(help)
}
