//! Parses calls of plain services.

use bytes::Bytes;
use serde::de::IgnoredAny;
use tinbank_base::{id, outcome::Failure, platform::hosts::Kind};
use tinbank_routing::prefix;

use super::{Caller, Request, invalid_json};

/// Validates a body, which may be any JSON, and resolves the service.
pub(crate) fn read(
    id: id::Request,
    caller: &Caller,
    name: &str,
    body: Bytes,
) -> Result<Request, Failure> {
    let resolved = caller.resolve_service(Some(name), Kind::Plain)?;
    serde_json::from_slice::<IgnoredAny>(&body).map_err(|error| invalid_json(&error))?;
    Ok(Request {
        id,
        customer: caller.customer.clone(),
        // Plain services have no prefix cache, so calls are distributed by request id.
        prefix: prefix::of(&resolved.name, &id.to_be_bytes()),
        name: resolved.name,
        service: resolved.service,
        body,
        deadline: resolved.deadline,
        repeatable: resolved.repeatable,
        key: caller.key.clone(),
        scopes: resolved.scopes,
    })
}
